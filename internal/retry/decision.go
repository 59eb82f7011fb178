package retry

import (
	"math/rand/v2"
	"time"
)

// Situation is what is known when a call at a target failed.
type FailedCall struct {
	// Tries made so far, the failed one included.
	Tries int
	// Idempotent calls may run again.
	Idempotent bool
	// NotRun says that the failed try certainly did not run.
	NotRun bool
	// Remaining is the time left until the request's deadline, Expected what
	// another try takes.
	Remaining time.Duration
	Expected  time.Duration
}

// Verdict says what to do about a failed call.
type Decision string

// The verdicts.
const (
	// Again: try again after the backoff, if the budget allows.
	Retry Decision = "again"
	// GiveUpExhausted: enough tries were made.
	GiveUpExhausted Decision = "tries exhausted"
	// GiveUpUnsafe: the call may have run and must not run twice.
	GiveUpUnsafe Decision = "may have run"
	// GiveUpLate: another try can't be in time.
	GiveUpDeadline Decision = "too late"
)

// MaxTries bounds the tries of one stage.
const MaxTries = 4

// Decide says whether a failed call may be tried again.
func Decide(s FailedCall) Decision {
	if !s.Idempotent && !s.NotRun {
		return GiveUpUnsafe
	}
	if s.Tries >= MaxTries {
		return GiveUpExhausted
	}
	if s.Remaining <= s.Expected {
		return GiveUpDeadline
	}
	return Retry
}

const (
	backoffBase = 5 * time.Millisecond
	backoffMost = 200 * time.Millisecond
)

// Backoff is how long to wait before the next try, with full jitter: entry VMs
// that failed together must not come back together.
func Backoff(tries int, random *rand.Rand) time.Duration {
	most := min(backoffBase<<min(tries, 10), backoffMost)
	return time.Duration(random.Int64N(int64(most))) + 1
}
