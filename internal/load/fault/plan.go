// Package fault turns an experiment's faults into events at given times and
// makes them happen: orders to the stand-ins' control listener, and signals to
// entry VMs.
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

// Event is one thing that happens. Either Order or Signal is set.
type Event struct {
	// At is since the start of the load.
	At time.Duration
	// Order goes to the control listener.
	Order *control.FaultOrder
	// Signal goes to the entry VM at place Entry.
	Signal syscall.Signal
	Entry  int
}

// String tells what happens, in words for a log.
func (e Event) String() string {
	if e.Order != nil {
		return fmt.Sprintf("at %s: %s %s", e.At, e.Order.Scope, oneLine(e.Order.Fault))
	}
	return fmt.Sprintf("at %s: entry VM %d gets signal %q", e.At, e.Entry, e.Signal)
}

// oneLine takes the line breaks of the experiment file out.
func oneLine(raw json.RawMessage) string {
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return string(raw)
	}
	return out.String()
}

// healthy clears a scope's fault.
var healthy = json.RawMessage(`{}`)

// Plan lists the events of a scenario in order of time.
func Plan(s *experiment.Scenario, fleet shape.Fleet, length time.Duration) []Event {
	var events []Event
	if s.CrashingRequests != nil {
		events = append(events, crashing(s, length)...)
	}
	for _, f := range s.Faults {
		events = append(events, repeated(f, fleet, length)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return events
}

// repeated lists the events of one fault, as often as it comes.
func repeated(f experiment.Fault, fleet shape.Fleet, length time.Duration) []Event {
	at := part(length, f.At)
	lasts := part(length, f.Until) - at
	var events []Event
	for turn := 0; at < length; turn++ {
		events = append(events, once(f, fleet, at, at+lasts, turn)...)
		if f.EveryMS <= 0 {
			break
		}
		at += time.Duration(f.EveryMS) * time.Millisecond
	}
	return events
}

func once(f experiment.Fault, fleet shape.Fleet, at, until time.Duration, turn int) []Event {
	mended := f.Until > 0
	switch {
	case f.Platform != nil:
		return orders([]string{f.Platform.Scope}, f.Platform.Fault, at, until, mended)
	case f.Targets != nil:
		return orders(scopes(f.Targets, fleet), f.Targets.Fault, at, until, mended)
	default:
		return signals(f.Entry, len(fleet.Entries), at, until, turn)
	}
}

func orders(scopes []string, fault json.RawMessage, at, until time.Duration, mended bool) []Event {
	var events []Event
	for _, scope := range scopes {
		events = append(events, Event{At: at, Order: &control.FaultOrder{Scope: scope, Fault: fault}})
		if mended {
			events = append(events, Event{At: until, Order: &control.FaultOrder{Scope: scope, Fault: healthy}})
		}
	}
	return events
}

// scopes names the targets that a fault concerns.
func scopes(f *experiment.TargetFault, fleet shape.Fleet) []string {
	var all []string
	for _, p := range fleet.Pools {
		if f.Pool != "" && p.Pool != f.Pool {
			continue
		}
		count := 0
		for place := range p.Count {
			if f.Zone != "" && p.Zone(place) != f.Zone {
				continue
			}
			if f.Count > 0 && count == f.Count {
				break
			}
			count++
			all = append(all, "target:"+p.Address(place))
		}
	}
	return all
}

func signals(f *experiment.EntryFault, entries int, at, until time.Duration, turn int) []Event {
	entry := (f.FirstEntry + turn) % entries
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

// crashing makes the targets crash on the marker from the start.
func crashing(s *experiment.Scenario, _ time.Duration) []Event {
	fault, err := json.Marshal(crashFault{Marker: s.CrashingRequests.Marker, RestartMS: crashRestartMS})
	if err != nil {
		panic(err) // a struct of a string and a number always encodes
	}
	var events []Event
	for _, p := range s.Shape.Pools {
		if p.Engine != nil {
			events = append(events, Event{Order: &control.FaultOrder{Scope: "pool:" + p.Name, Fault: fault}})
		}
	}
	return events
}

// crashRestartMS is how long a crashed target stays away.
const crashRestartMS = 1500

type crashFault struct {
	Marker    string `json:"crash_marker"`
	RestartMS int    `json:"restart_ms"`
}

func part(length time.Duration, share float64) time.Duration {
	return time.Duration(math.Round(float64(length) * share))
}
