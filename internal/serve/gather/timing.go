package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// timing holds the durations that depend on how long a stage's calls take. Most are fractions
// of a call's time, because waiting costs and gains one call, however long that takes.
type timing struct {
	// rankStep is how much sooner an item counts as due for each rank by which it is more
	// urgent than another. It is long enough to order items that are due at the same time, and
	// too short to let items of a request class that is late overtake others and make them
	// late.
	rankStep time.Duration
	// zoneWait is how long an item that isn't urgent waits for a target in its zone, to avoid
	// the cost of transferring inputs between zones.
	zoneWait time.Duration
	// zoneWaitSlack is how much time, beyond that of its call, an item must have left to wait
	// for its zone.
	zoneWaitSlack time.Duration
	// lateWait is how long an item that will be late stays queued behind items that can still
	// be in time, before it is dropped. Meanwhile its inputs take space in buffers, which hold
	// little more than a second of results, and so make other items late.
	lateWait time.Duration
	// idleBacklog is the longest backlog, in time, at which a shard accepts any request, even
	// one that will be late: targets are free then, and the late request takes no other's
	// place.
	idleBacklog time.Duration
}

const (
	// maxZoneWait bounds zoneWait. It isn't a fraction of a call because what the wait saves is
	// bytes, and only items that have time left wait.
	maxZoneWait = 200 * time.Millisecond
	// minCallTime is the shortest call time from which the durations are derived.
	minCallTime = 240 * time.Millisecond
)

func timingOf(b *plan.Batch) timing {
	call := max(b.CallTime, minCallTime)
	return timing{
		rankStep:      call / 3,
		zoneWait:      min(maxZoneWait, b.MaxCallTime()),
		zoneWaitSlack: call,
		lateWait:      call * 5 / 2,
		idleBacklog:   call * 5 / 8,
	}
}
