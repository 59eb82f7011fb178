package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
)

// choose picks the target of the next attempt; nil if there is none. An engine is claimed
// through its tracker. A target with a limited rate gets the request only within it.
func (j *job) choose() *pool.Target {
	j.awaitHolders()
	if target := j.takeReserved(); target != nil {
		return target
	}
	c := j.newChoice(time.Now())
	c.sources = j.copySources(c.now)
	j.claimState = claimState{}
	views, all := j.candidates(c.now)
	if !all && c.onlyRejecting(views) {
		views, all = j.eligible(j.Table.Views(j.service, c.now)), true
	}
	if target := c.pickFrom(views); target != nil || all {
		return target
	}
	return c.pickFrom(j.eligible(j.Table.Views(j.service, c.now)))
}

// candidates returns the targets of the service to consider first. Requests that share a
// prompt get the same candidates, among them the engine that has read the prompt. all
// reports that the service has no other targets.
func (j *job) candidates(now time.Time) (views []pool.View, all bool) {
	name := j.req.Prompt.AffinityKey()
	if name == "" {
		name = j.req.ID
	}
	views, all = j.Table.Candidates(j.service, name, now)
	return j.eligible(views), all
}

// choice holds the parameters for choosing the target of one attempt.
type choice struct {
	job *job
	now time.Time
	// isEngine means that the service's targets are model engines, whose load is tracked across
	// all processes unless Engines is nil.
	isEngine bool
	// rule limits the request rate of the service's cold targets; the zero value sets no
	// limit.
	rule ratelimit.Rule
	// sources are the engines from which the shared parts of the prompt can be copied.
	sources []pool.View
	// uneven means that engines differ in their paces, waits what the trackers answered that were asked
	// in vain.
	uneven bool
	waits  map[*pool.Target]time.Duration
}

func (j *job) newChoice(now time.Time) *choice {
	c := &choice{job: j, now: now}
	service := j.Plans.Service(j.service)
	if service == nil {
		return c
	}
	c.isEngine = service.Engine != nil
	if j.RateLimiter != nil {
		c.rule = ratelimit.Rule{PerSecond: service.ColdPerSecond, Time: service.ColdTime}
	}
	return c
}

// maxOverRateClaims is how many targets with a stated rate are asked in vain before only the others are
// considered.
const maxOverRateClaims = 8

// pickFrom picks one of the given targets; nil if none of them accepts the request.
func (c *choice) pickFrom(views []pool.View) *pool.Target {
	views = slices.DeleteFunc(views, func(v pool.View) bool { return v.ShareInUse })
	views = c.excludeLimited(views)
	c.setPaces(views)
	c.setRejections(views)
	for refused := 0; ; {
		target := c.pick(views)
		if target == nil {
			return nil
		}
		switch c.allow(views, target) {
		case claimAccepted:
			return target
		case claimOverRate:
			if target.RateLimit() > 0 {
				refused++
			}
			views = slices.DeleteFunc(views, func(v pool.View) bool {
				return v.Target == target || refused >= maxOverRateClaims && v.RateLimit > 0
			})
		}
	}
}

// rate returns the request rate that a target takes from all processes.
func (c *choice) rate(v pool.View) ratelimit.Rate {
	if c.job.RateLimiter == nil {
		return ratelimit.Rate{}
	}
	return c.rule.RateOf(v, c.now)
}

// tracked reports whether a target's tracker is asked before a request is sent to it.
func (c *choice) tracked(rate ratelimit.Rate) bool {
	return c.job.Engines != nil && (c.isEngine || rate.Stated > 0)
}

// excludeLimited removes the targets with a limited rate to which this process may not send now. A target
// that has a tracker is left out until the tracker may permit a request.
func (c *choice) excludeLimited(views []pool.View) []pool.View {
	kept := views[:0]
	for _, v := range views {
		rate := c.rate(v)
		v.Cold = rate.Cold > 0
		switch {
		case !rate.Limited():
			kept = append(kept, v)
		case c.tracked(rate):
			if c.job.RateLimiter.DeferredFor(v.ID, c.now) == 0 {
				kept = append(kept, v)
			}
		case c.job.RateLimiter.Allowed(v.ID, rate.Total(), c.now):
			kept = append(kept, v)
		}
	}
	return kept
}

// viewOf returns the view of a target; nil if there is none.
func viewOf(views []pool.View, target *pool.Target) *pool.View {
	for i := range views {
		if views[i].Target == target {
			return &views[i]
		}
	}
	return nil
}

// allow asks whether the request may be sent to the chosen target.
func (c *choice) allow(views []pool.View, target *pool.Target) claimResult {
	var rate ratelimit.Rate
	if v := viewOf(views, target); v != nil {
		rate = c.rate(*v)
	}
	permitted := rate.Total()
	if c.tracked(rate) {
		answer := c.claim(views, target, rate)
		if answer != claimUnanswered {
			return answer
		}
		permitted = rate.Untracked()
	}
	if !rate.Limited() || c.job.RateLimiter.Take(target.ID, permitted, c.now) {
		return claimAccepted
	}
	return claimOverRate
}

func (c *choice) pick(views []pool.View) *pool.Target {
	if c.isEngine {
		return place.ChooseEngine(views, c.criteria())
	}
	return place.ChooseTarget(views, c.criteria(), rand.Float64())
}

func (c *choice) criteria() place.Criteria {
	j := c.job
	criteria := place.Criteria{
		Prompt: j.req.Prompt, Zone: j.Zone, Avoid: j.tried, NoAffinity: j.LeaveOut.Has(leaveout.Affinity), Sources: c.sources,
	}
	if j.inputs != nil {
		criteria.Bytes = j.inputs.bytes
	}
	return criteria
}
