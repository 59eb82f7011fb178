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

// queue holds what waits for a shard's targets. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type queue struct {
	leaveOut leaveout.Set
	pacing   pacing
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

// clear takes out all items.
func (q *queue) clear() []*waiting {
	items := q.items
	q.items = nil
	q.byKey = map[Key]*waiting{}
	return items
}

// condition is something that may apply to an item; call is what a call takes at
// least.
type condition func(w *waiting, now time.Time, call time.Duration, t pacing) bool

// overdue tells whether an item can't be made before its request's deadline.
func overdue(w *waiting, now time.Time, call time.Duration, _ pacing) bool {
	return !now.Add(call).Before(w.expires)
}

// hopeless tells whether an item is late and there has been no place for it.
func hopeless(w *waiting, now time.Time, call time.Duration, t pacing) bool {
	return now.Add(call).After(w.due) && now.Sub(w.since) > t.lateWait
}

// drop takes out the items to which a condition applies.
func (q *queue) drop(now time.Time, call time.Duration, applies condition) []*waiting {
	var dropped []*waiting
	q.items = slices.DeleteFunc(q.items, func(w *waiting) bool {
		if !applies(w, now, call, q.pacing) {
			return false
		}
		delete(q.byKey, w.Key)
		dropped = append(dropped, w)
		return true
	})
	return dropped
}

// order is when an item counts as due among others.
func (q *queue) order(w *waiting) time.Time {
	return w.due.Add(time.Duration(w.Rank) * q.pacing.rankStep)
}

// crossFull is the bytes for which an item waits the whole of zonePatience.
const crossFull = 200_000

// welcome tells whether an item may go to a target in a zone now.
func (q *queue) welcome(w *waiting, zone string, now time.Time, call time.Duration) bool {
	if w.Zone == "" || w.Zone == zone || now.Add(call+q.pacing.zoneSlack).After(w.due) {
		return true
	}
	patience := time.Duration(float64(q.pacing.zonePatience) * min(1, float64(w.CrossZoneBytes)/crossFull))
	return now.Sub(w.since) >= patience
}

// offer describes a target that is free for a call.
type offer struct {
	target string
	zone   string
	// items and space (bytes) are how much it takes.
	items int
	space int
	// call is what a call takes at least, item what each item adds.
	call time.Duration
	item time.Duration
}

// fitting is how many items a call may carry at most to be done in time for one of
// them, which would be in time alone.
func (o offer) fitting(w *waiting, now time.Time) int {
	left := w.due.Sub(now) - o.call - handSlack
	if o.item <= 0 || left < o.item {
		return o.items
	}
	return int(left / o.item)
}

// handSlack is what the messages of a result take.
const handSlack = 16 * time.Millisecond

// take gives the items for one call: those that can still be in time first,
// each group in the order in which they are due. Of those that are late anyway
// nothing is gained by haste, while each of them ahead of the others would make
// one more late.
func (q *queue) take(now time.Time, o offer) []*waiting {
	if !q.leaveOut.Has(leaveout.DueOrder) {
		q.sort(now, o.call)
	}
	anyZone := q.leaveOut.Has(leaveout.OwnZone)
	light := len(q.items) <= o.items && !q.leaveOut.Has(leaveout.ShortCalls)
	var taken []*waiting
	rest := q.items[:0]
	for _, w := range q.items {
		if len(taken) >= o.items || w.Bytes > o.space || w.avoid == o.target || !(anyZone || q.welcome(w, o.zone, now, o.call)) {
			rest = append(rest, w)
			continue
		}
		if light {
			fitting := o.fitting(w, now)
			if len(taken) >= fitting {
				rest = append(rest, w)
				continue
			}
			o.items = min(o.items, fitting)
		}
		o.space -= w.Bytes
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
		return q.order(a).Compare(q.order(b))
	})
}

// urgent tells whether an item can't wait for the call after the next.
func (q *queue) urgent(now time.Time, call time.Duration) bool {
	return slices.ContainsFunc(q.items, func(w *waiting) bool { return w.due.Sub(now) < 2*call })
}

// firstZone is the zone in which the most urgent item is best made; empty for
// anywhere.
func (q *queue) firstZone() string {
	var first *waiting
	for _, w := range q.items {
		if first == nil || q.order(w).Before(q.order(first)) {
			first = w
		}
	}
	if first == nil {
		return ""
	}
	return first.Zone
}
