package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/warmup"
)

// choose picks the target of the next attempt; nil if there is none. An engine is claimed
// through its tracker. A cold target gets the request only within its rate limit.
func (j *job) choose() *pool.Target {
	c := j.newChoice(time.Now())
	j.claimState = claimState{}
	views, all := j.candidates(c.now)
	if target := c.pickFrom(views); target != nil || all {
		return target
	}
	return c.pickFrom(j.reachable(j.Table.Views(j.service, c.now)))
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
	return j.reachable(views), all
}

// choice holds the parameters for choosing the target of one attempt.
type choice struct {
	job *job
	now time.Time
	// isEngine means that the service's targets are model engines, tracked that their load
	// is tracked across all processes.
	isEngine, tracked bool
	// rule limits the request rate of the service's cold targets; the zero value sets no
	// limit.
	rule warmup.Rule
}

func (j *job) newChoice(now time.Time) *choice {
	c := &choice{job: j, now: now}
	service := j.Plans.Service(j.service)
	if service == nil {
		return c
	}
	c.isEngine = service.Engine != nil
	c.tracked = c.isEngine && j.Engines != nil
	if j.Warmup != nil {
		c.rule = warmup.Rule{PerSecond: service.ColdPerSecond, Time: service.ColdTime}
	}
	return c
}

// pickFrom picks one of the given targets; nil if none of them accepts the request.
func (c *choice) pickFrom(views []pool.View) *pool.Target {
	views = slices.DeleteFunc(views, func(v pool.View) bool { return v.ShareInUse })
	views = c.excludeCold(views)
	for {
		target := c.pick(views)
		if target == nil {
			return nil
		}
		switch c.allow(views, target) {
		case claimAccepted:
			return target
		case claimCold:
			views = slices.DeleteFunc(views, func(v pool.View) bool { return v.Target == target })
		}
	}
}

// excludeCold removes the cold targets to which this process may not send now. Those of
// tracked engines stay, since their trackers decide.
func (c *choice) excludeCold(views []pool.View) []pool.View {
	if c.rule.PerSecond <= 0 {
		return views
	}
	kept := views[:0]
	for _, v := range views {
		v.Cold = c.rule.IsCold(v, c.now)
		if !v.Cold || c.tracked || c.job.Warmup.Allowed(v.ID, c.rule, c.now) {
			kept = append(kept, v)
		}
	}
	return kept
}

// allow asks whether the request may be sent to the chosen target.
func (c *choice) allow(views []pool.View, target *pool.Target) claimResult {
	cold := slices.ContainsFunc(views, func(v pool.View) bool { return v.Target == target && v.Cold })
	rule := c.rule
	if !cold {
		rule.PerSecond = 0
	}
	if c.tracked {
		answer := c.job.claim(views, target, rule.PerSecond)
		if answer != claimUnanswered {
			return answer
		}
		rule.PerSecond *= 1 - engines.TrackerRateShare
	}
	if !cold || c.job.Warmup.Take(target.ID, rule, c.now) {
		return claimAccepted
	}
	return claimCold
}

func (c *choice) pick(views []pool.View) *pool.Target {
	j := c.job
	preferences := place.Criteria{Prompt: j.req.Prompt, Zone: j.Zone, Avoid: j.tried, NoAffinity: j.LeaveOut.Has(leaveout.Affinity)}
	if j.inputs != nil {
		preferences.Bytes = j.inputs.bytes
	}
	if c.isEngine {
		return place.ChooseEngine(views, preferences)
	}
	return place.ChooseTarget(views, preferences, rand.Float64())
}
