package engines

import "time"

// prefillSchedule holds, for each engine, until when it reads the prompts that were sent to it. An
// engine reads one prompt after the other. The schedule reads no clock and isn't safe for
// concurrent use.
type prefillSchedule struct {
	busyUntil map[string]time.Time
}

func newPrefillSchedule() *prefillSchedule {
	return &prefillSchedule{busyUntil: map[string]time.Time{}}
}

// wait returns how long a new prompt would wait at an engine.
func (s *prefillSchedule) wait(engine string, now time.Time) time.Duration {
	return max(s.busyUntil[engine].Sub(now), 0)
}

// reserve adds a prompt to an engine's schedule and returns its wait. If the wait would exceed
// limit, the prompt is not added and taken is false.
func (s *prefillSchedule) reserve(engine string, prefill, limit time.Duration, now time.Time) (wait time.Duration, taken bool) {
	wait = s.wait(engine, now)
	if wait > limit {
		return wait, false
	}
	s.busyUntil[engine] = now.Add(wait + prefill)
	return wait, true
}

// sweep removes idle engines.
func (s *prefillSchedule) sweep(now time.Time) {
	for engine, until := range s.busyUntil {
		if !until.After(now) {
			delete(s.busyUntil, engine)
		}
	}
}
