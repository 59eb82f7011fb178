package pool

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sharedAddress returns a table whose targets "real" and "odd" have one address.
func sharedAddress() (table *Table, real, odd *Target) {
	table = tableOf("other")
	first, second := entry("real", 11), entry("odd", 12)
	second.Address = first.Address
	table.Apply([]Change{{Entry: first}, {Entry: second}}, 12, start)
	return table, table.Find("s", "real"), table.Find("s", "odd")
}

// Guards against an entry that names another target's address getting a request, and costing a retry, again and again.
func TestTargetInWhosePlaceAnotherAnswersIsTriedRarely(t *testing.T) {
	table, real, odd := sharedAddress()
	now, sent := start, 0
	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		if usableIDs(table, now)["odd"] {
			sent++
			table.Begin(odd, 0, now).End(Misdirected, now)
		}
	}
	assert.Assert(t, sent > 5 && sent < 13, "%d sent", sent)
	assert.Assert(t, usableIDs(table, now)["real"], "the address isn't at fault")
	assert.Equal(t, real.view(now, table.ejection).Weight, 1.0)
}

// Guards against the first request of each process to an entry that names the address of a target that has answered.
func TestAnswerExcludesOtherEntriesWithItsAddress(t *testing.T) {
	table, real, odd := sharedAddress()
	now := start.Add(time.Second)
	call := table.Begin(real, 0, now)
	call.End(Answered, now.Add(20*time.Millisecond))
	now = now.Add(30 * time.Millisecond)
	usable := usableIDs(table, now)
	assert.Assert(t, usable["real"] && !usable["odd"] && usable["other"], "%v", usable)
	assert.Equal(t, table.ByAddress("s", real.Address), real)
	assert.Equal(t, table.Count("s", now).Displaced, 1)

	changed := entry("odd", 20)
	changed.Address, changed.Slots = real.Address, 5
	table.Apply([]Change{{Entry: changed}}, 20, now)
	assert.Assert(t, usableIDs(table, now)["odd"], "its entry has changed")
	assert.Equal(t, table.Find("s", "odd"), odd)
}

// Guards against a new target at an address that was used before being left out because of its predecessor's last answers.
func TestAnswersToEarlierRequestsProveNothing(t *testing.T) {
	table := tableOf("old")
	old := table.Find("s", "old")
	call := table.Begin(old, 0, start)
	successor := entry("new", 11)
	successor.Address = old.Address
	now := start.Add(time.Second)
	table.Apply([]Change{{Entry: successor}}, 11, now)
	call.End(Answered, now.Add(time.Second))
	assert.Assert(t, usableIDs(table, now.Add(time.Second))["new"])
}

// Guards against two entries whose targets both answer at one address taking each other out of use.
func TestTargetsThatBothAnswerAtOneAddressNeverExcludeEachOther(t *testing.T) {
	table, real, odd := sharedAddress()
	now := start.Add(time.Second)
	for i := range 20 {
		first, second := table.Begin(real, 0, now), table.Begin(odd, 0, now.Add(time.Millisecond))
		now = now.Add(10 * time.Millisecond)
		if i%2 == 0 {
			first, second = second, first
		}
		first.End(Answered, now)
		second.End(Answered, now.Add(time.Millisecond))
		usable := usableIDs(table, now.Add(2*time.Millisecond))
		assert.Assert(t, usable["real"] || usable["odd"])
		now = now.Add(100 * time.Millisecond)
	}
}

// Guards against addresses of targets that are gone being kept.
func TestAddressesOfRemovedTargetsAreForgotten(t *testing.T) {
	table, real, odd := sharedAddress()
	table.Apply([]Change{{Entry: Entry{ID: "real", Revision: 20}, Removed: true}}, 20, start)
	assert.Equal(t, table.ByAddress("s", odd.Address), odd)
	moved := entry("odd", 21)
	table.Apply([]Change{{Entry: moved}}, 21, start)
	assert.Assert(t, table.ByAddress("s", real.Address) == nil)
	assert.Equal(t, table.ByAddress("s", moved.Address), table.Find("s", "odd"))
	assert.Equal(t, len(table.byAddress), len(table.byID))
}
