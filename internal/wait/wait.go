// Package wait waits for a time to pass or a context to end.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d. It returns false if the context ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Until waits until a point in time. It returns false if the context ends
// first, and does not wait if the time has passed.
func Until(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, d)
}

// Jittered waits for a random time between half and one and a half of d, so
// that processes that started or failed together don't continue in step. It
// returns false if the context ends first.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d))
}
