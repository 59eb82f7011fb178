// Package retry decides whether and when a failed call is tried again. It makes
// decisions only; callers send the calls.
package retry

import (
	"sync"
	"time"
)

// Budget limits retries and hedges to a share of first tries. Without it every
// request becomes several in an outage, which multiplies the load on the
// targets that are left.
type Budget struct {
	// Share is the number of retries allowed per first try.
	Share float64
	// Reserve is the number of retries allowed beyond the share, so that a
	// customer with few requests gets second tries too. It is refilled at
	// ReservePerSecond, but only after a call has succeeded. If it were
	// refilled during an outage, 640 nodes with a request per second each would
	// together send half as much load again.
	Reserve          float64
	ReservePerSecond float64

	// mu guards the fields below. No other lock is taken under it.
	mu        sync.Mutex
	tokens    float64
	last      time.Time
	succeeded bool // a call has succeeded since the last retry
}

// NewBudget returns a budget with the default settings.
func NewBudget() *Budget {
	return &Budget{Share: 0.1, Reserve: 3, ReservePerSecond: 0.5, tokens: 3}
}

// RecordFirstTry records a first try.
func (b *Budget) RecordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Share, b.Reserve+b.Share*maxUnusedFirstTries)
}

// RecordSuccess records a call that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.succeeded = true
}

// maxUnusedFirstTries is the number of first tries whose share of retries may
// accumulate unused.
const maxUnusedFirstTries = 100

// Take takes one retry out of the budget; false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.succeeded = false
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	elapsed := now.Sub(b.last).Seconds()
	b.last = now
	if elapsed > 0 && b.succeeded && b.tokens < b.Reserve {
		b.tokens = min(b.tokens+elapsed*b.ReservePerSecond, b.Reserve)
	}
}

// BudgetKey identifies a budget: each customer has one per pool.
type BudgetKey struct{ Customer, Pool string }

// Budgets holds a budget for each customer and pool.
type Budgets struct {
	// Unlimited allows every retry. It is a baseline for measurements.
	Unlimited bool

	mu    sync.Mutex // guards byKey
	byKey map[BudgetKey]*Budget
}

// For returns the budget of a key, and creates it on first use.
func (b *Budgets) For(key BudgetKey) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byKey == nil {
		b.byKey = map[BudgetKey]*Budget{}
	}
	found := b.byKey[key]
	if found == nil {
		found = NewBudget()
		b.byKey[key] = found
	}
	return found
}

// Allow takes one retry out of a key's budget; false if there is none.
func (b *Budgets) Allow(key BudgetKey, now time.Time) bool {
	return b.Unlimited || b.For(key).Take(now)
}
