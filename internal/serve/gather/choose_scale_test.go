package gather

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// ofFleet makes a requester on one of n VMs.
func ofFleet(n int) *Requester {
	members := make([]peer.Member, n-1)
	for i := range members {
		members[i] = peer.Member{Incarnation: peer.Incarnation(fmt.Sprintf("vm-%d", i)), State: peer.Alive, Power: 80}
	}
	network := &fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive, Power: 80}, members: members}
	return &Requester{log: zap.NewNop(), network: network, passed: map[peer.Incarnation]bool{}}
}

// Each request asks several times who gathers for a shard; the members must not be
// ranked anew for each question.
func TestWhoGathersIsRankedOnceAView(t *testing.T) {
	for _, n := range []int{30, 3000} {
		r := ofFleet(n)
		r.gatherers(Shard{Service: "s"})
		allocations := testing.AllocsPerRun(100, func() { r.gatherers(Shard{Service: "s"}) })
		assert.Equal(t, allocations, 0.0, "%d members", n)
	}
}

func BenchmarkGatherers(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := ofFleet(n)
			for b.Loop() {
				r.gatherers(Shard{Service: "s"})
			}
		})
	}
}
