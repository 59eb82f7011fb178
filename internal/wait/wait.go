// Package wait waits for a time, or until a context ends.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for a time; false when the context ends first.
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

// Until waits until a moment; false when the context ends first. A moment that
// has passed isn't waited for.
func Until(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return For(ctx, d)
}

// Around waits for a time drawn between half and one and a half of d, so that
// processes that began or failed together don't go on together.
func Jittered(ctx context.Context, d time.Duration) bool {
	return For(ctx, d/2+rand.N(d))
}
