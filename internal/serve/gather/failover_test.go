package gather_test

import (
	"context"
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

// member is one process that gathers and asks.
type member struct {
	*gather.Requester
	node *servetest.Node
}

func members(life context.Context, pools *servetest.FakeTargets, n int) []member {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	var list []member
	for i := range n {
		table := pool.New(zap.NewNop())
		table.Reset([]pool.Entry{{
			ID: "t", Service: "s", Address: "10.0.0.1:1", Slots: 1, State: pool.Ready, Revision: 1,
		}}, 1, time.Now())
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Batch: pools.Services["s"]}}})
		node := cluster.Add(string(rune('a'+i)), "z")
		list = append(list, member{node: node, Requester: gather.New(gather.Options{
			Log: zap.NewNop(), Network: node, Table: table,
			Gatherer: gather.NewGatherer(life, zap.NewNop(), table, plans, pools),
		})})
	}
	return list
}

// ask has one item made for a request.
func (m member) ask(ctx context.Context, id string) error {
	done, err := m.RunStage(ctx, gather.StageWork{
		Service: "s", Items: []gather.Item{{Key: gather.Key{Request: id}, Source: "k", Bytes: 1}},
		Due: time.Now().Add(time.Second), Expires: time.Now().Add(5 * time.Second),
	})
	if err == nil {
		m.Free(done.Shard, done.Results)
	}
	return err
}

func (m member) calls() int { return m.Gatherer().Stats().Calls }

// A gatherer misses one answer: its VM stood still for half a second, or both
// sides had opened a connection and one of them was closed. If it's left alone for
// seconds after that, another gathers for the same targets beside it all the
// while; their calls find the targets and the buffers full, and callers are refused
// though the pool has places.
func TestAGathererThatAnswersAgainIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{
			"s": {Size: 4, CallTime: 20 * time.Millisecond, BufferBytes: 1000, Keep: 4 * time.Second},
		}}
		list := members(life, pools, 2)
		assert.NilError(t, list[0].ask(life, "first"))
		usual, other := list[0], list[1]
		if usual.calls() == 0 {
			usual, other = other, usual
		}

		usual.node.Freeze()
		assert.NilError(t, other.ask(life, "second"))
		assert.Equal(t, other.calls(), 1, "the other one gathers meanwhile")
		usual.node.Thaw()
		time.Sleep(500 * time.Millisecond)

		before := usual.calls()
		assert.NilError(t, other.ask(life, "third"))
		assert.Equal(t, usual.calls(), before+1, "it isn't used again half a second after it answers")
		stop()
		time.Sleep(time.Second) // messages on their way
	})
}
