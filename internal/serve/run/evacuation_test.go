package run

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// broadcastTime is the time within which all processes learn of an evacuation in these
// tests.
const broadcastTime = 600 * time.Millisecond

// broadcast delivers a change of the evacuations to all processes at random times within
// broadcastTime.
func broadcast(all []*Executor, change pool.EvacuationChange) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, e := range all {
		time.AfterFunc(time.Duration(random.Float64()*float64(broadcastTime)), func() {
			e.Table.ApplyEvacuations([]pool.EvacuationChange{change}, change.Revision, time.Now())
		})
	}
}

// threeZones is a load on pools that are divided into three zones, two of which have enough
// capacity for it.
func threeZones() site {
	load := reservoir()
	load.vms, load.perZone, load.length = 24, []int{6, 6, 6}, 16*time.Second
	for i := range load.kinds {
		load.kinds[i].perSecond *= 2.4
	}
	return load
}

// A zone is evacuated while its shards are full of items. Its targets are still called, or
// the items wait in these shards until their requests are late.
func TestItemsOfEvacuatedZoneMoveToOtherShards(t *testing.T) {
	load := threeZones()
	load.kinds = slices.Clone(load.kinds)
	load.kinds[1].burst = 2
	var evacuated, withdrawn, lastCall time.Time
	load.withExecutors = func(all []*Executor, pools *servetest.FakeTargets) {
		time.Sleep(burstFrom + 2*time.Second)
		evacuated = time.Now()
		broadcast(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 5}})
		time.Sleep(4 * time.Second)
		withdrawn, lastCall = time.Now(), pools.LastCall("a")
		broadcast(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 9}, Withdrawn: true})
	}
	synctest.Test(t, func(t *testing.T) {
		p := simulate(21, load, policy{})
		report(t, "zone a evacuated", p)
		assert.Assert(t, !lastCall.After(evacuated.Add(broadcastTime)), "called %v after the evacuation began", lastCall.Sub(evacuated))
		assert.Assert(t, p.pools.LastCall("a").After(withdrawn), "not used again after the evacuation was withdrawn")
		for name, k := range p.kinds {
			assert.Assert(t, k.share() > 0.95, "%s: %+v", name, k)
		}
	})
}

// The evacuated zone has most of a service's targets. Requests that the other zones can't
// serve in time are refused at once, and the others are served in time.
func TestEvacuationRefusesRequestsBeyondRemainingCapacity(t *testing.T) {
	load := threeZones()
	load.perService = map[string][]int{"notify": {10, 2, 1}}
	load.withExecutors = func(all []*Executor, _ *servetest.FakeTargets) {
		time.Sleep(4 * time.Second)
		broadcast(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 5}})
	}
	synctest.Test(t, func(t *testing.T) {
		p := simulate(22, load, policy{})
		report(t, "most of a service evacuated", p)
		for name, k := range p.kinds {
			assert.Assert(t, float64(k.late) < 0.15*float64(k.asked), "%s: %+v", name, k)
		}
		assert.Assert(t, p.kinds["label"].share() > 0.95, "%+v", p.kinds)
	})
}
