package gather

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Guards against own results counted as those of others, and against values that make no sense.
func TestResidualState(t *testing.T) {
	full := time.Second
	for name, c := range map[string]struct {
		state TargetState
		own   ownUse
		bytes int
		took  time.Duration
	}{
		"empty":           {TargetState{FreeBytes: 1000}, ownUse{}, 0, 0},
		"full and busy":   {TargetState{Waiting: 1, Busy: 1}, ownUse{}, 1000, 1500 * time.Millisecond},
		"own use":         {TargetState{Busy: 1, FreeBytes: 300}, ownUse{bytes: 500, calls: 1}, 200, 0},
		"more than it is": {TargetState{FreeBytes: 2000}, ownUse{bytes: 100}, 0, 0},
		"below zero":      {TargetState{Waiting: -1, Busy: -2, FreeBytes: -5}, ownUse{}, 1000, 0},
		"unknown space":   {TargetState{Busy: 1, FreeUnknown: true}, ownUse{}, 0, 500 * time.Millisecond},
		"too many calls":  {TargetState{Waiting: 1 << 40, FreeBytes: 1000}, ownUse{}, 0, 4500 * time.Millisecond},
	} {
		assert.Equal(t, c.state.residualBytes(1000, c.own), c.bytes, name)
		assert.Equal(t, c.state.residualTime(c.own, full), c.took, name)
	}
}

// statingStager is a client of targets that state their state; one of them doesn't answer.
type statingStager struct {
	queuedStager
	states map[string]TargetState // by address
	asked  chan string
}

func (s *statingStager) State(ctx context.Context, target *pool.Target) (TargetState, error) {
	s.asked <- target.Address
	state, answers := s.states[target.Address]
	if !answers {
		<-ctx.Done()
		return state, ctx.Err()
	}
	time.Sleep(20 * time.Millisecond)
	return state, nil
}

// After all processes were killed, buffers are full of results that nobody will fetch. Guards
// against items that are sent there and lose their inputs, against items that wait for the answers,
// and against questions at each item or by a process that only frees results.
func TestNewGathererCountsResidualState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		client := &statingStager{
			states: map[string]TargetState{"full:1": {FreeBytes: 100}, "busy:1": {Busy: 1, Waiting: 1, FreeBytes: 1000}}, asked: make(chan string, 10),
		}
		batch := &plan.Batch{Size: 10, CallTime: callTime, BufferBytes: 1000, Keep: 8 * time.Second}
		g := newTestGatherer(life, batch, client, "full:1", "busy:1", "silent:1")
		g.deliver = func(string, Shard, []Result) {}
		g.release = func(Allocator, []string, bool) {}
		id := Shard{Service: "s"}
		g.Free(id, []string{"full:1/a"}, true)
		time.Sleep(stateTimeout)
		assert.Equal(t, len(client.asked), 0, "only frees results")

		item := Item{Key: Key{Request: "r"}, Due: 2000, Expires: 5000, Bytes: 200}
		g.Submit("owner", id, []Item{item}, time.Now())
		assert.Equal(t, g.Stats().Calls, 1, "the item doesn't wait")
		g.ReserveStage(reserveCall{Shard: id, Request: "q", Items: 1, Due: 1000}, time.Now())
		time.Sleep(50 * time.Millisecond)
		g.mu.Lock()
		s := g.stateOf(id)
		g.mu.Unlock()
		bytesAt := func(address string) int {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.bufferOf(s, address, time.Now()).foreign()
		}
		busy := func(target string) bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return s.activeCalls[target] != nil
		}
		own := 0 // the item's result if its call went to the full target
		if busy("t-full:1") {
			own = 200
		}
		// The answer came after 20 ms, 30 ms before. Of the space, 30 in 4000 have expired.
		assert.Equal(t, bytesAt("full:1"), int(math.Round(float64(900-own)*3970/4000)))
		assert.Equal(t, bytesAt("silent:1"), 0)
		assert.Assert(t, busy("t-busy:1"), "a call of the previous gatherer runs there")

		time.Sleep(stateTimeout)
		stats := g.Stats()
		assert.DeepEqual(t, []int{len(client.asked), stats.StatesRead, stats.StatesUnanswered, stats.ResidualBusy}, []int{3, 2, 1, 1})
		before := bytesAt("full:1")
		g.Free(id, []string{"full:1/b"}, true)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, bytesAt("full:1") < before-180, "a result of the previous gatherer was freed")
		time.Sleep(residualKeep(batch))
		assert.Equal(t, bytesAt("full:1"), 0, "expired")
		assert.Assert(t, !busy("t-busy:1"))
	})
}
