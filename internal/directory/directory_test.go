package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/routing"
)

func targetVMs(state backing.VMState, addresses ...string) []backing.VM {
	var vms []backing.VM
	for _, a := range addresses {
		vms = append(vms, backing.VM{Address: a, Role: backing.RoleTarget, Pool: "llm", Zone: "a", State: state})
	}
	return vms
}

func newTable() *Table {
	policy, _ := routing.New(routing.Default)
	return New(Options{Node: "n", Zone: "a", Policy: policy, Ejection: routing.DefaultEjection()})
}

func TestDrainingTargetGetsNoNewCalls(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(append(targetVMs(backing.VMLive, "a:1", "b:1"), targetVMs(backing.VMLeaving, "c:1")...), now)
	table.SetStops(map[string]bool{"b:1": true})
	for range 20 {
		lease := table.Pool("llm").Acquire(AcquireRequest{}, now)
		assert.Equal(t, lease.Address, "a:1")
	}
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{Exclude: []string{"a:1"}}, now) == nil)
}

func TestPlannedStopSurvivesVMListUpdate(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.SetStops(map[string]bool{"a:1": true})
	table.Update(targetVMs(backing.VMLive, "a:1"), now)
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) == nil)
}

func TestUnlistedTargetIsKeptForGracePeriod(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(targetVMs(backing.VMLive, "a:1"), now)
	table.Update(nil, now)
	table.Update(nil, now.Add(unlistedGrace))
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) != nil)
	table.Update(nil, now.Add(unlistedGrace+time.Second))
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) == nil)
}

// The VM list is unchanged for an hour, then loses a row by mistake while the
// target keeps serving. The grace period must start when the row disappears, not
// at the last change of the list, or the target would be removed at once.
func TestGracePeriodStartsWhenRowDisappears(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	both := targetVMs(backing.VMLive, "a:1", "b:1")
	table.Update(both, now)
	now = now.Add(time.Hour)
	table.Update(both, now)
	one := both[:1]
	table.Update(one, now)
	assert.Equal(t, len(table.Status(now)), 2)
	now = now.Add(unlistedGrace + time.Second)
	table.Update(one, now)
	assert.Equal(t, len(table.Status(now)), 1)
}

func TestUnchangedVMListIsNotProcessedAgain(t *testing.T) {
	table := newTable()
	var vms []backing.VM
	for i := range 1000 {
		vms = append(vms, targetVMs(backing.VMLive, fmt.Sprintf("10.0.0.1:%d", i+1))...)
	}
	table.Update(vms, time.Unix(100, 0))
	allocations := testing.AllocsPerRun(10, func() { table.Update(vms, time.Unix(101, 0)) })
	assert.Assert(t, allocations < 10, "%f allocations", allocations)
}

func TestDownTargetIsSkippedUntilProbeSucceeds(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(targetVMs(backing.VMLive, "a:1", "b:1"), now)
	pool := table.Pool("llm")
	first := pool.Acquire(AcquireRequest{Exclude: []string{"b:1"}}, now)
	first.Done(Refused, 0, now)
	for range 10 {
		assert.Equal(t, pool.Acquire(AcquireRequest{}, now).Address, "b:1")
	}
	pool.markUp("a:1", now)
	assert.Assert(t, pool.Acquire(AcquireRequest{Exclude: []string{"b:1"}}, now) != nil)
}

func TestQuarantineRunsOneSuspectAtATime(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(targetVMs(backing.VMLive, "a:1", "b:1"), now)
	want := AcquireRequest{QuarantineFilter: func(address string) bool { return address == "b:1" }}
	first := table.Pool("llm").Acquire(want, now)
	assert.Equal(t, first.Address, "b:1")
	assert.Assert(t, table.Pool("llm").Acquire(want, now) == nil)
	first.Done(Succeeded, time.Millisecond, now)
	assert.Assert(t, table.Pool("llm").Acquire(want, now) != nil)
}
