// Package retry decides whether a failed call is tried again, when, and
// whether a slow one is hedged. It holds decisions only.
package retry

import (
	"sync"
	"time"
)

// Budget allows retries and hedges as a share of first tries. Without it an
// outage multiplies the load on what is left: every caller's request becomes
// several.
type Budget struct {
	// Share of first tries that may be retried.
	Share float64
	// Reserve is how many retries are allowed beyond the share, so that a
	// quiet customer's request has a second try too. It fills up again with
	// ReservePerSecond while calls succeed. It must not do so in an outage: at
	// 640 nodes with a request a second each, that alone would be half as much
	// load again.
	Reserve          float64
	ReservePerSecond float64

	// mu guards what follows. It is a leaf: no other lock is taken under it.
	mu      sync.Mutex
	tokens  float64
	last    time.Time
	success bool // since the last retry
}

// NewBudget has the settings of the product.
func NewBudget() *Budget {
	return &Budget{Share: 0.1, Reserve: 3, ReservePerSecond: 0.5, tokens: 3}
}

// First notes a first try.
func (b *Budget) RecordFirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.Share, b.Reserve+b.Share*burstOfFirstTries)
}

// Succeeded notes a call that succeeded.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.success = true
}

// burstOfFirstTries is how many first tries' share may pile up unused.
const burstOfFirstTries = 100

// Take takes one retry out of the budget, if there is one.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.success = false
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
	if elapsed > 0 && b.success && b.tokens < b.Reserve {
		b.tokens = min(b.tokens+elapsed*b.ReservePerSecond, b.Reserve)
	}
}

// BudgetKey is what a budget is kept for.
type BudgetKey struct{ Customer, Pool string }

// Budgets keeps a budget for each customer and pool.
type Budgets struct {
	// Unlimited switches the budgets off: a baseline for measurements.
	Unlimited bool

	mu    sync.Mutex // guards byKey
	byKey map[BudgetKey]*Budget
}

// For gives the budget of a key.
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

// Allow takes one retry for a key, or says no.
func (b *Budgets) Allow(key BudgetKey, now time.Time) bool {
	return b.Unlimited || b.For(key).Take(now)
}
