package pool

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func entry(id string, revision uint64) Entry {
	return Entry{
		ID: id, Born: 1, Service: "s", Address: "10.0.0.1:" + id, Zone: "a", Slots: 4, State: Ready, Revision: revision,
	}
}

func tableOf(ids ...string) *Table {
	table := New(zap.NewNop())
	var entries []Entry
	for i, id := range ids {
		entries = append(entries, entry(id, uint64(i+1)))
	}
	table.Reset(entries, 10, start)
	return table
}

func usable(t *Table, now time.Time) map[string]bool {
	found := map[string]bool{}
	for _, v := range t.Views("s", now) {
		found[v.ID] = true
	}
	return found
}

func TestOneThatLeavesGetsNothingNew(t *testing.T) {
	table := tableOf("a", "b")
	var left []string
	table.OnLeave(func(target *Target) { left = append(left, target.ID) })
	e := entry("a", 11)
	e.State = Draining
	table.Apply([]Change{{Entry: e}}, 11, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"b": true})
	assert.DeepEqual(t, left, []string{"a"})
	table.Apply([]Change{{Entry: Entry{ID: "b", Revision: 12}, Removed: true}}, 12, start)
	assert.Equal(t, len(usable(table, start)), 0)
}

// A target says that it drains, and an older report of it, delayed on its way
// to the store, says once more that it is ready. If that counted, the target
// would get requests while it goes, and cut them.
func TestDrainingIsNotUnlearned(t *testing.T) {
	table := tableOf("a")
	e := entry("a", 11)
	e.State = Draining
	table.Apply([]Change{{Entry: e}}, 11, start)
	table.Apply([]Change{{Entry: entry("a", 12)}}, 12, start)
	assert.Equal(t, len(usable(table, start)), 0)
}

// A target crashes and starts again under the name that it had. It knows
// nothing of the requests and results of before; what was thought of it, failed
// calls and calls in flight, is of another run.
func TestANewRunUnderTheSameNameStartsAfresh(t *testing.T) {
	table := tableOf("a")
	old := table.ByAddress("s", "10.0.0.1:a")
	table.Begin(old, 100, start)
	e := entry("a", 11)
	e.Born = 2
	var left []*Target
	table.OnLeave(func(target *Target) { left = append(left, target) })
	table.Apply([]Change{{Entry: e}}, 11, start)
	views := table.Views("s", start)
	assert.Equal(t, len(views), 1)
	assert.Equal(t, views[0].InFlight, 0)
	assert.Equal(t, views[0].Born, int64(2))
	assert.Assert(t, old.GoneOrDraining())
	assert.Equal(t, left[0], old)
}

// The report of an earlier run is still on its way when the next run has
// already registered. Were it believed, the target would be looked for at an
// address that it no longer has.
func TestAReportOfAnEarlierRunIsPassedOver(t *testing.T) {
	table := tableOf("a")
	e := entry("a", 11)
	e.Born = 5
	table.Apply([]Change{{Entry: e}}, 11, start)
	older := entry("a", 12)
	older.Born = 1
	older.Address = "10.0.0.9:old"
	table.Apply([]Change{{Entry: older}}, 12, start)
	views := table.Views("s", start)
	assert.Equal(t, views[0].Address, "10.0.0.1:a")
}

// The store was away for longer than entries live, so that it comes back with
// an empty list while all targets are sound. Callers would be refused until
// every target has reported again.
func TestEntriesThatLapsedWhileTheListWasAwayAreUsedOn(t *testing.T) {
	table := tableOf("a", "b")
	table.ListRecovered(start)
	table.Reset(nil, 11, start.Add(100*time.Millisecond))
	assert.Equal(t, len(usable(table, start.Add(time.Second))), 2)
	table.Apply([]Change{{Entry: entry("a", 12)}}, 12, start.Add(time.Second))
	table.Sweep(start.Add(LapsedGracePeriod))
	assert.DeepEqual(t, usable(table, start.Add(LapsedGracePeriod)), map[string]bool{"a": true})
}

// One that had said that it drains before the outage is not kept.
func TestADrainingOneDoesNotComeBackWithTheList(t *testing.T) {
	table := tableOf("a")
	e := entry("a", 11)
	e.State = Draining
	table.Apply([]Change{{Entry: e}}, 11, start)
	table.ListRecovered(start)
	table.Reset(nil, 12, start)
	assert.Equal(t, len(usable(table, start)), 0)
}

// A peer that the store refuses tells what it knew before. If that counted, a
// target that has gone since would be back in use.
func TestOlderNewsIsPassedOver(t *testing.T) {
	table := tableOf("a")
	table.Apply([]Change{{Entry: Entry{ID: "a", Revision: 20}, Removed: true}}, 20, start)
	table.Reset([]Entry{entry("a", 3)}, 15, start)
	table.Apply([]Change{{Entry: entry("a", 15)}}, 15, start)
	assert.Equal(t, len(usable(table, start)), 0)
}

// A target crashed: nothing listens there. Each request sent to it loses time,
// and one that is out of use takes the place of one that only fails now and
// then; so it is left alone at once, whatever part of the pool is out already.
func TestOneThatTakesNoConnectionIsLeftAloneAtOnce(t *testing.T) {
	table := tableOf("a", "b", "c")
	now := start
	for _, id := range []string{"a", "b"} {
		target := table.ByAddress("s", "10.0.0.1:"+id)
		table.Begin(target, 0, now).End(Unreachable, now)
	}
	assert.DeepEqual(t, usable(table, now), map[string]bool{"c": true})
	now = now.Add(firstDown)
	assert.Equal(t, len(usable(table, now)), 3)
	target := table.ByAddress("s", "10.0.0.1:a")
	table.Begin(target, 0, now).End(Unreachable, now)
	assert.Assert(t, !usable(table, now.Add(firstDown))["a"], "left alone longer the second time")
	now = now.Add(2 * firstDown)
	table.Begin(target, 0, now).End(Answered, now)
	table.Begin(target, 0, now).End(Unreachable, now)
	assert.Assert(t, usable(table, now.Add(firstDown))["a"], "an answer starts anew")
}

// A target answers its health check and fails requests. Three failures in a
// row take it out, but never more than a third of the pool: the fault may be
// on this side.
func TestOneThatFailsIsOutForAWhile(t *testing.T) {
	table := tableOf("a", "b", "c", "d")
	fail := func(id string) {
		target := table.ByAddress("s", "10.0.0.1:"+id)
		for range 3 {
			table.Begin(target, 0, start).End(Failed, start)
		}
	}
	weights := func() map[string]float64 {
		w := map[string]float64{}
		for _, v := range table.Views("s", start) {
			w[v.ID] = v.Weight
		}
		return w
	}
	fail("a")
	assert.Equal(t, weights()["a"], 0.0)
	fail("b")
	assert.Equal(t, weights()["b"], 1.0)
}

func TestCallsInFlightAndTheirPromptsAreCounted(t *testing.T) {
	table := tableOf("a")
	target := table.ByAddress("s", "10.0.0.1:a")
	call := table.Begin(target, 500, start)
	other := table.Begin(target, 300, start)
	assert.Equal(t, table.Views("s", start)[0].Tokens, 800)
	call.ResponseStarted()
	assert.Equal(t, table.Views("s", start)[0].Tokens, 300)
	assert.Equal(t, table.Views("s", start)[0].InFlight, 2)
	call.End(Answered, start)
	call.End(Answered, start)
	other.End(Abandoned, start)
	v := table.Views("s", start)[0]
	assert.Equal(t, v.Tokens, 0)
	assert.Equal(t, v.InFlight, 0)
}

func TestAnOldReportSaysNothing(t *testing.T) {
	table := tableOf("a")
	table.ByAddress("s", "10.0.0.1:a").SetReport(Report{Running: 9, At: start})
	assert.Equal(t, table.Views("s", start)[0].Report.Running, 9)
	assert.Equal(t, table.Views("s", start.Add(2*time.Second))[0].Report.Running, 0)
}

// A peer that is behind tells its list. What has gone here since must not come
// back by it: two processes that gave it to each other would use a target that
// has left for as long as they live.
func TestWhatHasGoneDoesNotComeBackByAPeer(t *testing.T) {
	table := tableOf("a", "b")
	gone := []Change{{Entry: Entry{ID: "a", Revision: 20}, Removed: true}}
	table.Apply(gone, 25, start)
	table.ResetFromPeer([]Entry{entry("a", 1), entry("b", 2)}, 12, start)
	table.ResetFromPeer([]Entry{entry("a", 1), entry("b", 2)}, 20, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"b": true})
	table.ResetFromPeer([]Entry{entry("b", 2), entry("c", 30)}, 30, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"b": true, "c": true})
}

// A target that lapsed here is still used for a while, but isn't part of what
// peers are told: for the store it is gone.
func TestALapsedTargetIsNotToldToPeers(t *testing.T) {
	table := tableOf("a", "b")
	table.ListRecovered(start)
	table.Apply([]Change{{Entry: Entry{ID: "a", Revision: 20}, Removed: true}}, 20, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"a": true, "b": true})
	entries, asOf := table.Entries(start)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].ID, "b")
	assert.Equal(t, asOf, uint64(20))
	back := entry("a", 21)
	call := table.Begin(table.ByAddress("s", "10.0.0.1:a"), 0, start)
	table.Apply([]Change{{Entry: back}}, 21, start)
	table.Sweep(start.Add(LapsedGracePeriod))
	assert.DeepEqual(t, usable(table, start.Add(LapsedGracePeriod)), map[string]bool{"a": true, "b": true})
	for _, v := range table.Views("s", start) {
		if v.ID == "a" {
			assert.Equal(t, v.InFlight, 1, "it is the same run")
		}
	}
	call.End(Answered, start)
}

// A process that has just read the whole list hears from one that hasn't yet
// seen the last entry go.
func TestAFreshListIsNotReplacedByAnOlderOne(t *testing.T) {
	table := New(zap.NewNop())
	table.Reset([]Entry{entry("b", 2)}, 40, start)
	table.ResetFromPeer([]Entry{entry("a", 1), entry("b", 2)}, 37, start)
	assert.DeepEqual(t, usable(table, start), map[string]bool{"b": true})
}
