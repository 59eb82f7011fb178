package inforce

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFreshAfterTheFirstAnswer(t *testing.T) {
	start := time.Unix(100, 0)
	f := newFreshness(start)
	assert.Assert(t, !f.isFresh(start))
	assert.Equal(t, f.staleFor(start.Add(time.Second)), time.Second)
	f.confirm(start, start)
	assert.Assert(t, f.isFresh(start))
	assert.Assert(t, f.await(start, 0))
	assert.Equal(t, f.staleFor(start), time.Duration(0))
}

// A process is frozen while its request to the table service is in flight. When it
// resumes, the answer in its socket buffer is as old as the freeze was long, and
// must not make the configuration fresh.
func TestAnswerRequestedBeforeFreezeIsIgnored(t *testing.T) {
	start := time.Unix(100, 0)
	f := newFreshness(start)
	f.confirm(start, start)
	requestedAt := start.Add(50 * time.Millisecond)
	later := start.Add(time.Minute)
	f.confirm(requestedAt, later)
	assert.Assert(t, !f.isFresh(later))
	assert.Assert(t, !f.await(later, time.Millisecond))
	f.heartbeat(later.Add(time.Millisecond))
	assert.Assert(t, !f.isFresh(later.Add(time.Millisecond)))
	f.confirm(later.Add(time.Millisecond), later.Add(2*time.Millisecond))
	assert.Assert(t, f.isFresh(later.Add(3*time.Millisecond)))
}

func TestProcessWithHeartbeatsStaysFresh(t *testing.T) {
	now := time.Unix(100, 0)
	f := newFreshness(now)
	f.confirm(now, now)
	for range 100 {
		now = now.Add(freezeThreshold)
		f.heartbeat(now)
		assert.Assert(t, f.isFresh(now))
	}
	assert.Assert(t, !f.isFresh(now.Add(freezeThreshold+1)))
}
