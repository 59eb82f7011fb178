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

// hearing is within what time all processes hear of an order in these loads.
const hearing = 600 * time.Millisecond

// tell has all processes hear of a change of the evacuations within hearing.
func tell(all []*Executor, change pool.EvacuationChange) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, e := range all {
		time.AfterFunc(time.Duration(random.Float64()*float64(hearing)), func() {
			e.Table.ApplyEvacuations([]pool.EvacuationChange{change}, change.Revision, time.Now())
		})
	}
}

// threeZones is a load on pools that are divided by zone, two of which can carry it.
func threeZones() site {
	load := reservoir()
	load.vms, load.perZone, load.length = 24, []int{6, 6, 6}, 16*time.Second
	for i := range load.kinds {
		load.kinds[i].perSecond *= 2.4
	}
	return load
}

// A zone is evacuated while its shards are full of items. Its targets go on being
// called, or the items wait there until their requests are late.
func TestAnEvacuatedZonesItemsMoveToOtherShards(t *testing.T) {
	load := threeZones()
	load.kinds = slices.Clone(load.kinds)
	load.kinds[1].burst = 2
	var told, back, lastCall time.Time
	load.orders = func(all []*Executor, pools *servetest.FakeTargets) {
		time.Sleep(burstFrom + 2*time.Second)
		told = time.Now()
		tell(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 5}})
		time.Sleep(4 * time.Second)
		back, lastCall = time.Now(), pools.LastCall("a")
		tell(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 9}, Withdrawn: true})
	}
	synctest.Test(t, func(t *testing.T) {
		p := play(21, load, policy{})
		report(t, "zone a evacuated", p)
		assert.Assert(t, !lastCall.After(told.Add(hearing)), "called %v after the order", lastCall.Sub(told))
		assert.Assert(t, p.pools.LastCall("a").After(back), "not used again after the order was withdrawn")
		for name, k := range p.kinds {
			assert.Assert(t, k.share() > 0.95, "%s: %+v", name, k)
		}
	})
}

// A zone is evacuated that holds most of a service: what the others can't make in time
// is refused at once, and the rest is in time.
func TestAnEvacuationThatLeavesTooLittleRefusesTheRest(t *testing.T) {
	load := threeZones()
	load.perService = map[string][]int{"notify": {10, 2, 1}}
	load.orders = func(all []*Executor, _ *servetest.FakeTargets) {
		time.Sleep(4 * time.Second)
		tell(all, pool.EvacuationChange{Evacuation: pool.Evacuation{Zone: "a", Revision: 5}})
	}
	synctest.Test(t, func(t *testing.T) {
		p := play(22, load, policy{})
		report(t, "most of a service evacuated", p)
		for name, k := range p.kinds {
			assert.Assert(t, float64(k.late) < 0.15*float64(k.asked), "%s: %+v", name, k)
		}
		assert.Assert(t, p.kinds["label"].share() > 0.95, "%+v", p.kinds)
	})
}
