package engines

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// Guards against false statements that attract all requests or take an engine out of use, and against an
// engine that is avoided after its contention has ended.
func TestStatedPace(t *testing.T) {
	for percent, want := range map[int]float64{0: 1, 1: 0.25, 55: 0.55, 300: 3, 1 << 40: 8} {
		pace, stated := StatedPace(percent)
		assert.Assert(t, pace == want && stated == (percent > 0), "%d", percent)
	}
	for _, c := range []struct {
		usual, stated float64
		age           int64 // ms
		want          float64
	}{{1.2, 3, 0, 3}, {1.2, 3, -1, 3}, {1.2, 3, 300, 2.1}, {1.2, 3, 600, 1.2}, {1, 1.1, 0, 1}, {0.55, 1.375, 400, 0.825}} {
		got := paceNow(c.usual, c.stated, time.Duration(c.age)*time.Millisecond)
		assert.Assert(t, math.Abs(got-c.want) < 1e-9, "%+v: %v", c, got)
	}
}

// Guards against a short contention that becomes the usual pace of a busy engine, and against engines
// of an even pool that count as uneven.
func TestUsualPace(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		usual, usualTimes, last, lastTimes int // percent, one for each 100 ms
		want                               float64
	}{{300, 7, 0, 0, 1}, {120, 20, 0, 0, 1.2}, {114, 20, 0, 0, 1}, {115, 20, 0, 0, 1.15}, {55, 30, 137, 6, 0.55}} {
		var e paceEstimate
		for i, percent := range append(slices.Repeat([]int{c.usual}, c.usualTimes), slices.Repeat([]int{c.last}, c.lastTimes)...) {
			pace, _ := StatedPace(percent)
			e.addStated(pace, start.Add(time.Duration(i)*100*time.Millisecond))
		}
		assert.Equal(t, e.usual(), c.want, "%+v", c)
	}
}

// Of the engines of an even pool whose times differ by chance, hardly any may count as fast or slow.
// An engine that takes twice as long must.
func TestPaceFromTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	uneven := 0
	for range 1000 {
		var even, slow timeRatio
		for range 40 {
			even.add(1+0.25*random.NormFloat64(), 1, timedWindow)
			slow.add(2+0.5*random.NormFloat64(), 1, timedWindow)
		}
		if even.pace() != 1 {
			uneven++
		}
		assert.Assert(t, slow.pace() > 1.5 && slow.pace() < 2.5, "%v", slow.pace())
	}
	assert.Assert(t, uneven < 20, "%d of 1000", uneven)
}

// The fit of the curve must be that of a nominal engine, whichever engines answer, or the estimates for
// slow engines would count their slowness twice.
func TestCurveIsThatOfANominalEngine(t *testing.T) {
	truth := Curve{Base: 0.06, Linear: 0.011, Square: 0.00017}
	f := newFit()
	for i := range 2000 {
		tokens, pace := 300+i%50*1000, []float64{0.55, 1.2, 3}[i%3]
		f.add(tokens, truth.Base+pace*truth.PrefillTime(tokens), pace)
	}
	got, want := f.curve().FirstEvent(45_000), truth.FirstEvent(45_000)
	assert.Assert(t, got > 0.97*want && got < 1.03*want, "%v for %v", got, want)
}

// Where engines are even and state no percent, a tracker must answer exactly as one without the
// mechanism, and all processes must consider all engines nominal.
func TestEvenEnginesAreTreatedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		with, _ := newTrackers(1)
		without, _ := newTrackers(1)
		without[0].DisablePace()
		random := rand.New(rand.NewPCG(1, 1))
		truth := Curve{Base: 0.06, Linear: 0.011, Square: 0.00017}
		for i := range 4000 {
			tokens := 200 + random.IntN(20_000)
			o := Observation{
				Service: "s", Target: fmt.Sprint("e", random.IntN(12)), Born: 7, Tokens: tokens,
				Seconds: truth.FirstEvent(tokens) * (0.85 + 0.3*random.Float64()),
			}
			limit := time.Duration(random.IntN(300)) * time.Millisecond
			var answers [2]Answer
			for k, tracker := range []*Tracker{with[0], without[0]} {
				tracker.Observe(o)
				tracker.RecordSample("s", Sample{Tokens: o.Tokens, Seconds: o.Seconds})
				answers[k], _ = tracker.Claim(context.Background(), Claim{Service: "s", Target: o.Target, Born: 7, Tokens: tokens, Limit: limit})
				if i%50 == 0 {
					tracker.Sweep(time.Now())
				}
			}
			assert.Assert(t, answers[0].Pace == 0 || answers[0].Pace == 1)
			answers[0].Pace = 0
			assert.Equal(t, answers[0], answers[1])
			time.Sleep(10 * time.Millisecond)
		}
		before, _ := with[0].Curve("s", time.Now())
		after, _ := without[0].Curve("s", time.Now())
		assert.Equal(t, before, after)
		assert.Assert(t, !with[0].Uneven() && with[0].ClaimsRefusedByPace() == 0)
	})
}

// A contended engine reads a long prompt late. Its tracker must send the prompt on, but not a short one.
func TestContendedEngineRefusesLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(1)
		claim := Claim{Service: "s", Target: "e", Born: 7, Tokens: 20_000, Limit: 20 * time.Millisecond}
		for range 5 {
			all[0].Observe(Observation{Service: "s", Target: "e", Born: 7, Percent: 120})
			time.Sleep(time.Second)
		}
		all[0].Observe(Observation{Service: "s", Target: "e", Born: 7, Percent: 300})
		answer, _ := all[0].Claim(context.Background(), claim)
		assert.Assert(t, !answer.Taken && answer.Pace == 3, "%+v", answer)
		assert.Equal(t, all[0].ClaimsRefusedByPace(), int64(1))
		short := claim
		short.Tokens = 800
		answer, _ = all[0].Claim(context.Background(), short)
		assert.Assert(t, answer.Taken, "%+v", answer)
		time.Sleep(time.Second)
		answer, _ = all[0].Claim(context.Background(), claim)
		assert.Assert(t, answer.Taken && answer.Pace == 1.2, "%+v", answer)
		answer, _ = all[0].Claim(context.Background(), Claim{Service: "s", Target: "e", Born: 7, Limit: time.Hour})
		assert.Assert(t, answer.Wait > 230*time.Millisecond, "the schedule ignores the pace: %v", answer.Wait)
	})
}

// Guards against a log line for each answer of an engine whose pace varies about the limit from which on it
// counts as slow.
func TestPaceAtTheLimitIsLoggedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		tracker := New(zap.New(core), (&servetest.Cluster{}).Add("vm", "z"))
		for range 2 * minLevelSamples {
			tracker.RecordSample("s", Sample{Tokens: 2000, Seconds: defaultCurve.FirstEvent(2000)})
			tracker.Claim(context.Background(), Claim{Service: "s", Target: "other"})
		}
		begun := time.Now()
		for i := range 1000 {
			ratio := 1 + evenBand + 0.15*float64(2*(i%2)-1)
			tracker.Observe(Observation{Service: "s", Target: "e", Tokens: 2000, Seconds: ratio * defaultCurve.FirstEvent(2000)})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, logs.Len() > 0)
		assert.Assert(t, logs.Len() <= 1+int(time.Since(begun)/paceLogInterval), "%d lines", logs.Len())
	})
}

// Guards against a caller that states too many tokens: its prompt would keep others from an engine for
// hours, and other processes from all that they know to be busy.
func TestStatedTokensBlockAnEngineForALimitedTime(t *testing.T) {
	for _, tokens := range []int{200_000_000, math.MaxInt} {
		synctest.Test(t, func(t *testing.T) {
			all, _ := newTrackers(2)
			claim := Claim{Service: "s", Target: "e", Born: 7, Tokens: tokens, Limit: UnlimitedWait}
			answer, _ := all[0].Claim(context.Background(), claim)
			assert.Assert(t, answer.Taken)
			claim.Tokens, claim.Limit = 1000, time.Second
			answer, _ = all[1].Claim(context.Background(), claim)
			assert.Assert(t, !answer.Taken && answer.Wait <= maxPrefill, "%+v", answer)
			time.Sleep(maxPrefill)
			views := []pool.View{{Target: &pool.Target{ID: "e"}, Pace: 1}}
			all[0].AddWaits(views, 1e-5, time.Now())
			assert.Equal(t, views[0].Tokens, 0)
			answer, _ = all[1].Claim(context.Background(), claim)
			assert.Assert(t, answer.Taken && answer.Wait == 0, "%+v", answer)
		})
	}
}

// The least time between two versions of an announcement bounds the messages of large systems.
func TestAnnouncementIsDue(t *testing.T) {
	start := time.Unix(1000, 0)
	entries := func(pace float64) []paceEntry { return []paceEntry{{"e", 7, pace}} }
	var a announcement
	for _, c := range []struct {
		after   time.Duration
		entries []paceEntry
		members int
		want    bool
	}{
		{0, nil, 10, false},
		{0, entries(1.2), 10, true},
		{time.Second, entries(3), 10, false},
		{2 * time.Second, entries(1.3), 10, false},
		{2 * time.Second, entries(3), 985, false},
		{2 * time.Second, entries(3), 10, true},
		{31 * time.Second, entries(3), 10, false},
		{32 * time.Second, entries(3), 10, true},
		{34 * time.Second, []paceEntry{{"e", 8, 3}}, 10, true},
		{36 * time.Second, nil, 10, true},
		{100 * time.Second, nil, 10, false},
	} {
		assert.Equal(t, a.update(c.entries, c.members, start.Add(c.after)), c.want, "%+v", c)
	}
}

// One tracker may have all engines of a large system. An item that is too large isn't sent at all.
func TestAnnouncementFitsAnItem(t *testing.T) {
	var entries []announcedEngine
	for i := range 3000 {
		pace := paceEntry{Target: fmt.Sprint("target-in-a-large-pool-", i), Born: 1764850000000, Pace: 1.2 + float64(i%2)}
		entries = append(entries, announcedEngine{pace, 0.25})
	}
	entries[2999].Rejected = 0.75
	entries = mostUneven(entries)
	data, err := json.Marshal(announcementItem{Engines: entries})
	assert.NilError(t, err)
	assert.Assert(t, len(entries) == maxAnnounced && len(data) < peer.MaxItemBytes)
	assert.Assert(t, entries[0].Rejected == 0.75 && entries[1].Pace == 2.2)
}

// paceItem is an announcement as a process reads it that knows of paces only.
type paceItem struct {
	Engines []paceEntry `json:"engines"`
}

// A later release appends elements to entries, and two trackers announce one engine for a moment.
func TestNewestAnnouncementCounts(t *testing.T) {
	var body paceItem
	assert.NilError(t, json.Unmarshal([]byte(`{"engines":[["e",7,1.2,0.4],["f",7,0.55]],"more":1}`), &body))
	assert.Assert(t, json.Unmarshal([]byte(`{"engines":[["e",7]]}`), &paceItem{}) != nil)
	encoded, err := json.Marshal(body)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"engines":[["e",7,1.2],["f",7,0.55]]}`)
	a, now := newAnnouncedPaces(), time.Unix(1000, 0)
	a.receive("first", body.Engines, now.Add(time.Minute))
	a.receive("second", []paceEntry{{"e", 7, 3}, {"f", 6, 2}, {"g", 7, -1}}, now.Add(2*time.Minute))
	assert.Equal(t, a.usual("e", 7), 3.0)
	assert.Equal(t, a.usual("e", 8), 1.0)
	assert.Equal(t, a.usual("f", 7), 0.55)
	assert.Equal(t, a.usual("g", 7), 1.0)
	a.receive("first", nil, now.Add(time.Minute))
	assert.Equal(t, a.usual("e", 7), 3.0)
	assert.Equal(t, a.usual("f", 7), 1.0)
	a.sweep(now.Add(3 * time.Minute))
	assert.Equal(t, len(a.byTarget)+len(a.byOrigin), 0)
}

// learnSlow reports paces of an engine from all processes until its tracker has announced them.
func learnSlow(all []*Tracker, target string, born int64, percent int) {
	for i := range 40 {
		all[i%len(all)].Observe(Observation{Service: "s", Target: target, Born: born, Percent: percent})
		time.Sleep(200 * time.Millisecond)
		sweepAll(all)
	}
}

func sweepAll(all []*Tracker) {
	for _, tracker := range all {
		tracker.Sweep(time.Now())
	}
}

// The tracker of an engine dies. What it announced must count until the next tracker has learnt the
// pace, or until its lifetime ends, and no process may wait for it.
func TestTrackerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, nodes := newTrackers(5)
		engine := &pool.Target{ID: "e", Born: 7}
		learnSlow(all, "e", 7, 300)
		owner, _ := all[0].trackerOf("e", time.Now())
		var left []*Tracker
		for i, n := range nodes {
			assert.Equal(t, all[i].UsualPace(engine), 3.0)
			if n.Self().Incarnation == owner {
				n.Kill()
				continue
			}
			left = append(left, all[i])
		}
		answer, answered := left[0].Claim(context.Background(), Claim{Service: "s", Target: "e", Born: 7, Tokens: 1000})
		assert.Assert(t, answered && answer.Pace == 0, "the next tracker has no estimate: %+v", answer)
		assert.Equal(t, left[0].UsualPace(engine), 3.0)
		learnSlow(left, "e", 7, 55)
		assert.Equal(t, left[1].UsualPace(engine), 0.55)
		time.Sleep(announceTTL(5))
		sweepAll(left)
		time.Sleep(maxStateAge)
		sweepAll(left)
		time.Sleep(announceTTL(5))
		sweepAll(left)
		assert.Equal(t, left[1].UsualPace(engine), 1.0)
	})
}

// Two processes consider themselves the tracker of an engine. Each learns from a part of the
// observations, and both must come to the same pace.
func TestTwoTrackersForAMoment(t *testing.T) {
	start := time.Unix(1000, 0)
	first, second := engineStates{}, engineStates{}
	for i := range 20 {
		part := []engineStates{first, second}[i%2]
		part.observe(Observation{Service: "s", Target: "e", Born: 7, Percent: 300}, 0, start.Add(time.Duration(i)*time.Second))
	}
	assert.DeepEqual(t, first.uneven(), second.uneven())
	assert.Equal(t, first.uneven()[0].Pace, 3.0)
}

// An engine restarts on another machine. Its earlier pace must not count, nor observations of the
// earlier incarnation that arrive late.
func TestEngineRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(3)
		learnSlow(all, "e", 7, 300)
		all[0].Observe(Observation{Service: "s", Target: "e", Born: 8, Percent: 100})
		all[1].Observe(Observation{Service: "s", Target: "e", Born: 7, Percent: 300})
		time.Sleep(2 * time.Second)
		sweepAll(all)
		for _, tracker := range all {
			assert.Equal(t, tracker.UsualPace(&pool.Target{ID: "e", Born: 8}), 1.0)
			answer, _ := tracker.Claim(context.Background(), Claim{Service: "s", Target: "e", Born: 8, Tokens: 20_000, Limit: time.Hour})
			assert.Equal(t, answer.Pace, 1.0)
		}
	})
}

// Trackers that are frozen, dead or of an earlier release don't take observations. No request may wait
// for them, and claims must still be sent to those that answer.
func TestLostObservations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := &servetest.Cluster{Delay: time.Millisecond}
		own := New(zap.NewNop(), cluster.Add("new", "z"))
		old := cluster.Add("old", "z")
		peer.HandleCall(old, methodClaim, func(claimCall) (any, error) { return claimAnswer{Taken: true}, nil })
		started := time.Now()
		for i := range 500 {
			own.Observe(Observation{Service: "s", Target: fmt.Sprint("e", i), Percent: 300})
		}
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.Assert(t, cluster.CallCount() <= maxPendingObservations)
		time.Sleep(time.Second)
		for i := range 20 {
			answer, answered := own.Claim(context.Background(), Claim{Service: "s", Target: fmt.Sprint("e", i), Limit: time.Second})
			assert.Assert(t, answered && answer.Taken)
		}
		old.Freeze()
		own.Observe(Observation{Service: "s", Target: "e0", Percent: 300})
		time.Sleep(time.Second)
		assert.Equal(t, own.paceTracking.pending.Load(), int64(0))
	})
}
