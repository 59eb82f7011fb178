package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// pacing is what depends on how long a stage's calls take. Most are parts of a
// call's time: what a wait costs and gains is the next call, whatever that takes.
type pacing struct {
	// rankStep is how much sooner an item counts as due for each rank that it is
	// more urgent than another: enough to order what is due together, too little to
	// let a late kind of request overtake one that would then be late.
	rankStep time.Duration
	// zonePatience is how long an item waits for a target in its zone while it has
	// time, since results that cross zones cost.
	zonePatience time.Duration
	// zoneSlack is how much time an item must have beyond its call to wait.
	zoneSlack time.Duration
	// lateWait is how long an item that is late anyway waits behind those that can
	// still be in time, before it is given up. Its inputs take space in small buffers
	// meanwhile, and so make others late: buffers hold a bit over a second of results.
	lateWait time.Duration
	// idle is how much work may stand before a request that is late anyway: then
	// places are free, and a late answer takes nobody's.
	idle time.Duration
}

const (
	// mostPatience bounds zonePatience. It isn't a part of a call: what it saves is
	// bytes, and only items that have the time spend it.
	mostPatience = 200 * time.Millisecond
	// leastCall is the shortest call whose parts are reckoned with.
	leastCall = 240 * time.Millisecond
)

func pacingOf(b *plan.Batch) pacing {
	call := max(b.CallTime, leastCall)
	return pacing{
		rankStep:     call / 3,
		zonePatience: min(mostPatience, b.MaxCallTime()),
		zoneSlack:    call,
		lateWait:     call * 5 / 2,
		idle:         call * 5 / 8,
	}
}
