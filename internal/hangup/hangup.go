// Package hangup detects callers that close their connection while they wait for an answer. A
// fasthttp handler isn't told about it, and without this package the targets would go on
// working on answers that nobody reads.
package hangup

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// checkPeriod is how often the connections of waiting callers are checked.
const checkPeriod = 50 * time.Millisecond

// Watcher cancels the work for callers that hung up. The cancelled context closes the
// connection to the target, which frees its slot.
type Watcher struct {
	// cause is the cancellation cause of the contexts.
	cause error

	// wake tells Run that a caller waits. It buffers one signal.
	wake chan struct{}

	mu      sync.Mutex // guards waiting; no other lock is taken while it is held
	waiting map[*caller]struct{}
}

type caller struct {
	conn       net.Conn
	cancelWork context.CancelCauseFunc
}

// New creates a watcher that cancels contexts with the given cause.
func New(cause error) *Watcher {
	return &Watcher{cause: cause, wake: make(chan struct{}, 1), waiting: map[*caller]struct{}{}}
}

// Watch returns a context that is cancelled when the caller hangs up. Call the returned
// function just before the answer is written.
func (h *Watcher) Watch(ctx context.Context, conn net.Conn) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &caller{conn: conn, cancelWork: cancel}
	h.mu.Lock()
	h.waiting[c] = struct{}{}
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
	return ctx, func() {
		h.mu.Lock()
		delete(h.waiting, c)
		h.mu.Unlock()
		cancel(nil)
	}
}

// Run checks the connections until ctx ends. It sleeps while no caller waits, to avoid
// needless wake-ups on hundreds of VMs that are mostly idle.
func (h *Watcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wake:
		}
		for wait.For(ctx, checkPeriod) && h.checkConnections() {
		}
	}
}

// checkConnections cancels the contexts of callers that hung up, and reports whether any
// caller was waiting.
func (h *Watcher) checkConnections() bool {
	h.mu.Lock()
	list := slices.Collect(maps.Keys(h.waiting))
	h.mu.Unlock()
	for _, c := range list {
		if socket.Peek(c.conn) == socket.Closed {
			c.cancelWork(h.cause)
		}
	}
	return len(list) > 0
}
