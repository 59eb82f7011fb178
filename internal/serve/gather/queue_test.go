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

// usual is the pacing of calls that take callTime.
var usual = pacingOf(&plan.Batch{CallTime: callTime})

func item(request string, due time.Duration) *waiting {
	return &waiting{
		Item: Item{Key: Key{Request: request}, Bytes: 10}, due: start.Add(due), expires: start.Add(10 * time.Second), since: start,
	}
}

func queueOf(items ...*waiting) *queue {
	q := newQueue(leaveout.Set{})
	q.pacing = usual
	for _, w := range items {
		q.add(w)
	}
	return q
}

func names(list []*waiting) []string {
	var out []string
	for _, w := range list {
		out = append(out, w.Request)
	}
	return out
}

func anyTarget(items int) offer {
	return offer{target: "t", zone: "a", items: items, space: 1000, call: callTime}
}

func TestWhatIsDueFirstGoesFirst(t *testing.T) {
	q := queueOf(item("c", 3*time.Second), item("a", time.Second), item("b", 2*time.Second))
	assert.DeepEqual(t, names(q.take(start, anyTarget(2))), []string{"a", "b"})
	assert.DeepEqual(t, names(q.take(start, anyTarget(2))), []string{"c"})
}

// An item that is late whatever happens stands first by its due time. If it
// went first it would make one late that could still be in time, and so on
// through the queue.
func TestWhatIsLateAnywayGoesLast(t *testing.T) {
	q := queueOf(item("late", 100*time.Millisecond), item("in time", 300*time.Millisecond))
	assert.DeepEqual(t, names(q.take(start, anyTarget(1))), []string{"in time"})
}

func TestTheMoreUrgentOfTwoThatAreDueTogether(t *testing.T) {
	urgent, other := item("urgent", time.Second), item("other", 990*time.Millisecond)
	other.Rank = 2
	q := queueOf(other, urgent)
	assert.DeepEqual(t, names(q.take(start, anyTarget(1))), []string{"urgent"})
}

func TestOnlyWhatTheBufferHolds(t *testing.T) {
	q := queueOf(item("a", time.Second), item("b", 2*time.Second))
	o := anyTarget(5)
	o.space = 15
	assert.DeepEqual(t, names(q.take(start, o)), []string{"a"})
}

// An urgent item shares its call with many others and comes late, though they have time.
func TestACallCarriesNoMoreThanItsMostUrgentItemHasTimeFor(t *testing.T) {
	o := anyTarget(20)
	o.item = 10 * time.Millisecond
	urgent := callTime + handSlack + 35*time.Millisecond
	var items []*waiting
	for i := range 10 {
		items = append(items, item(fmt.Sprint("patient-", i), 4*callTime))
	}
	items = append(items, item("urgent", urgent))
	taken := queueOf(items...).take(start, o)
	assert.Equal(t, taken[0].Request, "urgent")
	assert.Equal(t, len(taken), 3)

	for i := range 15 {
		items = append(items, item(fmt.Sprint("more-", i), 4*callTime))
	}
	assert.Equal(t, len(queueOf(items...).take(start, o)), 20, "under load calls are full")
}

func TestNotAgainToTheTargetThatFailedIt(t *testing.T) {
	w := item("a", time.Second)
	w.avoid = "t"
	q := queueOf(w)
	assert.Equal(t, len(q.take(start, anyTarget(5))), 0)
	o := anyTarget(5)
	o.target = "u"
	assert.Equal(t, len(q.take(start, o)), 1)
}

func TestAnItemWaitsForItsZoneWhileItHasTime(t *testing.T) {
	far := func(due time.Duration) *queue {
		w := item("far", due)
		w.Zone, w.CrossZoneBytes = "b", crossFull
		return queueOf(w)
	}
	assert.Equal(t, len(far(2*time.Second).take(start, anyTarget(5))), 0, "it has time")
	assert.Equal(t, len(far(2*time.Second).take(start.Add(usual.zonePatience), anyTarget(5))), 1, "it has waited")
	assert.Equal(t, len(far(400*time.Millisecond).take(start, anyTarget(5))), 1, "it has no time")
	o := anyTarget(5)
	o.zone = "b"
	assert.Equal(t, len(far(2*time.Second).take(start, o)), 1, "it is there")
	small := far(2 * time.Second)
	small.items[0].CrossZoneBytes = crossFull / 100
	assert.Equal(t, len(small.take(start.Add(5*time.Millisecond), anyTarget(5))), 1, "it is small")
}

// Late items wait behind those in time, and their inputs fill small buffers
// meanwhile, which makes the others late too. Their callers would wait until
// their deadline for nothing.
func TestLateItemsWithoutAPlaceAreGivenUp(t *testing.T) {
	q := queueOf(item("late", 100*time.Millisecond), item("in time", 5*time.Second))
	assert.Equal(t, len(q.drop(start.Add(usual.lateWait), callTime, hopeless)), 0)
	assert.DeepEqual(t, names(q.drop(start.Add(usual.lateWait+time.Millisecond), callTime, hopeless)), []string{"late"})
	assert.Equal(t, len(q.drop(start.Add(9*time.Second), callTime, overdue)), 0)
	assert.DeepEqual(t, names(q.drop(start.Add(10*time.Second), callTime, overdue)), []string{"in time"})
	assert.Equal(t, q.len(), 0)
}

func TestItemsOfARequestThatWasGivenUpAreDropped(t *testing.T) {
	q := queueOf(item("a", time.Second), item("b", time.Second))
	q.remove("a", 0)
	assert.Equal(t, q.len(), 1)
	assert.Assert(t, !q.has(Key{Request: "a"}))
	q.add(item("b", time.Second))
	assert.Equal(t, q.len(), 1, "an item handed over twice waits once")
}

func TestReservationsTakeOnlyWhatCanBeMade(t *testing.T) {
	l := newReservations(leaveout.Set{})
	can := capacity{rate: 100, call: 400 * time.Millisecond, idle: usual.idle}
	granted := 0
	for i := range 100 {
		key := groupKey{Request: string(rune('a'+i%26)) + string(rune('a'+i/26))}
		if ok, _ := l.ask(start, key, 1, reservation{items: 4, due: start.Add(1400 * time.Millisecond)}, can); ok {
			granted++
		}
	}
	// A second of work at 70 items a second, the part that is reserved.
	assert.Equal(t, granted, 70/4)
}

// A request that is due later must not be accepted at the cost of one that was
// reserved before and is due later still.
func TestReservationsKeepEarlierOnes(t *testing.T) {
	l := newReservations(leaveout.Set{})
	can := capacity{rate: 100, call: 400 * time.Millisecond, idle: usual.idle}
	ok, _ := l.ask(start, groupKey{Request: "big"}, 0, reservation{items: 140, due: start.Add(2 * time.Second)}, can)
	assert.Assert(t, ok)
	ok, excess := l.ask(start, groupKey{Request: "small"}, 0, reservation{items: 20, due: start.Add(1900 * time.Millisecond)}, can)
	assert.Assert(t, !ok)
	assert.Assert(t, excess > 0)
}

// With nothing else to do a shard makes what is late anyway: the answer is still
// of use, and takes nobody's place.
func TestReservationsTakeLateWorkWhenIdle(t *testing.T) {
	l := newReservations(leaveout.Set{})
	ok, _ := l.ask(start, groupKey{Request: "a"}, 0, reservation{items: 5, due: start.Add(-time.Second)}, capacity{rate: 100, call: callTime, idle: usual.idle})
	assert.Assert(t, ok)
}

// A burst of urgent requests could keep the least urgent kind out for as long as
// it lasts. It gets a third of what it asks for.
func TestReservationsStarveNoRank(t *testing.T) {
	l := newReservations(leaveout.Set{})
	can := capacity{rate: 100, call: 400 * time.Millisecond, idle: usual.idle}
	asked, got := 0, 0
	now := start
	for i := range 400 {
		now = now.Add(25 * time.Millisecond)
		key := groupKey{Request: "u", Stage: i}
		l.ask(now, key, 0, reservation{items: 4, due: now.Add(900 * time.Millisecond)}, can)
		if i%4 == 0 {
			asked++
			key := groupKey{Request: "l", Stage: i}
			if ok, _ := l.ask(now, key, 2, reservation{items: 4, due: now.Add(1400 * time.Millisecond)}, can); ok {
				got++
			}
		}
		work(l, now, 2.5)
	}
	assert.Assert(t, float64(got) >= 0.25*float64(asked), "%d of %d", got, asked)
}

// work makes n items of what is due first.
func work(l *reservations, _ time.Time, n float64) {
	for range int(n) {
		var first groupKey
		var due time.Time
		for key, p := range l.held {
			if due.IsZero() || p.due.Before(due) {
				first, due = key, p.due
			}
		}
		l.begun(Key{Request: first.Request, Stage: first.Stage})
	}
}

func TestSustainedRateIsBoundByBatchOrBuffer(t *testing.T) {
	byBatch := sustained(5, &plan.Batch{Size: 12, CallTime: callTime, ItemTime: 17 * time.Millisecond}, 14_000_000, 8000)
	assert.Equal(t, byBatch.call, 444*time.Millisecond)
	byBuffer := sustained(4, &plan.Batch{Size: 34, CallTime: callTime, ItemTime: 6 * time.Millisecond}, 3_700_000, 60000)
	assert.Assert(t, byBuffer.rate > 250 && byBuffer.rate < 290, "%v", byBuffer)
	assert.Equal(t, sustained(0, &plan.Batch{Size: 12, CallTime: callTime}, 1, 1).rate, 0.0)
}

func TestResultsGivenBackEarlyAreNotGivenBackTwice(t *testing.T) {
	r := &buffer{}
	r.put("a", 50, start.Add(time.Second))
	assert.DeepEqual(t, r.release([]string{"a"}, false, 1000), []string(nil))
	r.put("b", 200, start.Add(time.Second))
	assert.DeepEqual(t, r.release([]string{"b"}, false, 1000), []string{"b"})
	assert.DeepEqual(t, r.release([]string{"a", "b"}, true, 1000), []string{"a"})
	r.sweep(start.Add(2 * time.Second))
	assert.Equal(t, r.bytes, 0)
}

func TestInputsAreGivenBackWhenTheLastOfTheirReadersIsDone(t *testing.T) {
	f := feeding{}
	items := []Item{
		{Key: Key{Request: "r", Stage: 1, Piece: 0}, Inputs: []string{"h"}, LastReader: true},
		{Key: Key{Request: "r", Stage: 1, Piece: 1}, Inputs: []string{"h"}, LastReader: true},
	}
	for _, item := range items {
		f.add(item)
	}
	assert.Equal(t, len(f.fetched(items[:1])), 0)
	assert.Equal(t, len(f.fetched(items)), 1)
	assert.Equal(t, len(f.fetched(items)), 0, "told once")
	assert.Assert(t, f.made(items[0].Key) == nil)
	assert.DeepEqual(t, f.made(items[1].Key).inputs, []string{"h"})
	assert.Assert(t, f.made(items[1].Key) == nil)
}

// An item fails whose inputs were given back early. A second call costs its request the
// time in which its stages could have started over.
func TestInputsThatWereGivenBackAreKnown(t *testing.T) {
	f := feeding{}
	for _, request := range []string{"r", "q"} {
		f.add(Item{Key: Key{Request: request, Stage: 1}, Inputs: []string{request + "-input"}, LastReader: true})
	}
	f.noteReleased(map[string]bool{"r-input": true, "another": true})
	assert.Assert(t, f.released(Key{Request: "r", Stage: 1}))
	assert.Assert(t, !f.released(Key{Request: "q", Stage: 1}))
	assert.Assert(t, !f.released(Key{Request: "gone", Stage: 1}))
}

func TestASlowTargetIsPassedOverForAWhile(t *testing.T) {
	p := &pace{}
	p.took(300*time.Millisecond, 300*time.Millisecond, start)
	assert.Assert(t, !p.slow(start))
	p.took(1200*time.Millisecond, 300*time.Millisecond, start)
	assert.Assert(t, p.slow(start))
	assert.Assert(t, !p.slow(start.Add(slowPause)))
	p.took(300*time.Millisecond, 300*time.Millisecond, start.Add(slowPause))
	p.took(300*time.Millisecond, 300*time.Millisecond, start.Add(slowPause))
	assert.Assert(t, !p.slow(start.Add(slowPause)))
}

// The process that gathered before has died, and its results fill the buffers
// until they lapse. A target that says it has no space isn't asked for more than
// what falls free.
func TestABufferFullOfForeignResults(t *testing.T) {
	r := &buffer{}
	r.put("ours", 300, start.Add(4*time.Second))
	r.full(1000, start.Add(foreignTime))
	assert.Equal(t, r.bytes, 1000)
	assert.Equal(t, r.foreign(), 700)
	r.full(1000, start.Add(2*foreignTime))
	assert.Equal(t, r.bytes, 1000, "told twice")
	r.drop("ours")
	assert.Equal(t, r.bytes, 700, "what is given back may be used")
	r.sweep(start.Add(2*foreignTime + 1))
	assert.Equal(t, r.bytes, 0)
}

// Items come that nobody asked for: their request's gatherer has changed. Each
// of them counts.
func TestReservationsCountItemsThatNobodyAskedFor(t *testing.T) {
	l := newReservations(leaveout.Set{})
	key := groupKey{Request: "r", Stage: 1}
	for range 3 {
		l.note(key, start.Add(time.Second), 0)
	}
	assert.Equal(t, l.standing(), 3)
	l.begun(Key{Request: "r", Stage: 1})
	assert.Equal(t, l.standing(), 2)
	ok, _ := l.ask(start, groupKey{Request: "s"}, 0, reservation{items: 4, due: start.Add(time.Second)}, capacity{rate: 100, call: callTime, idle: usual.idle})
	assert.Assert(t, ok)
	l.note(groupKey{Request: "s"}, start.Add(time.Second), 0)
	assert.Equal(t, l.standing(), 6, "what was asked for is counted once")
	l.drop("r", 0)
	assert.Equal(t, l.standing(), 4)
}

// A request loses an input and starts its stages over. The cancellation of its
// first try is overtaken by the items of the second; if it took those out too,
// the request would wait until somebody looks after them.
func TestACancellationLeavesALaterTryAlone(t *testing.T) {
	first, second := item("r", time.Second), item("r", time.Second)
	first.Serial, second.Serial = 3, 5
	second.Piece = 1
	q := queueOf(first, second)
	q.remove("r", 4)
	assert.Equal(t, q.len(), 1)
	assert.Assert(t, q.has(second.Key))
	l := newReservations(leaveout.Set{})
	l.note(groupKey{Request: "r"}, start.Add(time.Second), 5)
	l.drop("r", 4)
	assert.Equal(t, l.standing(), 1)
	f := feeding{}
	f.add(Item{Key: second.Key, Serial: 5, LastReader: true})
	f.drop("r", 4)
	assert.Equal(t, len(f.groups), 1)
	f.drop("r", 5)
	assert.Equal(t, len(f.groups), 0)
}

// Asking a shard with 300 reservations outstanding, three times a busy shard's at the
// largest site tried.
func BenchmarkReservationsAsk(b *testing.B) {
	l := newReservations(leaveout.Set{})
	for i := range 300 {
		l.note(groupKey{Request: "r", Stage: i}, start.Add(time.Duration(i)*10*time.Millisecond), 0)
	}
	can := capacity{rate: 10, call: callTime, idle: usual.idle}
	for b.Loop() {
		l.ask(start, groupKey{Request: "s"}, 1, reservation{items: 4, due: start.Add(time.Second)}, can)
	}
}

func TestWeakVMsDoNotGather(t *testing.T) {
	of := func(powers ...int) []peer.Member {
		var list []peer.Member
		for i, power := range powers {
			list = append(list, peer.Member{Incarnation: peer.Incarnation(rune('a' + i)), Power: power})
		}
		return list
	}
	assert.DeepEqual(t, peer.SelectByCPU(of(80, 19, 40, 39)), []peer.Incarnation{"a", "c"})
	assert.Equal(t, len(peer.SelectByCPU(of(0, 0, 0))), 3, "where none tells, all do")
	assert.Equal(t, len(peer.SelectByCPU(of(19))), 1)
}
