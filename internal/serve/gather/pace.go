package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// pace is how fast one target works, against what its service's settings say.
type pace struct {
	// ratio of the time that calls took to what was expected; 0 is unknown.
	ratio float64
	until time.Time // when a slow target is tried again
}

const (
	// paceWeight is how much the last call counts: a target that turns slow is
	// seen after one call, one that recovers after one or two.
	paceWeight = 0.6
	// slowRatio is how many times slower than the settings say a call is before
	// its target is passed over while others are there. Batches differ by a
	// tenth; a straggler takes three to five times as long.
	slowRatio = 1.8
	// slowPause is how long a slow target is passed over. It costs one call of
	// a slow target to find out that it still is.
	slowPause = 2 * time.Second
)

// newcomerCalls is for how many full calls after it began to gather a process
// judges no target's pace. Calls of those that gathered before it, and at a start
// of all for a moment beside it, stand before its own in the targets' queues, so that
// sound targets would look slow.
const newcomerCalls = 3

// newcomer tells whether this process has only just begun to gather for a shard.
func (c *shard) newcomer(batch *plan.Batch, callBegan time.Time) bool {
	return callBegan.Sub(c.since) < newcomerCalls*batch.MaxCallTime()
}

func (p *pace) took(actual, expected time.Duration, now time.Time) {
	ratio := float64(actual) / float64(expected)
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceWeight * (ratio - p.ratio)
	if p.ratio > slowRatio {
		p.until = now.Add(slowPause)
	}
}

func (p *pace) slow(now time.Time) bool { return now.Before(p.until) }

// factor is how many times longer than expected the calls of a slow target take,
// 1 for others: on a small VM a call is seen to end up to a tenth of a second
// late, which says nothing of the target.
func (p *pace) factor() float64 {
	if p == nil || p.ratio < slowRatio {
		return 1
	}
	return p.ratio
}
