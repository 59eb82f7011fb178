package pipeline

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errStalled ends an attempt whose stream stalled.
var errStalled = errors.New("pipeline: the stream stalled")

const (
	// firstEventShare and laterEventShare are the fractions of the remaining
	// time that a stream may pause before its first event and between later
	// ones.
	firstEventShare = 0.5
	laterEventShare = 0.25
	// minStallLimit keeps short pauses of a busy VM from counting as a stall.
	minStallLimit = 250 * time.Millisecond
	maxStallLimit = 5 * time.Second
)

// stallLimit returns how long a stream may pause with the given time left.
// started is true once an event has come.
func stallLimit(left time.Duration, started bool) time.Duration {
	share := firstEventShare
	if started {
		share = laterEventShare
	}
	limit := time.Duration(share * float64(left))
	return min(max(limit, minStallLimit), maxStallLimit)
}

// stallWatch abandons an engine whose stream stalls while there is time to
// continue at another. A frozen engine keeps its connections open, so without
// this the caller would wait until its deadline and get a partial answer.
type stallWatch struct {
	ctx       context.Context
	cancel    context.CancelFunc
	timer     *time.Timer
	abandoned atomic.Bool
}

// watchStall returns a context that ends when the stream stalls and mayAbandon
// returns true. Otherwise the stream continues.
func watchStall(ctx context.Context, mayAbandon func() bool) (context.Context, *stallWatch) {
	watched, cancel := context.WithCancel(ctx)
	w := &stallWatch{ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(stallLimit(remaining(ctx), false), func() {
		if !mayAbandon() {
			return
		}
		w.abandoned.Store(true)
		cancel()
	})
	return watched, w
}

// progressed records that an event came.
func (w *stallWatch) progressed() { w.timer.Reset(stallLimit(remaining(w.ctx), true)) }

func (w *stallWatch) stalled() bool { return w.abandoned.Load() }

func (w *stallWatch) stop() {
	w.timer.Stop()
	w.cancel()
}

// prepayRetry takes the retry from the budget in advance. Without a retry the
// stalled stream is the only chance for an answer.
func (r *stageRun) prepayRetry() bool {
	if r.executor.Budgets.Allow(r.budgetKey(), time.Now()) {
		r.retryPrepaid.Store(true)
		return true
	}
	return false
}

// slowAfterStall returns from which duration on a failed generation counts
// against its target: at once if the stream stalled, never if only the deadline
// passed.
func slowAfterStall(w *stallWatch) time.Duration {
	if w.stalled() {
		return 0
	}
	return noLimit
}
