package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// newFleetMember returns a process with a configuration and an empty target list, in a
// network with n-1 others.
func newFleetMember(n int) *process {
	network := &servetest.Cluster{}
	p := newProcess(newFakeStore())
	p.plans.Apply(&plan.Plan{Version: 1})
	p.table.Reset(nil, 1, time.Now())
	p.UsePeers(network.Add("self", "z"))
	for i := range n - 1 {
		network.Add(fmt.Sprintf("vm-%d", i), "z")
	}
	return p
}

// Picking the peer to poll must not cost work that grows with the fleet, since every
// process polls several times a second.
func TestPickingWatcherAllocatesNothing(t *testing.T) {
	for _, n := range []int{30, 3000} {
		p := newFleetMember(n)
		p.pickWatcher(p.peers.network.View())
		allocations := testing.AllocsPerRun(100, func() { p.pickWatcher(p.peers.network.View()) })
		assert.Equal(t, allocations, 0.0, "%d members", n)
	}
}

func TestWatcherCount(t *testing.T) {
	for _, c := range []struct{ members, watchers int }{{1, 1}, {2, 2}, {9, 2}, {82, 3}, {295, 8}, {640, 16}} {
		chosen := chooseWatchers(newFleetMember(c.members).peers.network.View())
		assert.Equal(t, len(chosen.all), c.watchers, "%d members", c.members)
	}
}

// Guards against watchers on slow VMs: one with a fifth of a core answers the forty processes
// that poll it late, and they treat the store as unreachable.
func TestStrongVMsBecomeWatchersFirst(t *testing.T) {
	for _, strong := range []int{0, 1, 5, 40} {
		p := newFleetMember(120)
		nodes := p.peers.network.View().Members
		strongIDs := map[string]bool{}
		for i := range nodes {
			nodes[i].CPUPercent = 20
			if i < strong {
				nodes[i].CPUPercent = 160
				strongIDs[string(nodes[i].Incarnation)] = true
			}
		}
		chosen := chooseWatchers(p.peers.network.View())
		for i, id := range chosen.all {
			assert.Equal(t, strongIDs[string(id)], i < strong, "watcher %d with %d strong VMs", i, strong)
		}
	}
}

func BenchmarkPickWatcher(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newFleetMember(n)
			for b.Loop() {
				p.pickWatcher(p.peers.network.View())
			}
		})
	}
}
