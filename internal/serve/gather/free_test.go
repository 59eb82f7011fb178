package gather

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// calledNetwork records which process is called to free results.
type calledNetwork struct {
	fixedNetwork
	freed chan peer.Incarnation
}

func (n *calledNetwork) Call(_ context.Context, to peer.Incarnation, method string, _, _ any) error {
	if method == methodFree {
		n.freed <- to
	}
	return nil
}

// After all processes start together, or while one is frozen, two processes may rank the
// gatherers of a shard differently. If results were freed through the gatherer as the reader
// sees it, the one that had them created would go on counting them, treat its targets' buffers
// as full, and refuse requests for the four seconds until they expire, although the targets are
// idle.
func TestResultsAreFreedThroughTheirAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := func(name string) peer.Member {
			return peer.Member{Incarnation: peer.Incarnation(name), State: peer.Alive, CPUPercent: 1}
		}
		network := &calledNetwork{
			fixedNetwork: fixedNetwork{self: member("self"), members: []peer.Member{member("a"), member("b")}},
			freed:        make(chan peer.Incarnation, 1),
		}
		r := newTestRequester(network)
		r.pendingFrees, r.pending = map[freeKey][]string{}, map[Key]*pending{}
		shard := Shard{Service: "s"}
		list := r.gatherers(shard)
		allocator := list[len(list)-1] // the last in this process's ranking
		if allocator == "self" {
			allocator = list[1]
		}
		results := make(chan Result, 1)
		key := Key{Request: "r"}
		r.pending[key] = &pending{done: results}
		r.receive(allocator, shard, []Result{{Key: key, Handle: "10.0.0.1:1/h"}})
		r.Free(shard, []Result{<-results})
		time.Sleep(time.Second)
		assert.Equal(t, <-network.freed, allocator)
		assert.Assert(t, !slices.Contains(list[:1], allocator))
	})
}

// The process that had results created has died. If they were freed only through it, its
// targets' buffers would stay full until they expire, and a call to it that hangs would delay
// what is freed elsewhere.
func TestResultsOfDeadGathererAreFreedLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		client := &freedStager{freed: make(chan string, 1)}
		network := &calledNetwork{
			fixedNetwork: fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive}},
			freed:        make(chan peer.Incarnation, 1),
		}
		r := &Requester{
			log: zap.NewNop(), network: network, unresponsive: map[peer.Incarnation]bool{}, pendingFrees: map[freeKey][]string{},
			own: newTestGatherer(life, &plan.Batch{Size: 1, BufferBytes: 100}, client, "10.0.0.1:1"),
		}
		r.Free(Shard{Service: "s"}, []Result{{Handle: "10.0.0.1:1/h", gatherer: "dead"}})
		assert.Equal(t, <-client.freed, "10.0.0.1:1/h")
		assert.Equal(t, len(network.freed), 0, "the dead gatherer was called")
	})
}

// hangingStager frees results at all targets but one, which doesn't answer.
type hangingStager struct {
	freedStager
	hangs string
}

func (s *hangingStager) Free(ctx context.Context, target *pool.Target, handles []string) error {
	if target.Address == s.hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	return s.freedStager.Free(ctx, target, handles)
}

// Guards against one target that doesn't answer and holds up what is freed at the others.
func TestHangingTargetDoesNotDelayFreeingAtOthers(t *testing.T) {
	for range 10 { // the order of the targets is random
		synctest.Test(t, func(t *testing.T) {
			life, stop := context.WithCancel(context.Background())
			defer stop()
			client := &hangingStager{freedStager{freed: make(chan string, 1)}, "10.0.0.1:1"}
			g := newTestGatherer(life, &plan.Batch{Size: 1, BufferBytes: 100}, client, "10.0.0.1:1", "10.0.0.2:1")
			start := time.Now()
			g.Free(Shard{Service: "s"}, []string{"10.0.0.1:1/h", "10.0.0.2:1/h"}, true)
			assert.Equal(t, <-client.freed, "10.0.0.2:1/h")
			assert.Assert(t, time.Since(start) < freeTimeout/2, "freed after %s", time.Since(start))
		})
	}
}

// freedStager records what is freed at targets.
type freedStager struct {
	StageClient
	freed chan string
}

func (s *freedStager) Free(_ context.Context, _ *pool.Target, handles []string) error {
	s.freed <- handles[0]
	return nil
}
