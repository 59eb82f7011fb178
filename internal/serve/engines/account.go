package engines

import "time"

// account holds until when engines read the prompts that were sent to them. Prompts are
// read one after the other. It reads no clock and isn't safe for concurrent use.
type account struct {
	busy map[string]time.Time
	// cold are the engines that got requests while they were cold.
	cold map[string]*bucket
}

func newAccount() *account { return &account{busy: map[string]time.Time{}, cold: map[string]*bucket{}} }

// coldBurst is how many requests at once a cold engine gets after a pause.
const coldBurst = 2

// bucket is a token bucket of requests.
type bucket struct {
	tokens float64
	at     time.Time
}

// spare tells whether a cold engine that bears some requests a second gets another one.
func (a *account) spare(engine string, perSecond float64, now time.Time) bool {
	b := a.cold[engine]
	if b == nil {
		b = &bucket{tokens: coldBurst, at: now}
		a.cold[engine] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), coldBurst)
	b.at = now
	return b.tokens >= 1
}

// spend takes a request of a cold engine's.
func (a *account) spend(engine string) {
	if b := a.cold[engine]; b != nil {
		b.tokens--
	}
}

// wait is how long a new prompt would wait at an engine.
func (a *account) wait(engine string, now time.Time) time.Duration {
	return max(a.busy[engine].Sub(now), 0)
}

// take adds a prompt unless it would wait for longer than a limit, and gives the wait.
func (a *account) take(engine string, reading, limit time.Duration, now time.Time) (wait time.Duration, taken bool) {
	wait = a.wait(engine, now)
	if wait > limit {
		return wait, false
	}
	a.busy[engine] = now.Add(wait + reading)
	return wait, true
}

// coldMemory is for how long an unused bucket is kept: it is full again by then.
const coldMemory = 10 * time.Second

// sweep forgets the engines that are idle.
func (a *account) sweep(now time.Time) {
	for engine, until := range a.busy {
		if !until.After(now) {
			delete(a.busy, engine)
		}
	}
	for engine, b := range a.cold {
		if now.Sub(b.at) > coldMemory {
			delete(a.cold, engine)
		}
	}
}
