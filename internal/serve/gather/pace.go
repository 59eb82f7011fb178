package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// pace tracks how long the calls of one target take, compared to the service's settings.
type pace struct {
	// ratio is the moving average of actual to expected call time; 0 is unknown.
	ratio     float64
	slowUntil time.Time // a slow target is skipped until then
}

const (
	// paceWeight is the weight of the last call in the moving average. With it a target that
	// becomes slow is detected after one call, and one that recovers after one or two.
	paceWeight = 0.6
	// slowRatio is the ratio from which on a target counts as slow and is skipped while others
	// are available. Normal batches differ by a tenth; a straggler takes three to five times as
	// long.
	slowRatio = 1.8
	// slowPause is how long a slow target is skipped. Finding out that it is still slow costs
	// one slow call.
	slowPause = 2 * time.Second
)

// warmupCalls is for how long, in multiples of a full call, a new gatherer ignores the targets'
// pace. During that time calls of other processes can be ahead of its own in the targets'
// queues, so that targets at normal pace would look slow: calls of the previous gatherer or,
// when all processes start together, of processes that gather for the same shard for a moment.
const warmupCalls = 3

// warmingUp reports whether a call began shortly after this process became the gatherer of the
// shard.
func (s *shard) warmingUp(batch *plan.Batch, callStarted time.Time) bool {
	return callStarted.Sub(s.since) < warmupCalls*batch.MaxCallTime()
}

func (p *pace) record(actual, expected time.Duration, now time.Time) {
	ratio := float64(actual) / float64(expected)
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceWeight * (ratio - p.ratio)
	if p.ratio > slowRatio {
		p.slowUntil = now.Add(slowPause)
	}
}

func (p *pace) slow(now time.Time) bool { return now.Before(p.slowUntil) }

// slowdown returns how many times longer than expected the calls of a slow target take, and 1
// for other targets: on a small VM the end of a call is noticed up to a tenth of a second late,
// which says nothing about the target.
func (p *pace) slowdown() float64 {
	if p == nil || p.ratio < slowRatio {
		return 1
	}
	return p.ratio
}
