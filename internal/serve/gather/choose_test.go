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

// fixedNetwork knows some members and calls none.
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

// aRequester makes a requester that knows no targets and no configuration.
func aRequester(network peer.Network) *Requester {
	table, plans := pool.New(zap.NewNop()), &plan.Holder{}
	return &Requester{
		log: zap.NewNop(), network: network, table: table, unresponsive: map[peer.Incarnation]bool{},
		own: NewGatherer(context.Background(), zap.NewNop(), table, plans, nil),
	}
}

// A process's own link is full, and no gatherer seems to answer. If it failed over
// one after the other down to the weakest VM, and all processes did, every shard
// would have dozens of gatherers, whose calls find the targets full.
func TestGatherersThatDoNotAnswerAreNotReplacedByWeakOnes(t *testing.T) {
	member := func(name string, power int) peer.Member {
		return peer.Member{Incarnation: peer.Incarnation(name), State: peer.Alive, Power: power}
	}
	r := aRequester(&fixedNetwork{self: member("self", 19), members: []peer.Member{member("a", 80), member("b", 80), member("weak", 19)}})
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

// A VM's settings say that its power is negative or beyond all bounds, and each
// peer hears of it. There must be somebody who gathers: the first of an empty list
// would end every process at its next request with stages.
func TestAnyPowerLeavesSomebodyToGather(t *testing.T) {
	for _, power := range []int{math.MinInt, -100, 0, math.MaxInt/2 + 1, math.MaxInt} {
		for _, others := range [][]peer.Member{nil, {{Incarnation: "a", State: peer.Alive, Power: 80}}} {
			r := aRequester(&fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive, Power: power}, members: others})
			assert.Assert(t, len(r.gatherers(Shard{Service: "s"})) > 0, "power %d beside %d others", power, len(others))
		}
	}
}
