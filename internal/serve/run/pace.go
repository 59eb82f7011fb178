package run

import (
	"maps"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// engineAnswer is the target of the latest answer to a request, and what its load header states as its
// pace in percent.
type engineAnswer struct {
	target  *pool.Target
	percent int
}

// engineEstimate is what is known of the time to the first event at an engine: its curve, the pace,
// the wait there and the tokens that it has to read.
type engineEstimate struct {
	pace   float64
	wait   time.Duration
	tokens int
}

// firstEvent estimates the time to the first event.
func (e engineEstimate) firstEvent(curve engines.Curve) time.Duration {
	return e.wait + seconds(curve.Base+e.pace*curve.PrefillTime(e.tokens))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// waitUntilNextBest returns how long a prompt may wait at the chosen engine until the next best one
// would answer earlier. It addresses pools of uneven engines, in which the next engine may be several
// times slower than a busy one.
func waitUntilNextBest(chosen, next engineEstimate, curve engines.Curve) time.Duration {
	chosen.wait = 0
	return next.firstEvent(curve) - chosen.firstEvent(curve)
}

// paceOf returns the pace of a view, 1 if it is unknown.
func paceOf(views []pool.View, target *pool.Target) float64 {
	if v := viewOf(views, target); v != nil && v.Pace > 0 {
		return v.Pace
	}
	return 1
}

// tokensOf returns the number of tokens that an engine has to read before the prompt, as far as known.
func tokensOf(views []pool.View, target *pool.Target) int {
	if v := viewOf(views, target); v != nil {
		return v.Tokens
	}
	return 0
}

// setPaces sets the engines' paces at present.
func (c *choice) setPaces(views []pool.View) {
	if c.isEngine && c.job.Engines != nil {
		c.uneven = c.job.Engines.SetPaces(views, false, c.now)
	}
	if c.uneven {
		curve, _ := c.job.Engines.Curve(c.job.service, c.now)
		c.job.Engines.AddWaits(views, secondsPerToken(curve), c.now)
	}
}

// paceLimit returns the wait up to which the target is preferred to the next best engine because that is
// slower; 0 if the engines are even.
func (c *choice) paceLimit(views []pool.View, target *pool.Target, tokens int) time.Duration {
	if !c.uneven {
		return 0
	}
	j := c.job
	criteria := c.criteria()
	criteria.Avoid = maps.Clone(criteria.Avoid)
	criteria.Avoid[target.ID] = true
	next := place.ChooseEngine(views, criteria)
	if next == nil {
		return 0
	}
	curve, _ := j.Engines.Curve(j.service, c.now)
	nextBest := engineEstimate{pace: paceOf(views, next), tokens: c.prefillTokens(views, next)}
	if wait, asked := c.waits[next]; asked {
		nextBest.wait = wait
	} else {
		nextBest.wait = seconds(nextBest.pace * secondsPerToken(curve) * float64(tokensOf(views, next)))
	}
	// The tracker compares the limit with the wait plus what the pace at present adds to the usual one.
	chosen := engineEstimate{pace: j.Engines.UsualPace(target), tokens: tokens}
	return waitUntilNextBest(chosen, nextBest, curve)
}

// recordBusy updates the view of an engine whose tracker refused a claim, so that the next choice is
// another engine unless all others are worse.
func (c *choice) recordBusy(v *pool.View, answer engines.Answer) {
	if answer.Pace > 0 && c.uneven {
		v.Pace = answer.Pace
	}
	if c.waits == nil {
		c.waits = map[*pool.Target]time.Duration{}
	}
	c.waits[v.Target] = answer.Wait
	// The added tokens outweigh any affinity, so that the next choice is another engine.
	added := place.AffinityWeight*c.job.req.Prompt.SharedTokens() + c.job.tokensReadIn(answer.Wait)
	if v.Pace > 0 {
		added = int(float64(added) / v.Pace)
	}
	v.Tokens += added
}

// duePace returns the pace by which stages are due: that of the claimed engine, else the usual one of the
// engine that the prompt would get now. Contention at present has ended when the stages are done.
func (j *job) duePace() float64 {
	if j.claimState.pace > 0 {
		return j.claimState.pace
	}
	if j.stagePace == 0 {
		j.stagePace = j.bestIdlePace(time.Now())
	}
	return j.stagePace
}

func (j *job) bestIdlePace(now time.Time) float64 {
	if !j.Engines.Uneven() {
		return 1
	}
	c := j.newChoice(now)
	views, _ := j.candidates(now)
	if !c.isEngine || !j.Engines.SetPaces(views, true, now) {
		return 1
	}
	return paceOf(views, c.pick(views))
}

// observeFirstEvent reports the first event of an engine's answer to the engine's tracker.
func (j *job) observeFirstEvent(status int, took time.Duration) {
	service := j.Plans.Service(j.service)
	if j.Engines == nil || j.engineAnswer.target == nil || service == nil || service.Engine == nil {
		return
	}
	o := j.observation(status, took)
	if o.Percent > 0 || o.Seconds > 0 || j.Engines.ReportsAccepts(j.engineAnswer.target, time.Now()) {
		j.Engines.Observe(o)
	}
}

// observation returns what the first event tells of the engine. The time to it doesn't count if it
// includes more than reading the prompt or the answer isn't a stream.
func (j *job) observation(status int, took time.Duration) engines.Observation {
	target := j.engineAnswer.target
	o := engines.Observation{Service: j.service, Target: target.ID, Born: target.Born, Percent: j.engineAnswer.percent}
	if j.prefillTimeCounts() && j.route.Kind == plan.Stream && isSuccess(status) {
		o.Tokens, o.Seconds = j.claimState.prefillTokens, took.Round(100*time.Microsecond).Seconds() // short on the wire
	}
	return o
}

// ignoreFastPaces lets fast engines that weren't asked count as nominal before the last claim, whose wait is
// unlimited. When the asked ones are busy, so are probably the other fast ones: all processes prefer
// them. Where 4 of 90 engines were fast, long prompts queued there for seconds.
func (c *choice) ignoreFastPaces(views []pool.View) {
	if !c.uneven || c.job.claimState.attempts != maxClaims-1 {
		return
	}
	for i := range views {
		v := &views[i]
		if _, asked := c.waits[v.Target]; !asked && v.Pace < 1 {
			v.Pace = 1
		}
	}
}
