package follow

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// beatPeriod is how often this process records that it runs, maxBeatGap the time without a record after which it
	// counts as having stood still.
	beatPeriod = 100 * time.Millisecond
	maxBeatGap = time.Second
	// currentTimeout limits how long one request waits after a standstill, staleTime how long requests wait at all: a
	// process that is cut off serves by what it has.
	currentTimeout = 150 * time.Millisecond
	staleTime      = time.Second
)

// standstill detects that this process has stood still: it was stopped, or its VM suspended. The zero value has none.
type standstill struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// beatAt is when the process last recorded that it runs; zero before the first time.
	beatAt time.Time
	// staleSince is when the last standstill ended; zero if what the process has was caught up with since.
	staleSince time.Time
}

// beat records that the process runs. It returns when the standstill ended after which the process hasn't caught up, zero
// if there is none, and the length of one that is only found now. The time of day counts as well, since the steady
// clock doesn't count the time that a VM is suspended; a step of it does no harm.
func (s *standstill) beat(now time.Time) (staleSince time.Time, found time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.beatAt.IsZero() {
		if gap := max(now.Sub(s.beatAt), now.Round(0).Sub(s.beatAt.Round(0))); gap > maxBeatGap {
			s.staleSince, found = now, gap
		}
	}
	s.beatAt = now
	return s.staleSince, found
}

// caughtUp records that the process has caught up since a standstill.
func (s *standstill) caughtUp(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSince.Equal(since) {
		s.staleSince = time.Time{}
	}
}

// beat records that this process runs, and returns when a standstill ended after which it hasn't caught up.
func (f *Follower) beat(now time.Time) time.Time {
	since, found := f.standstill.beat(now)
	if found > 0 {
		f.log.Warn("Process has stood still. Requests wait until it has caught up with the store.", zap.Duration("stood_still", found))
	}
	return since
}

// runBeats records that this process runs, until ctx ends.
func (f *Follower) runBeats(ctx context.Context) {
	for wait.For(ctx, beatPeriod) {
		f.beat(time.Now())
	}
}

// AwaitCurrent is called before a request is served. If this process has just stood still, it waits until the process has
// caught up with the store, for a short time at most: requests that waited in its sockets would be served by keys,
// routes, evacuations and targets that are as old as the standstill is long.
func (f *Follower) AwaitCurrent(ctx context.Context) {
	now := time.Now()
	since := f.beat(now)
	if since.IsZero() || now.Sub(since) > staleTime {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, currentTimeout)
	defer cancel()
	if f.CatchUp(ctx) {
		f.standstill.caughtUp(since)
	}
}
