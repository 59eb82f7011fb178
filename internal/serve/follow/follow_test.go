package follow

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// fakeStore is a store in memory. Its revision grows with every write, also of
// things that nobody follows.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	plan     stored
	planAt   uint64
	changes  []pool.Change
	// evacuated are the zones that are, with their orders' revisions, evacuations all
	// changes of them.
	evacuated   map[string]uint64
	evacuations []pool.EvacuationChange
	oldest      uint64
	wake        chan struct{}
	// failing makes calls fail, silent makes them hang until they are given up.
	failing bool
	silent  bool
	calls   int
	// pageSize bounds the entries of a page, 0 doesn't; one takes pageTime and fails
	// where failPage says so. entriesRead counts those that were read.
	pageSize    int
	pageTime    time.Duration
	failPage    func() bool
	entriesRead int
}

// stored is the version of a plan in the store; 0 for none. Each reader gets a
// plan of its own, as from a real store.
type stored uint64

func (v stored) copy() *plan.Plan {
	if v == 0 {
		return nil
	}
	return &plan.Plan{Version: uint64(v)}
}

var errDown = errors.New("down")

func newFakeStore() *fakeStore {
	return &fakeStore{wake: make(chan struct{}), evacuated: map[string]uint64{}}
}

// twoStores are one store as two groups of processes see it: what operators and
// targets write reaches both by the function.
func twoStores() (one, other *fakeStore, both func(func(*fakeStore))) {
	one, other = newFakeStore(), newFakeStore()
	return one, other, func(fn func(*fakeStore)) {
		fn(one)
		fn(other)
	}
}

func (s *fakeStore) change(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	fn()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *fakeStore) putPlan(version uint64) {
	s.change(func() { s.plan, s.planAt = stored(version), s.revision })
}

func (s *fakeStore) putTarget(id string, state pool.State) {
	s.change(func() {
		s.changes = append(s.changes, pool.Change{Entry: pool.Entry{
			ID: id, Service: "s", Address: "10.0.0.1:" + id, Zone: "zone-" + id, Slots: 1, State: state, Revision: s.revision,
		}})
	})
}

func (s *fakeStore) evacuate(zone string) {
	s.change(func() {
		s.evacuated[zone] = s.revision
		s.evacuations = append(s.evacuations, pool.EvacuationChange{
			Evacuation: pool.Evacuation{Zone: zone, Revision: s.revision},
		})
	})
}

func (s *fakeStore) takeBack(zone string) {
	s.change(func() {
		delete(s.evacuated, zone)
		s.evacuations = append(s.evacuations, pool.EvacuationChange{
			Evacuation: pool.Evacuation{Zone: zone, Revision: s.revision}, Withdrawn: true,
		})
	})
}

func (s *fakeStore) dropTarget(id string) {
	s.change(func() {
		s.changes = append(s.changes, pool.Change{Entry: pool.Entry{ID: id, Revision: s.revision}, Removed: true})
	})
}

// begin counts a call and lets it misbehave.
func (s *fakeStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	failing, silent := s.failing, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if failing {
		return errDown
	}
	return nil
}

func (s *fakeStore) ReadOperatorState(ctx context.Context) (OperatorState, uint64, error) {
	if err := s.begin(ctx); err != nil {
		return OperatorState{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := OperatorState{Plan: s.plan.copy()}
	for zone, revision := range s.evacuated {
		orders.Evacuations = append(orders.Evacuations, pool.Evacuation{Zone: zone, Revision: revision})
	}
	return orders, s.revision, nil
}

func (s *fakeStore) WatchOperatorState(ctx context.Context, after uint64, hold time.Duration) (OperatorStateChanges, uint64, error) {
	var c OperatorStateChanges
	revision, err := s.hold(ctx, after, hold, func() bool {
		if s.planAt > after {
			c.Plan = s.plan.copy()
		}
		for _, e := range s.evacuations {
			if e.Revision > after {
				c.Evacuations = append(c.Evacuations, e)
			}
		}
		return !c.empty()
	})
	return c, revision, err
}

func (s *fakeStore) ReadTargets(ctx context.Context, cursor string) (TargetPage, error) {
	if err := s.begin(ctx); err != nil {
		return TargetPage{}, err
	}
	if s.pageTime > 0 {
		select {
		case <-time.After(s.pageTime):
		case <-ctx.Done():
			return TargetPage{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failPage != nil && s.failPage() {
		return TargetPage{}, errDown
	}
	byID := map[string]pool.Entry{}
	for _, c := range s.changes {
		byID[c.ID] = c.Entry
		if c.Removed {
			delete(byID, c.ID)
		}
	}
	page := TargetPage{AsOf: s.revision}
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		if id <= cursor {
			continue
		}
		if s.pageSize > 0 && len(page.Entries) == s.pageSize {
			page.Next = page.Entries[s.pageSize-1].ID
			break
		}
		page.Entries = append(page.Entries, byID[id])
	}
	s.entriesRead += len(page.Entries)
	return page, nil
}

func (s *fakeStore) WatchTargets(ctx context.Context, after uint64, hold time.Duration) (TargetChanges, uint64, error) {
	var news TargetChanges
	revision, err := s.hold(ctx, after, hold, func() bool {
		for _, c := range s.changes {
			if c.Revision <= after {
				continue
			}
			if s.pageSize > 0 && len(news.Changes) == s.pageSize {
				news.More = true
				break
			}
			news.Changes = append(news.Changes, c)
		}
		return len(news.Changes) > 0
	})
	if news.More {
		revision = news.Changes[len(news.Changes)-1].Revision
	}
	return news, revision, err
}

// hold waits until there is news or the time is up. news is called with mu held.
func (s *fakeStore) hold(ctx context.Context, after uint64, hold time.Duration, news func() bool) (uint64, error) {
	// Not a timer: one that is due at once breaks the race detector in virtual
	// time; see servetest's sleep.
	held, release := context.WithTimeout(context.Background(), hold)
	defer release()
	if err := s.begin(ctx); err != nil {
		return 0, err
	}
	for {
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			return 0, ErrHistoryGone
		}
		silent := s.silent
		found := !silent && news()
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if found {
			return revision, nil
		}
		select {
		case <-wake:
		case <-held.Done():
			if silent {
				<-ctx.Done()
				return 0, ctx.Err()
			}
			return revision, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// process is one that follows a store.
type process struct {
	*Follower
	plans *plan.Holder
	table *pool.Table
	store *fakeStore
}

func newProcess(store *fakeStore) *process {
	p := &process{plans: &plan.Holder{}, table: pool.New(zap.NewNop()), store: store}
	p.Follower = New(zap.NewNop(), p.store, p.plans, p.table)
	return p
}

// cluster makes processes, each with a store of its own to fail.
func cluster(ctx context.Context, n int, stores ...*fakeStore) []*process {
	list, _ := clusterOf(ctx, n, stores...)
	return list
}

func clusterOf(ctx context.Context, n int, stores ...*fakeStore) (list []*process, nodes []*servetest.Node) {
	network := &servetest.Cluster{Delay: time.Millisecond}
	for i := range n {
		p := newProcess(stores[min(i, len(stores)-1)])
		node := network.Add(string(rune('a'+i)), "z")
		p.UsePeers(node)
		list, nodes = append(list, p), append(nodes, node)
	}
	for _, p := range list {
		go p.Run(ctx)
	}
	return list, nodes
}

func (p *process) uses(id string) bool {
	for _, v := range p.table.Views("s", time.Now()) {
		if v.ID == id {
			return true
		}
	}
	return false
}

func inBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		test(t, ctx)
	})
}

func TestChangesAreInForceAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(3)
		store.putTarget("x", pool.Ready)
		p := cluster(ctx, 1, store)[0]
		time.Sleep(time.Second)
		assert.Equal(t, p.plans.Version(), uint64(3))
		assert.Assert(t, p.uses("x"))
		store.putPlan(7)
		store.putTarget("x", pool.Draining)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, p.plans.Version(), uint64(7))
		assert.Assert(t, !p.uses("x"))
	})
}

// The store goes silent towards one process: the call that it holds is never
// answered, though others are served. Without its peers that process would go
// on with targets that have left for as long as a call may last.
func TestAStoreThatIsSilentTowardsOneProcess(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, silent, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
		all := cluster(ctx, 6, silent, sound)
		time.Sleep(10 * time.Second)
		silent.mu.Lock()
		silent.silent = true
		silent.mu.Unlock()
		both(func(s *fakeStore) { s.putPlan(2); s.putTarget("x", pool.Draining) })
		time.Sleep(1900 * time.Millisecond)
		for i, p := range all {
			assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
			assert.Assert(t, !p.uses("x"), "process %d", i)
		}
	})
}

// The store goes silent towards all, and answers new calls again after four
// seconds; the calls that it held are lost. Three seconds later every process
// must follow it again.
func TestAStoreThatWasSilentTowardsAll(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		all := cluster(ctx, 8, store)
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		store.silent = true
		store.mu.Unlock()
		time.Sleep(4 * time.Second)
		store.mu.Lock()
		store.silent = false
		store.mu.Unlock()
		time.Sleep(3 * time.Second)
		store.putPlan(2)
		time.Sleep(2 * time.Second)
		for i, p := range all {
			assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
		}
	})
}

// The store's own revision grows with every write. Peers that have waited longer
// know of an older one, and would take each other's lists for news again and
// again, each time with a new call of the store.
func TestPeersThatKnowTheSameTellNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		store.putTarget("x", pool.Ready)
		all := cluster(ctx, 8, store)
		time.Sleep(5 * time.Second)
		for range 100 {
			store.mu.Lock()
			store.revision++ // a write of something that nobody follows
			store.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			for _, p := range all {
				n := all[0].newsSince(newsCall{Version: 1, Revision: p.table.LastChangeRevision()})
				assert.Assert(t, n.Plan == nil && !n.Whole && n.Revision == 0, "%+v", n)
			}
		}
	})
}

// At a large site a change must not wake every process, nor an idle minute cost
// a call a second from each.
func TestCallsOfTheStoreAreFew(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		cluster(ctx, 20, store)
		time.Sleep(5 * time.Second)
		store.mu.Lock()
		store.calls = 0
		store.mu.Unlock()
		time.Sleep(time.Minute)
		store.mu.Lock()
		defer store.mu.Unlock()
		// Three watchers with two calls every 0.8 s, and none from the others.
		assert.Assert(t, store.calls <= 3*2*(75+1), "%d calls", store.calls)
	})
}

// The watchers die one after the other. Others take their places, and every
// process goes on hearing of changes.
func TestWatchersThatDieAreReplaced(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		all, nodes := clusterOf(ctx, 10, store)
		time.Sleep(5 * time.Second)
		for round := range uint64(6) {
			for i, p := range all {
				if p.watcher() && nodes[i].Living() {
					nodes[i].Kill()
					p.store = newFakeStore()
					break
				}
			}
			time.Sleep(time.Second)
			store.putPlan(2 + round)
			time.Sleep(1900 * time.Millisecond)
			for i, p := range all {
				if nodes[i].Living() {
					assert.Equal(t, p.plans.Version(), 2+round, "process %d", i)
				}
			}
		}
	})
}

// All watchers are cut off from the store at the very moment of a change, and
// don't know it yet. Those that hear from them must not trust them for longer
// than a change may take.
func TestAChangeWhileAllWatchersAreCutOff(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, cut, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready) })
		all := cluster(ctx, 10, watchersAt(cut, sound, 10)...)
		time.Sleep(7350 * time.Millisecond)
		cut.mu.Lock()
		cut.silent = true
		cut.mu.Unlock()
		both(func(s *fakeStore) { s.putPlan(2); s.putTarget("x", pool.Draining) })
		time.Sleep(1900 * time.Millisecond)
		for i, p := range all {
			// One that is cut off itself may take as long as it takes to notice.
			if p.store == sound {
				assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
				assert.Assert(t, !p.uses("x"), "process %d", i)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		for i, p := range all {
			assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
			assert.Assert(t, !p.uses("x"), "process %d", i)
		}
	})
}

// watchersAt gives each of n processes its store: one to the watchers, another to the rest.
func watchersAt(watchers, others *fakeStore, n int) []*fakeStore {
	stores := make([]*fakeStore, n)
	for i := range stores {
		stores[i] = others
		if isWatcherOf(n, i) {
			stores[i] = watchers
		}
	}
	return stores
}

// isWatcherOf tells whether process i of n is a watcher.
func isWatcherOf(n, i int) bool {
	network := &servetest.Cluster{}
	var nodes []*servetest.Node
	for k := range n {
		nodes = append(nodes, network.Add(string(rune('a'+k)), "z"))
	}
	return chooseWatchers(nodes[i].View()).self()
}

// A target's entry lapsed in an outage and didn't come back. The watchers drop
// it when its time is up, which no row of the store tells; the others must drop
// it too.
func TestALapsedEntryIsDroppedEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		store.putTarget("x", pool.Ready)
		store.putTarget("y", pool.Ready)
		all := cluster(ctx, 8, store)
		time.Sleep(5 * time.Second)
		store.mu.Lock()
		store.failing = true
		close(store.wake)
		store.wake = make(chan struct{})
		store.mu.Unlock()
		time.Sleep(4 * time.Second)
		store.mu.Lock()
		store.failing = false
		store.mu.Unlock()
		store.dropTarget("x")
		time.Sleep(1200 * time.Millisecond)
		for i, p := range all {
			assert.Assert(t, p.uses("x"), "process %d", i)
		}
		time.Sleep(3 * time.Second)
		for i, p := range all {
			assert.Assert(t, !p.uses("x"), "process %d", i)
			assert.Assert(t, p.uses("y"), "process %d", i)
		}
	})
}

// Entries lapse while the store is away. The process must see the outage before
// it sees the empty list.
func TestALapsedListAfterAnOutageTakesNobodyOut(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		store.putTarget("x", pool.Ready)
		p := cluster(ctx, 1, store)[0]
		time.Sleep(5 * time.Second)
		store.mu.Lock()
		store.failing = true
		close(store.wake)
		store.wake = make(chan struct{})
		store.mu.Unlock()
		time.Sleep(4 * time.Second)
		store.mu.Lock()
		store.failing = false
		store.mu.Unlock()
		store.dropTarget("x")
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, p.uses("x"))
		store.putTarget("x", pool.Ready)
		time.Sleep(5 * time.Second)
		assert.Assert(t, p.uses("x"))
		store.dropTarget("x")
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, !p.uses("x"), "without an outage it is gone at once")
	})
}

func TestAHistoryThatIsGoneIsReadWhole(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		store.putTarget("x", pool.Ready)
		p := cluster(ctx, 1, store)[0]
		time.Sleep(5 * time.Second)
		store.mu.Lock()
		store.revision += 10
		store.oldest = store.revision
		store.plan, store.planAt = 9, store.revision
		store.changes = nil
		close(store.wake)
		store.wake = make(chan struct{})
		store.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, p.plans.Version(), uint64(9))
		assert.Assert(t, !p.uses("x"))
	})
}

// The store refuses some processes and serves the others, so that no entry
// lapses. Just after it serves all again, a target leaves without having said so.
// Its entry's end must not be taken for a lapse, and a process that has dropped
// the target must not take it back from one that has not.
func TestAnEntryThatEndsAfterAPartialOutageIsGone(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		sound, refusing, both := twoStores()
		both(func(s *fakeStore) { s.putPlan(1); s.putTarget("x", pool.Ready); s.putTarget("y", pool.Ready) })
		all := cluster(ctx, 9, refusing, refusing, refusing, sound)
		time.Sleep(5 * time.Second)
		refusing.change(func() { refusing.failing = true })
		sound.change(func() {})
		time.Sleep(7 * time.Second)
		refusing.change(func() { refusing.failing = false })
		sound.change(func() {})
		time.Sleep(900 * time.Millisecond)
		both(func(s *fakeStore) { s.dropTarget("x") })
		for n := range 30 {
			time.Sleep(100 * time.Millisecond)
			for i, p := range all {
				assert.Assert(t, p.uses("y"), "process %d", i)
				assert.Assert(t, n < 12 || !p.uses("x"), "process %d still uses it after %d00 ms", i, n+1)
			}
		}
	})
}
