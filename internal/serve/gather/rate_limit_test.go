package gather

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// countingStager is a client of targets that state a request rate. It counts calls by target.
type countingStager struct {
	rates map[string]float64
	mu    sync.Mutex // guards what follows
	calls map[string]int
	freed int
}

func (s *countingStager) Run(_ context.Context, target *pool.Target, items []Item, sent func()) ([]Result, error) {
	sent()
	s.mu.Lock()
	s.calls[target.Address]++
	s.mu.Unlock()
	sentAt := time.Now()
	time.Sleep(callTime)
	rate := s.rates[target.Address]
	target.SetRateLimit(&rate, sentAt, time.Now())
	results := make([]Result, 0, len(items))
	for _, item := range items {
		results = append(results, Result{Key: item.Key, Handle: target.Address + "/" + item.Request})
	}
	return results, nil
}

func (s *countingStager) Free(context.Context, *pool.Target, []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed++
	return nil
}

// Guards against a stage target in need that gets call after call, also to free results.
func TestStageTargetGetsCallsAtItsStatedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		client := &countingStager{calls: map[string]int{}, rates: map[string]float64{"10.0.0.1:1": 0.5}}
		batch := &plan.Batch{Size: 1, CallTime: callTime, BufferBytes: 1000, Keep: time.Second}
		g := newTestGatherer(life, batch, client, "10.0.0.1:1", "10.0.0.2:1")
		g.release = func(Allocator, []string, bool) {}
		shard := Shard{Service: "s"}
		g.deliver = func(_ string, _ Shard, results []Result) {
			for _, r := range results {
				g.Free(shard, []string{r.Handle}, true)
			}
		}
		start := time.Now()
		for i := 0; time.Since(start) < 20*time.Second; i++ {
			item := Item{Key: Key{Request: fmt.Sprint(i)}, Due: 2000, Expires: 5000, Bytes: 1}
			g.Submit("owner", shard, []Item{item}, time.Now())
			time.Sleep(callTime / 2)
		}
		time.Sleep(10 * time.Second)
		client.mu.Lock()
		defer client.mu.Unlock()
		limited, other := client.calls["10.0.0.1:1"], client.calls["10.0.0.2:1"]
		assert.Assert(t, limited >= 6 && limited <= 10, "%d calls in 20 s at 0.5 a second", limited)
		assert.Assert(t, other > 5*limited, "%d calls of the other target", other)
		assert.Assert(t, client.freed <= other+1, "%d calls that free results, %d of the other target", client.freed, other)
		g.mu.Lock()
		defer g.mu.Unlock()
		targets, _ := g.effectiveTargets(g.stateOf(shard), batch, time.Now())
		assert.Assert(t, targets > 1 && targets < 1.3, "%.2f effective targets", targets)
	})
}
