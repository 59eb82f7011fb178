package gather

import (
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// waiting is an item in a queue.
type waiting struct {
	Item
	owner   string
	due     time.Time
	expires time.Time
	since   time.Time // when it came
	tries   int
	avoid   string // target that failed it last
}

// queue holds what waits for a cell's targets. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type queue struct {
	leaveOut leaveout.Set
	items    []*waiting
	byKey    map[Key]*waiting
}

func newQueue(leaveOut leaveout.Set) *queue {
	return &queue{leaveOut: leaveOut, byKey: map[Key]*waiting{}}
}

func (q *queue) has(k Key) bool { return q.byKey[k] != nil }

func (q *queue) len() int { return len(q.items) }

// add puts an item in its place; one that waits already is left as it is.
func (q *queue) add(w *waiting) {
	if q.has(w.Key) {
		return
	}
	q.byKey[w.Key] = w
	q.items = append(q.items, w)
}

// remove takes out the items of a request with a serial up to the given one.
func (q *queue) remove(request string, upTo uint64) {
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool {
		if w.Request != request || w.Serial > upTo {
			return false
		}
		delete(q.byKey, w.Key)
		return true
	})
}

// lateWait is how long an item that is late anyway waits behind those that can
// still be in time, before it is given up. Its inputs take space in small rooms
// meanwhile, and so make others late: rooms hold a bit over a second of results.
const lateWait = 600 * time.Millisecond

// overdue tells whether an item can't be made before its request's deadline.
func (w *waiting) overdue(now time.Time, call time.Duration) bool {
	return !now.Add(call).Before(w.expires)
}

// hopeless tells whether an item is late and there has been no place for it.
func (w *waiting) hopeless(now time.Time, call time.Duration) bool {
	return now.Add(call).After(w.due) && now.Sub(w.since) > lateWait
}

// drop takes out the items to which a condition applies when the shortest call
// takes the given time.
func (q *queue) drop(now time.Time, call time.Duration, applies func(*waiting, time.Time, time.Duration) bool) []*waiting {
	var dropped []*waiting
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool {
		if !applies(w, now, call) {
			return false
		}
		delete(q.byKey, w.Key)
		dropped = append(dropped, w)
		return true
	})
	return dropped
}

// rankStep is how much sooner an item counts as due for each rank that it is
// more urgent than another. It is about a third of a call: enough to order
// what is due together, too little to let a late kind of request overtake one
// that would then be late.
const rankStep = 80 * time.Millisecond

func (w *waiting) order() time.Time { return w.due.Add(time.Duration(w.Rank) * rankStep) }

const (
	// zonePatience is how long an item waits for a target in its zone while it
	// has time, and crossFull the bytes for which it waits the whole of that.
	// Targets of a zone fall free every 150 to 350 ms. Two thirds of all results
	// would cross zones otherwise, which costs a sixth of what a short request
	// is worth.
	zonePatience = 200 * time.Millisecond
	crossFull    = 200_000
	// zoneSlack is how much time an item must have beyond its call to wait.
	zoneSlack = 250 * time.Millisecond
)

// welcome tells whether an item may go to a target in a zone now.
func (w *waiting) welcome(zone string, now time.Time, call time.Duration) bool {
	if w.Zone == "" || w.Zone == zone || now.Add(call+zoneSlack).After(w.due) {
		return true
	}
	patience := time.Duration(float64(zonePatience) * min(1, float64(w.Cross)/crossFull))
	return now.Sub(w.since) >= patience
}

// offer describes a target that is free for a call.
type offer struct {
	target string
	zone   string
	// items and room (bytes) are how much it takes.
	items int
	room  int
	// call is what a call takes at least.
	call time.Duration
}

// take gives the items for one call: those that can still be in time first,
// each group in the order in which they are due. Of those that are late anyway
// nothing is gained by haste, while each of them ahead of the others would make
// one more late.
func (q *queue) take(now time.Time, o offer) []*waiting {
	if !q.leaveOut.Has(leaveout.DueOrder) {
		q.sort(now, o.call)
	}
	anyZone := q.leaveOut.Has(leaveout.OwnZone)
	var taken []*waiting
	rest := q.items[:0]
	for _, w := range q.items {
		if len(taken) >= o.items || w.Bytes > o.room || w.avoid == o.target || !(anyZone || w.welcome(o.zone, now, o.call)) {
			rest = append(rest, w)
			continue
		}
		o.room -= w.Bytes
		taken = append(taken, w)
		delete(q.byKey, w.Key)
	}
	clear(q.items[len(rest):])
	q.items = rest
	return taken
}

// sort puts those that can still be in time first, each group in the order in
// which they are due.
func (q *queue) sort(now time.Time, call time.Duration) {
	slices.SortStableFunc(q.items, func(a, b *waiting) int {
		lateA, lateB := now.Add(call).After(a.due), now.Add(call).After(b.due)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return a.order().Compare(b.order())
	})
}

// firstZone is the zone in which the most urgent item is best made; empty for
// anywhere.
func (q *queue) firstZone() string {
	var first *waiting
	for _, w := range q.items {
		if first == nil || w.order().Before(first.order()) {
			first = w
		}
	}
	if first == nil {
		return ""
	}
	return first.Zone
}
