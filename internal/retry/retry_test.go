package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	ok := FailedCall{Tries: 1, Idempotent: true, Remaining: time.Second, Expected: 100 * time.Millisecond}
	tests := []struct {
		name   string
		change func(*FailedCall)
		want   Decision
	}{
		{"idempotent, broken", func(*FailedCall) {}, Retry},
		{"non-idempotent, may have run", func(s *FailedCall) { s.Idempotent = false }, GiveUpUnsafe},
		{"non-idempotent, certainly not run", func(s *FailedCall) { s.Idempotent, s.NotRun = false, true }, Retry},
		{"exhausted", func(s *FailedCall) { s.Tries = MaxTries }, GiveUpExhausted},
		{"no time left", func(s *FailedCall) { s.Remaining = 50 * time.Millisecond }, GiveUpDeadline},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := ok
			tc.change(&s)
			assert.Equal(t, Decide(s), tc.want)
		})
	}
}

// A pool goes down altogether and every call fails. Without a budget each
// request would be tried four times, and the pool could never come up under
// four times its load; with it the load stays within 1.2 of the callers' own.
func TestBudgetHoldsLoadInOutage(t *testing.T) {
	b := NewBudget()
	now := time.Unix(0, 0)
	const firsts = 1000
	retries := 0
	for range firsts {
		b.RecordFirstTry()
		for b.Take(now) {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, float64(firsts+retries) <= 1.2*firsts, "%d retries", retries)
	assert.Assert(t, retries >= 90, "%d retries", retries)
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for tries := range 40 {
		d := Backoff(tries, random)
		assert.Assert(t, d > 0 && d <= backoffMost)
	}
}

// 640 entry VMs have a request a second each when a pool goes down. What each
// may try again for a quiet customer's sake would together be half as much load
// again for as long as the outage lasts.
func TestReserveDoesNotFillUpInOutage(t *testing.T) {
	b := NewBudget()
	now := time.Unix(0, 0)
	retries := 0
	for range 100 {
		b.RecordFirstTry()
		for b.Take(now) {
			retries++
		}
		now = now.Add(time.Second)
	}
	assert.Assert(t, retries <= 13, "%d retries", retries)
	b.RecordSuccess()
	assert.Assert(t, b.Take(now.Add(4*time.Second)))
}
