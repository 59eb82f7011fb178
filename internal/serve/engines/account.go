package engines

import "time"

// account holds until when engines read the prompts that were sent to them. Prompts are
// read one after the other. It reads no clock and isn't safe for concurrent use.
type account struct{ busy map[string]time.Time }

func newAccount() *account { return &account{busy: map[string]time.Time{}} }

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

// sweep forgets the engines that are idle.
func (a *account) sweep(now time.Time) {
	for engine, until := range a.busy {
		if !until.After(now) {
			delete(a.busy, engine)
		}
	}
}
