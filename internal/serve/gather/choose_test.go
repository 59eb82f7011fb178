package gather

import (
	"context"
	"math"
	"slices"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// fixedNetwork has fixed members and supports no calls.
type fixedNetwork struct {
	peer.Network
	self    peer.Member
	members []peer.Member
	view    *peer.View
}

func (n *fixedNetwork) Self() peer.Member      { return n.self }
func (n *fixedNetwork) Members() []peer.Member { return n.members }

func (n *fixedNetwork) View() *peer.View {
	if n.view == nil {
		n.view = &peer.View{Self: n.self, Members: n.members}
	}
	return n.view
}

// newTestRequester creates a requester that knows no targets and no configuration.
func newTestRequester(network peer.Network) *Requester {
	table, plans := pool.New(zap.NewNop()), &plan.Holder{}
	return &Requester{
		log: zap.NewNop(), network: network, table: table, unresponsive: map[peer.Incarnation]bool{},
		own: NewGatherer(context.Background(), zap.NewNop(), table, plans, nil),
	}
}

// When a process's own network link is saturated, no gatherer seems to answer. If every such
// process failed over to one candidate after the other, down to the weakest VM, each shard
// would have dozens of gatherers, whose calls find the targets full.
func TestUnresponsiveGatherersAreNotReplacedByWeakOnes(t *testing.T) {
	member := func(name string, cpuPercent int) peer.Member {
		return peer.Member{Incarnation: peer.Incarnation(name), State: peer.Alive, CPUPercent: cpuPercent}
	}
	r := newTestRequester(&fixedNetwork{self: member("self", 19), members: []peer.Member{member("a", 80), member("b", 80), member("weak", 19)}})
	shard := Shard{Service: "s"}
	all := r.gatherers(shard)
	assert.Equal(t, len(all), 2)
	r.unresponsive[all[0]] = true
	assert.DeepEqual(t, r.gatherers(shard), all[1:])
	r.unresponsive[all[1]] = true
	got := r.gatherers(shard)
	assert.DeepEqual(t, got, all)
	assert.Assert(t, !slices.Contains(got, "weak"))
}

// A VM announces a CPU percentage that is negative or close to the integer limits, and all peers learn
// it. The list of gatherers must not be empty: each process takes its first element and would
// panic at the next request with stages.
func TestAnyCPUPercentLeavesAGatherer(t *testing.T) {
	for _, cpuPercent := range []int{math.MinInt, -100, 0, math.MaxInt/2 + 1, math.MaxInt} {
		for _, others := range [][]peer.Member{nil, {{Incarnation: "a", State: peer.Alive, CPUPercent: 80}}} {
			r := newTestRequester(&fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive, CPUPercent: cpuPercent}, members: others})
			assert.Assert(t, len(r.gatherers(Shard{Service: "s"})) > 0, "CPU percentage %d (power) beside %d others", cpuPercent, len(others))
		}
	}
}
