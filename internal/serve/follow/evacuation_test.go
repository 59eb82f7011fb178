package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// evacuateMost is within what time an evacuation must be in force.
const evacuateMost = time.Duration(DefaultPropagationBound)

// withTargets gives a store a configuration and targets x and y in zones of their own.
func withTargets(s *fakeStore) {
	s.putPlan(1)
	s.putTarget("x", pool.Ready)
	s.putTarget("y", pool.Ready)
}

func assertZones(t *testing.T, all []*process, x, y bool, when string) {
	t.Helper()
	for i, p := range all {
		assert.Equal(t, p.uses("x"), x, "%s: process %d and zone x", when, i)
		assert.Equal(t, p.uses("y"), y, "%s: process %d and zone y", when, i)
	}
}

// An evacuated zone goes on getting requests, or gets none after it is taken back.
func TestAnEvacuationIsInForceEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		withTargets(store)
		all := cluster(ctx, 8, store)
		time.Sleep(5 * time.Second)
		store.evacuate("zone-x")
		time.Sleep(evacuateMost / 2)
		assertZones(t, all, false, true, "evacuated")
		store.putTarget("x", pool.Ready)
		time.Sleep(evacuateMost / 2)
		assertZones(t, all, false, true, "its target has reported again")
		store.takeBack("zone-x")
		time.Sleep(evacuateMost / 2)
		assertZones(t, all, true, true, "taken back")
		store.evacuate("zone-x")
		time.Sleep(evacuateMost / 2)
		assertZones(t, all, false, true, "evacuated again")
	})
}

// All watchers are cut off from the store when a zone is evacuated.
func TestAnEvacuationWhileAllWatchersAreCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, cut, both := twoStores()
		both(withTargets)
		all := cluster(ctx, 10, watchersAt(cut, sound, 10)...)
		time.Sleep(7350 * time.Millisecond)
		cut.mu.Lock()
		cut.silent = true
		cut.mu.Unlock()
		both(func(s *fakeStore) { s.evacuate("zone-x") })
		time.Sleep(evacuateMost)
		for i, p := range all {
			if p.store == sound {
				assert.Assert(t, !p.uses("x"), "process %d", i)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		assertZones(t, all, false, true, "later")
	})
}

// The store goes away just after it has accepted an evacuation that only some have
// heard of.
func TestAnEvacuationBeforeAnOutageOfTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		withTargets(store)
		all := cluster(ctx, 12, store)
		time.Sleep(5 * time.Second)
		store.evacuate("zone-x")
		time.Sleep(10 * time.Millisecond)
		store.change(func() { store.failing = true })
		time.Sleep(evacuateMost)
		assertZones(t, all, false, true, "during the outage")
	})
}

// The history with the rows is gone: the whole is read anew, and what it lacks was
// taken back.
func TestEvacuationsAfterTheHistoryIsGone(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		withTargets(store)
		store.evacuate("zone-x")
		all := cluster(ctx, 8, store)
		time.Sleep(5 * time.Second)
		assertZones(t, all, false, true, "at the start")
		store.change(func() {
			store.oldest = store.revision
			store.evacuated = map[string]uint64{"zone-y": store.revision}
			store.evacuations = nil
		})
		time.Sleep(evacuateMost)
		assertZones(t, all, true, false, "after it")
	})
}

// A process starts while the store turns it away and a zone is evacuated.
func TestAProcessThatStartsHearsOfEvacuationsFromPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, failing, both := twoStores()
		both(withTargets)
		failing.failing = true
		both(func(s *fakeStore) { s.evacuate("zone-x") })
		stores := []*fakeStore{sound, sound, sound, sound, sound, failing}
		all := cluster(ctx, 6, stores...)
		time.Sleep(5 * time.Second)
		assertZones(t, all, false, true, "after the start")
		both(func(s *fakeStore) { s.takeBack("zone-x") })
		time.Sleep(evacuateMost)
		assertZones(t, all, true, true, "taken back")
	})
}
