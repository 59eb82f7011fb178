// Package fresh shares the results of calls that ask others for their current state. A process can't tell by itself that
// what it knows is old, so whoever must be certain needs the result of a call that began after the question arose.
package fresh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// ErrStopped means that the process ends.
var ErrStopped = errors.New("process ends")

// Calls makes calls of one kind. The zero value is ready to use. It is safe for concurrent use.
type Calls[T any] struct {
	mu sync.Mutex // guards last; no other lock is taken while it is held
	// last is the latest call, which may still run or be due.
	last *Call[T]
}

// Call is one call.
type Call[T any] struct {
	// startsAt is when the call starts at the earliest.
	startsAt time.Time
	done     chan struct{}
	// result and err are set when done is closed.
	result T
	err    error
}

// Since returns a call that starts at t or later, or one that has failed less than pause ago. A new one starts pause
// after the one before at the earliest, and runs until baseCtx ends at the latest.
func (c *Calls[T]) Since(baseCtx context.Context, t time.Time, pause time.Duration, do func(context.Context) (T, error)) *Call[T] {
	c.mu.Lock()
	defer c.mu.Unlock()
	startsAt := time.Now()
	if c.last != nil {
		due := c.last.startsAt.Add(pause)
		if !c.last.startsAt.Before(t) || c.last.failed() && due.After(startsAt) {
			return c.last
		}
		if due.After(startsAt) {
			startsAt = due
		}
	}
	call := &Call[T]{startsAt: startsAt, done: make(chan struct{})}
	c.last = call
	go func() {
		defer close(call.done)
		if !wait.Until(baseCtx, startsAt) {
			call.err = ErrStopped
			return
		}
		call.result, call.err = do(baseCtx)
	}()
	return call
}

// StartsAt returns when the call starts at the earliest.
func (c *Call[T]) StartsAt() time.Time { return c.startsAt }

// Done is closed when the call has ended.
func (c *Call[T]) Done() <-chan struct{} { return c.done }

// Result returns the result. It is called after Done is closed.
func (c *Call[T]) Result() (T, error) { return c.result, c.err }

// Await waits for the result.
func (c *Call[T]) Await(ctx context.Context) (T, error) {
	select {
	case <-c.done:
		return c.result, c.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// failed reports whether the call has failed by now.
func (c *Call[T]) failed() bool {
	select {
	case <-c.done:
		return c.err != nil
	default:
		return false
	}
}
