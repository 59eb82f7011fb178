// Package limit bounds load. It enforces the contracts' rates over all entry
// VMs together, and limits each pipeline's concurrency to what the targets can
// take, with a short fair queue in front.
package limit

import "time"

// Bucket is a token bucket. It isn't safe for concurrent use.
type Bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	last  time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, last: now}
}

// Set changes rate and burst from now on.
func (b *Bucket) Set(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, burst)
}

// Take takes n tokens if the bucket has them. Otherwise it returns how long
// until it will.
func (b *Bucket) Take(n float64, now time.Time) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.level >= n {
		b.level -= n
		return true, 0
	}
	return false, b.timeUntil(n)
}

// Charge takes n tokens even if the bucket does not have them, or returns
// tokens if n is negative. The level may fall below zero, by at most
// maxDebtSeconds of the rate: one long answer must not lock its customer out
// for minutes.
func (b *Bucket) Charge(n float64, now time.Time) {
	b.refill(now)
	b.level = min(max(b.level-n, -maxDebtSeconds*b.rate), b.burst)
}

const maxDebtSeconds = 10

func (b *Bucket) timeUntil(n float64) time.Duration {
	if b.rate <= 0 {
		return time.Minute
	}
	seconds := (n - b.level) / b.rate
	return min(time.Duration(seconds*float64(time.Second)), time.Minute)
}

func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last).Seconds()
	b.last = now
	if elapsed > 0 {
		b.level = min(b.level+elapsed*b.rate, b.burst)
	}
}
