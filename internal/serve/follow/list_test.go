package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// slowLink is a link of 10 Mbit/s, in bytes a second.
const slowLink = 10e6 / 8

// linked makes processes that start together over slow links.
func linked(ctx context.Context, n int, store *fakeStore, bound PropagationBound) []*process {
	network := &servetest.Cluster{Delay: time.Millisecond}
	var all []*process
	for i := range n {
		p := newProcess(store)
		node := network.Add(fmt.Sprintf("vm-%d", i), fmt.Sprintf("zone-%d", i%5))
		node.Link(slowLink)
		p.UsePeers(node)
		p.SetPropagationBound(bound)
		all = append(all, p)
	}
	for _, p := range all {
		go p.Run(ctx)
	}
	return all
}

// read is how many entries were read from the store so far.
func (s *fakeStore) read() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entriesRead
}

func knowing(all []*process, version uint64, targets int) int {
	count := 0
	for _, p := range all {
		if p.plans.Version() == version && len(p.table.ReadySet("s").Targets) == targets {
			count++
		}
	}
	return count
}

// All processes of a fleet lose power and start again over slow links. The list of targets
// is long, and a configuration comes while it goes around: it must not wait behind the
// list, and nobody may be without the list for long.
func TestAConfigurationComesInWhileALongListDoes(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const targets = 3000
		store := longList(targets)
		store.pageTime = 10 * time.Millisecond
		bound := PropagationBound(4 * time.Second)
		all := linked(ctx, 100, store, bound)
		time.Sleep(bound.settling() + 500*time.Millisecond)
		store.putPlan(2)
		time.Sleep(1500 * time.Millisecond)
		for i, p := range all {
			assert.Equal(t, p.plans.Version(), uint64(2), "process %d", i)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, knowing(all, 2, targets), len(all))
		assert.Assert(t, store.read() <= firstReaders*targets, "%d entries read from the store", store.read())
	})
}

// More targets change at once than a fixed number: a herd of crashes in a large pool. Peers
// must be told the changes, not the list.
func TestManyChangesAreToldAsChanges(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const targets, crashed = 3000, 900
		store := longList(targets)
		store.pageTime = 0
		all := linked(ctx, 20, store, DefaultPropagationBound)
		time.Sleep(5 * time.Second)
		for i := range crashed {
			store.dropTarget(fmt.Sprintf("t%04d", i))
		}
		before := store.read()
		time.Sleep(time.Duration(DefaultPropagationBound))
		assert.Equal(t, knowing(all, 1, targets-crashed), len(all))
		assert.Equal(t, store.read(), before)
		for i, p := range all {
			p.lister.mu.Lock()
			asked := p.lister.snapshot != nil
			p.lister.mu.Unlock()
			assert.Assert(t, !asked, "process %d was asked for the whole list", i)
		}
	})
}

// The process that tells the list dies in the middle. What it has told is kept, and
// another one tells the rest.
func TestPartsOfTheListComeFromSeveralPeers(t *testing.T) {
	holders := []*process{newProcess(nil), newProcess(nil)}
	now := time.Now()
	for _, p := range holders {
		var entries []pool.Entry
		for i := range 2000 {
			entries = append(entries, pool.Entry{ID: fmt.Sprint("t", i), Service: "s", State: pool.Ready, Revision: uint64(i + 1)})
		}
		p.table.Reset(entries, 2000, now)
	}
	// The second has seen a target go and another come.
	holders[1].table.Apply([]pool.Change{
		{Entry: pool.Entry{ID: "t0", Revision: 2001}, Removed: true},
		{Entry: pool.Entry{ID: "new", Service: "s", State: pool.Ready, Revision: 2002}},
	}, 2002, now)
	var g gathered
	for number := range pool.PartitionCount(2000, partEntries) {
		a, err := holders[number%2].lister.serve(partCall{Reader: "r", Part: number}, holders[number%2].table, now)
		assert.NilError(t, err)
		assert.NilError(t, g.add(number, a, now))
	}
	assert.Assert(t, g.whole())
	assert.Equal(t, g.asOf, uint64(2000))
	reader := newProcess(nil)
	reader.table.ResetFromPeer(g.entries(), g.asOf, now)
	assert.Equal(t, reader.table.LastChangeRevision(), uint64(2000), "newer entries don't make the list newer")
	changes, asOf, known := holders[1].table.ChangesSince(reader.table.LastChangeRevision(), now)
	assert.Assert(t, known)
	reader.table.Apply(changes, asOf, now)
	assert.Assert(t, !reader.uses("t0"))
	assert.Assert(t, reader.uses("new"))
	assert.Equal(t, len(reader.table.ReadySet("s").Targets), 2000)
}

// A process tells the list to a few at a time, and refuses the others at once: on a slow
// link each would else wait for all.
func TestTheListIsToldToAFewAtATime(t *testing.T) {
	p := newProcess(nil)
	now := time.Now()
	p.table.Reset(listOf(2*partEntries), 1, now)
	refused := func(reader int, at time.Time) bool {
		a, err := p.lister.serve(partCall{Reader: peerName(reader)}, p.table, at)
		assert.NilError(t, err)
		return a.Refused
	}
	for i := range mostReaders {
		assert.Assert(t, !refused(i, now))
	}
	assert.Assert(t, refused(mostReaders, now))
	assert.Assert(t, !refused(0, now), "who reads goes on")
	_, err := p.lister.serve(partCall{Reader: peerName(0), Part: 1}, p.table, now)
	assert.NilError(t, err)
	assert.Assert(t, !refused(mostReaders, now), "who has asked for the last part makes place")
	a, err := p.lister.serve(partCall{Reader: peerName(mostReaders + 1)}, p.table, now)
	assert.NilError(t, err)
	assert.Assert(t, a.Refused)
	assert.Equal(t, a.Try, peerName(0), "who is refused is sent to one that has the list")
	assert.Assert(t, !refused(mostReaders, now.Add(readerIdle+time.Millisecond)))
}

// A part as it is told of 10,000 targets and twice as many. It must stay small enough not
// to keep other messages waiting.
func TestAPartOfAnyListIsSmall(t *testing.T) {
	const most = 64 << 10
	for _, targets := range []int{100, 10_000, 20_000} {
		p := newProcess(nil)
		p.table.Reset(listOf(targets), uint64(targets), time.Now())
		a, err := p.lister.serve(partCall{Reader: "r"}, p.table, time.Now())
		assert.NilError(t, err)
		assert.Assert(t, len(a.Entries) < most, "%d bytes of %d targets", len(a.Entries), targets)
	}
}

func listOf(targets int) []pool.Entry {
	var list []pool.Entry
	for i := range targets {
		list = append(list, pool.Entry{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Born: 1700000000000 + int64(i)*7919, Service: "engines",
			Address: fmt.Sprintf("10.1.%d.%d:8080", i/256, i%256), Zone: fmt.Sprint("zone-", i%5), Slots: 24, State: pool.Ready,
			Revision: uint64(i + 1),
		})
	}
	return list
}

func BenchmarkListTold(b *testing.B) {
	for _, targets := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			p := newProcess(nil)
			p.table.Reset(listOf(targets), uint64(targets), time.Now())
			bytes := 0
			for b.Loop() {
				bytes = 0
				p.lister.snapshot = nil
				for part := range pool.PartitionCount(targets, partEntries) {
					a, err := p.lister.serve(partCall{Reader: "r", Part: part}, p.table, time.Now())
					assert.NilError(b, err)
					bytes += len(a.Entries)
				}
			}
			b.ReportMetric(float64(bytes)/float64(targets), "bytes/target")
		})
	}
}

func peerName(i int) peer.Incarnation { return peer.Incarnation(fmt.Sprint("p", i)) }

// All targets register at once while the processes have an empty list. The store tells a
// watcher some hundred changes in an answer: it must not pause between them, or thousands of
// targets take a quarter of a minute to come in.
func TestThousandsOfTargetsThatRegisterTogetherComeInSoon(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const targets = 10_000
		store := newFakeStore()
		store.putPlan(1)
		store.pageSize = 500
		all := linked(ctx, 20, store, PropagationBound(5*time.Second))
		time.Sleep(3 * time.Second)
		for i := range targets {
			store.putTarget(fmt.Sprintf("t%05d", i), pool.Ready)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, knowing(all, 1, targets), len(all))
	})
}
