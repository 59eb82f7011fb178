package gather

import (
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// queuedItem is an item in a queue.
type queuedItem struct {
	Item
	owner       string
	due         time.Time
	expires     time.Time
	since       time.Time // when it was queued
	tries       int
	avoidTarget string // the target that failed it last; it may not take it next
}

// queue holds the items that wait for a shard's targets. It does no I/O and reads no clock. It
// is not safe for concurrent use.
type queue struct {
	leaveOut leaveout.Set
	timing   timing
	items    []*queuedItem
	byKey    map[Key]*queuedItem
}

func newQueue(leaveOut leaveout.Set) *queue {
	return &queue{leaveOut: leaveOut, byKey: map[Key]*queuedItem{}}
}

func (q *queue) has(k Key) bool { return q.byKey[k] != nil }

func (q *queue) len() int { return len(q.items) }

// add appends an item; one that is already queued is left unchanged.
func (q *queue) add(item *queuedItem) {
	if q.has(item.Key) {
		return
	}
	q.byKey[item.Key] = item
	q.items = append(q.items, item)
}

// removeRequest removes the items of a request with a serial not above upTo.
func (q *queue) removeRequest(request string, upTo uint64) {
	q.items = slices.DeleteFunc(q.items, func(item *queuedItem) bool {
		if item.Request != request || item.Serial > upTo {
			return false
		}
		delete(q.byKey, item.Key)
		return true
	})
}

// clear removes and returns all items.
func (q *queue) clear() []*queuedItem {
	items := q.items
	q.items = nil
	q.byKey = map[Key]*queuedItem{}
	return items
}

// condition is a predicate on queued items; call is the time of a call without any items.
type condition func(item *queuedItem, now time.Time, call time.Duration, t timing) bool

// pastDeadline reports whether an item can't be complete before its request's deadline.
func pastDeadline(item *queuedItem, now time.Time, call time.Duration, _ timing) bool {
	return !now.Add(call).Before(item.expires)
}

// lateTooLong reports whether an item will be late and has been queued for longer than
// lateWait.
func lateTooLong(item *queuedItem, now time.Time, call time.Duration, t timing) bool {
	return now.Add(call).After(item.due) && now.Sub(item.since) > t.lateWait
}

// removeIf removes and returns the items to which a condition applies.
func (q *queue) removeIf(now time.Time, call time.Duration, applies condition) []*queuedItem {
	var dropped []*queuedItem
	q.items = slices.DeleteFunc(q.items, func(item *queuedItem) bool {
		if !applies(item, now, call, q.timing) {
			return false
		}
		delete(q.byKey, item.Key)
		dropped = append(dropped, item)
		return true
	})
	return dropped
}

// effectiveDue returns the due time by which items are ordered: the item's own, later for less
// urgent ranks.
func (q *queue) effectiveDue(item *queuedItem) time.Time {
	return item.due.Add(time.Duration(item.Rank) * q.timing.rankStep)
}

// fullWaitBytes is the number of cross-zone bytes from which on an item waits for the whole of
// zoneWait. Items with fewer bytes wait proportionally shorter.
const fullWaitBytes = 200_000

// zoneAllowed reports whether an item may go to a target in a zone now.
func (q *queue) zoneAllowed(item *queuedItem, zone string, now time.Time, call time.Duration) bool {
	if item.Zone == "" || item.Zone == zone || now.Add(call+q.timing.zoneWaitSlack).After(item.due) {
		return true
	}
	maxWait := time.Duration(float64(q.timing.zoneWait) * min(1, float64(item.CrossZoneBytes)/fullWaitBytes))
	return now.Sub(item.since) >= maxWait
}

// callSlot describes a target that can start a call, and the limits of that call.
type callSlot struct {
	target string
	zone   string
	// items is how many items the call may carry, space how many bytes of results.
	items int
	space int
	// call is the time of a call without any items, item the time that each item adds.
	call time.Duration
	item time.Duration
}

// maxItems returns how many items a call may carry so that the given item is in time. If
// that item would be late even alone, it imposes no limit.
func (slot callSlot) maxItems(queued *queuedItem, now time.Time) int {
	left := queued.due.Sub(now) - slot.call - deliverySlack
	if slot.item <= 0 || left < slot.item {
		return slot.items
	}
	return int(left / slot.item)
}

// deliverySlack is the time for sending a result to its owner.
const deliverySlack = 16 * time.Millisecond

// take removes and returns the items for one call: first those that can still be in time, then
// the late ones, each group in the order in which they are due. Items that will be late anyway
// gain nothing by running sooner, while each of them ahead of the others would make one more
// late.
func (q *queue) take(now time.Time, slot callSlot) []*queuedItem {
	if !q.leaveOut.Has(leaveout.DueOrder) {
		q.sort(now, slot.call)
	}
	anyZone := q.leaveOut.Has(leaveout.OwnZone)
	lightLoad := len(q.items) <= slot.items && !q.leaveOut.Has(leaveout.ShortCalls)
	var taken []*queuedItem
	rest := q.items[:0]
	for _, item := range q.items {
		if len(taken) >= slot.items || item.Bytes > slot.space || item.avoidTarget == slot.target || !(anyZone || q.zoneAllowed(item, slot.zone, now, slot.call)) {
			rest = append(rest, item)
			continue
		}
		if lightLoad {
			maxItems := slot.maxItems(item, now)
			if len(taken) >= maxItems {
				rest = append(rest, item)
				continue
			}
			slot.items = min(slot.items, maxItems)
		}
		slot.space -= item.Bytes
		taken = append(taken, item)
		delete(q.byKey, item.Key)
	}
	clear(q.items[len(rest):])
	q.items = rest
	return taken
}

// sort orders items that can still be in time before late ones, and each group by effective due
// time.
func (q *queue) sort(now time.Time, call time.Duration) {
	slices.SortStableFunc(q.items, func(a, b *queuedItem) int {
		lateA, lateB := now.Add(call).After(a.due), now.Add(call).After(b.due)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return q.effectiveDue(a).Compare(q.effectiveDue(b))
	})
}

// hasUrgent reports whether the queue holds an item with less than two calls' time left.
func (q *queue) hasUrgent(now time.Time, call time.Duration) bool {
	return slices.ContainsFunc(q.items, func(item *queuedItem) bool { return item.due.Sub(now) < 2*call })
}

// mostUrgentZone returns the preferred zone of the most urgent item; empty means any zone.
func (q *queue) mostUrgentZone() string {
	var first *queuedItem
	for _, item := range q.items {
		if first == nil || q.effectiveDue(item).Before(q.effectiveDue(first)) {
			first = item
		}
	}
	if first == nil {
		return ""
	}
	return first.Zone
}
