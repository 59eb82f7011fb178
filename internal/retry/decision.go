package retry

import (
	"math/rand/v2"
	"time"
)

// FailedCall describes a failed call at a target.
type FailedCall struct {
	// Tries is the number of tries made, the failed one included.
	Tries int
	// Idempotent says that the call may run more than once.
	Idempotent bool
	// NotRun says that the failed try certainly did not run.
	NotRun bool
	// Remaining is the time until the request's deadline, Expected the expected
	// duration of another try.
	Remaining time.Duration
	Expected  time.Duration
}

// Decision says what to do about a failed call.
type Decision string

// The decisions.
const (
	// Retry: try again after the backoff if the budget allows it.
	Retry Decision = "again"
	// GiveUpExhausted: MaxTries tries were made.
	GiveUpExhausted Decision = "tries exhausted"
	// GiveUpUnsafe: the call may have run and must not run twice.
	GiveUpUnsafe Decision = "may have run"
	// GiveUpDeadline: another try would miss the deadline.
	GiveUpDeadline Decision = "too late"
)

// MaxTries bounds the tries of one stage.
const MaxTries = 4

// Decide says whether a failed call may be tried again.
func Decide(c FailedCall) Decision {
	if !c.Idempotent && !c.NotRun {
		return GiveUpUnsafe
	}
	if c.Tries >= MaxTries {
		return GiveUpExhausted
	}
	if c.Remaining <= c.Expected {
		return GiveUpDeadline
	}
	return Retry
}

const (
	backoffBase = 5 * time.Millisecond
	backoffMax  = 200 * time.Millisecond
)

// Backoff returns how long to wait before the next try, with full jitter, so
// that entry VMs whose calls failed at the same time don't retry at the same
// time.
func Backoff(tries int, random *rand.Rand) time.Duration {
	ceiling := min(backoffBase<<min(tries, 10), backoffMax)
	return time.Duration(random.Int64N(int64(ceiling))) + 1
}
