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

// newTestGatherer creates a gatherer for service s with a target at each address.
func newTestGatherer(life context.Context, batch *plan.Batch, client StageClient, addresses ...string) *Gatherer {
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
	return NewGatherer(life, zap.NewNop(), table, plans, client)
}

// queuedStager is a client of targets at which calls wait until the given time, behind
// calls of the previous gatherer.
type queuedStager struct{ busyUntil time.Time }

func (s *queuedStager) Run(_ context.Context, _ *pool.Target, items []Item, sent func()) ([]Result, error) {
	sent()
	time.Sleep(time.Until(s.busyUntil))
	time.Sleep(callTime)
	return make([]Result, len(items)), nil
}

func (s *queuedStager) Free(context.Context, *pool.Target, []string) error { return nil }

// A process becomes the gatherer because the previous one has died. Calls of the previous
// gatherer are still queued at the targets, and the first calls of the new one wait behind
// them. If it considered the targets slow, it would reserve only a fraction of their capacity
// and refuse requests for two seconds.
func TestCallsOfPreviousGathererDoNotMarkTargetsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		batch := &plan.Batch{Size: 10, CallTime: callTime, BufferBytes: 1000, Keep: time.Second}
		g := newTestGatherer(life, batch, &queuedStager{busyUntil: time.Now().Add(2 * callTime)}, "10.0.0.1:1", "10.0.0.2:1")
		g.deliver = func(string, Shard, []Result) {}
		g.release = func(Allocator, []string, bool) {}
		shard := Shard{Service: "s"}
		for _, request := range []string{"a", "b"} {
			item := Item{Key: Key{Request: request}, Due: 2000, Expires: 5000, Bytes: 1}
			g.Submit("owner", shard, []Item{item}, time.Now())
		}
		time.Sleep(4 * callTime)
		g.mu.Lock()
		targets, _ := g.effectiveTargets(g.stateOf(shard), batch, time.Now())
		g.mu.Unlock()
		assert.Equal(t, targets, 2.0)

		// A target that becomes slow after the warm-up is still detected.
		effective := targetsAfterSlowCall(g, shard, batch)
		assert.Assert(t, effective < 2, "%v effective targets", effective)
	})
}

// targetsAfterSlowCall has a call run that takes three times as long as expected, and returns
// the number of effective targets after it.
func targetsAfterSlowCall(g *Gatherer, shard Shard, batch *plan.Batch) float64 {
	g.client = &queuedStager{busyUntil: time.Now().Add(2 * callTime)}
	item := Item{Key: Key{Request: "c"}, Due: 2000, Expires: 5000, Bytes: 1}
	g.Submit("owner", shard, []Item{item}, time.Now())
	time.Sleep(4 * callTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	targets, _ := g.effectiveTargets(g.stateOf(shard), batch, time.Now())
	return targets
}
