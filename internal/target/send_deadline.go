package target

import (
	"context"
	"time"
)

// sendDeadlinePassed returns whether it is too late to send a call, by the
// monotonic or the wall clock. A zero before means no limit besides the
// context's deadline.
//
// A process that was suspended continues where it stopped, perhaps between its
// claim and sending the call, and its context may not yet report that the
// deadline has passed. By then the caller has got another answer and may have
// retried elsewhere. The monotonic clock stops while a VM is suspended, so the
// wall clock is checked as well.
func sendDeadlinePassed(ctx context.Context, before, now time.Time) bool {
	if !before.IsZero() && isPast(before, now) {
		return true
	}
	deadline, has := ctx.Deadline()
	return has && isPast(deadline, now)
}

// isPast compares by the monotonic clock, if both times have a reading of it,
// and by the wall clock.
func isPast(limit, now time.Time) bool {
	return !now.Before(limit) || !now.Round(0).Before(limit.Round(0))
}
