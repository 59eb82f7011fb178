package run

import (
	"bytes"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	// maxBytesWithoutEvent is how much of a stream may pass without the end of an event: comments, events
	// without data, and the event that is being received. Events of engines are below 2 KB.
	maxBytesWithoutEvent = 4 << 20
	// maxUnknownBytes is how much of that may be lines that no field of an event begins. It is below
	// maxHeldBytes, so that the caller has nothing of such a stream when it is given up.
	maxUnknownBytes = 64 << 10
	// minEventPatience and the factors say how long callers wait for the next event of a stream.
	minEventPatience  = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// maxCountedWait is how much of a pause between two reads counts as waiting for an event. In a longer
	// one this process may have been suspended while events arrived.
	maxCountedWait = time.Second
)

// eventPatience returns how long the callers of a route wait for the next event of a stream before they
// leave it.
func eventPatience(r *plan.Route) time.Duration {
	return max(minEventPatience, objectivePatience*r.Objective, gapPatience*r.Gap)
}

// eventWait tracks what a stream has brought since its last event with data, and decides when that is too
// much or takes too long. The zero value is at the start of a stream. Time counts from the first byte after
// the event, so a stream that is silent is never given up here.
type eventWait struct {
	// bytes were received since the last event, unknown of them in events that have no known field.
	bytes, unknown int
	// split is set while the begin of the current event was skipped, splitData if that had data.
	split, splitData bool
	// waited is the time since the first of these bytes; last is when some were received last.
	waited time.Duration
	last   time.Time
}

// ended records the end of an event, or of its rest if its begin was skipped, and reports whether it has
// a field that events may have.
func (w *eventWait) ended(event []byte) (known bool) {
	known, hasData := w.split, w.splitData
	if !w.split {
		known, hasData = fieldsOf(event)
	}
	if hasData {
		*w = eventWait{}
		return true
	}
	w.bytes += len(event)
	if !known {
		w.unknown += len(event)
	}
	w.split = false
	return known
}

// skipped records bytes that belong to no event or, with split, to an event that is too large to be held
// back.
func (w *eventWait) skipped(data []byte, split bool) {
	w.bytes += len(data)
	w.splitData = split && w.splitData
	if split && !w.split {
		_, w.splitData = fieldsOf(data)
	}
	w.split = split
}

// check decides after each read. partial is the event that is being received. It returns nil as long as
// the stream is within its bounds.
func (w *eventWait) check(partial []byte, now time.Time, patience time.Duration) *upstream.BoundError {
	read, unknown := w.bytes+len(partial), w.unknown
	if !w.split && !beginsKnownLine(partial) {
		unknown += len(partial)
	}
	if read == 0 {
		return nil
	}
	if !w.last.IsZero() {
		w.waited += min(now.Sub(w.last), maxCountedWait)
	}
	w.last = now
	timedOut := w.waited > patience
	if !timedOut && read <= maxBytesWithoutEvent && unknown <= maxUnknownBytes {
		return nil
	}
	return &upstream.BoundError{Part: upstream.NoEvent, Bytes: read, TimedOut: timedOut}
}

// fieldNames are the fields that an event of a stream may have; without the first one it is not passed to
// the users of the stream.
var fieldNames = []string{"data", "id", "event", "retry"}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// fieldsOf reports whether an event has one of the fields that events may have, and whether it has data.
func fieldsOf(event []byte) (known, data bool) {
	event = bytes.TrimPrefix(event, byteOrderMark)
	for len(event) > 0 && !data {
		line := event
		if end := bytes.IndexAny(event, "\r\n"); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		data = string(name) == fieldNames[0]
		known = known || slices.Contains(fieldNames, string(name))
	}
	return known, data
}

// beginsKnownLine reports whether data may begin with a comment or one of the fields that events may have.
func beginsKnownLine(data []byte) bool {
	data = bytes.TrimLeft(bytes.TrimPrefix(data, byteOrderMark), "\r\n")
	if len(data) == 0 || data[0] == ':' {
		return true
	}
	for _, name := range fieldNames {
		field := name + ":"
		if n := min(len(data), len(field)); string(data[:n]) == field[:n] {
			return true
		}
	}
	return false
}
