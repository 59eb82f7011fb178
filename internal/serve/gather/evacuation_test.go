package gather_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// newShardedProcess creates a process and a service with five targets in each of three zones,
// which make three shards.
func newShardedProcess(life context.Context, pools *servetest.FakeTargets) (*gather.Requester, *pool.Table) {
	table := pool.New(zap.NewNop())
	var entries []pool.Entry
	for i := range 15 {
		entries = append(entries, pool.Entry{
			ID: fmt.Sprintf("t%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: string(rune('a' + i%3)),
			Slots: 1, State: pool.Ready, Revision: 1,
		})
	}
	table.Reset(entries, 1, time.Now())
	plans := &plan.Holder{}
	plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Batch: pools.Services["s"]}}})
	return gather.New(gather.Options{
		Log: zap.NewNop(), Network: (&servetest.Cluster{}).Add("a", "z"), Table: table,
		Gatherer: gather.NewGatherer(life, zap.NewNop(), table, plans, pools),
	}), table
}

// Items queued for the targets of a zone that is evacuated must run elsewhere. If they stayed
// in the queue, they would wait there until their request is late.
func TestQueuedItemsOfEvacuatedZoneRunElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer stop()
		call := 300 * time.Millisecond
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{
			"s": {Size: 1, CallTime: call, BufferBytes: 1000, Keep: 4 * time.Second},
		}}
		requester, table := newShardedProcess(life, pools)
		started := time.Now()
		answers := make(chan error, 10)
		for i := range cap(answers) {
			go func() {
				_, err := requester.RunStage(life, gather.StageWork{
					Service: "s", Items: []gather.Item{{Key: gather.Key{Request: fmt.Sprint(i)}, Source: "k", Bytes: 1}},
					Due: started.Add(time.Second), Expires: started.Add(5 * time.Second), Zone: "a",
				})
				answers <- err
			}()
		}
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, pools.CallCount("s"), 5, "five items run, five are queued")
		table.ApplyEvacuations([]pool.EvacuationChange{{Evacuation: pool.Evacuation{Zone: "a", Revision: 2}}}, 2, time.Now())
		for range cap(answers) {
			assert.NilError(t, <-answers)
		}
		took := time.Since(started)
		assert.Assert(t, took < call+100*time.Millisecond, "%v", took)
		assert.Assert(t, pools.LastCall("a").Before(started.Add(10*time.Millisecond)))
		time.Sleep(time.Second)
	})
}
