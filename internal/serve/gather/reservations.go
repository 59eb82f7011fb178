package gather

import (
	"math"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// reservations holds the work for which a shard has reserved capacity, and decides on further
// reservations. If a shard accepted more work than it can process, all of it would become late.
// A request whose work can't be reserved is refused before its first stage.
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
type reservations struct {
	leaveOut leaveout.Set
	held     map[groupKey]*reservation
	demands  map[int]*demand
	shares   *fairShares
	places   returnPlaces
}

// reservation is the outstanding work of one stage of one request.
type reservation struct {
	items int
	due   time.Time
	// unreserved means that the items were submitted without a reservation.
	unreserved bool
	// claimsPlace means that the work comes back for its place. Its team's share was checked when the
	// place was granted, and isn't checked again.
	claimsPlace bool
	serial      uint64
	rank        int
	at          time.Time // when it was made
	// team and pieceKey are those of reserveCall; not set for unreserved items.
	team, pieceKey string
}

// capacity is the throughput of a shard.
type capacity struct {
	// rate is in items per second.
	rate float64
	// call is the time of one call.
	call time.Duration
	// idleBacklog is timing.idleBacklog.
	idleBacklog time.Duration
}

const (
	// demandWindow is the time constant over which a rank's demand is averaged: longer than a
	// request takes, and shorter than a burst, which lasts four to seven seconds.
	demandWindow = 2 * time.Second
	// minShare of a rank's demand is admitted as if it were the most urgent, so that no class
	// of requests starves. The users' requirement is at least a quarter of the admission rate
	// of all requests.
	minShare = 0.35
	// reservableShare is the share of a shard's rate that can be reserved. The rest covers
	// items that fail, differences in size, and calls that aren't full because queued items
	// wait for a target in their own zone.
	reservableShare = 0.7
	// reservationGrace is how long after its due time an unused reservation still counts.
	reservationGrace = time.Second
)

// demand is the recent demand of requests of one rank.
type demand struct {
	requested float64 // items per second
	admitted  float64
	lead      time.Duration // mean time from the reservation of such work to its due time
	updated   time.Time
}

// leadWeight is the weight of one request in the moving average of the lead.
const leadWeight = 0.1

func (d *demand) record(items int, lead time.Duration) {
	d.requested += float64(items) / demandWindow.Seconds()
	if d.lead == 0 {
		d.lead = lead
	}
	d.lead += time.Duration(leadWeight * float64(lead-d.lead))
}

func (d *demand) decay(now time.Time) {
	keep := keptAfter(now.Sub(d.updated))
	d.requested *= keep
	d.admitted *= keep
	d.updated = now
}

func (d *demand) starved() bool { return d.admitted < minShare*d.requested }

func newReservations(leaveOut leaveout.Set) *reservations {
	return &reservations{leaveOut: leaveOut, held: map[groupKey]*reservation{}, demands: map[int]*demand{}, shares: newFairShares()}
}

func (r *reservations) demandOf(rank int, now time.Time) *demand {
	d := r.demands[rank]
	if d == nil {
		d = &demand{updated: now}
		r.demands[rank] = d
	}
	d.decay(now)
	return d
}

// reserve decides whether the shard reserves capacity for some work. If it doesn't, lateness is
// about how much earlier the work should have been requested, or how much later it would have
// to be due.
func (r *reservations) reserve(now time.Time, key groupKey, rank int, p reservation, c capacity) (granted bool, lateness time.Duration) {
	d := r.demandOf(rank, now)
	d.record(p.items, p.due.Sub(now))
	reserved, places := r.reservedFor(rank, now, p.due), r.places.upToRank(now, rank)
	p.rank, p.at = rank, now
	fair := !r.leaveOut.Has(leaveout.TeamShares)
	claimed, cause := 0.0, NoShareCause
	if fair {
		r.shares.request(now, key.Stage, p)
		if !p.claimsPlace {
			claimed, cause = r.shares.claims(now, p, c, r.held)
		}
	}
	lateness = r.lateness(now, p, reserved+claimed, c, places)
	if lateness > 0 {
		if fair {
			if claimed == 0 || r.lateness(now, p, reserved, c, places) > 0 {
				cause = NoShareCause
			}
			r.shares.refusedAt(now, key.Stage, p, cause)
		}
		return false, lateness
	}
	if fair {
		r.shares.granted(p)
	}
	d.admitted += float64(p.items) / demandWindow.Seconds()
	r.held[key] = &p
	return true, 0
}

// reservedFor returns how many items are kept for more urgent ranks beside work that is due by the
// given time: none for a rank that is starved.
func (r *reservations) reservedFor(rank int, now, due time.Time) float64 {
	starved := r.demandOf(rank, now).starved() && !r.leaveOut.Has(leaveout.LeastShare)
	if starved || r.leaveOut.Has(leaveout.Reserve) {
		return 0
	}
	return r.expectedMoreUrgent(rank, now, due)
}

// expectedMoreUrgent estimates how many items of more urgent ranks will still be requested that
// are due by the given time.
func (r *reservations) expectedMoreUrgent(rank int, now, due time.Time) float64 {
	total := 0.0
	for other := range r.demands {
		if other >= rank {
			continue
		}
		d := r.demandOf(other, now)
		total += d.requested * max(due.Sub(now)-d.lead, 0).Seconds()
	}
	return total
}

// lateness returns by how much the latest item would miss its due time if the work were
// added; 0 or less means that all items are in time. places count like held reservations.
func (r *reservations) lateness(now time.Time, p reservation, reserved float64, c capacity, places []*reservation) time.Duration {
	r.dropExpired(now)
	rate := reservableShare * c.rate
	if rate <= 0 {
		return c.call
	}
	// Places for later work leave the targets idle until then.
	if float64(r.outstanding()+itemsUntil(places, p.due))/rate <= c.idleBacklog.Seconds() {
		return 0
	}
	return latenessAmong(r.byDue(places, p.due), now, p, reserved, c)
}

// latenessAmong is lateness among work as listed by byDue for a time not after the due time of the
// reservation at hand, on a shard that is busy.
func latenessAmong(list []*reservation, now time.Time, p reservation, reserved float64, c capacity) time.Duration {
	rate := reservableShare * c.rate
	late := func(work float64, due time.Time) time.Duration {
		return seconds(work/rate) - (due.Sub(now) - c.call)
	}
	// work counts the items that are due up to the reservation at hand, in the order of due
	// times.
	work, worst, seen := 0.0, time.Duration(math.MinInt64), false
	for _, other := range list {
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

// byDue lists the reservations and the given places: in any order those that are due up to the given
// time, then the later ones in the order of their due times. Sorting takes most of the time of a
// decision, and the work before a request counts only as a sum.
func (r *reservations) byDue(places []*reservation, from time.Time) []*reservation {
	list, earlier := make([]*reservation, 0, len(r.held)+len(places)), 0
	add := func(p *reservation) {
		list = append(list, p)
		if !p.due.After(from) {
			list[earlier], list[len(list)-1] = p, list[earlier]
			earlier++
		}
	}
	for _, p := range places {
		add(p)
	}
	for _, p := range r.held {
		add(p)
	}
	slices.SortFunc(list[earlier:], func(a, b *reservation) int { return a.due.Compare(b.due) })
	return list
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// itemsUntil counts the items that are due up to the given time.
func itemsUntil(list []*reservation, due time.Time) int {
	total := 0
	for _, p := range list {
		if !p.due.After(due) {
			total += p.items
		}
	}
	return total
}

// outstanding counts the items that are reserved and not yet started.
func (r *reservations) outstanding() int {
	total := 0
	for _, p := range r.held {
		total += p.items
	}
	return total
}

// itemStarted records that a reserved item has started, or that it left the queue without
// running.
func (r *reservations) itemStarted(k Key) {
	p := r.held[k.group()]
	if p == nil {
		return
	}
	p.items--
	if p.items <= 0 {
		delete(r.held, k.group())
	}
}

// addItem counts a submitted item unless it belongs to a reservation.
func (r *reservations) addItem(key groupKey, due time.Time, serial uint64) {
	p := r.held[key]
	if p == nil {
		p = &reservation{due: due, unreserved: true, serial: serial}
		r.held[key] = p
	}
	if p.unreserved {
		p.items++
	}
}

// drop removes the reservations of a request with a serial not above upTo.
func (r *reservations) drop(request string, upTo uint64) {
	for key, p := range r.held {
		if key.Request == request && p.serial <= upTo {
			r.shares.withdraw(p)
			delete(r.held, key)
		}
	}
}

func (r *reservations) dropExpired(now time.Time) {
	for key, p := range r.held {
		if now.After(p.due.Add(reservationGrace)) {
			delete(r.held, key)
		}
	}
}

// sustainedCapacity returns the long-run throughput of a shard: each call carries as many items
// as fit into a batch and whose results fit into half of the buffer, since the results of one
// call are still there when the next begins.
func sustainedCapacity(targets float64, b *plan.Batch, space, itemBytes int) capacity {
	n := float64(b.Size)
	if itemBytes > 0 {
		n = min(n, max(bufferShare*float64(space)/float64(itemBytes)/2, 1))
	}
	took := b.CallTime + time.Duration(n*float64(b.ItemTime))
	return capacity{rate: targets * n / took.Seconds(), call: took, idleBacklog: timingOf(b).idleBacklog}
}

// meanSize is a moving average of the size of results, in bytes.
type meanSize struct{ mean float64 }

// sizeWeight is the weight of one item: about the last fifty determine the mean.
const sizeWeight = 0.02

func (m *meanSize) add(bytes int) {
	if m.mean == 0 {
		m.mean = float64(bytes)
	}
	m.mean += sizeWeight * (float64(bytes) - m.mean)
}
