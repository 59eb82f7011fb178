package cost

import (
	"sync"
	"time"
)

// Sample is one call at a target.
type Sample struct {
	// Target is the address of the target.
	Target string
	// ReportedTime is what the target said that the call cost; Took how long this
	// process waited for it.
	ReportedTime, Took time.Duration
	// UncachedTokens is how many prompt tokens had to be read, and GeneratedTokens how many
	// were generated. Both are zero for targets that generate nothing.
	UncachedTokens, GeneratedTokens int
}

// Estimator estimates what calls cost of which no target told anything: those that
// were cancelled or broke. It learns from the calls that ended well. The zero
// value is ready for use.
//
// A target that runs its calls one by one needs all of a call's time but what
// queueing and the network take, and that does not grow with a slow target. An
// engine shares its steps among many calls, so that time says little; there
// prompt tokens and generated tokens have a price each.
type Estimator struct {
	mu     sync.Mutex // guards byPool; a leaf
	byPool map[string]*rate
}

// rate holds sums that fade, so that the newest calls count most.
type rate struct {
	calls    float64
	engine   float64 // ns
	overhead float64 // time that was not engine time, in ns
	// Sums for the two prices by least squares: p is for prompt tokens, g for
	// generated ones, e for engine time in ns.
	p, pp, g, gg, pg, pe, ge float64

	byTarget map[string]lastCalls // where nothing is generated
}

// lastCalls is the engine time of the last two calls at a target, told or
// estimated. Zero stands for a call that has not been.
type lastCalls [2]time.Duration

// maxTargets bounds what is remembered of a pool, about 64 KB. It is well above
// the largest pools, since all is forgotten at once: that costs the estimates of
// two calls at each slow target.
const maxTargets = 1024

func (k *rate) saw(target string, engine time.Duration) {
	if k.byTarget == nil {
		k.byTarget = map[string]lastCalls{}
	}
	last, known := k.byTarget[target]
	if !known && len(k.byTarget) == maxTargets {
		clear(k.byTarget)
	}
	k.byTarget[target] = lastCalls{last[1], engine}
}

// fade is what each call leaves of the calls before it.
const fade = 0.98

// RecordCall takes in a call that ended well.
func (r *Estimator) RecordCall(pool string, s Sample) {
	if s.ReportedTime <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byPool == nil {
		r.byPool = map[string]*rate{}
	}
	known := r.byPool[pool]
	if known == nil {
		known = &rate{}
		r.byPool[pool] = known
	}
	known.learn(s)
	if s.GeneratedTokens == 0 {
		known.saw(s.Target, s.ReportedTime)
	}
}

func (k *rate) learn(s Sample) {
	p, g, e := float64(s.UncachedTokens), float64(s.GeneratedTokens), float64(s.ReportedTime)
	add := func(sum *float64, x float64) { *sum = *sum*fade + x }
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

// Estimate is what a call cost that ended without saying so; zero while no call
// of the pool has ended well. Uncached is taken to be as usual: an engine says
// it at the end only.
func (r *Estimator) Estimate(pool string, s Sample) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byPool[pool]
	switch {
	case known == nil:
		return 0
	case known.g == 0:
		return known.byTime(s)
	}
	prompt, generated := known.prices()
	us := prompt*known.p/known.calls + generated*float64(s.GeneratedTokens)
	return min(time.Duration(us), s.Took)
}

// byTime estimates a call by the time that passed. The estimate counts as a call
// of its target: where a target is slow, hedges win nearly all its calls, and the
// few that it tells come too late to go by.
func (k *rate) byTime(s Sample) time.Duration {
	worked := max(0, s.Took-time.Duration(k.overhead/k.calls))
	estimate := min(worked, mostTimesUsual*k.usualAt(s.Target))
	k.saw(s.Target, estimate)
	return estimate
}

// usualAt is what a call takes at a target: as at the pool, or longer where both
// of the target's last calls took longer. One of them alone may have waited for
// a busy machine. What counts of a call is its bounded estimate, not the time
// that passed: a target that stands still does no work, and two calls that wait
// long for it must not have the next one charged for seconds.
func (k *rate) usualAt(target string) time.Duration {
	last := k.byTarget[target]
	return max(time.Duration(k.engine/k.calls), min(last[0], last[1]))
}

// PromptTokenTime is what reading one prompt token that isn't cached takes at a
// pool; zero while that isn't known.
func (r *Estimator) PromptTokenTime(pool string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byPool[pool]
	if known == nil || known.g == 0 {
		return 0
	}
	prompt, _ := known.prices()
	return time.Duration(prompt)
}

// mostTimesUsual bounds the estimate of a call that took very long. Most of
// those waited for a busy machine, not for the target's work.
const mostTimesUsual = 4

// prices of a prompt token and of a generated one. Where the calls were all
// alike, the prices can't be told apart, and all goes by generated tokens.
func (k *rate) prices() (prompt, generated float64) {
	det := k.pp*k.gg - k.pg*k.pg
	if det > leastSpread*k.pp*k.gg {
		prompt = (k.pe*k.gg - k.ge*k.pg) / det
		generated = (k.ge*k.pp - k.pe*k.pg) / det
		if prompt >= 0 && generated >= 0 {
			return prompt, generated
		}
	}
	return 0, k.ge / k.gg
}

// leastSpread is how unlike the calls must be, 0 for all alike and 1 for
// entirely unlike.
const leastSpread = 0.01
