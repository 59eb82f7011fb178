package run

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
)

const (
	// maxClaims is how many engines a prompt is claimed at. The last one is asked without a
	// limit on the wait.
	maxClaims = 3
	// idleThreshold is the wait up to which an engine counts as idle.
	idleThreshold = 20 * time.Millisecond
	// minSecondsPerToken is a lower bound for the prefill time per token.
	minSecondsPerToken = 1e-6
	// rereadWaitFactor limits how long a prompt with time to spare waits for the engine
	// that has read its shared parts, as a multiple of the time it takes to read them
	// again.
	rereadWaitFactor = 8
)

// claimState records the claims of a request's prompt at engines; attempts is their number.
type claimState struct {
	attempts int
	// prefillTokens is how many tokens the chosen engine has to read, wait how long it
	// reads the prompts of other requests first. waitKnown means that its tracker reported
	// the wait.
	prefillTokens int
	wait          time.Duration
	waitKnown     bool
	// pace is the engine's pace; 0 if it is unknown.
	pace float64
}

// claimResult is the result of claiming an engine for a prompt.
type claimResult int

const (
	// claimAccepted: the prompt was added to the engine's tracked load.
	claimAccepted claimResult = iota
	// claimBusy: the engine is occupied with other prompts for longer than the wait limit.
	claimBusy
	// claimOverRate: the target takes no more requests for now.
	claimOverRate
	// claimUnanswered: the tracker didn't answer.
	claimUnanswered
)

// claim asks the target's tracker, which adds the prompt to an engine's tracked load. If the engine is busy,
// its view is updated with its current load, so that the next choice is another one.
func (c *choice) claim(views []pool.View, target *pool.Target, rate ratelimit.Rate) claimResult {
	j := c.job
	claim := engines.Claim{
		Service: j.service, Target: target.ID, Born: target.Born, Limit: engines.UnlimitedWait, Rate: rate,
		Rank: plan.EffectivePriority(j.route, j.team), LastResort: mostlyRejects(views, target),
	}
	earlier := j.claimState.attempts
	if c.isEngine {
		claim.Tokens = c.prefillTokens(views, target)
		j.claimState = claimState{attempts: earlier + 1, prefillTokens: claim.Tokens, pace: paceOf(views, target)}
		claim.Limit = max(j.waitLimit(claim.Tokens), c.paceLimit(views, target, claim.Tokens))
	}
	answer, answered := j.Engines.Claim(j.ctx, claim)
	switch {
	case !answered:
		return claimUnanswered
	case answer.OverRate:
		j.claimState.attempts = earlier
		if j.RateLimiter != nil && answer.Wait > 0 {
			j.RateLimiter.Defer(target.ID, c.now.Add(answer.Wait))
		}
		return claimOverRate
	case answer.Rejecting > 0:
		j.claimState.attempts = earlier
		markRejecting(views, target, answer.Rejecting)
		return claimBusy
	case answer.Taken:
		j.claimState.wait, j.claimState.waitKnown = answer.Wait, c.isEngine
		if answer.Pace > 0 {
			j.claimState.pace = answer.Pace
		}
		return claimAccepted
	}
	if v := viewOf(views, target); v != nil {
		c.recordBusy(v, answer)
	}
	c.ignoreFastPaces(views)
	return claimBusy
}

// waitLimit returns how long the prompt may wait at an engine before another one is
// preferred. If another engine would have to read the shared parts of the prompt again,
// because it can't copy them, a prompt with time to spare waits for up to a multiple of the time that takes.
func (j *job) waitLimit(prefillTokens int) time.Duration {
	if j.claimState.attempts >= maxClaims {
		return engines.UnlimitedWait
	}
	if prefillTokens == j.req.Prompt.Input || j.copies.possible() {
		return idleThreshold
	}
	now := time.Now()
	curve, _ := j.Engines.Curve(j.service, now)
	reread := rereadWaitFactor * float64(j.req.Prompt.SharedTokens()) * secondsPerToken(curve)
	slack := j.req.Arrived.Add(j.route.Objective).Sub(now) - j.expectedFirstEvent()
	return idleThreshold + max(min(slack/2, time.Duration(reread*float64(time.Second))), 0)
}

// tokensReadIn estimates how many tokens an engine reads in the given time.
func (j *job) tokensReadIn(d time.Duration) int {
	curve, _ := j.Engines.Curve(j.service, time.Now())
	return int(d.Seconds() / secondsPerToken(curve))
}

// secondsPerToken returns the prefill time per token for a prompt of typical length.
func secondsPerToken(c engines.Curve) float64 {
	const usualTokens = 5000
	return max(c.PrefillTime(usualTokens)/usualTokens, minSecondsPerToken)
}

// recordPrefill records how long the engine took to read the prompt and answer with the
// first event, as a sample for the estimates of all processes.
func (j *job) recordPrefill(took time.Duration) {
	if j.Engines != nil && j.prefillTimeCounts() {
		j.Engines.RecordSample(j.service, engines.Sample{
			Tokens: j.claimState.prefillTokens, Seconds: took.Seconds(), Percent: j.engineAnswer.percent,
		})
	}
}

// prefillTimeCounts reports whether the time to the first event tells how long the engine
// reads the prompt. It doesn't if the request waited, was sent more than once, or copied parts: how many
// tokens were read then depends on what the source still had.
func (j *job) prefillTimeCounts() bool {
	return j.claimState.waitKnown && j.claimState.wait < idleThreshold && j.sends == 1 && !j.copies.ordered()
}

// expectedFirstEvent estimates how long an engine takes to the first event of the answer.
func (j *job) expectedFirstEvent() time.Duration {
	if j.Engines != nil {
		if curve, known := j.Engines.Curve(j.service, time.Now()); known {
			return clampFirstEvent(curve.Base + j.duePace()*curve.PrefillTime(j.req.Prompt.UnsharedTokens()))
		}
	}
	return j.firstEventModel.expect(j.service, j.req.Prompt)
}
