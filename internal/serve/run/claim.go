package run

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// maxClaims is at how many engines a prompt is claimed before it is sent to the
	// last one whatever the wait.
	maxClaims = 3
	// idleWait is up to which wait an engine counts as idle.
	idleWait = 20 * time.Millisecond
	// leastPerToken bounds what a token takes to read, in seconds.
	leastPerToken = 1e-6
	// againPatience is for how many times as long as it takes to read its shared parts
	// again a prompt with time to spare waits for the engine that has read them.
	againPatience = 8
	// anyWait is longer than every prompt takes.
	anyWait = time.Hour
)

// claims is how a job's prompt was claimed at engines.
type claims struct {
	made int
	// toRead is what the chosen engine has to read, wait how long it reads others'
	// prompts before; known tells whether its tracker said so.
	toRead int
	wait   time.Duration
	known  bool
}

// verdict is what an engine's tracker makes of a prompt.
type verdict int

const (
	// accepted: the prompt is in the engine's account.
	accepted verdict = iota
	// busy: the engine reads others for longer than it is worth.
	busy
	// overCold: the engine is cold and gets no more for now.
	overCold
	// unasked: the tracker didn't answer.
	unasked
)

// claim enters the prompt in an engine's account. A busy engine's view counts what it
// reads, for another choice.
func (j *job) claim(views []pool.View, target *pool.Target, coldPerSecond float64) verdict {
	toRead := place.PrefillTokens(views, j.req.Prompt, target.ID)
	j.claims = claims{made: j.claims.made + 1, toRead: toRead}
	answer, answered := j.Engines.Claim(j.ctx, engines.Claim{
		Service: j.service, Engine: target.ID, Tokens: toRead, Limit: j.waitLimit(toRead),
		ColdPerSecond: coldPerSecond,
	})
	switch {
	case !answered:
		return unasked
	case answer.Cold:
		return overCold
	case answer.Taken:
		j.claims.wait, j.claims.known = answer.Wait, true
		return accepted
	}
	// More than any affinity outweighs, so that the next choice is another one.
	for i := range views {
		if views[i].Target == target {
			views[i].Tokens += place.AffinityWeight*j.req.Prompt.SharedTokens() + j.tokensIn(answer.Wait)
		}
	}
	return busy
}

// waitLimit is how long the prompt may wait at an engine before another one is better.
// Where it would have to read the shared parts again there, a prompt with time to spare
// waits for some times as long as that takes.
func (j *job) waitLimit(toRead int) time.Duration {
	if j.claims.made >= maxClaims {
		return anyWait
	}
	if toRead == j.req.Prompt.Input {
		return idleWait
	}
	now := time.Now()
	curve, _ := j.Engines.Curve(j.service, now)
	again := againPatience * float64(j.req.Prompt.SharedTokens()) * perToken(curve)
	slack := j.req.Arrived.Add(j.route.Objective).Sub(now) - j.firstEvent()
	return idleWait + max(min(slack/2, time.Duration(again*float64(time.Second))), 0)
}

// tokensIn is about how many tokens an engine reads in some time.
func (j *job) tokensIn(d time.Duration) int {
	curve, _ := j.Engines.Curve(j.service, time.Now())
	return int(d.Seconds() / perToken(curve))
}

// perToken is what a token of a prompt of usual length takes to read, in seconds.
func perToken(c engines.Curve) float64 {
	const usualTokens = 5000
	return max(c.PrefillTime(usualTokens)/usualTokens, leastPerToken)
}

// learn keeps how long the engine took, for all processes to learn from.
func (j *job) learn(took time.Duration) {
	if j.Engines != nil && j.claims.known && j.claims.wait < idleWait && j.arrivals == 1 {
		j.Engines.RecordSample(j.service, engines.Sample{Tokens: j.claims.toRead, Seconds: took.Seconds()})
	}
}

// firstEvent is how long an engine is reckoned to take to the first event.
func (j *job) firstEvent() time.Duration {
	if j.Engines != nil {
		if curve, known := j.Engines.Curve(j.service, time.Now()); known {
			return boundedFirstEvent(curve.FirstEvent(j.req.Prompt.UnsharedTokens()))
		}
	}
	return j.firstEvents.expect(j.service, j.req.Prompt)
}
