package gather

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// placeCapacity processes 100 items a second, of which 70 can be reserved.
var placeCapacity = capacity{rate: 100, call: callTime, idleBacklog: testTiming.idleBacklog}

// returningFor returns work that is due a second from now, with the given time until its
// deadline.
func returningFor(now time.Time, caller string, rank, items int, left time.Duration) returningWork {
	return returningWork{
		reservation: reservation{items: items, due: now.Add(time.Second), team: "t", rank: rank}, caller: caller,
		latest: now.Add(left), deadline: now.Add(left),
	}
}

// fullShard returns a shard whose reservable capacity is used up for work due within a second.
func fullShard() *reservations {
	r := newReservations(leaveout.Set{})
	r.held[groupKey{Request: "full"}] = &reservation{items: 53, due: start.Add(time.Second)}
	return r
}

// advance processes the work of fullShard for some time, at the rate that can be reserved.
func (r *reservations) advance(elapsed time.Duration) {
	r.held[groupKey{Request: "full"}].items -= int(70 * elapsed.Seconds())
}

// ask requests a reservation for an attempt of a caller.
func (r *reservations) ask(now time.Time, attempt string, w returningWork) returnDecision {
	return r.reserveReturning(now, groupKey{Request: attempt}, w, placeCapacity)
}

func TestPlaceIsGrantedOnlyIfItHelps(t *testing.T) {
	for name, c := range map[string]struct {
		left     time.Duration
		latest   time.Duration
		fill     int
		place    bool
		hopeless bool
	}{
		"time left":                         {left: 4 * time.Second, fill: 53, place: true},
		"beyond the caller's patience":      {left: 4 * time.Second, fill: 170},
		"backlog until after the deadline":  {left: 1200 * time.Millisecond, fill: 200, hopeless: true},
		"backlog until near the deadline":   {left: time.Second, fill: 53},
		"too little time left at the place": {left: 3 * time.Second, latest: 350 * time.Millisecond, fill: 53, hopeless: true},
	} {
		r := fullShard()
		r.held[groupKey{Request: "full"}].items = c.fill
		w := returningFor(start, "c", 1, 10, c.left)
		if c.latest > 0 {
			w.latest, w.due = start.Add(c.latest), start.Add(c.latest)
		}
		d := r.ask(start, "a", w)
		assert.Assert(t, !d.granted, name)
		assert.Equal(t, d.place > 0, c.place, "%s: %+v", name, d)
		assert.Equal(t, d.hopeless, c.hopeless, "%s: %+v", name, d)
		assert.Assert(t, d.place <= c.left/3, "%s: %+v", name, d)
		assert.Equal(t, r.places.counts.NoRoom > 0, !c.place && !c.hopeless, name)
	}
}

// Guards against places that callers can't use: they come back some milliseconds early, or late
// over a new connection.
func TestPlaceIsClaimedWithinItsValidity(t *testing.T) {
	for offset, claimed := range map[time.Duration]bool{
		-60 * time.Millisecond: false, -40 * time.Millisecond: true, 0: true, 490 * time.Millisecond: true, 510 * time.Millisecond: false,
	} {
		r := fullShard()
		d := r.ask(start, "a", returningFor(start, "c", 1, 10, 4*time.Second))
		now := start.Add(d.place + offset)
		r.advance(d.place + offset)
		again := r.ask(now, "b", returningFor(now, "c", 1, 10, 3*time.Second))
		assert.Equal(t, again.claimed, claimed, "%v", offset)
		assert.Equal(t, r.places.counts.Claimed == 1, claimed && again.granted, "%v", offset)
		if claimed {
			assert.Assert(t, again.granted, "%v", offset)
			assert.Equal(t, len(r.places.places), 0, "%v", offset)
		}
		assert.Equal(t, r.places.counts.Lapsed == 1, offset > placeValidity, "%v", offset)
	}
}

// A caller that comes back at once must neither lose its place nor get ahead by it.
func TestEarlyReturnKeepsItsPlace(t *testing.T) {
	r := fullShard()
	d := r.ask(start, "a", returningFor(start, "c", 1, 10, 4*time.Second))
	now := start.Add(10 * time.Millisecond)
	again := r.ask(now, "b", returningFor(now, "c", 1, 10, 4*time.Second))
	assert.Assert(t, !again.granted)
	assert.Equal(t, again.place, d.place-10*time.Millisecond)
	assert.Equal(t, r.places.counts.Granted, 1)
}

// Guards against places that keep out first-time callers of a more urgent rank, and against
// first-time callers of the same rank that take the capacity of a place.
func TestPlacesCountOnlyForRanksThatAreNotMoreUrgent(t *testing.T) {
	for rank, granted := range map[int]bool{0: true, 1: false, 2: false} {
		r := newReservations(leaveout.Set{})
		r.held[groupKey{Request: "some"}] = &reservation{items: 20, due: start.Add(time.Second)}
		r.places.put(placeKey{caller: "c"}, &returnPlace{reservation: reservation{items: 30, due: start.Add(time.Second), rank: 1}, at: start, granted: start, lead: time.Second, latest: start.Add(time.Hour)})
		got, _ := r.reserve(start, groupKey{Request: "new"}, rank, reservation{items: 10, due: start.Add(time.Second)}, placeCapacity)
		assert.Equal(t, got, granted, "rank %d", rank)
	}
}

// Guards against a place that has the shard accept more than it can do: the capacity went away
// after the refusal, by a slow target or by more urgent requests.
func TestPlaceDoesNotExceedCapacity(t *testing.T) {
	r := fullShard()
	d := r.ask(start, "a", returningFor(start, "c", 1, 10, 4*time.Second))
	now := start.Add(d.place)
	r.held[groupKey{Request: "urgent"}] = &reservation{items: 60, due: now.Add(900 * time.Millisecond)}
	again := r.ask(now, "b", returningFor(now, "c", 1, 10, 3*time.Second))
	assert.Assert(t, again.claimed && !again.granted, "%+v", again)
	assert.Equal(t, r.places.counts.RefusedAgain, 1)
}

// Guards against places without bound, of a shard, one team or one caller, and against callers that
// come back together.
func TestPlacesAreBounded(t *testing.T) {
	r := fullShard()
	ask := func(i int, caller, team string) returnDecision {
		w := returningFor(start, caller, 1, 1, 12*time.Second)
		w.team = team
		return r.ask(start, fmt.Sprintf("a-%d", i), w)
	}
	ask(0, "first", "small")
	until := time.Duration(0)
	for i := range 1000 {
		until = max(until, ask(i, fmt.Sprint(i), "large").place)
	}
	items := len(r.places.places)
	assert.Assert(t, items <= maxPlaces)
	list := r.places.byTime()
	for i, place := range list[1:] {
		assert.Assert(t, place.at.Sub(list[i].at) >= seconds(1/(placesShare*reservableShare*placeCapacity.rate)), "places %d and %d", i, i+1)
	}
	assert.Assert(t, float64(items) <= placesShare*reservableShare*placeCapacity.rate*until.Seconds()+1, "%d items until %v", items, until)
	large := items - 1 // one is the small team's
	for i := range 20 {
		ask(i, fmt.Sprintf("small-%d", i), "small")
	}
	assert.Assert(t, float64(large) <= placesShare*reservableShare*placeCapacity.rate*4/2, "the large team has the places of both: %d", large)
	assert.Assert(t, len(r.places.places) > large+15, "the small team gets no places: %d after %d", len(r.places.places), large)

	r = fullShard()
	other := returningFor(start, "c", 1, 10, 4*time.Second)
	assert.Assert(t, r.ask(start, "a", other).place > 0)
	other.items = 12
	assert.Equal(t, r.ask(start, "b", other).place, time.Duration(0), "another request with the same identity")
	assert.Equal(t, len(r.places.places), 1)
}

// Without a refusal, and without an identity, decisions are those without places.
func TestNoPlacesWithoutRefusals(t *testing.T) {
	with, without := newReservations(leaveout.Set{}), newReservations(leaveout.Set{})
	for i := range 200 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		key, rank := groupKey{Request: fmt.Sprint(i)}, i%3
		w := returningFor(now, fmt.Sprint(i), rank, 1+i%4, 4*time.Second)
		want, wantLateness := without.reserve(now, key, rank, w.reservation, placeCapacity)
		if i%2 == 0 {
			d := with.reserveReturning(now, key, w, placeCapacity)
			assert.Equal(t, d, returnDecision{granted: want, lateness: wantLateness})
		} else {
			got, lateness := with.reserve(now, key, rank, w.reservation, placeCapacity)
			assert.Equal(t, got, want)
			assert.Equal(t, lateness, wantLateness)
		}
		startItems(with, now, 2)
		startItems(without, now, 2)
	}
	assert.Equal(t, with.places.counts, PlaceCounts{})
}

// The time of day is put back or forward between two calls. Places must neither stay for as long
// nor be promised for another time.
func TestPlacesAfterAStepOfTheClock(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		r := fullShard()
		assert.Assert(t, r.ask(start, "a", returningFor(start, "c", 1, 10, 4*time.Second)).place > 0)
		now := start.Add(step)
		r.held = map[groupKey]*reservation{{Request: "full"}: {items: 53, due: now.Add(time.Second)}}
		d := r.ask(now, "b", returningFor(now, "d", 1, 10, 4*time.Second))
		assert.Assert(t, d.place > 0 && d.place < 2*time.Second, "%+v", d)
		assert.Equal(t, len(r.places.places), 1)
		assert.Equal(t, r.places.counts.Lapsed, 1)
	}
}

// Guards against places at other shards that exceed their capacity or come at another time.
func TestPlaceForOtherStage(t *testing.T) {
	r := newReservations(leaveout.Set{})
	at := start.Add(400 * time.Millisecond)
	assert.Assert(t, r.placeFor(start, at, 1, returningFor(start, "c", 1, 10, 4*time.Second), placeCapacity))
	assert.Assert(t, r.placeFor(start, at.Add(time.Millisecond), 1, returningFor(start, "c", 1, 10, 4*time.Second), placeCapacity))
	assert.Equal(t, len(r.places.places), 1, "the place is moved")
	assert.Assert(t, !r.placeFor(start, at, 1, returningFor(start, "d", 1, 20, 4*time.Second), placeCapacity), "bound on places")
	assert.Assert(t, !r.placeFor(start, start.Add(2*time.Second), 1, returningFor(start, "d", 1, 1, 4*time.Second), placeCapacity), "patience")
	r.held[groupKey{Request: "full"}] = &reservation{items: 90, due: start.Add(time.Second)}
	assert.Assert(t, !r.placeFor(start, at, 1, returningFor(start, "d", 1, 1, 4*time.Second), placeCapacity), "capacity")
}

// A place of a caller with much time is far away. Callers with little time must still get places
// before it.
func TestFarPlaceLeavesRoomForNearOnes(t *testing.T) {
	r := fullShard()
	r.places.put(placeKey{caller: "far"}, &returnPlace{
		reservation: reservation{items: 10, rank: 1}, at: start.Add(9 * time.Second), granted: start, lead: time.Second, latest: start.Add(30 * time.Second),
	})
	d := r.ask(start, "a", returningFor(start, "c", 1, 10, 4*time.Second))
	assert.Assert(t, d.place > 0 && d.place < time.Second, "%+v", d)
}

// Measures a reservation that is refused and gets a place, at a shard with 300 outstanding
// reservations (as in BenchmarkReserve) and some places. The number of a service's targets doesn't
// matter: a shard has about ten.
func BenchmarkReserveReturning(b *testing.B) {
	for _, places := range []int{0, 64, maxPlaces - 1} {
		b.Run(fmt.Sprint(places), func(b *testing.B) {
			r := newReservations(leaveout.Set{})
			for i := range 300 {
				r.addItem(groupKey{Request: "r", Stage: i}, start.Add(time.Duration(i)*3*time.Millisecond), 0)
			}
			for i := range places {
				r.places.put(placeKey{caller: fmt.Sprint(i)}, &returnPlace{
					reservation: reservation{items: 1, rank: 1, team: fmt.Sprint(i % 16)}, at: start.Add(time.Duration(i) * time.Millisecond),
					granted: start, lead: time.Second, latest: start.Add(time.Hour),
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				r.reserveReturning(start, groupKey{Request: "s"}, returningFor(start, "c", 1, 4, 60*time.Second), placeCapacity)
				delete(r.places.places, placeKey{caller: "c"})
			}
			assert.Assert(b, r.places.counts.Granted > 0)
		})
	}
}

// A request that has no place at one of its shards can't use those at the others, which would only
// keep capacity from other requests.
func TestPlacesOfOneRequestHaveTheSameTime(t *testing.T) {
	early, late := &RefusedError{Place: 200 * time.Millisecond}, &RefusedError{Place: 300 * time.Millisecond}
	none := &RefusedError{Wait: time.Second}
	for name, c := range map[string]struct {
		errs []error
		at   time.Duration
		send []bool
		want error
	}{
		"latest":  {[]error{early, late, nil}, late.Place, []bool{true, false, true}, late},
		"no room": {[]error{early, none, nil}, 0, []bool{true, false, false}, none},
		"none":    {[]error{none, nil, nil}, 0, []bool{false, false, false}, none},
	} {
		at, send, refused := agreeOnPlaces(c.errs)
		assert.Equal(t, at, c.at, name)
		assert.DeepEqual(t, send, c.send)
		assert.Equal(t, refused, c.want, name)
	}
}

// The message that asks for a place beside one at another shard is lost, or arrives after the caller
// has come back. The caller is treated as new, and a place that nobody claims must lapse.
func TestPlaceMessageIsLostOrLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		g := newTestGatherer(t.Context(), &plan.Batch{Size: 8, CallTime: callTime, BufferBytes: 1000}, nil, "10.0.0.1:1")
		call := placeCall{At: 300, reserveCall: reserveCall{
			Shard: Shard{Service: "s"}, Request: "a", Items: 4, Due: 1000, Serial: 1, Returning: Returning{Caller: "c", Latest: 4000, Left: 4000},
		}}
		again := call.reserveCall
		again.Request = "b"
		assert.Assert(t, !g.ReserveStage(again, start).Refused)
		if late {
			g.PlaceStage(call, start.Add(100*time.Millisecond))
		}
		held, _ := g.Places(start.Add(200 * time.Millisecond))
		assert.Equal(t, held == 1, late)
		held, counts := g.Places(start.Add(time.Second))
		assert.Equal(t, held, 0)
		assert.Equal(t, counts.Lapsed == 1, late)
	}
}

// A process of an earlier version ignores what it doesn't know; requests without an identity state
// none of it.
func TestReservationWithoutIdentityStatesNoPlace(t *testing.T) {
	assert.Equal(t, CallerIdentity("t", ""), "")
	assert.Assert(t, CallerIdentity("t", "k") != CallerIdentity("u", "k"))
	now := time.Now()
	call := newReserveCall("r", Shard{Service: "s"}, ReservationRequest{Due: now, Latest: now.Add(time.Second), Deadline: now.Add(time.Second)}, 1, now)
	text, err := json.Marshal(call)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"cell":{"service":"s"},"request":"r","stage":0,"rank":0,"items":0,"due":0,"serial":1}`)
}

// unevenShard returns a busy shard that is contended by two teams, of which the large one asks for
// seven times as much as the small one, and the time after that.
func unevenShard() (*reservations, time.Time) {
	r, now := newReservations(leaveout.Set{}), start
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		p := reservation{items: 7, team: "large", rank: 1, due: now.Add(time.Second)}
		if i%2 == 0 {
			p.items, p.team = 1, "small"
		}
		r.shares.request(now, 0, p)
		if i%4 < 2 {
			r.shares.granted(p)
		}
	}
	r.shares.refusedAt(now, 0, reservation{items: 7, team: "large", rank: 1}, NoShareCause)
	r.held[groupKey{Request: "full"}] = &reservation{items: 35, due: now.Add(time.Second)}
	return r, now
}

// Guards against a caller that comes back for its place and is refused because its team is above its
// share, although the place was granted within that share.
func TestPlaceIsClaimedByTeamAboveItsShare(t *testing.T) {
	r, now := unevenShard()
	w := returningFor(now, "c", 1, 7, 4*time.Second)
	w.team = "large"

	first := r.ask(now, "first", w)
	assert.Assert(t, !first.granted && r.shares.cause == TeamAboveShare, "%+v", first)
	assert.Assert(t, first.place > 0, "%+v", first)
	r.held[groupKey{Request: "full"}].due = now.Add(first.place + time.Second)
	now = now.Add(first.place)
	w.due = now.Add(time.Second)
	again := r.ask(now, "again", w)
	assert.Assert(t, again.claimed && again.granted, "%+v, %s", again, r.shares.cause)
	w.caller = "d"
	assert.Assert(t, !r.ask(now, "new", w).granted, "a first-time caller of the team")
	assert.Equal(t, r.shares.cause, TeamAboveShare)
}

// Guards against a refusal that states the cause of an earlier decision: a request that may only use
// a place is not checked against its team's share.
func TestRefusalWithoutPlaceStatesNoShare(t *testing.T) {
	r := fullShard()
	r.shares.cause = TeamAboveShare // of another request
	w := returningFor(start, "c", 1, 10, 4*time.Second)
	w.placeOnly = true
	d := r.ask(start, "a", w)
	assert.Assert(t, !d.granted && d.place > 0, "%+v", d)
	assert.Equal(t, r.shares.cause, NoShareCause)
}

// Guards against places by which a team above its share gets the capacity that others are entitled
// to, and against a decision that relies on demand of a rank or team that hasn't asked here.
func TestPlacesLeaveOtherTeamsTheirShares(t *testing.T) {
	for name, c := range map[string]struct {
		team string
		rank int
		want bool
	}{
		"above its share":  {"large", 1, false},
		"within its share": {"small", 1, true},
		"no demand":        {"new", 1, true},
		"rank not asked":   {"large", 0, true},
	} {
		r, now := unevenShard()
		w := returningFor(now, "c", c.rank, 7, 4*time.Second)
		w.team = c.team
		assert.Equal(t, r.placeFor(now, now.Add(placeEarly), 0, w, placeCapacity), c.want, name)
	}
}

// Guards against demand that grows without limit when the time runs backwards, and then keeps out less
// urgent requests.
func TestDemandWhenTheTimeRunsBackwards(t *testing.T) {
	r := newReservations(leaveout.Of(leaveout.LeastShare))
	r.demandOf(0, start).record(10, 0)
	now := start.Add(-10 * time.Second)
	r.held[groupKey{Request: "some"}] = &reservation{items: 20, due: now.Add(time.Second)}
	granted, lateness := r.reserve(now, groupKey{Request: "new"}, 1, reservation{items: 1, due: now.Add(time.Second)}, placeCapacity)
	assert.Assert(t, granted, "%v", lateness)
}

// Guards against a refusal by an idle shard because of places for later times: without places it accepts
// work that is due within the time of a call, since its targets are free.
func TestLaterPlacesDoNotMakeAnIdleShardBusy(t *testing.T) {
	r := newReservations(leaveout.Set{})
	r.places.put(placeKey{caller: "far"}, &returnPlace{
		reservation: reservation{items: 20, rank: 1}, at: start.Add(3 * time.Second), granted: start, lead: time.Second, latest: start.Add(30 * time.Second),
	})
	granted, lateness := r.reserve(start, groupKey{Request: "new"}, 1, reservation{items: 1, due: start.Add(callTime / 2)}, placeCapacity)
	assert.Assert(t, granted, "%v", lateness)
}

// Guards against memory and messages that grow with the length of the keys that callers choose: a
// shard remembers thousands of refused requests.
func TestReservationStatesHashOfPieceKey(t *testing.T) {
	long := strings.Repeat("k", 10_000)
	now := time.Now()
	call := newReserveCall("r", Shard{Service: "s"}, ReservationRequest{Team: "t", PieceKey: long}, 1, now)
	assert.Assert(t, call.PieceKey != "" && len(call.PieceKey) < 20, "%d bytes", len(call.PieceKey))
	other := newReserveCall("r", Shard{Service: "s"}, ReservationRequest{Team: "t", PieceKey: long + "l"}, 1, now)
	assert.Assert(t, other.PieceKey != call.PieceKey)
}

// Guards against a decision that depends on the order of the work that is due before it.
func TestLatenessIsThatAmongSortedWork(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	work := func() reservation {
		return reservation{items: 1 + random.IntN(20), due: start.Add(time.Duration(random.IntN(20)) * 100 * time.Millisecond)}
	}
	for range 500 {
		r := newReservations(leaveout.Set{})
		var places []*reservation
		for i := range random.IntN(12) {
			held, place := work(), work()
			r.held[groupKey{Stage: i}] = &held
			places = append(places, &place)
		}
		sorted := r.byDue(places, time.Time{})
		assert.Assert(t, slices.IsSortedFunc(sorted, func(a, b *reservation) int { return a.due.Compare(b.due) }))
		p := work()
		want := latenessAmong(sorted, start, p, 3, placeCapacity)
		for _, earlier := range []time.Duration{0, 100 * time.Millisecond, time.Hour} {
			got := latenessAmong(r.byDue(places, p.due.Add(-earlier)), start, p, 3, placeCapacity)
			assert.Equal(t, got, want)
		}
	}
}

// Measures a refusal with the search for a place at a contended shard with 300 outstanding
// reservations, for a team above its share. Each time tried takes account of all teams' shares.
func BenchmarkPlaceForTeamAboveItsShare(b *testing.B) {
	for _, teams := range []int{16, 240} {
		b.Run(fmt.Sprint(teams, " teams"), func(b *testing.B) {
			r, now := newReservations(leaveout.Set{}), start
			for i := range 40 * teams {
				now = now.Add(3 * time.Second / time.Duration(40*teams))
				p := reservation{items: 4, team: fmt.Sprint(max(i%(2*teams)-teams, 0)), rank: 1}
				r.shares.request(now, 0, p)
				if i%2 == 0 {
					r.shares.granted(p)
				}
			}
			for i := range 300 {
				r.held[groupKey{Request: fmt.Sprint(i)}] = &reservation{items: 1, team: fmt.Sprint(i % teams), rank: 1, due: now.Add(time.Duration(i) * 10 * time.Millisecond)}
			}
			w := returningFor(now, "c", 1, 4, 12*time.Second)
			w.team = "0"
			b.ReportAllocs()
			for b.Loop() {
				r.shares.lastRefusal = now
				if d := r.ask(now, "a", w); d.granted {
					b.Fatal("the request isn't refused")
				}
				clear(r.places.places)
			}
		})
	}
}
