package steward

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/command/change"
	"github.com/vanillagate/vanillagate/internal/command/order"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/changes"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const (
	anyPort = "127.0.0.1:0"
	term    = time.Second
)

var patient = poll.WithTimeout(30 * time.Second)

// engines hosts a pool of engines that serve version 1.
func engines(t *testing.T, checksFencing bool) *fleet.Fleet {
	f, err := fleet.Open(fleet.File{
		Seed: 1, Table: anyPort, Objects: anyPort, VMList: anyPort, Control: anyPort,
		Pools: []fleet.Pool{{
			Pool: "llm", Kind: config.TargetEngine, Model: "m", Version: "1", FirstAddress: anyPort, Count: 3,
			Zones: []string{"a"}, ChecksFencing: checksFencing, Engine: engine.Costs{ModelLoadMS: 20},
		}},
	}, fleet.Parts{Targets: true}, zap.NewNop())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, f.Stop() == nil) })
	return f
}

type listed []backing.VM

func (l listed) List(context.Context) ([]backing.VM, error) { return l, nil }

func listOf(f *fleet.Fleet) listed {
	var vms listed
	for _, address := range f.Targets["llm"] {
		vms = append(vms, backing.VM{Address: address, Role: backing.RoleTarget, Pool: "llm", State: backing.VMLive})
	}
	return vms
}

// want has the pool's wanted version accepted.
func want(t *testing.T, store *memory.Store, version string, expect config.Revision) config.Revision {
	body, err := json.Marshal(config.Pool{Name: "llm", Kind: config.TargetEngine, Model: "m", Version: version})
	assert.NilError(t, err)
	out := change.New(store, config.NewState).Submit(t.Context(), change.Request{
		ID: "wants-" + version, Kind: config.KindPool, Name: "llm", Body: body, By: "day", ExpectedRevision: expect,
	})
	assert.Equal(t, out.Result, change.Accepted)
	return out.Revision
}

// inForce reads the configuration each time.
func inForce(t *testing.T, store *memory.Store) func() *config.State {
	return func() *config.State {
		state, _, err := changes.CatchUp(context.Background(), store, config.NewState())
		assert.Check(t, err == nil)
		return state
	}
}

// start runs a steward until the returned function is called.
func start(t *testing.T, me string, store *memory.Store, f *fleet.Fleet) (*Steward, func()) {
	s := New(Options{
		OwnIncarnation: peer.Incarnation(me), Table: store, VMs: listOf(f), Config: inForce(t, store), Log: zap.NewNop(),
		LeaseTerm: term, Period: 50 * time.Millisecond, MaxConcurrentLoads: 2,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, s.Run(ctx) == nil)
	}()
	stop := sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return s, stop
}

// serves waits until each engine reports the version.
func serves(t *testing.T, f *fleet.Fleet, version string) {
	client := order.NewClient()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, address := range f.Targets["llm"] {
			report, err := client.Report(t.Context(), address)
			if err != nil || report.Data[0].Version != version {
				return poll.Continue("%s: %v %v", address, report, err)
			}
		}
		return poll.Success()
	}, patient)
}

// Two stewards look after one pool. One is stopped as planned and the other
// takes over at once; the wanted version is served each time.
func TestEnginesServeWhatIsWanted(t *testing.T) {
	store := memory.New()
	f := engines(t, true)
	revision := want(t, store, "2", 0)
	a, stopA := start(t, "a", store, f)
	b, _ := start(t, "b", store, f)
	serves(t, f, "2")
	_, heldByA := a.leases.Check("llm")
	_, heldByB := b.leases.Check("llm")
	assert.Assert(t, !heldByA || !heldByB)
	stopA()
	want(t, store, "3", revision)
	serves(t, f, "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, holds := b.leases.Check("llm"); !holds {
			return poll.Continue("b has no lease yet")
		}
		return poll.Success()
	}, patient)
}

// An order that an earlier holder sent arrives late and loads an old version.
// Engines that check fencing tokens refuse it. At engines that ignore them it
// takes effect, and the holder of the lease must notice and put it right, or
// callers would be served by the wrong version for good.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		store := memory.New()
		f := engines(t, checks)
		want(t, store, "2", 0)
		start(t, "a", store, f)
		serves(t, f, "2")
		late := order.Order{SetModel: &targetapi.SetModelRequest{Model: "m", Version: "1"}}
		result, err := order.NewClient().Send(t.Context(), f.Targets["llm"][0], late, 0, "late")
		assert.NilError(t, err)
		if checks {
			assert.Equal(t, result, order.Fenced)
		} else {
			assert.Equal(t, result, order.Done)
		}
		serves(t, f, "2")
	}
}

// A target whose planned stop was announced gets no orders: a model loaded
// into a VM that is about to go is time of the weight store lost.
func TestStoppingEngineGetsNoOrder(t *testing.T) {
	f := engines(t, true)
	state := config.NewState()
	state.Stops["s"] = config.Stop{ID: "s", Subject: config.StopTarget, Address: f.Targets["llm"][0]}
	s := New(Options{OwnIncarnation: "a", Table: memory.New(), Config: func() *config.State { return state }, Log: zap.NewNop(), LeaseTerm: term})
	s.vms = listOf(f)
	assert.DeepEqual(t, s.engines("llm"), f.Targets["llm"][1:])
}
