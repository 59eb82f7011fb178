package claim

import "time"

// Rate limit of one process's transactions. The store handles several hundred
// writes per second in total; 40 from each of nine entry VMs are 360. Up to the
// burst size a claim is sent at once, above it claims are batched for up to
// txInterval.
const (
	txRate  = 40 // transactions per second
	txBurst = 8
)

const txInterval = time.Second / txRate

// txLimiter is a token bucket that limits the rate of transactions.
type txLimiter struct {
	// spentUntil is the time up to which the rate is used up by the
	// transactions so far.
	spentUntil time.Time
}

func newTxLimiter(now time.Time) *txLimiter {
	return &txLimiter{spentUntil: now.Add(-txBurst * txInterval)}
}

// delay returns how long the next transaction has to wait.
func (l *txLimiter) delay(now time.Time) time.Duration { return max(0, l.spentUntil.Sub(now)) }

// recordTx counts a transaction that is sent now. Full batches may exceed the
// rate; the resulting delay for a later claim is capped at one interval.
func (l *txLimiter) recordTx(now time.Time) {
	full := now.Add(-txBurst * txInterval)
	if l.spentUntil.Before(full) {
		l.spentUntil = full
	}
	l.spentUntil = l.spentUntil.Add(txInterval)
	if limit := now.Add(txInterval); l.spentUntil.After(limit) {
		l.spentUntil = limit
	}
}
