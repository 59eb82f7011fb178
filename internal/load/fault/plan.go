// Package fault converts the faults of an experiment into timed events and injects
// them: through requests to the control listener of the stand-ins and signals to
// the processes of entry VMs.
package fault

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"syscall"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/load/experiment"
	"github.com/vanillagate/vanillagate/internal/load/shape"
)

// Event is a fault that begins or ends. Either Request or Signal is set.
type Event struct {
	// At is the time since the start of the load.
	At time.Duration
	// Request is sent to the control listener.
	Request *control.FaultRequest
	// Signal is sent to the process of the entry VM with index Entry.
	Signal syscall.Signal
	Entry  int
}

// String describes the event for logs.
func (e Event) String() string {
	if e.Request != nil {
		return fmt.Sprintf("at %s: %s %s", e.At, e.Request.Scope, compactJSON(e.Request.Fault))
	}
	return fmt.Sprintf("at %s: entry VM %d gets signal %q", e.At, e.Entry, e.Signal)
}

// compactJSON removes the whitespace of the experiment file.
func compactJSON(raw json.RawMessage) string {
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return string(raw)
	}
	return out.String()
}

// noFault is the fault value that clears a scope's fault.
var noFault = json.RawMessage(`{}`)

// Plan returns the events of a scenario, sorted by time.
func Plan(s *experiment.Scenario, fleet shape.Fleet, length time.Duration) []Event {
	var events []Event
	if s.CrashingRequests != nil {
		events = append(events, crashEvents(s, length)...)
	}
	for _, f := range s.Faults {
		events = append(events, repeatedEvents(f, fleet, length)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// repeatedEvents returns the events of all repetitions of a fault.
func repeatedEvents(f experiment.Fault, fleet shape.Fleet, length time.Duration) []Event {
	at := scaleDuration(length, f.At)
	duration := scaleDuration(length, f.Until) - at
	var events []Event
	for repetition := 0; at < length; repetition++ {
		events = append(events, singleEvents(f, fleet, at, at+duration, repetition)...)
		if f.EveryMS <= 0 {
			break
		}
		at += time.Duration(f.EveryMS) * time.Millisecond
	}
	return events
}

func singleEvents(f experiment.Fault, fleet shape.Fleet, at, until time.Duration, repetition int) []Event {
	ends := f.Until > 0
	switch {
	case f.Platform != nil:
		return faultRequests([]string{f.Platform.Scope}, f.Platform.Fault, at, until, ends)
	case f.Targets != nil:
		return faultRequests(scopes(f.Targets, fleet), f.Targets.Fault, at, until, ends)
	default:
		return signalEvents(f.Entry, len(fleet.Entries), at, until, repetition)
	}
}

func faultRequests(scopes []string, fault json.RawMessage, at, until time.Duration, ends bool) []Event {
	var events []Event
	for _, scope := range scopes {
		events = append(events, Event{At: at, Request: &control.FaultRequest{Scope: scope, Fault: fault}})
		if ends {
			events = append(events, Event{At: until, Request: &control.FaultRequest{Scope: scope, Fault: noFault}})
		}
	}
	return events
}

// scopes returns the scopes of the targets that a fault affects.
func scopes(f *experiment.TargetFault, fleet shape.Fleet) []string {
	var names []string
	for _, p := range fleet.Pools {
		if f.Pool != "" && p.Pool != f.Pool {
			continue
		}
		count := 0
		for index := range p.Count {
			if f.Zone != "" && p.Zone(index) != f.Zone {
				continue
			}
			if f.Count > 0 && count == f.Count {
				break
			}
			count++
			names = append(names, "target:"+p.Address(index))
		}
	}
	return names
}

func signalEvents(f *experiment.EntryFault, entries int, at, until time.Duration, repetition int) []Event {
	entry := (f.FirstEntry + repetition) % entries
	switch f.Action {
	case experiment.EntryKill:
		return []Event{{At: at, Signal: syscall.SIGKILL, Entry: entry}}
	case experiment.EntryStop:
		return []Event{{At: at, Signal: syscall.SIGTERM, Entry: entry}}
	case experiment.EntryPause:
		return []Event{{At: at, Signal: syscall.SIGSTOP, Entry: entry}, {At: until, Signal: syscall.SIGCONT, Entry: entry}}
	}
	return nil
}

// crashEvents configures the engine pools, from the start, to crash on requests
// that contain the scenario's marker.
func crashEvents(s *experiment.Scenario, _ time.Duration) []Event {
	fault, err := json.Marshal(crashFault{Marker: s.CrashingRequests.Marker, RestartMS: crashRestartMS})
	if err != nil {
		panic(err) // a struct of a string and a number always encodes
	}
	var events []Event
	for _, p := range s.Shape.Pools {
		if p.Engine != nil {
			events = append(events, Event{Request: &control.FaultRequest{Scope: "pool:" + p.Name, Fault: fault}})
		}
	}
	return events
}

// crashRestartMS is the time until a crashed target has restarted.
const crashRestartMS = 1500

type crashFault struct {
	Marker    string `json:"crash_marker"`
	RestartMS int    `json:"restart_ms"`
}

func scaleDuration(length time.Duration, share float64) time.Duration {
	return time.Duration(math.Round(float64(length) * share))
}
