package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// fleet makes a process that knows a configuration and no targets, beside n-1
// others.
func fleet(n int) *process {
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

// A question to a watcher must not cost work that grows with the fleet: each of N
// processes asks several times a second.
func TestAQuestionCostsTheSameInAnyFleet(t *testing.T) {
	for _, n := range []int{30, 3000} {
		p := fleet(n)
		p.watcherToAsk(p.peers.network.View())
		allocations := testing.AllocsPerRun(100, func() { p.watcherToAsk(p.peers.network.View()) })
		assert.Equal(t, allocations, 0.0, "%d members", n)
	}
}

func TestWatchersAreAFewOfTheLiving(t *testing.T) {
	for _, c := range []struct{ members, watchers int }{{1, 1}, {2, 2}, {9, 2}, {82, 3}, {295, 8}, {640, 16}} {
		chosen := chooseWatchers(fleet(c.members).peers.network.View())
		assert.Equal(t, len(chosen.all), c.watchers, "%d members", c.members)
	}
}

// A watcher with a fifth of a core answers forty others late, and they take the store
// for gone.
func TestStrongVMsWatchFirst(t *testing.T) {
	for _, strong := range []int{0, 1, 5, 40} {
		p := fleet(120)
		nodes := p.peers.network.View().Members
		names := map[string]bool{}
		for i := range nodes {
			nodes[i].Power = 20
			if i < strong {
				nodes[i].Power = 160
				names[string(nodes[i].Incarnation)] = true
			}
		}
		chosen := chooseWatchers(p.peers.network.View())
		for i, id := range chosen.all {
			assert.Equal(t, names[string(id)], i < strong, "watcher %d with %d strong VMs", i, strong)
		}
	}
}

func BenchmarkWhomToAsk(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := fleet(n)
			for b.Loop() {
				p.watcherToAsk(p.peers.network.View())
			}
		})
	}
}
