package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// bornAt returns a change to the row of target "a".
func bornAt(born int64, state State, at revision.Revision) []Change {
	e := entry("a", at)
	e.Born, e.State = born, state
	return []Change{{Entry: e}}
}

// clockBack returns a table whose target "a" was born at 5, and the time.
func clockBack() (*Table, time.Time) {
	table := tableOf("a", "b")
	table.Apply(bornAt(5, Ready, 11), 11, start)
	return table, start.Add(time.Second)
}

func bornOf(table *Table) int64 { return table.Find("s", "a").Born }

// Guards against requests to a target that drains after it has started again while its clock went back.
func TestStartWhoseClockWentBackIsAdopted(t *testing.T) {
	table, now := clockBack()
	var retired []*Target
	table.OnLeave(func(target *Target) { retired = append(retired, target) })
	table.Apply(bornAt(2, Ready, 12), 12, now)
	assert.Equal(t, bornOf(table), int64(5))
	assert.Assert(t, usableIDs(table, now)["a"], "the target is at its address")
	table.Sweep(now.Add(earlierStartDelay - time.Millisecond))
	assert.Equal(t, bornOf(table), int64(5))
	now = now.Add(earlierStartDelay)
	table.Sweep(now)
	assert.Equal(t, bornOf(table), int64(2))
	assert.Equal(t, len(retired), 1)
	assert.Assert(t, usableIDs(table, now)["a"])
	table.Apply(bornAt(2, Draining, 13), 13, now)
	assert.Assert(t, !usableIDs(table, now)["a"])
	table.Apply(bornAt(5, Ready, 14), 14, now)
	assert.Assert(t, usableIDs(table, now)["a"], "its clock is right again")
}

// Guards against requests to such a target once the store has accepted that it drains, whichever start that is of.
func TestRowOfAnEarlierStartThatDrainsCountsAtOnce(t *testing.T) {
	for _, before := range [][]Change{nil, bornAt(2, Ready, 12)} {
		table, now := clockBack()
		var left int
		table.OnLeave(func(*Target) { left++ })
		table.Apply(before, 12, now)
		now = now.Add(time.Second)
		table.Apply(bornAt(2, Draining, 13), 13, now)
		assert.Assert(t, !usableIDs(table, now)["a"])
		assert.Equal(t, len(table.ReadySet("s").Targets), 1)
		table.Apply(bornAt(2, Ready, 14), 14, now)
		assert.Assert(t, !usableIDs(table, now)["a"], "a target that leaves doesn't become ready again")
		now = now.Add(earlierStartDelay)
		table.Sweep(now)
		assert.Equal(t, bornOf(table), int64(2))
		assert.Assert(t, !usableIDs(table, now)["a"])
		assert.Equal(t, left, 1)
	}
}

// Guards against a delayed report of an earlier start ending the use of the one that runs, or undoing that it drains.
func TestDelayedReportOfAnEarlierStartIsForgotten(t *testing.T) {
	for _, delayed := range []State{Ready, Draining} {
		table, now := clockBack()
		target := table.Find("s", "a")
		table.Apply(bornAt(2, delayed, 12), 12, now)
		assert.Equal(t, usableIDs(table, now)["a"], delayed == Ready)
		now = now.Add(1200 * time.Millisecond) // the target writes its row again
		table.Apply(bornAt(5, Ready, 13), 13, now)
		assert.Assert(t, usableIDs(table, now)["a"])
		now = now.Add(2 * earlierStartDelay)
		table.Sweep(now)
		assert.Equal(t, table.Find("s", "a"), target, "the same run")
		assert.Assert(t, usableIDs(table, now)["a"])
		assert.Equal(t, len(table.earlierStarts), 0)

		table, now = clockBack()
		table.Apply(bornAt(5, Draining, 12), 12, now)
		table.Apply(bornAt(2, delayed, 13), 13, now)
		assert.Assert(t, !usableIDs(table, now)["a"])
		table.Apply([]Change{{Entry: Entry{ID: "a", Revision: 14}, Removed: true}}, 14, now)
		table.Sweep(now.Add(earlierStartDelay))
		assert.Assert(t, table.Find("s", "a") == nil)
		assert.Equal(t, len(table.earlierStarts), 0)
	}
}

// Guards against rows of a peer that is behind replacing a newer row of another start.
func TestOlderRowsDoNotEndTheHold(t *testing.T) {
	table, now := clockBack()
	table.Apply(bornAt(2, Ready, 20), 15, now)
	table.Apply(bornAt(5, Ready, 18), 18, now)
	table.Sweep(now.Add(earlierStartDelay))
	assert.Equal(t, bornOf(table), int64(2))
}

// Guards against the copy of a store taking the start that runs out of use: it has the rows of starts that have ended.
func TestRowsOfEarlierStartsInACopyWaitLonger(t *testing.T) {
	for _, copied := range []State{Ready, Draining} {
		table := eraTable(5)
		target := table.Find("s", "a")
		list := []Entry{eraEntry("a", 2, copied, inEra(2, 3)), eraEntry("b", 5, Ready, inEra(2, 4)), eraEntry("c", 5, Ready, inEra(2, 5))}
		now := start.Add(time.Second)
		table.Reset(list, inEra(2, 10), now)
		assert.Assert(t, usableIDs(table, now)["a"])
		now = now.Add(2 * earlierStartDelay)
		table.Sweep(now)
		assert.Assert(t, usableIDs(table, now)["a"])
		table.Apply([]Change{{Entry: eraEntry("a", 5, Ready, inEra(2, 11))}}, inEra(2, 11), now)
		table.Sweep(now.Add(earlierStartDelayAfterRestore))
		assert.Equal(t, table.Find("s", "a"), target)
	}
}

// Guards against peers that don't learn of such a row, and never take the start for the new one.
func TestRowsOfEarlierStartsArePassedOn(t *testing.T) {
	table, now := clockBack()
	table.Apply(bornAt(2, Draining, 12), 12, now)
	changes, asOf, known := table.ChangesSince(11, now)
	assert.Assert(t, known && asOf == 12)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Born, int64(2))
	list, _ := table.Entries(now)
	for _, e := range list {
		assert.Assert(t, e.ID != "a" || e.Born == 2 && e.State == Draining, "%+v", e)
	}
	peer, _ := clockBack()
	peer.ResetFromPeer(list, 12, now)
	assert.Assert(t, !usableIDs(peer, now)["a"])
	assert.Equal(t, bornOf(peer), int64(5))
}

// Guards against a start that has said that it leaves getting requests once it counts as the new one.
func TestAdoptedStartStillLeaves(t *testing.T) {
	table, now := clockBack()
	table.Apply(bornAt(2, Ready, 12), 12, now)
	now = now.Add(time.Second)
	table.RecordStatement(table.Find("s", "a"), &Statement{Leaving: true}, now, now)
	now = now.Add(earlierStartDelay)
	table.Sweep(now)
	assert.Equal(t, bornOf(table), int64(2))
	assert.Assert(t, !usableIDs(table, now)["a"])
}

// Guards against a nil target, or one that stays in use, where an entry lapsed and came back as another start.
func TestAdoptedStartReplacesALapsedOne(t *testing.T) {
	table, now := clockBack()
	table.Apply(bornAt(2, Ready, 12), 12, now)
	now = now.Add(earlierStartDelay)
	table.Sweep(now) // 2 is known
	table.ListRecovered(now)
	table.Reset([]Entry{entry("b", 2)}, 13, now)
	table.Apply(bornAt(7, Ready, 14), 14, now)
	table.Apply(bornAt(2, Ready, 15), 15, now)
	var retired []*Target
	table.OnLeave(func(target *Target) {
		assert.Assert(t, target != nil)
		retired = append(retired, target)
	})
	now = now.Add(earlierStartDelay)
	table.ListRecovered(now)
	table.lapsed["a"].lapsesAt = now.Add(time.Second)
	table.Sweep(now)
	assert.Equal(t, bornOf(table), int64(2))
	assert.Equal(t, len(table.byAddress), len(table.byID))
	assert.Equal(t, len(retired), 2)
	for _, target := range retired {
		assert.Assert(t, target.GoneOrDraining())
	}
}

// Guards against crashes that stay unknown although the list names the start that came after it.
func TestTargetIsSupersededByAnotherStart(t *testing.T) {
	table, now := clockBack()
	first := table.Find("s", "a")
	assert.Assert(t, !table.IsSuperseded(first))
	table.Apply(bornAt(2, Ready, 12), 12, now)
	assert.Assert(t, !table.IsSuperseded(first), "it may be a late row of an earlier start")
	table.Sweep(now.Add(earlierStartDelay))
	assert.Assert(t, table.IsSuperseded(first))
	second := table.Find("s", "a")
	assert.Assert(t, !table.IsSuperseded(second))
	table.Apply([]Change{{Entry: Entry{ID: "a", Revision: 13}, Removed: true}}, 13, now)
	assert.Assert(t, !table.IsSuperseded(second), "a row may be removed while its target runs")
}
