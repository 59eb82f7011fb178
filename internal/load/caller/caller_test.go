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
	entry := startFakeEntry(t)
	c := New([]string{entry.address})
	defer c.Close()
	for _, kind := range []Kind{KindPipeline, KindStream, KindService} {
		got := c.Do(context.Background(), newCall(kind))
		assert.Equal(t, got.Outcome, Answered, "%s: %s", kind, got.Detail)
		assert.Assert(t, got.InTime())
		assert.DeepEqual(t, got.RequestIDs, []string{"r-" + entry.address})
	}
}

// An entry VM dies between two requests of a caller that has its address cached.
// The caller must retry at another address instead of failing with a refused
// connection.
func TestRefusedConnectionIsRetriedAtAnotherEntry(t *testing.T) {
	stopped, alive := startFakeEntry(t), startFakeEntry(t)
	stopped.entries = []Entry{{Address: stopped.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{stopped.address})
	defer c.Close()
	assert.Equal(t, c.Do(context.Background(), newCall(KindService)).Outcome, Answered)
	stopped.stop()

	got := c.Do(context.Background(), newCall(KindService))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.DeepEqual(t, alive.receivedKeys(), []string{"key-1"})
}

// The connection breaks after the request was forwarded, so the caller can't
// know whether it ran. It must retry with the same idempotency key; with another
// key the request would run twice.
func TestLostAnswerIsRetriedWithTheSameKey(t *testing.T) {
	first, second := startFakeEntry(t), startFakeEntry(t)
	between, err := relay.Listen("127.0.0.1:0", first.address)
	assert.NilError(t, err)
	defer between.Close()
	first.entries = []Entry{{Address: between.Address(), Zone: "a"}, {Address: second.address, Zone: "b"}}
	c := New([]string{first.address})
	defer c.Close()
	between.SetFaults(relay.Faults{LoseAnswer: true})

	got := c.Do(context.Background(), newCall(KindService))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
	assert.DeepEqual(t, first.receivedKeys(), []string{"key-1"})
	assert.DeepEqual(t, second.receivedKeys(), []string{"key-1"})
}

func TestEntryShuttingDownIsRetriedElsewhere(t *testing.T) {
	shuttingDown, alive := startFakeEntry(t), startFakeEntry(t)
	shuttingDown.refuse = problem.New(503, "leaving", "Leaving", "", problem.NotRun).WithRetryAfter(time.Minute)
	shuttingDown.entries = []Entry{{Address: shuttingDown.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{shuttingDown.address})
	defer c.Close()
	got := c.Do(context.Background(), newCall(KindPipeline))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
}

func TestFinalErrorIsNotRetried(t *testing.T) {
	entry := startFakeEntry(t)
	entry.refuse = problem.New(429, "rate", "Too many requests", "", problem.NotRun).WithRetryAfter(time.Second)
	c := New([]string{entry.address})
	defer c.Close()
	got := c.Do(context.Background(), newCall(KindPipeline))
	assert.Equal(t, got.Outcome, Refused)
	assert.Equal(t, got.Execution, problem.NotRun)
	assert.Equal(t, got.Tries, 1)
}

// A truncated stream must not count as an answer: without a check for [DONE] it
// would look like a short but complete one.
func TestTruncatedStreamIsLost(t *testing.T) {
	entry := startFakeEntry(t)
	entry.streamWords = 3
	c := New([]string{entry.address})
	defer c.Close()
	call := newCall(KindStream)
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

// The whole system is unreachable. The caller gives up at its deadline and the
// request counts as lost, since there was no response.
func TestUnreachableSystemLosesRequest(t *testing.T) {
	entry := startFakeEntry(t)
	entry.stop()
	c := New([]string{entry.address})
	defer c.Close()
	call := newCall(KindPipeline)
	call.Timeout = 200 * time.Millisecond
	got := c.Do(context.Background(), call)
	assert.Equal(t, got.Outcome, Lost)
	assert.Assert(t, got.Detail != "")
}

// The network path from an entry VM is cut in one direction: the VM receives the
// request but its answer never arrives. A caller with a limit for its first try
// must still get an answer from another VM within its deadline.
func TestFirstTryLimitLeavesSilentEntry(t *testing.T) {
	frozen, alive := startFakeEntry(t), startFakeEntry(t)
	between, err := relay.Listen("127.0.0.1:0", frozen.address)
	assert.NilError(t, err)
	defer between.Close()
	frozen.entries = []Entry{{Address: between.Address(), Zone: "a"}, {Address: alive.address, Zone: "b"}}
	between.SetFaults(relay.Faults{FreezeToCaller: true})
	for _, kind := range []Kind{KindPipeline, KindStream} {
		c := New([]string{frozen.address}, WithFirstTryShare(0.05))
		got := c.Do(context.Background(), newCall(kind))
		c.Close()
		assert.Equal(t, got.Outcome, Answered, got.Detail)
		assert.Equal(t, got.Tries, 2)
	}
}

// The network path is cut in the middle of a stream. Instead of waiting for the
// rest until its deadline, the caller must request the whole answer from another
// VM.
func TestFirstTryLimitLeavesStalledStream(t *testing.T) {
	stopping, alive := startFakeEntry(t), startFakeEntry(t)
	stopping.streamWords = 2
	stopping.hold = make(chan struct{})
	defer close(stopping.hold)
	stopping.entries = []Entry{{Address: stopping.address, Zone: "a"}, {Address: alive.address, Zone: "b"}}
	c := New([]string{stopping.address}, WithFirstTryShare(0.05))
	defer c.Close()
	got := c.Do(context.Background(), newCall(KindStream))
	assert.Equal(t, got.Outcome, Answered, got.Detail)
	assert.Equal(t, got.Tries, 2)
}

func TestDecideRetry(t *testing.T) {
	shuttingDown := problem.New(503, "x", "x", "", problem.NotRun).WithRetryAfter(100 * time.Millisecond)
	running := problem.New(409, "x", "x", "", problem.Unknown).WithRetryAfter(50 * time.Millisecond)
	final := problem.New(504, "x", "x", "", problem.Ran)
	broken := context.DeadlineExceeded
	cases := []struct {
		name  string
		got   answer
		tries int
		left  time.Duration
		want  retryDecision
	}{
		{"answered", answer{ended: true}, 1, time.Second, retryDecision{}},
		{"final error", answer{problem: final}, 1, time.Second, retryDecision{}},
		{"first 503 is retried at once", answer{problem: shuttingDown}, 1, time.Second, retryDecision{retry: true}},
		{"second 503 waits", answer{problem: shuttingDown}, 2, time.Second, retryDecision{retry: true, wait: 100 * time.Millisecond}},
		{"503 without time to wait", answer{problem: shuttingDown}, 2, 50 * time.Millisecond, retryDecision{wait: 100 * time.Millisecond}},
		{"409 waits", answer{problem: running}, 1, time.Second, retryDecision{retry: true, wait: 50 * time.Millisecond}},
		{"refused connection is retried at once", answer{err: broken, refusedConnection: true}, 1, time.Second, retryDecision{retry: true, avoidAddress: true}},
		{"broken connection is retried", answer{err: broken}, 1, time.Second, retryDecision{retry: true, avoidAddress: true}},
		{"no time left", answer{err: broken}, 1, 0, retryDecision{avoidAddress: true}},
		{"too many tries", answer{err: broken}, maxTries, time.Second, retryDecision{avoidAddress: true}},
	}
	for _, c := range cases {
		assert.Equal(t, decideRetry(c.got, c.tries, c.left, 0), c.want, c.name)
	}
}

// An entry VM hangs for seconds and is still in the list that callers receive. If
// callers forgot its failures too soon, they would lose some requests to it every
// second.
func TestAvoidTimeGrowsWithFailures(t *testing.T) {
	d := newDirectory(nil, newConnections(0))
	now := time.Unix(1000, 0)
	for i, want := range []time.Duration{1, 2, 4, 8, 8} {
		d.recordFailure("x", now)
		d.recordFailure("x", now)
		now = now.Add(want * time.Second)
		assert.Equal(t, d.failureRank("x", now.Add(-time.Millisecond)), min(i+1, maxFailureRank), want)
		assert.Equal(t, d.failureRank("x", now), 0, want)
	}
	d.recordFailure("x", now)
	d.recordSuccess("x")
	assert.Equal(t, d.failureRank("x", now), 0)
	d.recordFailure("x", now)
	assert.Equal(t, d.failureRank("x", now.Add(initialAvoidTime)), 0)
}

func TestPickEntry(t *testing.T) {
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
	assert.Equal(t, pickEntry(entries, rank(), 0), "1")
	assert.Equal(t, pickEntry(entries, rank(), 1), "2")
	assert.Equal(t, pickEntry(entries, rank(), 2), "1")
	assert.Equal(t, pickEntry(entries, rank("1"), 0), "2")
	assert.Equal(t, pickEntry(entries, rank("1", "2"), 1), "3")
	assert.Equal(t, pickEntry(entries, rank("1", "1", "2", "3"), 0), "2")
}

// Guards against a first retry that waits up to twice as long as it should.
func TestFirstBackoffIsTheInitialOne(t *testing.T) {
	assert.Equal(t, backoff(1, 1), initialBackoff)
	assert.Equal(t, backoff(2, 1), 2*initialBackoff)
	assert.Equal(t, backoff(20, 1), maxBackoff)
}
