package limit

import (
	"sort"
	"time"
)

// Adaptive follows how many requests at once the targets can take, from how
// much of the time that requests have they need. What counts is the deadline:
// requests differ too much in length to tell a queue from a long answer by how
// long they take, and engines that batch take longer for each the more they
// serve, while they serve more in all.
type AdaptiveLimit struct {
	// Low and High bound the limit.
	Min, Max float64
	// Calm and Tight are shares of a request's time: where nine in ten
	// requests needed less than Calm the limit grows, where one in ten needed
	// more than Tight it shrinks.
	GrowBelow, ShrinkAbove float64

	limit float64
	used  [observations]float64
	count int
	peak  int // most requests in service since the last step
}

// observations is how many requests are looked at for one step.
const observations = 20

const (
	grow   = 1.15
	shrink = 0.85
	// nearLimit is the share of the limit that must have been in use before it
	// grows: while little is asked nothing is learnt about more.
	nearLimit = 0.8
)

// NewAdaptive has the settings of the product.
func NewAdaptiveLimit() *AdaptiveLimit {
	return &AdaptiveLimit{Min: 8, Max: 4096, GrowBelow: 0.55, ShrinkAbove: 0.75, limit: 64}
}

// Limit is how many requests may be in service now.
func (a *AdaptiveLimit) Limit() int { return int(a.limit) }

// Observe takes in a request that took so long of the time that it had, while
// inService requests, itself counted, were in service.
func (a *AdaptiveLimit) Observe(took, had time.Duration, inService int) {
	a.used[a.count] = shareOf(took, had)
	a.count++
	a.peak = max(a.peak, inService)
	if a.count < observations {
		return
	}
	a.step()
	a.count, a.peak = 0, 0
}

// shareOf is 1 for a request that had no time left.
func shareOf(took, had time.Duration) float64 {
	if took >= had {
		return 1
	}
	return float64(took) / float64(had)
}

func (a *AdaptiveLimit) step() {
	sort.Float64s(a.used[:])
	high := a.used[observations*9/10]
	switch {
	case high > a.ShrinkAbove:
		a.limit = max(a.Min, min(a.limit, float64(a.peak))*shrink)
	case high < a.GrowBelow && float64(a.peak) >= nearLimit*a.limit:
		a.limit = min(a.Max, a.limit*grow+1)
	}
}
