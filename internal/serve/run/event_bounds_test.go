package run

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// read is one read from a stream in the tests below.
type read struct {
	after time.Duration
	// ended are the events that end in it, partial what is left behind them.
	ended   []string
	partial string
}

// Guards against streams of bytes that are no events passing without end, and against real events, large
// or slow ones included, being taken for such bytes.
func TestEventWait(t *testing.T) {
	kilobyte := strings.Repeat("x", 1<<10)
	repeat := func(n int, r read) (list []read) {
		for range n {
			list = append(list, r)
		}
		return list
	}
	grow := func(prefix string, n int) (list []read) {
		for i := range n {
			list = append(list, read{partial: prefix + strings.Repeat(kilobyte, i+1)})
		}
		return list
	}
	for name, tc := range map[string]struct {
		reads    []read
		exceeded bool
		timedOut bool
	}{
		"events":                     {reads: repeat(9000, read{ended: []string{"id: 1\ndata: " + kilobyte + "\n\n"}})},
		"slow events":                {reads: repeat(9, read{after: 5 * time.Second, ended: []string{"data: x\n\n"}, partial: "da"})},
		"data without a colon":       {reads: repeat(9000, read{ended: []string{"data\ndata: " + kilobyte + "\n\n"}})},
		"events with CR":             {reads: repeat(9000, read{ended: []string{"id: 1\rdata: " + kilobyte + "\r\r"}})},
		"a large event":              {reads: grow("data: ", 200)},
		"a byte order mark":          {reads: []read{{partial: "\xef\xbb\xbf"}, {ended: []string{"\xef\xbb\xbfdata: x\n\n"}}}},
		"a stall inside an event":    {reads: []read{{partial: "data: x"}, {after: time.Minute, partial: "data: xy"}}},
		"unknown fields and data":    {reads: repeat(9000, read{ended: []string{"x: " + kilobyte + "\ndata: x\n\n"}})},
		"no line end":                {reads: grow("", 65), exceeded: true},
		"events without known field": {reads: repeat(65, read{ended: []string{kilobyte + "\n\n"}}), exceeded: true},
		"events without data":        {reads: repeat(4100, read{ended: []string{"event: " + kilobyte + "\n\n"}}), exceeded: true},
		"an event without end":       {reads: []read{{partial: "data: " + strings.Repeat(kilobyte, 4<<10)}}, exceeded: true},
		"slow comments":              {reads: repeat(30, read{after: 100 * time.Millisecond, partial: ":"}), exceeded: true, timedOut: true},
		"slow event without end":     {reads: repeat(4, read{after: 900 * time.Millisecond, partial: "data: x"}), exceeded: true, timedOut: true},
		"very slow bytes":            {reads: repeat(4, read{after: time.Minute, partial: "data: x"}), exceeded: true, timedOut: true},
	} {
		t.Run(name, func(t *testing.T) {
			var w eventWait
			now := time.Now()
			for i, r := range tc.reads {
				now = now.Add(r.after)
				for _, event := range r.ended {
					w.ended([]byte(event))
				}
				if exceeded := w.check([]byte(r.partial), now, minEventPatience); exceeded != nil {
					assert.Assert(t, tc.exceeded, "read %d: %v", i, exceeded)
					assert.Equal(t, exceeded.TimedOut, tc.timedOut)
					return
				}
			}
			assert.Assert(t, !tc.exceeded)
		})
	}
}

// Guards against an event that is larger than what is held back being taken for unknown bytes.
func TestEventWaitAfterASplitEvent(t *testing.T) {
	var w eventWait
	part := []byte(strings.Repeat("x", maxHeldBytes))
	w.skipped(append([]byte("data: "), part...), true)
	assert.Assert(t, w.check(part, time.Now(), minEventPatience) == nil)
	w.skipped(part, true)
	assert.Assert(t, w.ended([]byte("x\n\n")))
	assert.Equal(t, w, eventWait{})
}

// Guards against a stream that is given up while its callers still wait.
func TestEventPatience(t *testing.T) {
	for _, tc := range []struct{ objective, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{time.Second, 0, 4 * time.Second},
		{time.Second, time.Second, 8 * time.Second},
		{100 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second},
	} {
		assert.Equal(t, eventPatience(&plan.Route{Objective: tc.objective, Gap: tc.gap}), tc.want)
	}
}

func BenchmarkEventWait(b *testing.B) {
	event := []byte("id: 12345\ndata: {\"token\": \"word\", \"index\": 12345}\n\n")
	var w eventWait
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		w.ended(event)
		w.check(nil, now, minEventPatience)
	}
}

// Guards against streams that together hold more than the memory of a VM, and against memory that isn't given back.
func TestStreamsHoldBackALimitedSum(t *testing.T) {
	var memory bufferMemory
	var streams []*heldBytes
	for range 4 * maxBufferedTotal / maxHeldBytes {
		streams = append(streams, &heldBytes{memory: &memory})
	}
	enough := 0
	for _, s := range streams {
		if s.hold(maxHeldBytes) {
			enough++
		}
		assert.Assert(t, s.hold(uncountedBytes) || s.reserved > 0, "short events are always held back")
		s.hold(maxHeldBytes)
	}
	assert.Equal(t, enough, maxBufferedTotal/(maxHeldBytes-uncountedBytes))
	assert.Assert(t, memory.used.Load() <= maxBufferedTotal)
	for _, s := range streams {
		s.hold(0)
	}
	assert.Equal(t, memory.used.Load(), int64(0))
}
