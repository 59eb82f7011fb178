package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// callsOf counts the calls of a store from now on.
func (s *fakeStore) callsOf(act func()) int {
	s.mu.Lock()
	s.calls = 0
	s.mu.Unlock()
	act()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// The store turns a third of all processes away and serves the others. Those that
// are turned away hear everything from watchers, and must not go on calling a store
// that every call costs something.
func TestProcessesThatTheStoreTurnsAwayRarelyCallIt(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, refusing, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
		stores := make([]*fakeStore, 24)
		for i := range stores {
			stores[i] = sound
			if i%3 == 0 && !isWatcherOf(24, i) {
				stores[i] = refusing
			}
		}
		all := cluster(ctx, 24, stores...)
		time.Sleep(5 * time.Second)
		refusing.change(func() { refusing.failing = true })
		sound.change(func() {})
		calls := refusing.callsOf(func() {
			time.Sleep(4 * time.Second)
			both(func(s *fakeStore) { s.putPlan(2); s.putTarget("x", pool.Draining) })
			time.Sleep(1900 * time.Millisecond)
			for i, p := range all {
				assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
				assert.Assert(t, !p.uses("x"), "process %d", i)
			}
			time.Sleep(4 * time.Second)
		})
		assert.Assert(t, calls <= 7, "%d calls by 7 processes", calls)
	})
}

// The store turns a watcher away and serves the other ones. It hears from those, and must
// not go on calling the store as often as one that is served.
func TestAWatcherThatTheStoreTurnsAwayRarelyCallsIt(t *testing.T) {
	const (
		rounds = 6
		away   = 12 * time.Second
	)
	calls := 0
	for range rounds {
		inBubble(t, func(t *testing.T, ctx context.Context) { calls += callsOfAWatcherTurnedAway(t, ctx, away) })
	}
	// On average one call in the time for which another watcher's word is trusted, and
	// one of each feed to find out. Pauses are drawn, which averages out over the rounds.
	each := float64(away)/float64(DefaultPropagationBound.trust()) + 2
	assert.Assert(t, float64(calls) < 1.25*rounds*each, "%d calls in %d rounds", calls, rounds)
}

// callsOfAWatcherTurnedAway counts the calls that the store refuses one watcher of 24
// processes in some time.
func callsOfAWatcherTurnedAway(t *testing.T, ctx context.Context, away time.Duration) int {
	sound, refusing, both := twoStores()
	both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
	stores := make([]*fakeStore, 24)
	watchers := 0
	for i := range stores {
		stores[i] = sound
		if isWatcherOf(24, i) && watchers == 0 {
			stores[i] = refusing
			watchers++
		}
	}
	all := cluster(ctx, 24, stores...)
	time.Sleep(5 * time.Second)
	refusing.change(func() { refusing.failing = true })
	sound.change(func() {})
	calls := refusing.callsOf(func() { time.Sleep(away) })
	both(func(s *fakeStore) { s.putPlan(2) })
	time.Sleep(time.Duration(DefaultPropagationBound))
	for i, p := range all {
		assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
	}
	return calls
}

// The store is away for everybody. However many processes there are, they must not
// call it more often than its watchers do, and all are back soon after it is.
func TestAnOutageForAllCostsFewCalls(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		all := cluster(ctx, 26, store)
		time.Sleep(5 * time.Second)
		store.change(func() { store.failing = true })
		calls := store.callsOf(func() { time.Sleep(10 * time.Second) })
		// Three watchers call every 0.7 s at the longest, the others together about as
		// often, and each feed of each process finds out once.
		watching := 3 * (10000/700 + 4)
		assert.Assert(t, calls <= 2*watching+2*26, "%d calls", calls)
		store.change(func() { store.failing = false })
		store.putPlan(2)
		time.Sleep(1900 * time.Millisecond)
		for i, p := range all {
			assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
		}
	})
}

// A process starts while the store turns it away. It takes configuration and
// targets from a peer, and then has no need of calls.
func TestAProcessThatStartsWithoutTheStoreLearnsFromPeers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, refusing, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
		refusing.failing = true
		stores := make([]*fakeStore, 12)
		turnedAway := -1
		for i := range stores {
			stores[i] = sound
			if turnedAway < 0 && !isWatcherOf(12, i) {
				stores[i], turnedAway = refusing, i
			}
		}
		all := cluster(ctx, 12, stores...)
		time.Sleep(3 * time.Second)
		assert.Equal(t, all[turnedAway].plans.Version(), uint64(1))
		assert.Assert(t, all[turnedAway].uses("x"))
		calls := refusing.callsOf(func() { time.Sleep(10 * time.Second) })
		assert.Equal(t, calls, 0)
	})
}

// With thousands of targets the list is megabytes; a peer must be told what has
// changed, not all of it.
func TestPeersTellChangesNotTheWholeList(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		for _, id := range []string{"x", "y", "z"} {
			store.putTarget(id, pool.Ready)
		}
		p := cluster(ctx, 1, store)[0]
		time.Sleep(3 * time.Second)
		before := p.table.LastChangeRevision()
		store.putTarget("y", pool.Draining)
		store.dropTarget("z")
		time.Sleep(time.Second)
		n := p.newsSince(newsCall{Version: 1, Revision: before, Changes: true})
		assert.Assert(t, !n.Whole)
		assert.Equal(t, len(n.Changes), 2)
		earlier := p.newsSince(newsCall{Version: 1, Revision: before})
		assert.Equal(t, earlier.Revision, uint64(0), "a process that doesn't take changes has to read the store")
		assert.Equal(t, earlier.TargetsUpTo, uint64(0), "a process that doesn't take changes must not think that it knows them")
		behind := newProcess(newFakeStore())
		behind.UsePeers((&servetest.Cluster{}).Add("behind", "z"))
		behind.vouched(news{}, time.Now())
		behind.table.Reset([]pool.Entry{
			{ID: "y", Service: "s", State: pool.Ready, Revision: 1}, {ID: "z", Service: "s", State: pool.Ready, Revision: 1},
		}, before, time.Now())
		behind.take(n)
		assert.Assert(t, !behind.uses("y") && !behind.uses("z"))
		assert.Equal(t, behind.table.LastChangeRevision(), p.table.LastChangeRevision())
	})
}

// A deployment states a longer bound, and fewer calls keep it. All watchers are
// cut off at the moment of a change.
func TestALongerBoundIsKeptWithFewerCalls(t *testing.T) {
	const bound = 4 * time.Second
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, cut, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1) })
		stores := make([]*fakeStore, 12)
		for i := range stores {
			stores[i] = sound
			if isWatcherOf(12, i) {
				stores[i] = cut
			}
		}
		all := cluster(ctx, 12, stores...)
		for _, p := range all {
			p.SetPropagationBound(PropagationBound(bound))
		}
		time.Sleep(10 * time.Second)
		calls := cut.callsOf(func() { time.Sleep(time.Minute) })
		assert.Assert(t, calls <= 3*2*(60*1000/1600+2), "%d calls", calls)
		cut.mu.Lock()
		cut.silent = true
		cut.mu.Unlock()
		both(func(s *fakeStore) { s.putPlan(2) })
		time.Sleep(bound - 100*time.Millisecond)
		for i, p := range all {
			if p.store == sound {
				assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
			}
		}
	})
}

// All processes start together. A few read configuration and targets for all: in a large
// fleet the store would else send the same megabytes to each.
func TestAStartOfAllReadsTheStoreAFewTimes(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const count = 26
		store := longList(1000)
		store.pageTime = 0
		all := cluster(ctx, count, store)
		time.Sleep(3 * DefaultPropagationBound.settling())
		for i, p := range all {
			assert.Assert(t, p.informed(), "process %d", i)
			assert.Equal(t, len(p.table.ReadySet("s").Targets), 1000, "process %d", i)
		}
		time.Sleep(time.Second)
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Assert(t, store.entriesRead <= firstReaders*1000, "%d entries", store.entriesRead)
		assert.Assert(t, store.calls < 2*count, "%d calls", store.calls)
	})
}

// All that read first are turned away by the store. The others come to it in their turns,
// and no more of them than needed.
func TestAStartWhoseFirstReadersAreTurnedAway(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, refusing, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
		refusing.failing = true
		all := cluster(ctx, 12, watchersAt(refusing, sound, 12)...)
		time.Sleep(5 * time.Second)
		for i, p := range all {
			assert.Assert(t, p.informed(), "process %d", i)
		}
	})
}

// A seed reads at once what nobody knows, so that a small fleet serves as soon as its
// processes meet.
func TestASeedReadsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		network := &servetest.Cluster{Delay: time.Millisecond}
		var all []*process
		for i := range 9 {
			p := newProcess(store)
			p.UsePeers(network.Add(string(rune('a'+i)), "z"))
			p.SetSeeds(func() []string { return []string{"a", "b", "c"} })
			all = append(all, p)
		}
		for _, p := range all {
			go p.Run(ctx)
		}
		time.Sleep(DefaultPropagationBound.settling() - 50*time.Millisecond)
		for i, p := range all {
			assert.Assert(t, p.informed(), "process %d", i)
		}
		store.mu.Lock()
		defer store.mu.Unlock()
		assert.Equal(t, store.calls, 2*3)
	})
}

// All processes start before any target has registered. Those that hear from others must
// know that the list is empty: else they take each target that comes for a change of a list
// that they don't have, and refuse callers until they read the store themselves.
func TestAnEmptyListIsToldToo(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		all := cluster(ctx, 12, store)
		time.Sleep(DefaultPropagationBound.settling())
		store.putPlan(1)
		time.Sleep(2 * DefaultPropagationBound.settling())
		for i, p := range all {
			assert.Assert(t, p.informed(), "process %d", i)
		}
		store.putTarget("x", pool.Ready)
		time.Sleep(time.Second)
		for i, p := range all {
			assert.Assert(t, p.uses("x"), "process %d", i)
		}
	})
}
