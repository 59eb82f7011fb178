package gather

import (
	"math"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// This file decides on places for returning callers. The load it addresses: a burst above the
// stages' capacity, in which refused callers come back once, compete anew with first-time
// callers and are refused again (766 of 2,205 refusals on one measured day). A place is capacity
// held for one refused request, counted as reserved work from the refusal on, until the request
// comes back or the place's validity ends.

const (
	// placesShare is the share of a shard's reservable rate that places may take. The rest
	// remains for first-time callers.
	placesShare = 0.35
	// maxPlaces bounds the places of a shard, and with them the time of a decision.
	maxPlaces = 256
	// placeEarly and placeValidity are how long before and after its time a place can be
	// claimed. Callers come back some milliseconds after the time told, and later over a new
	// connection or from a slow VM.
	placeEarly    = 50 * time.Millisecond
	placeValidity = 500 * time.Millisecond
	// patienceShare is the share of its remaining time that a caller waits before it comes back.
	// A place after that would not be used.
	patienceShare = 1.0 / 3
	// placeSearchSteps bounds the times tried for one place; each is a decision on all
	// reservations of the shard, and the next starts from its lateness.
	placeSearchSteps = 8
	// placeSearchStep is the least delay between two times tried.
	placeSearchStep = 20 * time.Millisecond
)

// placeKey identifies the place of one stage of a caller's request across its attempts.
type placeKey struct {
	caller string
	stage  int
}

// returningWork is the work of one stage of a request that has an identity across attempts.
type returningWork struct {
	reservation
	// caller is the result of CallerIdentity.
	caller string
	// latest is when the stage must be finished for the answer to meet the request's deadline,
	// which is at deadline. due is by the objective and not after latest.
	latest   time.Time
	deadline time.Time
	// placeOnly means that the work has been refused by another shard and may only use a place.
	placeOnly bool
}

// earliestPlaceDue returns a time before which no place for the work is due: a place is due as long
// after the caller's return as the work is now, less placeEarly, but not after latest.
func (w *returningWork) earliestPlaceDue() time.Time {
	due := w.due.Add(-placeEarly)
	if due.After(w.latest) {
		return w.latest
	}
	return due
}

// returnPlace is the capacity held for one stage of a returning request.
type returnPlace struct {
	reservation
	// at is when the caller is told to come back, granted when the place was granted.
	at      time.Time
	granted time.Time
	// lead is the time from the caller's return until the work is due, which is not after latest.
	// need is the least time in which the work can be done.
	lead   time.Duration
	latest time.Time
	need   time.Duration
}

// update moves the due time of the work while the caller is late. Otherwise a place would become
// late itself, and keep out other work of its rank. It reports whether the work can still be done.
func (p *returnPlace) update(now time.Time) bool {
	from := p.at
	if now.After(from) {
		from = now
	}
	p.due = from.Add(p.lead)
	if p.due.After(p.latest) {
		p.due = p.latest
	}
	return p.due.Sub(from) >= p.need
}

// returnPlaces holds the places of a shard. It does no I/O and reads no clock. It is not safe for
// concurrent use. The zero value has no places.
type returnPlaces struct {
	places map[placeKey]*returnPlace
	// refusedTeams has when a request of each team was last refused.
	refusedTeams map[string]time.Time
	counts       PlaceCounts
}

// PlaceCounts counts the places of returning callers.
type PlaceCounts struct {
	// Granted, Claimed and Lapsed count places.
	Granted int
	Claimed int
	Lapsed  int
	// Released counts places whose requests no longer need them.
	Released int
	// NoRoom counts refusals without a place because of the bounds on places.
	NoRoom int
	// RefusedAgain counts requests that came back in time for their place and were refused.
	RefusedAgain int
}

// Add adds other counts.
func (c *PlaceCounts) Add(other PlaceCounts) {
	c.Granted += other.Granted
	c.Claimed += other.Claimed
	c.Lapsed += other.Lapsed
	c.Released += other.Released
	c.NoRoom += other.NoRoom
	c.RefusedAgain += other.RefusedAgain
}

// expire drops the places whose validity has ended or whose work can't be done any more. A place that was granted in the future, by
// the times passed in, is dropped too, since it would stay as long as the clock was put back.
func (p *returnPlaces) expire(now time.Time) {
	for key, place := range p.places {
		if now.After(place.at.Add(placeValidity)) || !place.update(now) || place.granted.After(now.Add(placeValidity)) {
			delete(p.places, key)
			p.counts.Lapsed++
		}
	}
	for team, refused := range p.refusedTeams {
		if now.Sub(refused) > demandWindow || refused.After(now.Add(placeValidity)) {
			delete(p.refusedTeams, team)
		}
	}
}

// upToRank lists the places of requests that are as urgent as the rank or more urgent. Places of
// less urgent requests don't count against a request.
func (p *returnPlaces) upToRank(now time.Time, rank int) []*reservation {
	if len(p.places) == 0 {
		return nil
	}
	p.expire(now)
	list := make([]*reservation, 0, len(p.places))
	for _, place := range p.places {
		if place.rank <= rank {
			list = append(list, &place.reservation)
		}
	}
	return list
}

// matching returns the place of a request; nil if it has none. A request that shares the identity
// but has other work is another request.
func (p *returnPlaces) matching(key placeKey, w *returningWork) *returnPlace {
	place := p.places[key]
	if place == nil || place.team != w.team || place.rank != w.rank || place.items < w.items {
		return nil
	}
	return place
}

func (p *returnPlaces) put(key placeKey, place *returnPlace) {
	if p.places == nil {
		p.places = map[placeKey]*returnPlace{}
	}
	p.places[key] = place
}

// release drops a place that is no longer needed.
func (p *returnPlaces) release(key placeKey) {
	if p.places[key] != nil {
		delete(p.places, key)
		p.counts.Released++
	}
}

// recordRefusal records that a team has asked in vain, so that others leave it its share.
func (p *returnPlaces) recordRefusal(team string, now time.Time) {
	if p.refusedTeams == nil {
		p.refusedTeams = map[string]time.Time{}
	}
	if _, known := p.refusedTeams[team]; known || len(p.refusedTeams) < maxPlaces {
		p.refusedTeams[team] = now
	}
}

// byTime lists the places in the order of their times.
func (p *returnPlaces) byTime() []*returnPlace {
	list := make([]*returnPlace, 0, len(p.places))
	for _, place := range p.places {
		list = append(list, place)
	}
	slices.SortFunc(list, func(a, b *returnPlace) int { return a.at.Compare(b.at) })
	return list
}

// firstGap returns the first time from a given one on at which places in the order of their times
// leave room for another one of some items, at the given rate of places in items per second. Each
// place takes the time of its work at that rate, so that callers don't come back together.
func firstGap(places []*returnPlace, from time.Time, items int, rate float64) time.Time {
	takes := seconds(float64(items) / rate)
	for _, place := range places {
		if !place.at.Before(from.Add(takes)) {
			break
		}
		if end := place.at.Add(seconds(float64(place.items) / rate)); end.After(from) {
			from = end
		}
	}
	return from
}

// withinBounds reports whether the bounds leave a team room for another place. capacity is the
// number of items that places may hold until the caller's patience ends. Each of the teams that
// were refused lately may use an even share of it, and at least one place.
func (p *returnPlaces) withinBounds(team string, items int, capacity float64) bool {
	if len(p.places) >= maxPlaces {
		return false
	}
	teamPlaces, teamItems := 0, 0
	for _, place := range p.places {
		if place.team == team {
			teamPlaces++
			teamItems += place.items
		}
	}
	share := 1 / float64(max(len(p.refusedTeams), 1))
	return teamPlaces == 0 || (float64(teamPlaces) < share*maxPlaces && float64(teamItems+items) <= share*capacity)
}

// returnDecision is the decision on returningWork.
type returnDecision struct {
	granted  bool
	lateness time.Duration
	// claimed means that the work had a place and has come back in time.
	claimed bool
	// place is the time until the work's place; 0 if it has none.
	place time.Duration
	// hopeless means that the work can't be finished by the request's deadline, even if it
	// comes back.
	hopeless bool
}

// reserveReturning is reserve for work whose request has an identity. It uses the place of the
// work if there is one, and otherwise grants one if the work is refused.
func (r *reservations) reserveReturning(now time.Time, key groupKey, w returningWork, c capacity) returnDecision {
	p := &r.places
	p.expire(now)
	at := placeKey{caller: w.caller, stage: key.Stage}
	own := p.matching(at, &w)
	taken := own == nil && p.places[at] != nil
	if own != nil {
		delete(p.places, at) // the work's own place doesn't count against it
	}
	d := returnDecision{claimed: own != nil && !now.Before(own.at.Add(-placeEarly))}
	w.claimsPlace = d.claimed
	if d.claimed || !w.placeOnly {
		d.granted, d.lateness = r.reserve(now, key, w.rank, w.reservation, c)
	} else {
		r.shares.cause = NoShareCause
		d.lateness = r.lateness(now, w.reservation, r.reservedFor(w.rank, now, w.due), c, p.upToRank(now, w.rank))
	}
	switch {
	case d.granted && d.claimed:
		p.counts.Claimed++
	case d.granted && own != nil:
		p.counts.Released++
	case d.granted:
	case own != nil && !d.claimed:
		p.put(at, own) // the caller came back too early; its place stays
		d.place = own.at.Sub(now)
	default:
		if d.claimed {
			p.counts.RefusedAgain++
		}
		p.recordRefusal(w.team, now)
		if !taken {
			d.place, d.hopeless = r.grantPlace(now, at, &w, c, d.lateness)
		}
	}
	return d
}

// grantPlace holds a place for work that was refused with a lateness, at the earliest time at
// which the work can be done. It returns the time until then, 0 if there is no place. hopeless is
// returnDecision.hopeless.
func (r *reservations) grantPlace(now time.Time, key placeKey, w *returningWork, c capacity, lateness time.Duration) (until time.Duration, hopeless bool) {
	rate := reservableShare * c.rate
	if rate <= 0 {
		return 0, false
	}
	// The whole rate counts here: a request that may still be done isn't told to stay away.
	if r.backlogUntil(w.latest, w.items, c.rate) > w.latest.Sub(now)-c.call {
		return 0, true
	}
	limit := now.Add(seconds(patienceShare * w.deadline.Sub(now).Seconds()))
	at := now.Add(max(lateness, placeEarly))
	others := r.places.byTime()
	work := r.byDue(r.places.upToRank(now, math.MaxInt), w.earliestPlaceDue())
	for range placeSearchSteps {
		at = firstGap(others, at, w.items, placesShare*rate)
		if at.After(limit) {
			break
		}
		place, late := r.placeAt(now, at, w, c, work)
		if place == nil {
			// Too little time is left for the objective, or even until the deadline.
			return 0, w.latest.Sub(at) < c.call
		}
		if late <= 0 {
			return r.hold(now, key, place, rate, limit), false
		}
		at = at.Add(max(late, placeSearchStep))
	}
	r.places.counts.NoRoom++
	return 0, false
}

// backlogUntil returns the time that the reserved work takes that is due by a time, and some
// items more.
func (r *reservations) backlogUntil(due time.Time, items int, rate float64) time.Duration {
	for _, p := range r.held {
		if !p.due.After(due) {
			items += p.items
		}
	}
	return seconds(float64(items) / rate)
}

// placeAt returns a place at a time and by how much it would make work late; work is
// the result of byDue for all places and w.earliestPlaceDue. What other teams are entitled to until
// then counts as reserved, so that a team above its share can't exceed it by places. It returns nil
// if the work can't be done in time from then on.
func (r *reservations) placeAt(now, at time.Time, w *returningWork, c capacity, work []*reservation) (*returnPlace, time.Duration) {
	place := &returnPlace{
		reservation: reservation{items: w.items, team: w.team, rank: w.rank}, at: at, granted: now,
		// A caller that comes back early has work that is due earlier by as much.
		lead: w.due.Sub(now) - placeEarly, latest: w.latest,
		need: c.call + seconds(float64(w.items)/(reservableShare*c.rate)),
	}
	if !place.update(now) {
		return nil, 0
	}
	reserved := r.reservedFor(w.rank, now, place.due)
	if !r.leaveOut.Has(leaveout.TeamShares) {
		claimed, _ := r.shares.claims(now, place.reservation, c, r.held)
		reserved += claimed
	}
	late := latenessAmong(work, now, place.reservation, reserved, c)
	return place, late
}

// hold adds a place if the bounds allow it. It returns the time until the place, 0 if there is
// none.
func (r *reservations) hold(now time.Time, key placeKey, place *returnPlace, rate float64, limit time.Time) time.Duration {
	p := &r.places
	if !p.withinBounds(place.team, place.items, placesShare*rate*limit.Sub(now).Seconds()) {
		p.counts.NoRoom++
		return 0
	}
	p.put(key, place)
	p.counts.Granted++
	return place.at.Sub(now)
}

// placeFor holds a place at the time at which the request's stages at other shards have theirs,
// or moves the place there that the work already has. It reports whether there is a place.
func (r *reservations) placeFor(now, at time.Time, stage int, w returningWork, c capacity) bool {
	p := &r.places
	p.expire(now)
	key := placeKey{caller: w.caller, stage: stage}
	if p.places[key] != nil {
		if p.matching(key, &w) == nil {
			return false // another request's
		}
		delete(p.places, key)
		p.counts.Released++
	}
	rate := reservableShare * c.rate
	limit := now.Add(seconds(patienceShare * w.deadline.Sub(now).Seconds()))
	if rate <= 0 || at.After(limit) {
		p.counts.NoRoom++
		return false
	}
	place, late := r.placeAt(now, at, &w, c, r.byDue(p.upToRank(now, math.MaxInt), w.earliestPlaceDue()))
	if place == nil || late > 0 || !p.roomAround(at, w.items, placesShare*rate) {
		p.counts.NoRoom++
		return false
	}
	return r.hold(now, key, place, rate, limit) > 0
}

// roomAround reports whether the places within half a second of a time leave room for items at
// the given rate of places.
func (p *returnPlaces) roomAround(at time.Time, items int, rate float64) bool {
	total := 0
	for _, place := range p.places {
		if place.at.Sub(at).Abs() <= time.Second/2 {
			total += place.items
		}
	}
	return total == 0 || float64(total+items) <= rate
}
