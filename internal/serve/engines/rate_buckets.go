package engines

import (
	"maps"
	"time"
)

const (
	// rateBurst is how many requests a target with a limited rate may get at once after a pause.
	rateBurst = 2
	// rankReserve is the part of a token that a request leaves in the bucket for each rank before its
	// own, up to lastRank.
	rankReserve = 0.2
	lastRank    = 4
)

// rateBuckets holds token buckets of targets with a limited rate, by target ID. It reads no clock and isn't
// safe for concurrent use.
type rateBuckets map[string]*tokenBucket

// tokenBucket is a token bucket; a token stands for a request.
type tokenBucket struct {
	tokens    float64
	perSecond float64
	at        time.Time
}

// hasToken refills the bucket of a target that takes perSecond requests a second, 0 for no limit, and
// reports whether it may get a request of a rank now. If not, wait is the time until it may get one of the
// first rank.
func (r rateBuckets) hasToken(target string, perSecond float64, rank int, now time.Time) (has bool, wait time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	b := r[target]
	if b == nil {
		b = &tokenBucket{tokens: rateBurst, at: now}
		r[target] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), rateBurst)
	b.at, b.perSecond = now, perSecond
	if reserve := rankReserve * float64(min(max(rank, 0), lastRank)); b.tokens >= 1+reserve {
		return true, 0
	}
	return false, max(time.Duration((1-b.tokens)/perSecond*float64(time.Second)), 0)
}

// takeToken takes a token from a target's bucket.
func (r rateBuckets) takeToken(target string) {
	if b := r[target]; b != nil {
		b.tokens--
	}
}

// sweep removes the buckets that would be full again.
func (r rateBuckets) sweep(now time.Time) {
	maps.DeleteFunc(r, func(_ string, b *tokenBucket) bool { return b.perSecond*now.Sub(b.at).Seconds() > rateBurst })
}
