package caller

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/check"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/relay"
)

func TestEachKindOfCallIsAnswered(t *testing.T) {
	entry := startFake(t)
	c := New([]string{entry.address})
	defer c.Close()
	for _, kind := range []Kind{KindPipeline, KindStream, KindService} {
		got := c.Do(context.Background(), callOf(kind))
		assert.Equal(t, got.Outcome, Answered, "%s: %s", kind, got.Detail)
		assert.Assert(t, got.InTime())
		assert.DeepEqual(t, got.RequestIDs, []string{"r-" + entry.address})
	}
}

// An entry VM dies between two requests of a caller that still holds its
// address. Without going on to another address the user's program would get a
// refused connection in place of a quote.
func TestRefusedConnectionGoesToAnotherEntry(t *testing.T) {
	dead, alive := startFake(t), startFake(t)
	dead.entries = []Entry{{Address: dead.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{dead.address})
	defer c.Close()
	assert.Equal(t, c.Do(context.Background(), callOf(KindService)).Outcome, Answered)
	dead.stop()

	got := c.Do(context.Background(), callOf(KindService))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.DeepEqual(t, alive.seen(), []string{"key-1"})
}

// The connection breaks after the request was forwarded, so the caller can't
// know whether it ran. It asks elsewhere under the same key; under another key
// the booking would run twice.
func TestLostAnswerIsAskedForUnderTheSameKey(t *testing.T) {
	first, second := startFake(t), startFake(t)
	between, err := relay.Listen("127.0.0.1:0", first.address)
	assert.NilError(t, err)
	defer between.Close()
	first.entries = []Entry{{Address: between.Address(), Zone: "a"}, {Address: second.address, Zone: "b"}}
	c := New([]string{first.address})
	defer c.Close()
	between.SetFaults(relay.Faults{LoseAnswer: true})

	got := c.Do(context.Background(), callOf(KindService))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
	assert.DeepEqual(t, first.seen(), []string{"key-1"})
	assert.DeepEqual(t, second.seen(), []string{"key-1"})
}

func TestLeavingEntryIsPassedOver(t *testing.T) {
	leaving, alive := startFake(t), startFake(t)
	leaving.refuse = problem.New(503, "leaving", "Leaving", "", problem.NotRun).WithRetryAfter(time.Minute)
	leaving.entries = []Entry{{Address: leaving.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{leaving.address})
	defer c.Close()
	got := c.Do(context.Background(), callOf(KindPipeline))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
}

func TestClearErrorIsFinal(t *testing.T) {
	entry := startFake(t)
	entry.refuse = problem.New(429, "rate", "Too many requests", "", problem.NotRun).WithRetryAfter(time.Second)
	c := New([]string{entry.address})
	defer c.Close()
	got := c.Do(context.Background(), callOf(KindPipeline))
	assert.Equal(t, got.Outcome, Refused)
	assert.Equal(t, got.Execution, problem.NotRun)
	assert.Equal(t, got.Tries, 1)
}

// A stream that just stops looks like a short answer to a program that does
// not wait for the end mark. The reader of a level summary would miss its end.
func TestStreamWithoutItsEndIsNoAnswer(t *testing.T) {
	entry := startFake(t)
	entry.streamWords = 3
	c := New([]string{entry.address})
	defer c.Close()
	call := callOf(KindStream)
	call.Timeout = 300 * time.Millisecond
	got := c.Do(context.Background(), call)
	assert.Equal(t, got.Outcome, Lost)

	entry.mu.Lock()
	entry.streamWords = call.MaxTokens
	entry.mu.Unlock()
	call.Scheduled = time.Now()
	got = c.Do(context.Background(), call)
	assert.Equal(t, got.Outcome, Lost)
	assert.Assert(t, got.Finding != check.Complete)
}

// The whole system is unreachable. The caller gives up at its own deadline and
// the request counts as lost, since nobody told it anything.
func TestNobodyAnswers(t *testing.T) {
	entry := startFake(t)
	entry.stop()
	c := New([]string{entry.address})
	defer c.Close()
	call := callOf(KindPipeline)
	call.Timeout = 200 * time.Millisecond
	got := c.Do(context.Background(), call)
	assert.Equal(t, got.Outcome, Lost)
	assert.Assert(t, got.Detail != "")
}

// The path to an entry VM is cut one way: it takes the request and its answer
// never comes back. A caller with a limit for its first try still gets its answer
// from another VM, within its own deadline.
func TestFrozenEntryIsLeftInTime(t *testing.T) {
	frozen, alive := startFake(t), startFake(t)
	between, err := relay.Listen("127.0.0.1:0", frozen.address)
	assert.NilError(t, err)
	defer between.Close()
	frozen.entries = []Entry{{Address: between.Address(), Zone: "a"}, {Address: alive.address, Zone: "b"}}
	between.SetFaults(relay.Faults{FreezeToCaller: true})
	for _, kind := range []Kind{KindPipeline, KindStream} {
		c := New([]string{frozen.address}, WithFirstTryShare(0.05))
		got := c.Do(context.Background(), callOf(kind))
		c.Close()
		assert.Equal(t, got.Outcome, Answered, got.Detail)
		assert.Equal(t, got.Tries, 2)
	}
}

// A path is cut after a stream has begun. The caller has some words and would
// wait for the rest until its deadline; it asks for the whole answer elsewhere.
func TestStreamThatStopsIsLeftInTime(t *testing.T) {
	stopping, alive := startFake(t), startFake(t)
	stopping.streamWords = 2
	stopping.hold = make(chan struct{})
	defer close(stopping.hold)
	stopping.entries = []Entry{{Address: stopping.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{stopping.address}, WithFirstTryShare(0.05))
	defer c.Close()
	got := c.Do(context.Background(), callOf(KindStream))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
}

func TestNext(t *testing.T) {
	leaving := problem.New(503, "x", "x", "", problem.NotRun).WithRetryAfter(100 * time.Millisecond)
	running := problem.New(409, "x", "x", "", problem.Unknown).WithRetryAfter(50 * time.Millisecond)
	final := problem.New(504, "x", "x", "", problem.Ran)
	broken := context.DeadlineExceeded
	cases := []struct {
		name  string
		got   answer
		tries int
		left  time.Duration
		want  move
	}{
		{"answered", answer{ended: true}, 1, time.Second, move{}},
		{"final error", answer{problem: final}, 1, time.Second, move{}},
		{"503 goes elsewhere at once", answer{problem: leaving}, 1, time.Second, move{again: true}},
		{"second 503 waits", answer{problem: leaving}, 2, time.Second, move{again: true, wait: 100 * time.Millisecond}},
		{"503 without time to wait", answer{problem: leaving}, 2, 50 * time.Millisecond, move{wait: 100 * time.Millisecond}},
		{"409 waits", answer{problem: running}, 1, time.Second, move{again: true, wait: 50 * time.Millisecond}},
		{"refused goes elsewhere", answer{err: broken, refusedConnection: true}, 1, time.Second, move{again: true, failed: true}},
		{"broken goes elsewhere", answer{err: broken}, 1, time.Second, move{again: true, failed: true}},
		{"no time left", answer{err: broken}, 1, 0, move{failed: true}},
		{"too many tries", answer{err: broken}, mostTries, time.Second, move{failed: true}},
	}
	for _, c := range cases {
		assert.Equal(t, next(c.got, c.tries, c.left, 0), c.want, c.name)
	}
}

// An entry VM stands still for seconds and is still among the addresses that
// callers are told. A caller that forgot its failures too soon would lose some
// requests each second to it.
func TestFailuresAreRememberedForLonger(t *testing.T) {
	d := newDirectory(nil, newConnections(0))
	now := time.Unix(1000, 0)
	for i, want := range []time.Duration{1, 2, 4, 8, 8} {
		d.fail("x", now)
		d.fail("x", now)
		now = now.Add(want * time.Second)
		assert.Equal(t, d.failedRank("x", now.Add(-time.Millisecond)), min(i+1, worstFailure), want)
		assert.Equal(t, d.failedRank("x", now), 0, want)
	}
	d.fail("x", now)
	d.answered("x")
	assert.Equal(t, d.failedRank("x", now), 0)
	d.fail("x", now)
	assert.Equal(t, d.failedRank("x", now.Add(failedFor)), 0)
}

func TestPick(t *testing.T) {
	entries := []Entry{{"1", "a"}, {"2", "a"}, {"3", "b"}}
	rank := func(bad ...string) func(string) int {
		return func(address string) int {
			count := 0
			for _, b := range bad {
				if b == address {
					count++
				}
			}
			return count
		}
	}
	assert.Equal(t, pick(entries, rank(), 0), "1")
	assert.Equal(t, pick(entries, rank(), 1), "2")
	assert.Equal(t, pick(entries, rank(), 2), "1")
	assert.Equal(t, pick(entries, rank("1"), 0), "2")
	assert.Equal(t, pick(entries, rank("1", "2"), 1), "3")
	assert.Equal(t, pick(entries, rank("1", "1", "2", "3"), 0), "2")
}
