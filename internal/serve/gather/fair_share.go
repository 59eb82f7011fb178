package gather

import (
	"math"
	"slices"
	"time"
)

// fairShares limits teams to their share of a contended shard's capacity. It addresses a team that
// sends a multiple of its usual load, or whose callers retry at once: reservations are granted in
// the order of arrival, so such a team would get capacity in proportion to its requests, and the
// other teams of its rank would be refused in its favour.
//
// It is consulted in addition to the check of capacity, and never grants what that refuses. A team
// above its share must leave free what the teams within theirs are entitled to until the request's
// due time and don't hold yet (trunk reservation). A shard without a backlog still accepts all.
//
// It does no I/O and reads no clock. It is not safe for concurrent use.
type fairShares struct {
	ranks map[int]*rankShares
	// lastRefusal is when the shard last refused work, for whatever reason.
	lastRefusal time.Time
	refused     map[shareRefusal]int
	// returning holds when requests were refused last, in the current period of demandWindow and in
	// the one before. Those that come back count once, as of their latest try.
	returning, returningBefore map[callerKey]time.Time
	periodSince                time.Time
	// cause is the cause of the latest decision.
	cause ShareCause
}

// ShareCause says why a reservation was refused although there was capacity.
type ShareCause string

const (
	// NoShareCause: it was granted, or there was no capacity.
	NoShareCause ShareCause = ""
	// TeamAboveShare: other teams are entitled to the capacity.
	TeamAboveShare ShareCause = "team"
	// RoomForLarge: the largest requests of the rank are refused too often.
	RoomForLarge ShareCause = "size"
)

// shareRefusal identifies a team's requests of one rank that were refused for one cause.
type shareRefusal struct {
	team  string
	rank  int
	cause ShareCause
}

// callerKey identifies a stage of a caller's request over all its attempts.
type callerKey struct {
	team, pieceKey string
	stage          int
}

const (
	// contentionTime is how long after a refusal a shard counts as contended.
	contentionTime = time.Second
	// floorShare is the part of its rank's admitted share that each team gets at least: callers need
	// half.
	floorShare = 0.5
	// largeFloor is the part of their rank's admitted share below which room is kept for the largest
	// requests. Callers need half, too, but room takes effect only when the next ones arrive.
	largeFloor = 0.9
	// evenFactor is how far a team's demand may be from the mean, in both directions, before the
	// teams count as uneven. Within it a team gets at least half of an even share without any rule.
	evenFactor = 2
	// evenDeviations is how many standard deviations the difference must have too. A team has few
	// requests in a window, so even teams often differ by the factor; with 16 teams, 3 deviations
	// of a window's demand are rarely exceeded by chance.
	evenDeviations = 3
	// teamTimeout is how long after its last request a team has a share.
	teamTimeout = 2 * demandWindow
	// maxTeams bounds the teams of a rank; further ones share the entry without a name. It only
	// bounds the memory: a configuration has a few hundred teams at most.
	maxTeams = 256
	// maxReturning bounds the requests remembered in each period; each try of further ones counts.
	maxReturning = 4096
	// sizeSample is the number of latest requests that determine which requests are large.
	sizeSample = 64
	// largeSample is how many of them are large: a tenth.
	largeSample = sizeSample / 10
)

// rankShares is the recent demand of one rank.
type rankShares struct {
	since   time.Time
	updated time.Time
	teams   []teamDemand
	index   map[string]int // into teams
	sizes   [sizeSample]int
	nSizes  int // requests seen
	// largeFrom is the number of items from which on a request is large.
	largeFrom int
	large     windowDemand
}

// windowDemand holds items, each weighted by exp(-age/demandWindow). At a constant rate the sum is
// rate*demandWindow.
type windowDemand struct{ requested, admitted float64 }

func (d *windowDemand) decay(keep float64) {
	d.requested *= keep
	d.admitted *= keep
}

func (d *windowDemand) subtract(items float64) {
	d.requested = max(d.requested-items, 0)
	d.admitted = max(d.admitted-items, 0)
}

// teamDemand is the recent demand of one team.
type teamDemand struct {
	windowDemand
	name string
	// variance estimates the variance of requested if requests arrive independently.
	variance float64
	last     time.Time // of the latest request
	// share is the items of the window to which the team is entitled. held is its outstanding items
	// that are due up to the request at hand. Both are set by claims.
	share, held float64
}

// satisfiable reports whether the team's share is all that it asks for.
func (t *teamDemand) satisfiable() bool { return t.share == t.requested }

func newFairShares() *fairShares {
	return &fairShares{ranks: map[int]*rankShares{}, refused: map[shareRefusal]int{}, returning: map[callerKey]time.Time{}}
}

// request records a request for a stage before the decision on it.
func (f *fairShares) request(now time.Time, stage int, p reservation) {
	f.cause = NoShareCause
	r := f.ranks[p.rank]
	if r == nil {
		r = &rankShares{since: now, updated: now, index: map[string]int{}, largeFrom: math.MaxInt}
		f.ranks[p.rank] = r
	}
	r.advance(now)
	t, items := r.team(p.team), float64(p.items)
	added := 1.0
	if refusedAt, returns := f.returns(now, stage, p); returns {
		added -= keptAfter(now.Sub(refusedAt))
	} else {
		r.sizes[r.nSizes%sizeSample] = p.items
		r.nSizes++
		r.updateLargeFrom()
	}
	t.requested += added * items
	t.variance += added * items * items
	if p.items >= r.largeFrom {
		r.large.requested += added * items
	}
}

// keptAfter returns the weight of items of the given age.
func keptAfter(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / demandWindow.Seconds())
}

// returns reports whether a request was refused recently, and when. Callers that retry at once
// would otherwise multiply the demand of their team, and with it the least that the team gets.
func (f *fairShares) returns(now time.Time, stage int, p reservation) (refusedAt time.Time, returns bool) {
	if age := now.Sub(f.periodSince); age < 0 || age > demandWindow {
		f.returningBefore, f.returning, f.periodSince = f.returning, map[callerKey]time.Time{}, now
	}
	key := callerKey{team: p.team, pieceKey: p.pieceKey, stage: stage}
	if refusedAt, returns = f.returning[key]; !returns {
		refusedAt, returns = f.returningBefore[key]
	}
	return refusedAt, returns
}

// granted records that the latest request was admitted.
func (f *fairShares) granted(p reservation) {
	r := f.ranks[p.rank]
	r.team(p.team).admitted += float64(p.items)
	if p.items >= r.largeFrom {
		r.large.admitted += float64(p.items)
	}
}

// refusedAt records that work was refused, because of a share or for lack of capacity.
func (f *fairShares) refusedAt(now time.Time, stage int, p reservation, cause ShareCause) {
	if p.pieceKey != "" && len(f.returning) < maxReturning {
		f.returning[callerKey{team: p.team, pieceKey: p.pieceKey, stage: stage}] = now
	}
	f.lastRefusal, f.cause = now, cause
	if cause != NoShareCause {
		id := shareRefusal{p.team, p.rank, cause}
		if len(f.refused) >= maxTeams && f.refused[id] == 0 {
			id.team = ""
		}
		f.refused[id]++
	}
}

// withdraw forgets the items of a cancelled reservation that haven't started. Most were granted here
// while another shard refused the same request; the capacity goes to others.
func (f *fairShares) withdraw(p *reservation) {
	r := f.ranks[p.rank]
	if r == nil || p.unreserved {
		return
	}
	items := float64(p.items) * keptAfter(r.updated.Sub(p.at))
	if i, known := r.index[r.countedAs(p.team)]; known {
		r.teams[i].subtract(items)
	}
	if p.items >= r.largeFrom {
		r.large.subtract(items)
	}
}

// advance lets the recorded demand age until now, and removes teams that no longer ask. If the time
// runs backwards, the demand stays as it is.
func (r *rankShares) advance(now time.Time) {
	elapsed := now.Sub(r.updated)
	keep := keptAfter(elapsed)
	idle := false
	for i := range r.teams {
		t := &r.teams[i]
		if elapsed < 0 {
			t.last = t.last.Add(elapsed)
		}
		t.decay(keep)
		t.variance *= keep * keep
		idle = idle || now.Sub(t.last) > teamTimeout
	}
	if elapsed < 0 {
		r.since = r.since.Add(elapsed)
	}
	r.large.decay(keep)
	r.updated = now
	if idle {
		r.removeIdle()
	}
}

// team returns a team's entry and marks it as asking.
func (r *rankShares) team(name string) *teamDemand {
	i, known := r.index[name]
	if !known {
		name = r.countedAs(name)
		if i, known = r.index[name]; !known {
			i = len(r.teams)
			r.teams = append(r.teams, teamDemand{name: name})
			r.index[name] = i
		}
	}
	r.teams[i].last = r.updated
	return &r.teams[i]
}

// countedAs returns the name under which a team is counted.
func (r *rankShares) countedAs(name string) string {
	if _, known := r.index[name]; !known && len(r.teams) >= maxTeams {
		return ""
	}
	return name
}

func (r *rankShares) removeIdle() {
	r.teams = slices.DeleteFunc(r.teams, func(t teamDemand) bool { return r.updated.Sub(t.last) > teamTimeout })
	clear(r.index)
	for i := range r.teams {
		r.index[r.teams[i].name] = i
	}
}

// updateLargeFrom recomputes which requests are large: the largest tenth of the latest ones. None
// is if that tenth is no larger than most of the others.
func (r *rankShares) updateLargeFrom() {
	r.largeFrom = math.MaxInt
	if r.nSizes < sizeSample {
		return
	}
	sorted := r.sizes
	slices.Sort(sorted[:])
	if bound := sorted[sizeSample-largeSample]; bound > sorted[sizeSample/2] {
		r.largeFrom = bound
	}
}

// claims returns how many items the work of a request must leave free for other teams, or for
// large requests, that are due up to the same time. It is 0 where the decision is only one of
// capacity: without contention or history, and with even teams. held lists the outstanding
// reservations.
func (f *fairShares) claims(now time.Time, p reservation, c capacity, held map[groupKey]*reservation) (float64, ShareCause) {
	r := f.ranks[p.rank]
	sinceRefusal := now.Sub(f.lastRefusal)
	if r == nil || f.lastRefusal.IsZero() || sinceRefusal < 0 || sinceRefusal > contentionTime || now.Sub(r.since) < demandWindow {
		return 0, NoShareCause
	}
	requested, admitted := r.totals()
	if admitted <= 0 || admitted >= requested || !r.uneven() {
		return 0, NoShareCause
	}
	floor := floorShare * admitted / requested
	r.divide(admitted, floor)
	room := 0.0
	if r.large.admitted*requested < largeFloor*admitted*r.large.requested && p.items < r.largeFrom {
		room = float64(slices.Max(r.sizes[:]))
	}
	own, known := r.index[r.countedAs(p.team)]
	if !known || r.teams[own].admitted < r.teams[own].share {
		return room, RoomForLarge
	}
	r.countHeld(p, held)
	// Shares are parts of what the rank got lately. Targets may have processed that faster than
	// capacity is reserved, so the parts are scaled to what can be reserved until the due time.
	left := max(p.due.Sub(now)-c.call, 0).Seconds() / demandWindow.Seconds()
	left *= min(reservableShare*c.rate*demandWindow.Seconds()/admitted, 1)
	total := 0.0
	for i := range r.teams {
		if t := &r.teams[i]; i != own && (t.admitted <= t.share || t.satisfiable()) {
			total += max(t.share*left-t.held, 0)
		}
	}
	if room > total {
		return room, RoomForLarge
	}
	return total, TeamAboveShare
}

// countHeld sets what each team holds that is due no later than a request.
func (r *rankShares) countHeld(p reservation, held map[groupKey]*reservation) {
	for i := range r.teams {
		r.teams[i].held = 0
	}
	for _, other := range held {
		if other.unreserved || other.rank != p.rank || other.due.After(p.due) {
			continue
		}
		if i, known := r.index[r.countedAs(other.team)]; known {
			r.teams[i].held += float64(other.items)
		}
	}
}

func (r *rankShares) totals() (requested, admitted float64) {
	for i := range r.teams {
		requested += r.teams[i].requested
		admitted += r.teams[i].admitted
	}
	return requested, admitted
}

// uneven reports whether the demand of a team differs from the mean by more than evenFactor and by
// more than chance explains.
func (r *rankShares) uneven() bool {
	if len(r.teams) < 2 {
		return false
	}
	sum, variance, n := 0.0, 0.0, float64(len(r.teams))
	for i := range r.teams {
		sum += r.teams[i].requested
		variance += r.teams[i].variance
	}
	mean, noise := sum/n, evenDeviations*math.Sqrt(variance/n)
	return slices.ContainsFunc(r.teams, func(t teamDemand) bool {
		return t.requested > evenFactor*mean+noise || t.requested < min(mean/evenFactor, mean-noise)
	})
}

// levelSteps is the number of bisections for the level of shares: the error is below a millionth of
// the largest demand.
const levelSteps = 20

// divide sets the teams' max-min fair shares of a total: each gets as much as the others, but no
// more than it asks for and no less than the given part of that. The total must lie between that
// part of all demand and all of it.
func (r *rankShares) divide(total, floor float64) {
	low, high := 0.0, 0.0
	for i := range r.teams {
		high = max(high, r.teams[i].requested)
	}
	for range levelSteps {
		level, sum := (low+high)/2, 0.0
		for i := range r.teams {
			sum += r.teams[i].shareAt(level, floor)
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	for i := range r.teams {
		r.teams[i].share = r.teams[i].shareAt(high, floor)
	}
}

func (t *teamDemand) shareAt(level, floor float64) float64 {
	return min(max(level, floor*t.requested), t.requested)
}
