package cost

import (
	"sync"
	"time"
)

// Sample describes one call to a target.
type Sample struct {
	// Target is the address of the target.
	Target string
	// ReportedTime is the engine time that the target reported for the call;
	// Took is how long this process waited for it.
	ReportedTime, Took time.Duration
	// UncachedTokens is the number of prompt tokens that were not cached,
	// GeneratedTokens the number of generated tokens. Both are zero for targets
	// that don't generate text.
	UncachedTokens, GeneratedTokens int
}

// Estimator estimates the engine time of calls for which the target reported
// none because they were cancelled or failed. It uses averages of the
// successful calls. The zero value is ready for use.
//
// A target that runs its calls one at a time works for the whole duration of a
// call except for queueing and network time, and that overhead does not grow if
// the target is slow. An engine shares its steps among many calls, so the
// duration says little; there the estimate uses an average time per prompt
// token and per generated token.
type Estimator struct {
	mu     sync.Mutex // guards byPool; no other lock is taken while it is held
	byPool map[string]*poolSums
}

// poolSums holds exponentially decaying sums over the calls of a pool, so that
// the newest calls have the most weight.
type poolSums struct {
	calls    float64
	engine   float64 // ns
	overhead float64 // call duration minus engine time, in ns
	// Sums for the least-squares fit of the times per token: p stands for
	// prompt tokens, g for generated tokens and e for engine time in ns.
	p, pp, g, gg, pg, pe, ge float64

	byTarget map[string]lastCalls // only for targets that don't generate text
}

// lastCalls holds the reported or estimated engine times of the last two calls
// to a target. Zero means no call yet.
type lastCalls [2]time.Duration

// maxTargets limits the targets remembered per pool, about 64 KB. It is well
// above the size of the largest pools, because all targets are dropped when it
// is reached, which costs the estimates of two calls at each slow target.
const maxTargets = 1024

func (k *poolSums) recordTargetTime(target string, engine time.Duration) {
	if k.byTarget == nil {
		k.byTarget = map[string]lastCalls{}
	}
	last, known := k.byTarget[target]
	if !known && len(k.byTarget) == maxTargets {
		clear(k.byTarget)
	}
	k.byTarget[target] = lastCalls{last[1], engine}
}

// decay is the factor applied to the sums with each new call.
const decay = 0.98

// RecordCall adds a successful call.
func (r *Estimator) RecordCall(pool string, s Sample) {
	if s.ReportedTime <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil {
		r.byPool = map[string]*poolSums{}
	}
	sums := r.byPool[pool]
	if sums == nil {
		sums = &poolSums{}
		r.byPool[pool] = sums
	}
	sums.addCall(s)
	if s.GeneratedTokens == 0 {
		sums.recordTargetTime(s.Target, s.ReportedTime)
	}
}

func (k *poolSums) addCall(s Sample) {
	p, g, e := float64(s.UncachedTokens), float64(s.GeneratedTokens), float64(s.ReportedTime)
	add := func(sum *float64, x float64) { *sum = *sum*decay + x }
	add(&k.calls, 1)
	add(&k.engine, e)
	add(&k.overhead, float64(max(0, s.Took-s.ReportedTime)))
	add(&k.p, p)
	add(&k.pp, p*p)
	add(&k.g, g)
	add(&k.gg, g*g)
	add(&k.pg, p*g)
	add(&k.pe, p*e)
	add(&k.ge, g*e)
}

// Estimate returns the engine time of a call that ended without a report; zero
// if no call of the pool has succeeded yet. The number of uncached tokens is
// taken as the pool's average, because an engine reports it only at the end of
// a call.
func (r *Estimator) Estimate(pool string, s Sample) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := r.byPool[pool]
	switch {
	case sums == nil:
		return 0
	case sums.g == 0:
		return sums.estimateFromTime(s)
	}
	prompt, generated := sums.timesPerToken()
	ns := prompt*sums.p/sums.calls + generated*float64(s.GeneratedTokens)
	return min(time.Duration(ns), s.Took)
}

// estimateFromTime estimates a call from its duration. The estimate also counts
// as a call of its target: if a target is slow, hedges win nearly all of its
// calls, and the few engine times that it reports come too late to rely on.
func (k *poolSums) estimateFromTime(s Sample) time.Duration {
	worked := max(0, s.Took-time.Duration(k.overhead/k.calls))
	estimate := min(worked, maxTypicalFactor*k.typicalTime(s.Target))
	k.recordTargetTime(s.Target, estimate)
	return estimate
}

// typicalTime returns the typical engine time of a call to a target: the pool's
// average, or more if both of the target's last calls took longer. A single one
// may have waited for a busy machine. A call counts with its bounded estimate,
// not with its duration: a stalled target does no work, and two calls that wait
// long for it must not make the next one cost seconds.
func (k *poolSums) typicalTime(target string) time.Duration {
	last := k.byTarget[target]
	return max(time.Duration(k.engine/k.calls), min(last[0], last[1]))
}

// PromptTokenTime returns the engine time per uncached prompt token in a pool;
// zero if it is not known.
func (r *Estimator) PromptTokenTime(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := r.byPool[pool]
	if sums == nil || sums.g == 0 {
		return 0
	}
	prompt, _ := sums.timesPerToken()
	return time.Duration(prompt)
}

// maxTypicalFactor limits the estimate of a call that took very long. Most such
// calls waited for a busy machine, not for the target's work.
const maxTypicalFactor = 4

// timesPerToken returns the engine times per prompt token and per generated
// token in ns. If all calls were alike the two can't be separated, and all time
// is attributed to generated tokens.
func (k *poolSums) timesPerToken() (prompt, generated float64) {
	det := k.pp*k.gg - k.pg*k.pg
	if det > minVariation*k.pp*k.gg {
		prompt = (k.pe*k.gg - k.ge*k.pg) / det
		generated = (k.ge*k.pp - k.pe*k.pg) / det
		if prompt >= 0 && generated >= 0 {
			return prompt, generated
		}
	}
	return 0, k.ge / k.gg
}

// minVariation is the minimum variation among the calls for the fit: 0 if all
// are alike, 1 if they are entirely different.
const minVariation = 0.01
