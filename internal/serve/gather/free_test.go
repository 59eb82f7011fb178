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

// calledNetwork notes who was called to free what.
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

// After a start of all processes, or while one is frozen, two processes take
// different ones for a shard's gatherer. Were results given back to whom the reader
// takes for it, the one that had them made would go on counting them, take its
// targets' buffers for full, and have callers refused for the four seconds until they
// lapse, though the targets stand idle.
func TestResultsAreGivenBackToWhoHadThemMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		member := func(name string) peer.Member {
			return peer.Member{Incarnation: peer.Incarnation(name), State: peer.Alive, Power: 1}
		}
		network := &calledNetwork{
			fixedNetwork: fixedNetwork{self: member("self"), members: []peer.Member{member("a"), member("b")}},
			freed:        make(chan peer.Incarnation, 1),
		}
		r := aRequester(network)
		r.freeing, r.pending = map[freeKey][]string{}, map[Key]*pending{}
		shard := Shard{Service: "s"}
		list := r.gatherers(shard)
		maker := list[len(list)-1] // the last that anybody here would choose
		if maker == "self" {
			maker = list[1]
		}
		results := make(chan Result, 1)
		key := Key{Request: "r"}
		r.pending[key] = &pending{done: results}
		r.take(maker, shard, []Result{{Key: key, Handle: "10.0.0.1:1/h"}})
		r.Free(shard, []Result{<-results})
		time.Sleep(time.Second)
		assert.Equal(t, <-network.freed, maker)
		assert.Assert(t, !slices.Contains(list[:1], maker))
	})
}

// The process that had results made has died. Its targets' buffers would stay full of
// them until they lapse if they were only given back to it, and a call to it that
// hangs would hold up what is given back to others.
func TestResultsOfADeadGathererAreFreedFromHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		stager := &freedStager{freed: make(chan string, 1)}
		network := &calledNetwork{
			fixedNetwork: fixedNetwork{self: peer.Member{Incarnation: "self", State: peer.Alive}},
			freed:        make(chan peer.Incarnation, 1),
		}
		r := &Requester{
			log: zap.NewNop(), network: network, unresponsive: map[peer.Incarnation]bool{}, freeing: map[freeKey][]string{},
			own: gathererOf(life, &plan.Batch{Size: 1, BufferBytes: 100}, stager, "10.0.0.1:1"),
		}
		r.Free(Shard{Service: "s"}, []Result{{Handle: "10.0.0.1:1/h", gatherer: "dead"}})
		assert.Equal(t, <-stager.freed, "10.0.0.1:1/h")
		assert.Equal(t, len(network.freed), 0, "the dead one was called")
	})
}

// freedStager notes what is freed at targets.
type freedStager struct {
	StageClient
	freed chan string
}

func (s *freedStager) Free(_ context.Context, _ *pool.Target, handles []string) error {
	s.freed <- handles[0]
	return nil
}
