package gather_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// member is a process with a requester and a gatherer.
type member struct {
	*gather.Requester
	node *servetest.Node
}

func newMembers(life context.Context, pools *servetest.FakeTargets, n int) []member {
	return newMembersWithReach(life, pools, n, nil)
}

// newMembersWithReach creates members of which those in cutOff are cut off from all services.
func newMembersWithReach(life context.Context, pools *servetest.FakeTargets, n int, cutOff *cutOffSet) []member {
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
			Log: zap.NewNop(), Network: node, Table: table, Reach: &fakeReach{self: string(node.Self().Incarnation), cutOff: cutOff},
			Gatherer: gather.NewGatherer(life, zap.NewNop(), table, plans, pools),
		})})
	}
	return list
}

// runItem has one item processed for a request.
func (m member) runItem(ctx context.Context, id string) error {
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

// A gatherer fails to answer once, because its VM was stalled for half a second, or both sides
// had opened a connection and one of them was closed. If it is then excluded for seconds,
// another process gathers for the same targets beside it all the while. Their calls find
// targets and buffers full, and requests are refused although there is capacity.
func TestRecoveredGathererIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{
			"s": {Size: 4, CallTime: 20 * time.Millisecond, BufferBytes: 1000, Keep: 4 * time.Second},
		}}
		list := newMembers(life, pools, 2)
		assert.NilError(t, list[0].runItem(life, "first"))
		primary, other := list[0], list[1]
		if primary.calls() == 0 {
			primary, other = other, primary
		}

		primary.node.Freeze()
		assert.NilError(t, other.runItem(life, "second"))
		assert.Equal(t, other.calls(), 1, "the other process gathers meanwhile")
		primary.node.Thaw()
		time.Sleep(500 * time.Millisecond)

		before := primary.calls()
		assert.NilError(t, other.runItem(life, "third"))
		assert.Equal(t, primary.calls(), before+1, "the gatherer isn't used again half a second after it answers")
		stop()
		time.Sleep(time.Second) // lets messages in transit arrive
	})
}

// cutOffSet has the processes that are cut off from all services. nil is an empty set.
type cutOffSet struct {
	mu      sync.Mutex // guards members
	members map[string]bool
}

func (s *cutOffSet) add(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members == nil {
		s.members = map[string]bool{}
	}
	s.members[name] = true
}

func (s *cutOffSet) has(name string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[name]
}

// fakeReach is the reach of one process.
type fakeReach struct {
	self   string
	cutOff *cutOffSet
}

func (f *fakeReach) CutOff(string) bool { return f.cutOff.has(f.self) }

func (f *fakeReach) PeerCutOff(id peer.Incarnation, _ ...string) bool {
	return f.cutOff.has(string(id))
}

func (f *fakeReach) Generation() uint64 {
	if f.cutOff == nil {
		return 0
	}
	f.cutOff.mu.Lock()
	defer f.cutOff.mu.Unlock()
	return uint64(len(f.cutOff.members))
}

// Guards against a gatherer that is cut off from the targets, so that no process can run its stages.
func TestCutOffProcessDoesNotGather(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{
			"s": {Size: 4, CallTime: 20 * time.Millisecond, BufferBytes: 1000, Keep: 4 * time.Second},
		}}
		cutOff := &cutOffSet{}
		list := newMembersWithReach(life, pools, 2, cutOff)
		assert.NilError(t, list[0].runItem(life, "first"))
		primary, other := list[0], list[1]
		if primary.calls() == 0 {
			primary, other = other, primary
		}
		cutOff.add(string(primary.node.Self().Incarnation))
		assert.NilError(t, primary.runItem(life, "second"))
		assert.Equal(t, primary.calls(), 1)
		assert.Equal(t, other.calls(), 1)
		cutOff.add(string(other.node.Self().Incarnation))
		assert.NilError(t, other.runItem(life, "third"))
		assert.Equal(t, primary.calls(), 2, "all are cut off")
		stop()
		time.Sleep(time.Second) // lets messages in transit arrive
	})
}
