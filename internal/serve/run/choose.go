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

// choose picks the target of the next attempt; nil where there is none. Engines are
// asked for by way of their trackers. A cold target gets the request only within what
// it bears.
func (j *job) choose() *pool.Target {
	c := j.newChoice(time.Now())
	j.claims = claims{}
	views, all := j.candidates(c.now)
	if target := c.among(views); target != nil || all {
		return target
	}
	return c.among(j.Table.Views(j.service, c.now))
}

// candidates lists the targets of the service that are looked at first. Requests that share
// a prompt look at the same ones, which the engine that has read it is among. all tells that
// there are no others.
func (j *job) candidates(now time.Time) (views []pool.View, all bool) {
	name := j.req.Prompt.Affinity()
	if name == "" {
		name = j.req.ID
	}
	return j.Table.Candidates(j.service, name, now)
}

// choice is the choice of one attempt's target.
type choice struct {
	job *job
	now time.Time
	// engine tells that the service's targets are model engines, tracked that trackers keep
	// account of them.
	engine, tracked bool
	// rule is what the service's cold targets bear; the zero value where nothing bounds it.
	rule warmup.Rule
}

func (j *job) newChoice(now time.Time) *choice {
	c := &choice{job: j, now: now}
	service := j.Plans.Service(j.service)
	if service == nil {
		return c
	}
	c.engine = service.Engine != nil
	c.tracked = c.engine && j.Engines != nil
	if j.Warmup != nil {
		c.rule = warmup.Rule{PerSecond: service.ColdPerSecond, Time: service.ColdTime}
	}
	return c
}

// among picks a target among some; nil where none of them takes the request.
func (c *choice) among(views []pool.View) *pool.Target {
	views = c.open(views)
	for {
		target := c.pick(views)
		if target == nil {
			return nil
		}
		switch c.allow(views, target) {
		case accepted:
			return target
		case overCold:
			views = slices.DeleteFunc(views, func(v pool.View) bool { return v.Target == target })
		}
	}
}

// open leaves out the cold targets at which this process has no turn, unless their tracker
// decides.
func (c *choice) open(views []pool.View) []pool.View {
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

// allow asks whether a chosen target gets the request.
func (c *choice) allow(views []pool.View, target *pool.Target) verdict {
	cold := slices.ContainsFunc(views, func(v pool.View) bool { return v.Target == target && v.Cold })
	rule := c.rule
	if !cold {
		rule.PerSecond = 0
	}
	if c.tracked {
		answer := c.job.claim(views, target, rule.PerSecond)
		if answer != unasked {
			return answer
		}
		rule.PerSecond *= 1 - engines.TrackerRateShare
	}
	if !cold || c.job.Warmup.Take(target.ID, rule, c.now) {
		return accepted
	}
	return overCold
}

func (c *choice) pick(views []pool.View) *pool.Target {
	j := c.job
	wish := place.Criteria{Prompt: j.req.Prompt, Zone: j.Zone, Avoid: j.tried, NoAffinity: j.LeaveOut.Has(leaveout.Affinity)}
	if j.inputs != nil {
		wish.Bytes = j.inputs.bytes
	}
	if c.engine {
		return place.ChooseEngine(views, wish)
	}
	return place.ChooseTarget(views, wish, rand.Float64())
}
