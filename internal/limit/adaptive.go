package limit

import (
	"sort"
	"time"
)

// AdaptiveLimit adjusts the number of concurrent requests to what the targets
// can take. It looks at the share of its allowed time that each request used.
// Plain latency would not do: requests differ too much in length to tell
// queueing from a long answer, and engines that batch take longer for each
// request the more they serve, while their throughput grows.
type AdaptiveLimit struct {
	// Min and Max bound the limit.
	Min, Max float64
	// GrowBelow and ShrinkAbove are shares of a request's allowed time. The
	// limit grows when the 90th percentile of the shares used is below
	// GrowBelow, and shrinks when it is above ShrinkAbove.
	GrowBelow, ShrinkAbove float64

	limit         float64
	timeShares    [sampleSize]float64
	count         int
	peakInService int // most requests in service since the last adjustment
}

// sampleSize is the number of requests observed before each adjustment.
const sampleSize = 20

const (
	growFactor   = 1.15
	shrinkFactor = 0.85
	// nearLimit is the share of the limit that must have been in use before the
	// limit grows: a lightly used limit does not show whether the targets could
	// take more.
	nearLimit = 0.8
)

// NewAdaptiveLimit returns a limit with the default settings.
func NewAdaptiveLimit() *AdaptiveLimit {
	return &AdaptiveLimit{Min: 8, Max: 4096, GrowBelow: 0.55, ShrinkAbove: 0.75, limit: 64}
}

// Limit returns the number of requests that may be in service now.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// Observe records a request that took the given part of its allowed time.
// inService is the number of requests in service at its end, this one included.
func (a *AdaptiveLimit) Observe(took, allowed time.Duration, inService int) {
	a.timeShares[a.count] = timeShare(took, allowed)
	a.count++
	a.peakInService = max(a.peakInService, inService)
	if a.count < sampleSize {
		return
	}
	a.adjust()
	a.count, a.peakInService = 0, 0
}

// timeShare returns the share of its allowed time that a request used, at most
// 1. It is 1 too for a request that had no time left.
func timeShare(took, allowed time.Duration) float64 {
	if took >= allowed {
		return 1
	}
	return float64(took) / float64(allowed)
}

func (a *AdaptiveLimit) adjust() {
	sort.Float64s(a.timeShares[:])
	p90 := a.timeShares[sampleSize*9/10]
	switch {
	case p90 > a.ShrinkAbove:
		a.limit = max(a.Min, min(a.limit, float64(a.peakInService))*shrinkFactor)
	case p90 < a.GrowBelow && float64(a.peakInService) >= nearLimit*a.limit:
		a.limit = min(a.Max, a.limit*growFactor+1)
	}
}
