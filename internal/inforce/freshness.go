package inforce

import (
	"context"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often a process records that it is running.
	heartbeatInterval = 100 * time.Millisecond
	// freezeThreshold is the time without a heartbeat after which the process counts
	// as having been frozen. A shorter pause delays a change no more than its
	// propagation does.
	freezeThreshold = time.Second
	// standaloneAfter is how long a process tries to reach the table or a peer before
	// it relies on the state that it has.
	standaloneAfter = 3 * time.Second
)

// freshness tracks whether the local configuration may be relied on. It is not fresh
// before the first source has answered, nor after this process was frozen: a VM
// that was paused for a minute would serve the requests in its socket queues by
// contracts that are a minute old, and accept a key that was revoked meanwhile. It
// becomes fresh again when a source answers a request sent after the freeze.
type freshness struct {
	mu            sync.Mutex // guards the fields below; no other lock is taken under it
	lastHeartbeat time.Time  // when this process last recorded that it is running
	fresh         bool
	// staleSince is when it stopped being fresh.
	staleSince time.Time
	// becameFresh is closed when it becomes fresh.
	becameFresh chan struct{}
}

func newFreshness(now time.Time) *freshness {
	return &freshness{lastHeartbeat: now, staleSince: now, becameFresh: make(chan struct{})}
}

// detectFreeze marks the configuration as stale if the process was frozen. The
// caller holds mu.
func (f *freshness) detectFreeze(now time.Time) {
	if now.Sub(f.lastHeartbeat) <= freezeThreshold {
		return
	}
	f.lastHeartbeat = now
	f.staleSince = now
	if f.fresh {
		f.fresh = false
		f.becameFresh = make(chan struct{})
	}
}

// heartbeat records that the process is running.
func (f *freshness) heartbeat(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectFreeze(now)
	f.lastHeartbeat = now
}

// confirm records that a source has answered a request sent at requestedAt. It is
// ignored if the process was frozen between the request and the answer.
func (f *freshness) confirm(requestedAt, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectFreeze(now)
	if f.fresh || requestedAt.Before(f.staleSince) {
		return
	}
	f.fresh = true
	close(f.becameFresh)
}

// isFresh reports whether the configuration may be relied on.
func (f *freshness) isFresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectFreeze(now)
	return f.fresh
}

// staleFor returns for how long it has not been fresh; zero while it is.
func (f *freshness) staleFor(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.detectFreeze(now)
	if f.fresh {
		return 0
	}
	return now.Sub(f.staleSince)
}

// await waits until it is fresh. It returns false if that takes longer than
// timeout.
func (f *freshness) await(now time.Time, timeout time.Duration) bool {
	f.mu.Lock()
	f.detectFreeze(now)
	fresh, becameFresh := f.fresh, f.becameFresh
	f.mu.Unlock()
	if fresh {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-becameFresh:
		return true
	case <-timer.C:
		return false
	}
}

// runHeartbeat records at intervals that the process is running, until the context
// ends.
func (f *freshness) runHeartbeat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.heartbeat(time.Now())
		}
	}
}
