package pipeline

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStallLimit(t *testing.T) {
	tests := []struct {
		name    string
		left    time.Duration
		started bool
		want    time.Duration
	}{
		{"before the first event", 4 * time.Second, false, 2 * time.Second},
		{"between events", 4 * time.Second, true, time.Second},
		{"little time left", 400 * time.Millisecond, true, minStallLimit},
		{"very long deadline", time.Hour, false, maxStallLimit},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, stallLimit(tc.left, tc.started), tc.want)
		})
	}
}

// An engine freezes in the middle of a stream and keeps its connections open.
// Without a stall limit the caller would wait until its deadline for more text.
func TestStalledStreamIsAbandoned(t *testing.T) {
	deadline, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	watched, watch := watchStall(deadline, func() bool { return true })
	defer watch.stop()
	watch.timer.Reset(time.Millisecond)
	<-watched.Done()
	assert.Assert(t, watch.stalled())
	assert.NilError(t, deadline.Err())
}

func TestStalledStreamContinuesWithoutRetryBudget(t *testing.T) {
	asked := make(chan struct{})
	watched, watch := watchStall(context.Background(), func() bool {
		close(asked)
		return false
	})
	defer watch.stop()
	watch.timer.Reset(time.Millisecond)
	<-asked
	assert.NilError(t, watched.Err())
	assert.Assert(t, !watch.stalled())
}
