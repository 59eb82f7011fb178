package gather

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// teamLoad is a load of several teams on one shard that processes 100 items per second.
type teamLoad struct {
	rates   []float64 // requests per second, by team
	items   func(*rand.Rand) int
	retries int     // of each refused caller, one every 20 ms
	regular bool    // requests arrive at fixed intervals instead of independently
	unnamed float64 // part of the requests that carry no team
	seconds float64
}

// outcome counts items of requests, each request once however often its caller retries.
type outcome struct{ asked, served int }

func (o outcome) share() float64 { return float64(o.served) / float64(max(o.asked, 1)) }

type played struct {
	teams                              []outcome
	first, others, all, large, unnamed outcome
	overShare                          int
	decisions                          []bool
}

const largeItems = 24

type playedRequest struct {
	id, team, items, tries int
	name                   string
	arrived                time.Time
}

// play plays a load at gatherers that each have the same part of the capacity and see requests at
// random.
func play(load teamLoad, seed uint64, began time.Time, gatherers int, leaveOut leaveout.Set) played {
	const tick, rate = 20 * time.Millisecond, 100.0
	random := rand.New(rand.NewPCG(seed, 1))
	arrivals := make([][]playedRequest, int(load.seconds/tick.Seconds())+load.retries+1)
	n := 0
	for team, perSecond := range load.rates {
		gap := func() float64 { return random.ExpFloat64() / perSecond }
		if load.regular {
			gap = func() float64 { return 1 / perSecond }
		}
		for at := gap() * float64(team) / float64(len(load.rates)); at < load.seconds; at += gap() {
			n++
			r := playedRequest{id: n, team: team, items: load.items(random), name: "team " + strconv.Itoa(team), arrived: began.Add(seconds(at))}
			if random.Float64() < load.unnamed {
				r.name = ""
			}
			arrivals[int(at/tick.Seconds())] = append(arrivals[int(at/tick.Seconds())], r)
		}
	}
	shards := make([]*reservations, gatherers)
	for i := range shards {
		shards[i] = newReservations(leaveOut)
	}
	result := played{teams: make([]outcome, len(load.rates))}
	available := capacity{rate: rate / float64(gatherers), call: callTime, idleBacklog: testTiming.idleBacklog}
	for i, list := range arrivals {
		now := began.Add(time.Duration(i) * tick)
		for _, shard := range shards {
			startItems(shard, now, rate*tick.Seconds()/float64(gatherers))
		}
		for _, r := range list {
			shard := shards[random.IntN(gatherers)]
			work := reservation{items: r.items, due: r.arrived.Add(1500 * time.Millisecond), team: r.name, pieceKey: strconv.Itoa(r.id)}
			granted, _ := shard.reserve(now, groupKey{Request: strconv.Itoa(r.id)}, 1, work, available)
			result.decisions = append(result.decisions, granted)
			if shard.shares.cause != NoShareCause {
				result.overShare++
			}
			if !granted && r.tries < load.retries {
				r.tries++
				arrivals[i+1] = append(arrivals[i+1], r)
				continue
			}
			result.count(r, granted)
		}
	}
	return result
}

func (p *played) count(r playedRequest, served bool) {
	for o, applies := range map[*outcome]bool{
		&p.teams[r.team]: true, &p.all: true, &p.first: r.team == 0, &p.others: r.team > 0, &p.large: r.items >= largeItems, &p.unnamed: r.name == "",
	} {
		if applies {
			o.asked += r.items
		}
		if applies && served {
			o.served += r.items
		}
	}
}

func short(*rand.Rand) int { return 4 }

// shortAndLong makes a tenth of the requests large.
func shortAndLong(random *rand.Rand) int {
	if random.IntN(10) == 0 {
		return largeItems
	}
	return 2
}

// teamsOf returns the rates of n teams, of which the first sends a multiple of the others' rate.
func teamsOf(n int, rate, multiple float64) []float64 {
	rates := make([]float64, n)
	for i := range rates {
		rates[i] = rate
	}
	rates[0] *= multiple
	return rates
}

var withoutTeamShares = leaveout.Of(leaveout.TeamShares)

// Guards against a team that sends seven times its usual load, or whose callers retry at once, and
// takes the capacity of the others; and against a share that starves the large team, any other or
// the largest requests, or leaves capacity unused.
func TestBurstOfOneTeam(t *testing.T) {
	for name, load := range map[string]teamLoad{
		"7x":                 {rates: teamsOf(16, 1.4, 7), items: short, seconds: 40},
		"7x, retries":        {rates: teamsOf(16, 1.4, 7), items: short, seconds: 40, retries: 20},
		"7x, long and short": {rates: teamsOf(16, 2, 7), items: shortAndLong, seconds: 40},
		"7x, all at once":    {rates: teamsOf(16, 1.4, 7), items: shortAndLong, seconds: 40, retries: 20},
		"seven seconds":      {rates: teamsOf(16, 1.4, 7), items: short, seconds: 7},
		"heavy overload":     {rates: teamsOf(16, 2.5, 7), items: short, seconds: 40, retries: 20},
		"heavy, large":       {rates: teamsOf(16, 5, 7), items: shortAndLong, seconds: 40},
	} {
		for seed := range uint64(5) {
			before, after := play(load, seed, start, 1, withoutTeamShares), play(load, seed, start, 1, leaveout.Set{})
			t.Logf("%s: others %.2f to %.2f, first %.2f to %.2f, large %.2f to %.2f, items %d to %d", name, before.others.share(), after.others.share(),
				before.first.share(), after.first.share(), before.large.share(), after.large.share(), before.all.served, after.all.served)
			assert.Assert(t, after.overShare > 0, name)
			assert.Assert(t, after.others.share() > min(before.others.share()+0.03, 0.95), "%s: %.2f", name, after.others.share())
			for i, o := range append(after.teams, after.large) {
				assert.Assert(t, o.asked == 0 || o.share() >= floorShare*after.all.share(), "%s: team %d: %.2f", name, i, o.share())
			}
			assert.Assert(t, float64(after.all.served) >= 0.94*float64(before.all.served), "%s: %d of %d", name, after.all.served, before.all.served)
		}
	}
}

// Guards against decisions that differ from those without shares where no team takes another's
// capacity.
func TestSharesChangeNothingWithoutUnevenContention(t *testing.T) {
	for name, load := range map[string]teamLoad{
		"no contention":            {rates: teamsOf(16, 0.5, 7), items: short, seconds: 20},
		"one team":                 {rates: []float64{40}, items: shortAndLong, seconds: 20, retries: 3},
		"even, regular":            {rates: teamsOf(16, 2.5, 1), items: short, seconds: 20, regular: true, retries: 3},
		"even, independent":        {rates: teamsOf(16, 2.5, 1), items: short, seconds: 20},
		"no names":                 {rates: teamsOf(16, 2.5, 7), items: short, seconds: 20, unnamed: 1},
		"gatherer without history": {rates: teamsOf(16, 2.5, 7), items: short, seconds: 1.9, retries: 3},
	} {
		for seed := range uint64(5) {
			before, after := play(load, seed, start, 1, withoutTeamShares), play(load, seed, start, 1, leaveout.Set{})
			assert.DeepEqual(t, before.decisions, after.decisions)
			assert.Equal(t, after.overShare, 0, name)
		}
	}
}

// Guards against shares that fail while two processes gather for a shard, each with a part of the
// demand, or while half of the processes are of the previous release and state no team.
func TestSharesWithTwoGatherersAndOldProcesses(t *testing.T) {
	for seed := range uint64(5) {
		load := teamLoad{rates: teamsOf(16, 2, 7), items: short, seconds: 40}
		before, after := play(load, seed, start, 2, withoutTeamShares), play(load, seed, start, 2, leaveout.Set{})
		assert.Assert(t, after.others.share() > before.others.share()+0.05, "%.2f, %.2f", before.others.share(), after.others.share())
		assert.Assert(t, after.first.share() >= floorShare*after.all.share(), "%.2f", after.first.share())
		load.unnamed = 0.5
		after = play(load, seed, start, 1, leaveout.Set{})
		assert.Assert(t, after.unnamed.share() >= floorShare*after.all.share(), "%.2f", after.unnamed.share())
	}
	var call reserveCall
	assert.NilError(t, json.Unmarshal([]byte(`{"cell":{"service":"s"},"request":"r","stage":0,"rank":1,"items":4,"due":900,"serial":1}`), &call))
	g := newTestGatherer(context.Background(), &plan.Batch{Size: 1, BufferBytes: 100}, nil, "10.0.0.1:1")
	assert.Assert(t, !g.ReserveStage(call, start).Refused)
	assert.DeepEqual(t, g.TeamShares(start)[0], TeamShare{Rank: 1, Requested: 4, Admitted: 4, Refused: map[ShareCause]int{}})
}

// Guards against decisions that depend on the time of day, and against shares that rest on demand
// or refusals of the future after the clock was set back.
func TestSharesWhenTheClockIsStepped(t *testing.T) {
	load := teamLoad{rates: teamsOf(16, 2, 7), items: short, seconds: 10}
	assert.DeepEqual(t, play(load, 1, start, 1, leaveout.Set{}).decisions, play(load, 1, start.Add(-10000*time.Hour), 1, leaveout.Set{}).decisions)
	f := newFairShares()
	ask := func(now time.Time, team string, items int) float64 {
		p := reservation{items: items, due: now.Add(time.Second), team: team, rank: 1, at: now}
		f.request(now, 0, p)
		claimed, _ := f.claims(now, p, capacity{rate: 100}, nil)
		return claimed
	}
	contend := func(now time.Time) (claimed float64) {
		for i := range 100 {
			at := now.Add(time.Duration(i) * 30 * time.Millisecond)
			ask(at, "small", 1)
			if i%2 == 0 {
				f.granted(reservation{items: 1, team: "small", rank: 1})
			}
			claimed = ask(at, "large", 8)
			f.granted(reservation{items: 4, team: "large", rank: 1})
			f.refusedAt(at, 0, reservation{items: 4, team: "large", rank: 1}, NoShareCause)
		}
		return claimed
	}
	assert.Assert(t, contend(start) > 0)
	assert.Equal(t, ask(start.Add(-time.Hour), "large", 8), 0.0, "the last refusal isn't a second ago")
	assert.Assert(t, contend(start.Add(-time.Hour)) > 0)
	assert.Assert(t, f.ranks[1].teams[0].requested < 200, "%v", f.ranks[1].teams[0])
	f.ranks[1].advance(start.Add(-time.Hour + 2*teamTimeout))
	assert.Equal(t, len(f.ranks[1].teams), 0, "teams that no longer ask")
}

// Guards against shares that don't add up, and against a team that gets more than it asks for or
// less than its floor.
func TestMaxMinShares(t *testing.T) {
	for name, c := range map[string]struct {
		demands      []float64
		total, floor float64
		want         []float64
	}{
		"unused shares go to the others": {[]float64{7, 1, 1, 1}, 6, 0, []float64{3, 1, 1, 1}},
		"floor":                          {[]float64{7, 1, 1, 1}, 6, 0.5, []float64{3.5, 0.833, 0.833, 0.833}},
		"even":                           {[]float64{4, 4}, 6, 0.375, []float64{3, 3}},
		"one team":                       {[]float64{4}, 3, 0.375, []float64{3}},
		"a team that asks for nothing":   {[]float64{0, 4, 8}, 9, 0, []float64{0, 4, 5}},
	} {
		r := &rankShares{}
		for _, d := range c.demands {
			r.teams = append(r.teams, teamDemand{windowDemand: windowDemand{requested: d}})
		}
		r.divide(c.total, c.floor)
		for i, want := range c.want {
			assert.Assert(t, math.Abs(r.teams[i].share-want) < 0.01, "%s: %v", name, r.teams[i].share)
		}
	}
}

// Guards against memory and metrics that grow with the number of names, and against a request that
// was granted here but refused elsewhere counting as admitted.
func TestTeamsAreBoundedAndCancelledRequestsDoNotCount(t *testing.T) {
	g := newTestGatherer(context.Background(), &plan.Batch{Size: 1, BufferBytes: 100}, nil, "10.0.0.1:1")
	for i := range 2 * maxTeams {
		g.ReserveStage(reserveCall{Shard: Shard{Service: "s"}, Request: strconv.Itoa(i), Items: 1, Team: strconv.Itoa(i), Serial: 1}, start)
	}
	s := g.shards[Shard{Service: "s"}]
	assert.Equal(t, len(s.reservations.shares.ranks[0].teams), maxTeams+1)
	assert.Equal(t, len(g.TeamShares(start)), maxTeamSeries+1)
	for i := range 2 * maxTeams {
		g.Cancel(Shard{Service: "s"}, strconv.Itoa(i), 1)
	}
	_, admitted := s.reservations.shares.ranks[0].totals()
	assert.Assert(t, admitted < 0.01, "%v", admitted)
	s.reservations.shares.ranks[0].advance(start.Add(2 * teamTimeout))
	assert.Equal(t, len(g.TeamShares(start.Add(2*teamTimeout))), 0)
}

// Measures the decision on a request above its team's share at a contended shard with 300
// outstanding reservations.
func BenchmarkFairShare(b *testing.B) {
	for _, teams := range []int{16, 240} {
		b.Run(strconv.Itoa(teams)+" teams", func(b *testing.B) {
			res := newReservations(leaveout.Set{})
			now := start
			for i := range 40 * teams {
				now = now.Add(3 * time.Second / time.Duration(40*teams))
				p := reservation{items: 4, team: strconv.Itoa(max(i%(2*teams)-teams, 0)), rank: 1, due: now.Add(time.Second)}
				res.shares.request(now, 0, p)
				if i%2 == 0 {
					res.shares.granted(p)
				}
				if i < 300 {
					res.held[groupKey{Request: strconv.Itoa(i)}] = &reservation{items: 4, team: p.team, rank: 1, due: now.Add(time.Minute)}
				}
			}
			res.shares.lastRefusal = now
			p := reservation{items: 4, team: "0", rank: 1, due: now.Add(time.Second)}
			b.ReportAllocs()
			for b.Loop() {
				res.shares.request(now, 0, p)
				if claimed, _ := res.shares.claims(now, p, capacity{rate: 100}, res.held); claimed == 0 {
					b.Fatal("the team isn't above its share")
				}
			}
		})
	}
}
