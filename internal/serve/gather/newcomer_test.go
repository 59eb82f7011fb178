package gather

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// gathererOf is a gatherer for service s with a target at each address.
func gathererOf(life context.Context, batch *plan.Batch, stager StageClient, addresses ...string) *Gatherer {
	var entries []pool.Entry
	for _, address := range addresses {
		entries = append(entries, pool.Entry{
			ID: "t-" + address, Service: "s", Address: address, Slots: 1, State: pool.Ready, Revision: 1,
		})
	}
	table := pool.New(zap.NewNop())
	table.Reset(entries, 1, time.Now())
	plans := &plan.Holder{}
	plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Batch: batch}}})
	return NewGatherer(life, zap.NewNop(), table, plans, stager)
}

// queuedStager is a target at which the first calls wait behind those of a process
// that gathered before.
type queuedStager struct{ behind time.Time }

func (s *queuedStager) Run(_ context.Context, _ *pool.Target, items []Item, sent func()) ([]Result, error) {
	sent()
	time.Sleep(time.Until(s.behind))
	time.Sleep(callTime)
	return make([]Result, len(items)), nil
}

func (s *queuedStager) Free(context.Context, *pool.Target, []string) error { return nil }

// A process begins to gather for a pool because the one before has died. Calls that
// the dead one had made still stand in the targets' queues, and the first calls of
// the new one wait behind them. If it took the targets for slow, it would reserve a
// fraction of what they can make and refuse callers for two seconds.
func TestWaitingBehindAnothersCallsIsNoSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		batch := &plan.Batch{Size: 10, CallTime: callTime, BufferBytes: 1000, Keep: time.Second}
		g := gathererOf(life, batch, &queuedStager{behind: time.Now().Add(2 * callTime)}, "10.0.0.1:1", "10.0.0.2:1")
		g.deliver = func(string, Shard, []Result) {}
		g.release = func(Allocator, []string, bool) {}
		shard := Shard{Service: "s"}
		for _, request := range []string{"a", "b"} {
			item := Item{Key: Key{Request: request}, Due: 2000, Expires: 5000, Bytes: 1}
			g.Submit("owner", shard, []Item{item}, time.Now())
		}
		time.Sleep(4 * callTime)
		g.mu.Lock()
		targets, _ := g.strength(g.of(shard), batch, time.Now())
		g.mu.Unlock()
		assert.Equal(t, targets, 2.0)

		// A target that works slowly later on is found out all the same.
		late := newLateCalls(g, shard, batch)
		assert.Assert(t, late < 2, "%v targets' worth are reckoned with", late)
	})
}

// newLateCalls has calls made that take three times as long as they should, and
// gives the strength after them.
func newLateCalls(g *Gatherer, shard Shard, batch *plan.Batch) float64 {
	g.stager = &queuedStager{behind: time.Now().Add(2 * callTime)}
	item := Item{Key: Key{Request: "c"}, Due: 2000, Expires: 5000, Bytes: 1}
	g.Submit("owner", shard, []Item{item}, time.Now())
	time.Sleep(4 * callTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	targets, _ := g.strength(g.of(shard), batch, time.Now())
	return targets
}
