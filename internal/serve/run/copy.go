package run

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/prefixes"
)

// refreshAge is the age from which on an entry of the cache directory is renewed when its engine
// reads the parts again. Entries expire after 60 s, so a part in use never does, and the directory
// gets one message in 20 s for it instead of one for each request.
const refreshAge = 20 * time.Second

// promptCopy is the state of copying the shared parts of one request's prompt. possible and ordered
// may be called on nil, which means that nothing is copied.
type promptCopy struct {
	key prefixes.Key
	// lookup brings the answer of the cache directory; nil once it was received.
	lookup <-chan lookupResult
	lookupResult
	// sources are the engines that the parts could be copied from when the target was chosen.
	sources []pool.View
	// source is the ID of the engine that the latest attempt names as the source; empty if none.
	source string
}

// lookupResult is the answer of the cache directory, received at the given time.
type lookupResult struct {
	holders  []prefixes.Holder
	answered bool
	at       time.Time
}

// possible reports whether there was an engine to copy from when the target was chosen.
func (p *promptCopy) possible() bool { return p != nil && len(p.sources) > 0 }

// ordered reports whether the latest attempt names a source.
func (p *promptCopy) ordered() bool { return p != nil && p.source != "" }

// known reports whether the directory has a recent entry for an engine.
func (p *promptCopy) known(engine prefixes.Engine, now time.Time) bool {
	for _, h := range p.holders {
		if p.answered && h.Engine == engine && h.Age+now.Sub(p.at) < refreshAge {
			return true
		}
	}
	return false
}

// copyPays reports whether the shared parts of the prompt are worth copying.
func (j *job) copyPays(now time.Time) bool {
	service := j.Plans.Service(j.service)
	if j.Prefixes == nil || service == nil || j.req.Prompt.AffinityKey() == "" {
		return false
	}
	shared := j.req.Prompt.SharedTokens()
	copyTime, configured := service.Engine.CopyTime(shared)
	if !configured {
		return false
	}
	curve := engines.DefaultCurve()
	if j.Engines != nil {
		if learnt, known := j.Engines.Curve(j.service, now); known {
			curve = learnt
		}
	}
	readTime := time.Duration(curve.PrefillTime(shared) * float64(time.Second))
	return place.CopyPays(shared, copyTime, readTime)
}

// startLookup asks the cache directory which engines hold the shared parts of the prompt, unless it
// was asked before or they aren't worth copying.
func (j *job) startLookup() {
	if j.copies != nil || !j.copyPays(time.Now()) {
		return
	}
	results := make(chan lookupResult, 1)
	j.copies = &promptCopy{key: prefixes.KeyOf(j.service, j.req.Prompt.AffinityKey()), lookup: results}
	ctx, key := j.ctx, j.copies.key
	go func() {
		holders, answered := j.Prefixes.Find(ctx, key)
		results <- lookupResult{holders: holders, answered: answered, at: time.Now()}
	}()
}

// awaitHolders waits for the answer of the cache directory. A request with stages has it already. If
// the directory doesn't answer, the affine engine is taken to hold the shared parts.
func (j *job) awaitHolders() {
	j.startLookup()
	if j.copies == nil || j.copies.lookup == nil {
		return
	}
	j.copies.lookupResult = <-j.copies.lookup
	j.copies.lookup = nil
	j.Metrics.count(series("vanillagate_prompt_lookups", "service", j.service))
	if j.copies.answered {
		return
	}
	j.Metrics.count(series("vanillagate_prompt_lookups_unanswered", "service", j.service))
	views, _ := j.candidates(time.Now())
	if affine, found := place.Affine(views, j.req.Prompt); found {
		j.copies.holders = []prefixes.Holder{{Engine: prefixes.Engine{ID: affine.ID, Born: affine.Born}}}
	}
}

// copySources returns the engines from which others can copy the shared parts of the prompt now. This
// process would send requests to each of them.
func (j *job) copySources(now time.Time) []pool.View {
	p := j.copies
	if p == nil || p.lookup != nil {
		return nil
	}
	var targets []*pool.Target
	for _, h := range p.holders {
		if target := j.Table.Find(j.service, h.ID); target != nil && target.Born == h.Born {
			targets = append(targets, target)
		}
	}
	p.sources = place.Usable(j.eligible(j.Table.ViewsOf(targets, now)), j.tried)
	return p.sources
}

// orderCopy returns the address from which a target copies the shared parts of the prompt; empty if
// it copies none. The sources are looked at again, since some may have left since the choice.
func (j *job) orderCopy(target *pool.Target, now time.Time) string {
	p := j.copies
	if p == nil {
		return ""
	}
	p.source = ""
	source := place.CopySource(j.copySources(now), target)
	if source == nil {
		return ""
	}
	p.source = source.ID
	return source.Address
}

// countCopy counts the copy that the latest attempt ordered, once the target runs the request.
func (j *job) countCopy(target *pool.Target) {
	if !j.copies.ordered() {
		return
	}
	by := "affinity"
	if j.copies.answered {
		by = "directory"
	}
	j.Metrics.count(series("vanillagate_prompt_copies", "source", by))
	j.Metrics.add(series("vanillagate_prompt_copied_tokens", "service", j.service), j.req.Prompt.SharedTokens())
	j.Log.Debug("Shared parts of a prompt are copied.", requestID(j.req.ID), zap.String("target", target.ID),
		zap.String("source", j.copies.source), zap.String("known_from", by), zap.Int("tokens", j.req.Prompt.SharedTokens()))
}

// reportPromptRead tells the cache directory that an engine holds the shared parts of the prompt,
// after its first event.
func (j *job) reportPromptRead(target *pool.Target) {
	if j.copies == nil {
		return
	}
	engine := prefixes.Engine{ID: target.ID, Born: target.Born}
	if !j.copies.known(engine, time.Now()) {
		j.Prefixes.Read(j.copies.key, engine)
	}
}

// prefillTokens returns how many tokens of the prompt an engine has to read.
func (c *choice) prefillTokens(views []pool.View, target *pool.Target) int {
	p := c.job.req.Prompt
	switch {
	case len(c.sources) == 0:
		return place.PrefillTokens(views, p, target.ID)
	case place.Holds(c.sources, target.ID), place.CopySource(c.sources, target) != nil:
		return p.UnsharedTokens()
	}
	return p.Input
}
