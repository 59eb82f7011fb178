package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDecide(t *testing.T) {
	base := FailedCall{Tries: 1, Idempotent: true, Remaining: time.Second, Expected: 100 * time.Millisecond}
	tests := []struct {
		name   string
		change func(*FailedCall)
		want   Decision
	}{
		{"idempotent", func(*FailedCall) {}, Retry},
		{"non-idempotent, may have run", func(c *FailedCall) { c.Idempotent = false }, GiveUpUnsafe},
		{"non-idempotent, certainly not run", func(c *FailedCall) { c.Idempotent, c.NotRun = false, true }, Retry},
		{"exhausted", func(c *FailedCall) { c.Tries = MaxTries }, GiveUpExhausted},
		{"no time left", func(c *FailedCall) { c.Remaining = 50 * time.Millisecond }, GiveUpDeadline},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := base
			tc.change(&c)
			assert.Equal(t, Decide(c), tc.want)
		})
	}
}

// A pool is down and every call fails. Without a budget each request would be
// tried four times, and the pool could not recover under four times its load.
// With the budget the load stays within 1.2 times the callers' own.
func TestBudgetBoundsLoadInOutage(t *testing.T) {
	b := NewBudget()
	now := time.Unix(0, 0)
	const firstTries = 1000
	retries := 0
	for range firstTries {
		b.RecordFirstTry()
		for b.Take(now) {
			retries++
		}
		now = now.Add(time.Millisecond)
	}
	assert.Assert(t, float64(firstTries+retries) <= 1.2*firstTries, "%d retries", retries)
	assert.Assert(t, retries >= 90, "%d retries", retries)
}

func TestBackoffStaysWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for tries := range 40 {
		d := Backoff(tries, random)
		assert.Assert(t, d > 0 && d <= backoffMax)
	}
}

// 640 entry VMs have a request per second each while a pool is down. If the
// reserve were refilled meanwhile, their retries together would add half as
// much load again for as long as the outage lasts.
func TestReserveIsNotRefilledInOutage(t *testing.T) {
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
