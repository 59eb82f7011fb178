package engines

import (
	"maps"
	"time"
)

// Observation is what a process observed of an engine with the first event of an answer.
type Observation struct {
	Service string
	// Target is the engine's ID, Born its incarnation.
	Target string
	Born   int64
	// Tokens is how many tokens the engine read, Seconds the time to the first event. Seconds is 0
	// if the time doesn't count, because the engine had other prompts to read first.
	Tokens  int
	Seconds float64
	// Percent is the time that the engine's work takes relative to a nominal engine, as the answer
	// states it; 0 if it states none.
	Percent int
	// Rejected means that the engine didn't run the request.
	Rejected bool
}

// maxStateAge is how long the state of an engine is kept that no process observes. It is bounded so
// that an engine that gets no requests because it was slow is tried again.
const maxStateAge = 5 * time.Minute

// paceLogInterval is the least time between two log lines on an engine's usual pace, which may vary about
// the limit of evenBand with each answer.
const paceLogInterval = 10 * time.Second

// engineStates holds what a tracker knows of its engines, by target ID. It reads no clock and isn't
// safe for concurrent use.
type engineStates map[string]*engineState

// engineState is the state of one incarnation of an engine.
type engineState struct {
	service    string
	born       int64
	observedAt time.Time
	pace       paceEstimate
	// logged is the usual pace that was logged last, loggedAt when that was.
	logged        float64
	loggedAt      time.Time
	rejections    rejectionShare
	mostlyRejects bool
	// triedAt is when a claim was last granted although the engine rejects most requests.
	triedAt time.Time
}

// observe adds an observation. expected is the time to the first event of a nominal engine in
// seconds; 0 if it is unknown. It returns the engine's state, or nil if the observation is one of an
// earlier incarnation.
func (s engineStates) observe(o Observation, expected float64, now time.Time) *engineState {
	state := s[o.Target]
	if state != nil && o.Born < state.born {
		return nil
	}
	if state == nil || o.Born > state.born {
		state = &engineState{service: o.Service, born: o.Born, logged: 1}
		s[o.Target] = state
	}
	state.observedAt = now
	if pace, stated := StatedPace(o.Percent); stated {
		state.pace.addStated(pace, now)
	} else if expected > 0 {
		state.pace.times.add(o.Seconds, expected, timedWindow)
	}
	return state
}

// paces returns the usual pace of an engine and the one at present; 1 and false if they are unknown.
// born is 0 if the incarnation is unknown.
func (s engineStates) paces(target string, born int64, now time.Time) (usual, present float64, known bool) {
	state := s[target]
	if state == nil || born != 0 && born != state.born {
		return 1, 1, false
	}
	usual, present = state.pace.now(now)
	return usual, present, true
}

// uneven returns the engines whose usual pace isn't 1, in no particular order.
func (s engineStates) uneven() []paceEntry {
	var list []paceEntry
	for target, state := range s {
		if pace := state.pace.usual(); pace != 1 {
			list = append(list, paceEntry{Target: target, Born: state.born, Pace: roundPace(pace)})
		}
	}
	return list
}

// sweep removes the engines that no process observes any more.
func (s engineStates) sweep(now time.Time) {
	maps.DeleteFunc(s, func(_ string, state *engineState) bool { return now.Sub(state.observedAt) > maxStateAge })
}

// paceChanged reports whether two usual paces differ by more than a tenth, or only one of them is
// that of a nominal engine.
func paceChanged(a, b float64) bool {
	const tenth = 1.1
	return (a == 1) != (b == 1) || max(a, b) > tenth*min(a, b)
}
