package gather

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

var start = time.Unix(1000, 0)

const callTime = 240 * time.Millisecond

// testTiming is the timing for calls that take callTime.
var testTiming = timingOf(&plan.Batch{CallTime: callTime})

func item(request string, due time.Duration) *queuedItem {
	return &queuedItem{
		Item: Item{Key: Key{Request: request}, Bytes: 10}, due: start.Add(due), expires: start.Add(10 * time.Second), since: start,
	}
}

func queueOf(items ...*queuedItem) *queue {
	q := newQueue(leaveout.Set{})
	q.timing = testTiming
	for _, w := range items {
		q.add(w)
	}
	return q
}

func requestsOf(list []*queuedItem) []string {
	var out []string
	for _, w := range list {
		out = append(out, w.Request)
	}
	return out
}

func slotFor(items int) callSlot {
	return callSlot{target: "t", zone: "a", items: items, space: 1000, call: callTime}
}

func TestEarliestDueFirst(t *testing.T) {
	q := queueOf(item("c", 3*time.Second), item("a", time.Second), item("b", 2*time.Second))
	assert.DeepEqual(t, requestsOf(q.take(start, slotFor(2))), []string{"a", "b"})
	assert.DeepEqual(t, requestsOf(q.take(start, slotFor(2))), []string{"c"})
}

// An item that will be late anyway has the earliest due time. If it ran first, it would make an
// item late that could still be in time, and so on through the queue.
func TestLateItemsLast(t *testing.T) {
	q := queueOf(item("late", 100*time.Millisecond), item("in time", 300*time.Millisecond))
	assert.DeepEqual(t, requestsOf(q.take(start, slotFor(1))), []string{"in time"})
}

func TestMoreUrgentRankFirst(t *testing.T) {
	urgent, other := item("urgent", time.Second), item("other", 990*time.Millisecond)
	other.Rank = 2
	q := queueOf(other, urgent)
	assert.DeepEqual(t, requestsOf(q.take(start, slotFor(1))), []string{"urgent"})
}

func TestTakeIsBoundByBufferSpace(t *testing.T) {
	q := queueOf(item("a", time.Second), item("b", 2*time.Second))
	slot := slotFor(5)
	slot.space = 15
	assert.DeepEqual(t, requestsOf(q.take(start, slot)), []string{"a"})
}

// An urgent item must not be late because its call also carries many items that have time left.
func TestCallSizeIsBoundByMostUrgentItem(t *testing.T) {
	slot := slotFor(20)
	slot.item = 10 * time.Millisecond
	urgent := callTime + deliverySlack + 35*time.Millisecond
	var items []*queuedItem
	for i := range 10 {
		items = append(items, item(fmt.Sprint("patient-", i), 4*callTime))
	}
	items = append(items, item("urgent", urgent))
	taken := queueOf(items...).take(start, slot)
	assert.Equal(t, taken[0].Request, "urgent")
	assert.Equal(t, len(taken), 3)

	for i := range 15 {
		items = append(items, item(fmt.Sprint("more-", i), 4*callTime))
	}
	assert.Equal(t, len(queueOf(items...).take(start, slot)), 20, "under load calls are full")
}

func TestItemIsNotRetriedOnTargetThatFailedIt(t *testing.T) {
	w := item("a", time.Second)
	w.avoidTarget = "t"
	q := queueOf(w)
	assert.Equal(t, len(q.take(start, slotFor(5))), 0)
	slot := slotFor(5)
	slot.target = "u"
	assert.Equal(t, len(q.take(start, slot)), 1)
}

func TestItemWaitsForItsZoneWhileItHasTime(t *testing.T) {
	far := func(due time.Duration) *queue {
		w := item("far", due)
		w.Zone, w.CrossZoneBytes = "b", fullWaitBytes
		return queueOf(w)
	}
	assert.Equal(t, len(far(2*time.Second).take(start, slotFor(5))), 0, "it has time")
	assert.Equal(t, len(far(2*time.Second).take(start.Add(testTiming.zoneWait), slotFor(5))), 1, "it has waited")
	assert.Equal(t, len(far(400*time.Millisecond).take(start, slotFor(5))), 1, "it has no time")
	slot := slotFor(5)
	slot.zone = "b"
	assert.Equal(t, len(far(2*time.Second).take(start, slot)), 1, "the target is in its zone")
	small := far(2 * time.Second)
	small.items[0].CrossZoneBytes = fullWaitBytes / 100
	assert.Equal(t, len(small.take(start.Add(5*time.Millisecond), slotFor(5))), 1, "its inputs are small")
}

// Late items wait behind those in time, and meanwhile their inputs fill small buffers, which
// makes the others late too. Without a limit their callers would wait until the deadline for
// nothing.
func TestLateItemsAreDropped(t *testing.T) {
	q := queueOf(item("late", 100*time.Millisecond), item("in time", 5*time.Second))
	assert.Equal(t, len(q.removeIf(start.Add(testTiming.lateWait), callTime, lateTooLong)), 0)
	assert.DeepEqual(t, requestsOf(q.removeIf(start.Add(testTiming.lateWait+time.Millisecond), callTime, lateTooLong)), []string{"late"})
	assert.Equal(t, len(q.removeIf(start.Add(9*time.Second), callTime, pastDeadline)), 0)
	assert.DeepEqual(t, requestsOf(q.removeIf(start.Add(10*time.Second), callTime, pastDeadline)), []string{"in time"})
	assert.Equal(t, q.len(), 0)
}

func TestItemsOfCancelledRequestAreRemoved(t *testing.T) {
	q := queueOf(item("a", time.Second), item("b", time.Second))
	q.removeRequest("a", 0)
	assert.Equal(t, q.len(), 1)
	assert.Assert(t, !q.has(Key{Request: "a"}))
	q.add(item("b", time.Second))
	assert.Equal(t, q.len(), 1, "an item submitted twice is queued once")
}

func TestReservationsAreBoundByCapacity(t *testing.T) {
	res := newReservations(leaveout.Set{})
	available := capacity{rate: 100, call: 400 * time.Millisecond, idleBacklog: testTiming.idleBacklog}
	granted := 0
	for i := range 100 {
		key := groupKey{Request: string(rune('a'+i%26)) + string(rune('a'+i/26))}
		if ok, _ := res.reserve(start, key, 1, reservation{items: 4, due: start.Add(1400 * time.Millisecond)}, available); ok {
			granted++
		}
	}
	// One second of work at 70 items per second, the share that can be reserved.
	assert.Equal(t, granted, 70/4)
}

// A request must not be accepted if it would make one late that was reserved before and is due
// later.
func TestNewReservationDoesNotDelayEarlierOnes(t *testing.T) {
	res := newReservations(leaveout.Set{})
	available := capacity{rate: 100, call: 400 * time.Millisecond, idleBacklog: testTiming.idleBacklog}
	ok, _ := res.reserve(start, groupKey{Request: "big"}, 0, reservation{items: 140, due: start.Add(2 * time.Second)}, available)
	assert.Assert(t, ok)
	ok, lateness := res.reserve(start, groupKey{Request: "small"}, 0, reservation{items: 20, due: start.Add(1900 * time.Millisecond)}, available)
	assert.Assert(t, !ok)
	assert.Assert(t, lateness > 0)
}

// An idle shard accepts work that will be late: the answer is still useful, and it takes no
// other request's place.
func TestIdleShardReservesLateWork(t *testing.T) {
	res := newReservations(leaveout.Set{})
	ok, _ := res.reserve(start, groupKey{Request: "a"}, 0, reservation{items: 5, due: start.Add(-time.Second)}, capacity{rate: 100, call: callTime, idleBacklog: testTiming.idleBacklog})
	assert.Assert(t, ok)
}

// A burst of urgent requests could keep out the least urgent class for as long as it lasts.
// That class is admitted about a third of what it requests; the test requires a quarter.
func TestReservationsStarveNoRank(t *testing.T) {
	res := newReservations(leaveout.Set{})
	available := capacity{rate: 100, call: 400 * time.Millisecond, idleBacklog: testTiming.idleBacklog}
	asked, got := 0, 0
	now := start
	for i := range 400 {
		now = now.Add(25 * time.Millisecond)
		key := groupKey{Request: "u", Stage: i}
		res.reserve(now, key, 0, reservation{items: 4, due: now.Add(900 * time.Millisecond)}, available)
		if i%4 == 0 {
			asked++
			key := groupKey{Request: "l", Stage: i}
			if ok, _ := res.reserve(now, key, 2, reservation{items: 4, due: now.Add(1400 * time.Millisecond)}, available); ok {
				got++
			}
		}
		startItems(res, now, 2.5)
	}
	assert.Assert(t, float64(got) >= 0.25*float64(asked), "%d of %d", got, asked)
}

// startItems starts n items, those due first.
func startItems(res *reservations, _ time.Time, n float64) {
	for range int(n) {
		var first groupKey
		var due time.Time
		for key, p := range res.held {
			if due.IsZero() || p.due.Before(due) {
				first, due = key, p.due
			}
		}
		res.itemStarted(Key{Request: first.Request, Stage: first.Stage})
	}
}

func TestSustainedRateIsBoundByBatchOrBuffer(t *testing.T) {
	byBatch := sustainedCapacity(5, &plan.Batch{Size: 12, CallTime: callTime, ItemTime: 17 * time.Millisecond}, 14_000_000, 8000)
	assert.Equal(t, byBatch.call, 444*time.Millisecond)
	byBuffer := sustainedCapacity(4, &plan.Batch{Size: 34, CallTime: callTime, ItemTime: 6 * time.Millisecond}, 3_700_000, 60000)
	assert.Assert(t, byBuffer.rate > 250 && byBuffer.rate < 290, "%v", byBuffer)
	assert.Equal(t, sustainedCapacity(0, &plan.Batch{Size: 12, CallTime: callTime}, 1, 1).rate, 0.0)
}

func TestResultsReleasedEarlyAreNotReleasedTwice(t *testing.T) {
	b := &buffer{}
	b.put("a", 50, start.Add(time.Second))
	assert.DeepEqual(t, b.selectReleasable([]string{"a"}, false, 1000), []string(nil))
	b.put("b", 200, start.Add(time.Second))
	assert.DeepEqual(t, b.selectReleasable([]string{"b"}, false, 1000), []string{"b"})
	assert.DeepEqual(t, b.selectReleasable([]string{"a", "b"}, true, 1000), []string{"a"})
	b.dropExpired(start.Add(2 * time.Second))
	assert.Equal(t, b.bytes, 0)
}

func TestInputsAreReleasedAfterLastReader(t *testing.T) {
	tracker := inputTracker{}
	items := []Item{
		{Key: Key{Request: "r", Stage: 1, Piece: 0}, Inputs: []string{"h"}, LastReader: true},
		{Key: Key{Request: "r", Stage: 1, Piece: 1}, Inputs: []string{"h"}, LastReader: true},
	}
	for _, item := range items {
		tracker.add(item)
	}
	assert.Equal(t, len(tracker.inputsFetched(items[:1])), 0)
	assert.Equal(t, len(tracker.inputsFetched(items)), 1)
	assert.Equal(t, len(tracker.inputsFetched(items)), 0, "returned once")
	assert.Assert(t, tracker.completed(items[0].Key) == nil)
	assert.DeepEqual(t, tracker.completed(items[1].Key).inputs, []string{"h"})
	assert.Assert(t, tracker.completed(items[1].Key) == nil)
}

// An item whose inputs were freed early fails. A second call would only waste the time in which
// its request could restart its stages.
func TestReleasedInputsAreTracked(t *testing.T) {
	tracker := inputTracker{}
	for _, request := range []string{"r", "q"} {
		tracker.add(Item{Key: Key{Request: request, Stage: 1}, Inputs: []string{request + "-input"}, LastReader: true})
	}
	tracker.markReleased(map[string]bool{"r-input": true, "another": true})
	assert.Assert(t, tracker.released(Key{Request: "r", Stage: 1}))
	assert.Assert(t, !tracker.released(Key{Request: "q", Stage: 1}))
	assert.Assert(t, !tracker.released(Key{Request: "gone", Stage: 1}))
}

func TestSlowTargetIsSkippedForAWhile(t *testing.T) {
	p := &pace{}
	p.record(300*time.Millisecond, 300*time.Millisecond, start)
	assert.Assert(t, !p.slow(start))
	p.record(1200*time.Millisecond, 300*time.Millisecond, start)
	assert.Assert(t, p.slow(start))
	assert.Assert(t, !p.slow(start.Add(slowPause)))
	p.record(300*time.Millisecond, 300*time.Millisecond, start.Add(slowPause))
	p.record(300*time.Millisecond, 300*time.Millisecond, start.Add(slowPause))
	assert.Assert(t, !p.slow(start.Add(slowPause)))
}

// The previous gatherer has died, and its results fill the buffers until they expire. A target
// that reports no space must get only as many items as space becomes free.
func TestBufferFullOfForeignResults(t *testing.T) {
	b := &buffer{}
	b.put("ours", 300, start.Add(4*time.Second))
	b.markFull(1000, start.Add(foreignTime))
	assert.Equal(t, b.bytes, 1000)
	assert.Equal(t, b.foreign(), 700)
	b.markFull(1000, start.Add(2*foreignTime))
	assert.Equal(t, b.bytes, 1000, "reported twice")
	b.drop("ours")
	assert.Equal(t, b.bytes, 700, "freed space may be used")
	b.dropExpired(start.Add(2*foreignTime + 1))
	assert.Equal(t, b.bytes, 0)
}

// Items are submitted without a reservation here because the gatherer of their shard has
// changed. Each of them must be counted.
func TestReservationsCountUnreservedItems(t *testing.T) {
	res := newReservations(leaveout.Set{})
	key := groupKey{Request: "r", Stage: 1}
	for range 3 {
		res.addItem(key, start.Add(time.Second), 0)
	}
	assert.Equal(t, res.outstanding(), 3)
	res.itemStarted(Key{Request: "r", Stage: 1})
	assert.Equal(t, res.outstanding(), 2)
	ok, _ := res.reserve(start, groupKey{Request: "s"}, 0, reservation{items: 4, due: start.Add(time.Second)}, capacity{rate: 100, call: callTime, idleBacklog: testTiming.idleBacklog})
	assert.Assert(t, ok)
	res.addItem(groupKey{Request: "s"}, start.Add(time.Second), 0)
	assert.Equal(t, res.outstanding(), 6, "reserved items are counted once")
	res.drop("r", 0)
	assert.Equal(t, res.outstanding(), 4)
}

// A request loses an input and restarts its stages. The cancellation of the first attempt is
// overtaken by the items of the second. If it removed those too, the request would wait until
// lost items are checked for.
func TestCancellationKeepsLaterAttempt(t *testing.T) {
	first, second := item("r", time.Second), item("r", time.Second)
	first.Serial, second.Serial = 3, 5
	second.Piece = 1
	q := queueOf(first, second)
	q.removeRequest("r", 4)
	assert.Equal(t, q.len(), 1)
	assert.Assert(t, q.has(second.Key))
	res := newReservations(leaveout.Set{})
	res.addItem(groupKey{Request: "r"}, start.Add(time.Second), 5)
	res.drop("r", 4)
	assert.Equal(t, res.outstanding(), 1)
	tracker := inputTracker{}
	tracker.add(Item{Key: second.Key, Serial: 5, LastReader: true})
	tracker.drop("r", 4)
	assert.Equal(t, len(tracker.groups), 1)
	tracker.drop("r", 5)
	assert.Equal(t, len(tracker.groups), 0)
}

// Measures a reservation at a shard with 300 outstanding ones, three times as many as at a busy
// shard of the largest site tried.
func BenchmarkReserve(b *testing.B) {
	res := newReservations(leaveout.Set{})
	for i := range 300 {
		res.addItem(groupKey{Request: "r", Stage: i}, start.Add(time.Duration(i)*10*time.Millisecond), 0)
	}
	available := capacity{rate: 10, call: callTime, idleBacklog: testTiming.idleBacklog}
	for b.Loop() {
		res.reserve(start, groupKey{Request: "s"}, 1, reservation{items: 4, due: start.Add(time.Second)}, available)
	}
}

func TestWeakVMsDoNotGather(t *testing.T) {
	membersWith := func(percentages ...int) []peer.Member {
		var list []peer.Member
		for i, cpuPercent := range percentages {
			list = append(list, peer.Member{Incarnation: peer.Incarnation(rune('a' + i)), CPUPercent: cpuPercent})
		}
		return list
	}
	assert.DeepEqual(t, peer.SelectByCPU(membersWith(80, 19, 40, 39)), []peer.Incarnation{"a", "c"})
	assert.Equal(t, len(peer.SelectByCPU(membersWith(0, 0, 0))), 3, "all are eligible if none announces its CPU percentage")
	assert.Equal(t, len(peer.SelectByCPU(membersWith(19))), 1)
}
