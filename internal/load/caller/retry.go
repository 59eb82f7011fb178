package caller

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	maxTries       = 12
)

// retryDecision is what a caller does after a try.
type retryDecision struct {
	// retry is true if the request is sent once more, after wait.
	retry bool
	wait  time.Duration
	// avoidAddress is true if the address should not be used for a while.
	avoidAddress bool
}

// decideRetry decides whether to retry after a try. A 503 with a retry time is
// retried at another address: immediately after the first try, since one VM that
// is shutting down says nothing about the others, and otherwise not before the
// retry time, so that callers don't amplify an overload. A 409 with a retry time
// means that another try with the same key is running, and always waits. After a
// refused or broken connection the request is retried at another address under
// the same idempotency key.
func decideRetry(a answer, tries int, left time.Duration, jitter float64) retryDecision {
	if a.problem != nil {
		return decideAfterProblem(a, tries, left, jitter)
	}
	if a.err == nil {
		return retryDecision{}
	}
	wait := backoff(tries, jitter)
	if a.refusedConnection && tries == 1 {
		wait = 0
	}
	return retryDecision{retry: tries < maxTries && wait < left, wait: wait, avoidAddress: true}
}

func decideAfterProblem(a answer, tries int, left time.Duration, jitter float64) retryDecision {
	after := a.retryAfter
	if a.problem.RetryAfterMS > 0 {
		after = time.Duration(a.problem.RetryAfterMS) * time.Millisecond
	}
	if after <= 0 || (a.problem.Status != http.StatusServiceUnavailable && a.problem.Status != http.StatusConflict) {
		return retryDecision{}
	}
	wait := time.Duration(0)
	if tries > 1 || a.problem.Status == http.StatusConflict {
		wait = after + time.Duration(jitter*float64(initialBackoff))
	}
	return retryDecision{retry: tries < maxTries && wait < left, wait: wait}
}

// backoff is exponential with full jitter; jitter is a random number from 0 to 1, tries the
// number of tries so far, from 1.
func backoff(tries int, jitter float64) time.Duration {
	ceiling := min(initialBackoff<<min(tries-1, 10), maxBackoff)
	return time.Duration(jitter * float64(ceiling))
}

func randomJitter() float64 { return rand.Float64() }
