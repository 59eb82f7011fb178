package engines

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Guards against an engine that counts as rejecting after one rejection, or forever.
func TestRejectionShare(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		outcomes string // one each 100 ms, r for a rejection
		after    time.Duration
		want     float64
	}{
		"none":            {"", 0, 0},
		"accepted":        {"aaaaaaaaaaaaaaaaaaaa", 0, 0},
		"too few":         {"rrr", 0, 0},
		"all":             {"rrrrrrrrrrrrrrrrrrrr", 0, 1},
		"two thirds":      {"rrarrarrarrarrarrarrarra", 0, 0.65},
		"for a while":     {"rrrrrrrrrrrrrrrrrrrr", 2 * time.Second, 1},
		"decayed":         {"rrrrrrrrrrrrrrrrrrrr", 4 * time.Second, 0.45},
		"forgotten":       {"rrrrrrrrrrrrrrrrrrrr", 9 * time.Second, 0},
		"works again":     {"rrrrrrrrrrrrrrrrrrrraaaaaaaaaaaaaaaaaaaa", 0, 0.27},
		"before a gap":    {"rrrrrrrrrrrrrrrrrrrr", time.Minute, 0},
		"one in ten of 3": {"aaaaaaaaar", 0, 0.12},
	} {
		var r rejectionShare
		now := start
		for _, outcome := range tc.outcomes {
			r.add(outcome == 'r', now)
			now = now.Add(100 * time.Millisecond)
		}
		got := r.share(now.Add(tc.after))
		assert.Assert(t, got > tc.want-0.06 && got < tc.want+0.06, "%s: %v", name, got)
	}
}

// Guards against an announced share that counts forever where its tracker falls silent, or decays while the
// tracker repeats it.
func TestAnnouncedShareDecays(t *testing.T) {
	const interval = 2 * time.Second
	assert.Equal(t, announcedShare(0.6, 0, interval), 0.6)
	assert.Equal(t, announcedShare(0.6, interval, interval), 0.6)
	half := announcedShare(0.6, interval+time.Second, interval)
	assert.Assert(t, half > 0.35 && half < 0.4, "%v", half)
	assert.Equal(t, announcedShare(0.6, interval+3*time.Second, interval), 0.0)
}

// Guards against refusals where engines accept enough, against urgent requests that give way to others, and
// against requests that wear out the stages although no engine is left.
func TestAdmissionDespiteRejections(t *testing.T) {
	for _, tc := range []struct {
		s          ServiceRejections
		rank       int
		budgetLeft float64
		random     float64
		want       bool
	}{
		{ServiceRejections{}, 9, 0, 0.99, true},
		{ServiceRejections{Mean: 0.49}, 9, 0, 0.99, true},
		{ServiceRejections{Mean: 0.7, Least: 0.5}, 9, 0.25, 0.99, true},
		{ServiceRejections{Mean: 0.7, Least: 0.5}, 0, 0, 0.99, true},
		{ServiceRejections{Mean: 0.7, Least: 0.5}, 1, 0.2, 0.29, true},
		{ServiceRejections{Mean: 0.7, Least: 0.5}, 1, 0.2, 0.31, false},
		{ServiceRejections{Mean: 0.7, Least: 0.5}, 2, 0.2, 0.1, false},
		{ServiceRejections{Mean: 0.95, Least: 0.9}, 0, 1, 0, false},
	} {
		assert.Equal(t, tc.s.Admits(tc.rank, tc.budgetLeft, tc.random), tc.want, "%+v", tc)
	}
	for least, want := range map[float64]time.Duration{0: 500 * time.Millisecond, 0.6: 500 * time.Millisecond, 0.9: 1176 * time.Millisecond, 1: 1386 * time.Millisecond} {
		assert.Equal(t, ServiceRejections{Least: least}.DecayTime().Round(time.Millisecond), want)
	}
}

// Guards against processes of the previous release that can't read announcements, and against shares that
// are none.
func TestRejectionsOnTheWire(t *testing.T) {
	var item announcementItem
	assert.NilError(t, json.Unmarshal([]byte(`{"engines":[["e",7,1,0.6,"more"],["f",7,0.55],["g",7,1,7],["h",7,1,-1]]}`), &item))
	encoded, err := json.Marshal(announcementItem{Engines: item.Engines[:2]})
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), `{"engines":[["e",7,1,0.6],["f",7,0.55]]}`)
	var old paceItem
	assert.NilError(t, json.Unmarshal(encoded, &old))
	assert.Equal(t, len(pacesOf(item.Engines)), 1)
	all, _ := newTrackers(1)
	all[0].receiveAnnouncement("x", item.Engines, time.Now(), time.Minute)
	for id, want := range map[string]float64{"e": 0.6, "f": 0, "g": 0, "h": 0} {
		assert.Equal(t, all[0].Rejecting(&pool.Target{ID: id, Born: 7}, time.Now()), want, id)
	}
}

// Guards against an announcement that is too large to be published where very many engines reject requests.
func TestAnnouncementIsBounded(t *testing.T) {
	var all []announcedEngine
	for i := range 3 * maxAnnounced {
		e := announcedEngine{paceEntry{Target: fmt.Sprint("e", i), Born: 7, Pace: 1.2 + float64(i)/1e4}, 0}
		if i%6 == 0 {
			e.Pace, e.Rejected = 1, 0.5
		}
		all = append(all, e)
	}
	kept := mostUneven(all)
	assert.Equal(t, len(kept), maxAnnounced)
	assert.Equal(t, kept[maxAnnounced/2-1].Rejected, 0.5)
	assert.Equal(t, kept[maxAnnounced/2].Target, fmt.Sprint("e", 3*maxAnnounced-1))
}

// reject reports rejections of an engine from all processes until its tracker has announced them.
func reject(all []*Tracker, target *pool.Target, n int) {
	for i := range n {
		all[i%len(all)].ObserveRejection("s", target)
		time.Sleep(100 * time.Millisecond)
	}
	sweepAll(all)
	time.Sleep(100 * time.Millisecond)
}

// Guards against a rejecting engine that only some processes know, and against one that stays avoided when
// its tracker dies, when it restarts, or when nobody asks it any more.
func TestRejectionsReachAllProcessesAndDecay(t *testing.T) {
	for name, event := range map[string]func([]*Tracker, func()){
		"nothing happens": func([]*Tracker, func()) {},
		"tracker dies":    func(_ []*Tracker, kill func()) { kill() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all, nodes := newTrackers(5)
				engine := &pool.Target{ID: "e", Born: 7}
				reject(all, engine, 30)
				owner, _ := all[0].trackerOf("e", time.Now())
				left := all[:0:0]
				for i, tracker := range all {
					assert.Assert(t, tracker.Rejecting(engine, time.Now()) > 0.9)
					assert.Assert(t, tracker.ReportsAccepts(engine, time.Now()))
					assert.Equal(t, tracker.Rejecting(&pool.Target{ID: "e", Born: 8}, time.Now()), 0.0, "it has restarted")
					assert.Equal(t, tracker.UsualPace(engine), 1.0)
					assert.Assert(t, !tracker.Uneven())
					if nodes[i].Self().Incarnation != owner {
						left = append(left, tracker)
					}
				}
				event(all, func() {
					for _, n := range nodes {
						if n.Self().Incarnation == owner {
							n.Kill()
						}
					}
				})
				for range 12 {
					time.Sleep(time.Second)
					sweepAll(left)
				}
				for _, tracker := range left {
					assert.Equal(t, tracker.Rejecting(engine, time.Now()), 0.0)
					assert.Assert(t, !tracker.ReportsAccepts(engine, time.Now()))
				}
			})
		})
	}
}

// Guards against two trackers for a moment that contradict each other for longer than an interval.
func TestNewestAnnouncedRejectionCounts(t *testing.T) {
	all, _ := newTrackers(1)
	now := time.Now()
	entry := func(share float64) []announcedEngine {
		return []announcedEngine{{paceEntry{Target: "e", Born: 7, Pace: 1}, share}}
	}
	engine := &pool.Target{ID: "e", Born: 7}
	all[0].receiveAnnouncement("first", entry(0.9), now, time.Minute)
	all[0].receiveAnnouncement("second", entry(0.4), now, time.Minute)
	assert.Equal(t, all[0].Rejecting(engine, now), 0.4)
	all[0].receiveAnnouncement("first", nil, now, time.Minute)
	assert.Equal(t, all[0].Rejecting(engine, now), 0.4)
	all[0].receiveAnnouncement("second", nil, now, time.Minute)
	assert.Equal(t, all[0].Rejecting(engine, now), 0.0)
}

// Guards against rejections that cost messages or answers where the mechanism is left out, or its tracker is
// frozen.
func TestRejectionsWithoutATracker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, nodes := newTrackers(2)
		nodes[1].Freeze()
		start := time.Now()
		for i := range 200 {
			all[0].ObserveRejection("s", &pool.Target{ID: fmt.Sprint("e", i), Born: 7})
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(time.Second)
		off, _ := newTrackers(2)
		for _, tracker := range off {
			tracker.DisableRejections()
		}
		engine := &pool.Target{ID: "e", Born: 7}
		reject(off, engine, 30)
		assert.Equal(t, off[0].Rejecting(engine, time.Now()), 0.0)
		_, answered := off[0].Claim(context.Background(), Claim{Service: "s", Target: "e"})
		assert.Assert(t, answered)
	})
}

func BenchmarkSetRejections(b *testing.B) {
	for _, n := range []int{90, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all, _ := newTrackers(1)
			var entries []announcedEngine
			for i := range n {
				entries = append(entries, announcedEngine{paceEntry{Target: fmt.Sprint("e", i), Born: 7, Pace: 1}, 0.6})
			}
			all[0].receiveAnnouncement("x", entries, time.Now(), time.Minute)
			var views []pool.View // as many as one choice considers
			for i := range 90 {
				views = append(views, pool.View{Target: &pool.Target{ID: fmt.Sprint("e", i), Born: 7}})
			}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				all[0].SetRejections(views, now)
			}
		})
	}
}
