package gather

import (
	"math"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// ledger holds what a shard has promised to make, and decides what else it can
// promise. Once more is asked of a shard than it can make, working on all of it
// makes everything late: in a burst of 2.4 times a kind's rate with one target
// of five away, three quarters of all answers were late or lost for ten seconds,
// though capacity was there for three quarters. So a request is told at once,
// before its first stage, when what stands before it would make it late.
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
type ledger struct {
	leaveOut leaveout.Set
	promises map[groupKey]*promise
	ranks    map[int]*demand
}

// promise is the outstanding work of one stage of one request.
type promise struct {
	items int
	due   time.Time
	// unasked means that the items came without having been asked for.
	unasked bool
	serial  uint64
}

// capacity is what a shard can make.
type capacity struct {
	// rate in items a second.
	rate float64
	// call is what one call takes.
	call time.Duration
	// idle is tempo's.
	idle time.Duration
}

const (
	// demandMemory is over what time a rank's demand is averaged: longer than a
	// request takes, shorter than a burst, which lasts four to seven seconds.
	demandMemory = 2 * time.Second
	// leastShare of a rank's demand is admitted as if it were the most urgent,
	// so that no kind of request starves; the users' bound is a quarter of what
	// all requests get.
	leastShare = 0.35
	// usable is the part of the rate that is promised. The rest covers items that
	// fail, sizes that differ, and calls that aren't full because what waits is
	// best made at another target. In a burst that fills what is promised for
	// seconds, each hundredth too much makes answers late that were promised. Of
	// all answers 0.69 were worth their full price on the heaviest day of a site
	// of 59 VMs with 0.8, 0.74 with 0.7, 0.75 with 0.6, which refuses more; at one
	// of 82 VMs 0.79 with 0.8 and 0.82 with 0.7.
	usable = 0.7
	// forget is how long after its due time a promise counts that nobody has
	// redeemed.
	forget = time.Second
)

// demand is what requests of one rank asked for lately.
type demand struct {
	asked    float64 // items a second
	admitted float64
	lead     time.Duration // how long before its due time such work is asked for
	at       time.Time
}

// leadWeight is how much one request counts in the mean lead.
const leadWeight = 0.1

func (d *demand) note(items int, lead time.Duration) {
	d.asked += float64(items) / demandMemory.Seconds()
	if d.lead == 0 {
		d.lead = lead
	}
	d.lead += time.Duration(leadWeight * float64(lead-d.lead))
}

func (d *demand) decay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandMemory))
	d.asked *= keep
	d.admitted *= keep
	d.at = now
}

func (d *demand) starved() bool { return d.admitted < leastShare*d.asked }

func newLedger(leaveOut leaveout.Set) *ledger {
	return &ledger{leaveOut: leaveOut, promises: map[groupKey]*promise{}, ranks: map[int]*demand{}}
}

func (l *ledger) demandOf(rank int, now time.Time) *demand {
	d := l.ranks[rank]
	if d == nil {
		d = &demand{at: now}
		l.ranks[rank] = d
	}
	d.decay(now)
	return d
}

// ask decides whether the shard promises some work. Where it doesn't, excess is
// about how much sooner the work should have come, or how much later it could.
func (l *ledger) ask(now time.Time, key groupKey, rank int, p promise, c capacity) (granted bool, excess time.Duration) {
	d := l.demandOf(rank, now)
	d.note(p.items, p.due.Sub(now))
	reserved := 0.0
	starved := d.starved() && !l.leaveOut.Has(leaveout.LeastShare)
	if !starved && !l.leaveOut.Has(leaveout.Reserve) {
		reserved = l.moreUrgent(rank, now, p.due)
	}
	excess = l.excess(now, p, reserved, c)
	if excess > 0 {
		return false, excess
	}
	d.admitted += float64(p.items) / demandMemory.Seconds()
	l.promises[key] = &p
	return true, 0
}

// moreUrgent is how many items of the ranks before this one are still to come
// that will be due by a time.
func (l *ledger) moreUrgent(rank int, now, due time.Time) float64 {
	total := 0.0
	for other := range l.ranks {
		if other >= rank {
			continue
		}
		d := l.demandOf(other, now)
		total += d.asked * max(due.Sub(now)-d.lead, 0).Seconds()
	}
	return total
}

// excess is how much later than due something would be made if the work were
// added; 0 or less where all is in time.
func (l *ledger) excess(now time.Time, p promise, reserved float64, c capacity) time.Duration {
	l.sweep(now)
	rate := usable * c.rate
	if rate <= 0 {
		return c.call
	}
	if float64(l.standing())/rate <= c.idle.Seconds() {
		return 0
	}
	late := func(work float64, due time.Time) time.Duration {
		return seconds(work/rate) - (due.Sub(now) - c.call)
	}
	// work is what is due by the promise at hand, in the order of due times.
	work, worst, seen := 0.0, time.Duration(math.MinInt64), false
	for _, other := range l.byDue() {
		if !seen && other.due.After(p.due) {
			seen = true
			work += float64(p.items)
			worst = max(worst, late(work+reserved, p.due))
		}
		work += float64(other.items)
		if seen {
			worst = max(worst, late(work, other.due))
		}
	}
	if !seen {
		worst = max(worst, late(work+float64(p.items)+reserved, p.due))
	}
	return worst
}

// byDue lists the promises, the one that is due first in front.
func (l *ledger) byDue() []*promise {
	list := make([]*promise, 0, len(l.promises))
	for _, p := range l.promises {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *promise) int { return a.due.Compare(b.due) })
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// standing counts all items promised and not yet begun.
func (l *ledger) standing() int {
	total := 0
	for _, p := range l.promises {
		total += p.items
	}
	return total
}

// begun notes that an item is being made.
func (l *ledger) begun(k Key) {
	p := l.promises[k.group()]
	if p == nil {
		return
	}
	p.items--
	if p.items <= 0 {
		delete(l.promises, k.group())
	}
}

// note adds an item that came without having been asked for.
func (l *ledger) note(key groupKey, due time.Time, serial uint64) {
	p := l.promises[key]
	if p == nil {
		p = &promise{due: due, unasked: true, serial: serial}
		l.promises[key] = p
	}
	if p.unasked {
		p.items++
	}
}

// drop forgets what a request wanted under a serial up to the given one.
func (l *ledger) drop(request string, upTo uint64) {
	for key, p := range l.promises {
		if key.Request == request && p.serial <= upTo {
			delete(l.promises, key)
		}
	}
}

func (l *ledger) sweep(now time.Time) {
	for key, p := range l.promises {
		if now.After(p.due.Add(forget)) {
			delete(l.promises, key)
		}
	}
}

// sustained is what a shard can make in the long run: as many items a call as
// fit into a batch and into half of the room, since the results of one call
// still lie there when the next begins.
func sustained(targets float64, b *plan.Batch, room, itemBytes int) capacity {
	n := float64(b.Size)
	if itemBytes > 0 {
		n = min(n, max(roomShare*float64(room)/float64(itemBytes)/2, 1))
	}
	took := b.CallTime + time.Duration(n*float64(b.ItemTime))
	return capacity{rate: targets * n / took.Seconds(), call: took, idle: tempoOf(b).idle}
}

// meanSize keeps a moving mean of the size of results, in bytes.
type meanSize struct{ mean float64 }

// sizeWeight is how much one item counts: about the last fifty decide.
const sizeWeight = 0.02

func (m *meanSize) add(bytes int) {
	if m.mean == 0 {
		m.mean = float64(bytes)
	}
	m.mean += sizeWeight * (float64(bytes) - m.mean)
}
