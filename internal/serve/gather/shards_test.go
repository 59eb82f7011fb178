package gather

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// readySetOf creates the ready set of a service with the same number of targets in each zone,
// except for the target named by without.
func readySetOf(t *testing.T, zones, each int, without string) *pool.ReadySet {
	t.Helper()
	var entries []pool.Entry
	for z := range zones {
		for i := range each {
			id := fmt.Sprintf("t-%d-%d", z, i)
			if id != without {
				entries = append(entries, pool.Entry{ID: id, Service: "s", Zone: fmt.Sprintf("z%d", z), State: pool.Ready, Revision: 1})
			}
		}
	}
	table := pool.New(zap.NewNop())
	table.Reset(entries, 1, time.Now())
	return table.ReadySet("s")
}

func TestShardsAreOfBoundedSizeAndFewTargetsMove(t *testing.T) {
	for _, c := range []struct{ zones, each, shards int }{
		{1, 5, 1}, {4, 2, 1}, {4, 5, 4}, {5, 9, 5}, {5, 14, 5}, {5, 15, 10}, {10, 400, 400},
	} {
		all := divide("s", readySetOf(t, c.zones, c.each, ""))
		assert.Equal(t, len(all.shards), c.shards, "%+v", c)
		for shard, targets := range all.targets {
			assert.Assert(t, len(targets) <= 15, "%+v: %v has %d targets", c, shard, len(targets))
		}
		fewer := divide("s", readySetOf(t, c.zones, c.each, "t-0-1"))
		if len(fewer.shards) != len(all.shards) {
			continue
		}
		moved := 0
		for id, shard := range fewer.shardOfTarget {
			if all.shardOfTarget[id] != shard {
				moved++
			}
		}
		assert.Assert(t, moved <= 2+c.each/50, "%+v: %d targets moved", c, moved)
	}
}

// Work goes to shards in its preferred zone, to each in proportion to its targets, and to any
// shard if the zone has none.
func TestWorkIsDistributedByTargets(t *testing.T) {
	s := divide("s", readySetOf(t, 3, 20, ""))
	counts := map[Shard]int{}
	for i := range 4000 {
		shard, _ := s.choose(nil, "z1", fmt.Sprint(i))
		assert.Equal(t, shard.Zone, "z1")
		counts[shard]++
	}
	for shard, n := range counts {
		wanted := 4000 * len(s.targets[shard]) / 20
		assert.Assert(t, n > wanted*9/10 && n < wanted*11/10, "%v: %d of %d", shard, n, wanted)
	}
	assert.Equal(t, s.shardOfTarget[s.ready.Targets[0].ID].Service, "s")
	elsewhere, _ := s.choose(nil, "elsewhere", "r")
	assert.Assert(t, elsewhere.Zone != "")
}

func BenchmarkDivide(b *testing.B) {
	for _, each := range []int{10, 100, 400} {
		b.Run(fmt.Sprint(10*each), func(b *testing.B) {
			var entries []pool.Entry
			for z := range 10 {
				for i := range each {
					entries = append(entries, pool.Entry{
						ID: fmt.Sprintf("t-%d-%d", z, i), Service: "s", Zone: fmt.Sprint(z), State: pool.Ready, Revision: 1,
					})
				}
			}
			table := pool.New(zap.NewNop())
			table.Reset(entries, 1, time.Now())
			ready := table.ReadySet("s")
			for b.Loop() {
				divide("s", ready)
			}
		})
	}
}
