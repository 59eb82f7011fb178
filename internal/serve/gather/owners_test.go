package gather

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// requesterInFleet creates a requester on one of n VMs.
func requesterInFleet(n int) *Requester {
	members := make([]peer.Member, n-1)
	for i := range members {
		members[i] = peer.Member{Incarnation: peer.Incarnation(fmt.Sprintf("vm-%d", i)), State: peer.Alive, CPUPercent: 80}
	}
	network := &fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive, CPUPercent: 80}, members: members}
	return newTestRequester(network)
}

// Each request looks up the gatherers of its shards several times; the members must not be
// ranked again for each lookup.
func TestGatherersAreRankedOncePerView(t *testing.T) {
	for _, n := range []int{30, 3000} {
		r := requesterInFleet(n)
		r.gatherers(Shard{Service: "s"})
		allocations := testing.AllocsPerRun(100, func() { r.gatherers(Shard{Service: "s"}) })
		assert.Equal(t, allocations, 0.0, "%d members", n)
	}
}

func BenchmarkGatherers(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := requesterInFleet(n)
			for b.Loop() {
				r.gatherers(Shard{Service: "s"})
			}
		})
	}
}

// ids returns n process IDs.
func ids(n int) []peer.Incarnation {
	list := make([]peer.Incarnation, n)
	for i := range list {
		list[i] = peer.Incarnation(fmt.Sprintf("vm-%d", i))
	}
	return list
}

// In fleets up to the largest planned size, no VM owns more than its share of the shards, and
// the loss of a VM moves few shards besides its own.
func TestOwnersAreEvenAndFewShardsMove(t *testing.T) {
	for _, c := range []struct{ shards, owners int }{{3, 9}, {15, 15}, {15, 295}, {400, 640}, {1200, 640}} {
		shards := make([]Shard, c.shards)
		for i := range shards {
			shards[i] = Shard{Service: "s", Part: i}
		}
		all := assign(shards, ids(c.owners))
		load := map[peer.Incarnation]int{}
		for _, shard := range shards {
			load[all.rankingOf(shard)[0]]++
		}
		most := int(math.Ceil(loadSlack * float64(c.shards) / float64(c.owners)))
		for id, n := range load {
			assert.Assert(t, n <= most, "%d shards, %d owners: %s owns %d", c.shards, c.owners, id, n)
		}
		lost := all.rankingOf(shards[0])[0]
		rest := slices.DeleteFunc(ids(c.owners), func(id peer.Incarnation) bool { return id == lost })
		fewer := assign(shards, rest)
		moved := 0
		for _, shard := range shards {
			before := all.rankingOf(shard)[0]
			if before != lost && fewer.rankingOf(shard)[0] != before {
				moved++
			}
		}
		assert.Assert(t, moved <= 2+c.shards/50, "%d shards, %d owners: %d others moved", c.shards, c.owners, moved)
	}
}
