package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/routing"
)

func listed(state backing.VMState, addresses ...string) []backing.VM {
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

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(append(listed(backing.VMLive, "a:1", "b:1"), listed(backing.VMLeaving, "c:1")...), now)
	table.SetStops(map[string]bool{"b:1": true})
	for range 20 {
		lease := table.Pool("llm").Acquire(AcquireRequest{}, now)
		assert.Equal(t, lease.Address, "a:1")
	}
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{Exclude: []string{"a:1"}}, now) == nil)
}

func TestStopOutlivesUpdateOfVMList(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.SetStops(map[string]bool{"a:1": true})
	table.Update(listed(backing.VMLive, "a:1"), now)
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) == nil)
}

func TestUnlistedTargetStaysForAWhile(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(listed(backing.VMLive, "a:1"), now)
	table.Update(nil, now)
	table.Update(nil, now.Add(unlistedGrace))
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) != nil)
	table.Update(nil, now.Add(unlistedGrace+time.Second))
	assert.Assert(t, table.Pool("llm").Acquire(AcquireRequest{}, now) == nil)
}

// The list stays the same for minutes, then loses a row by mistake. The target
// serves on, and must not be forgotten for the time in which nothing changed.
func TestGraceBeginsWhenTheRowIsLost(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	both := listed(backing.VMLive, "a:1", "b:1")
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

func TestUnchangedListIsNotGoneThroughAgain(t *testing.T) {
	table := newTable()
	var vms []backing.VM
	for i := range 1000 {
		vms = append(vms, listed(backing.VMLive, fmt.Sprintf("10.0.0.1:%d", i+1))...)
	}
	table.Update(vms, time.Unix(100, 0))
	allocations := testing.AllocsPerRun(10, func() { table.Update(vms, time.Unix(101, 0)) })
	assert.Assert(t, allocations < 10, "%f allocations", allocations)
}

func TestDownTargetIsPassedOverUntilProbed(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(listed(backing.VMLive, "a:1", "b:1"), now)
	pool := table.Pool("llm")
	first := pool.Acquire(AcquireRequest{Exclude: []string{"b:1"}}, now)
	first.Done(Refused, 0, now)
	for range 10 {
		assert.Equal(t, pool.Acquire(AcquireRequest{}, now).Address, "b:1")
	}
	pool.markUp("a:1", now)
	assert.Assert(t, pool.Acquire(AcquireRequest{Exclude: []string{"b:1"}}, now) != nil)
}

func TestQuarantineRunsOneSuspectAlone(t *testing.T) {
	table := newTable()
	now := time.Unix(100, 0)
	table.Update(listed(backing.VMLive, "a:1", "b:1"), now)
	want := AcquireRequest{QuarantineFilter: func(address string) bool { return address == "b:1" }}
	first := table.Pool("llm").Acquire(want, now)
	assert.Equal(t, first.Address, "b:1")
	assert.Assert(t, table.Pool("llm").Acquire(want, now) == nil)
	first.Done(Succeeded, time.Millisecond, now)
	assert.Assert(t, table.Pool("llm").Acquire(want, now) != nil)
}
