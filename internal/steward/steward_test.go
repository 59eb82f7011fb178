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

var withinTestTimeout = poll.WithTimeout(30 * time.Second)

// startEngines starts a pool of three engines that serve version 1.
func startEngines(t *testing.T, checksFencing bool) *fleet.Fleet {
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

type staticVMList []backing.VM

func (l staticVMList) List(context.Context) ([]backing.VM, error) { return l, nil }

func vmListOf(f *fleet.Fleet) staticVMList {
	var vms staticVMList
	for _, address := range f.Targets["llm"] {
		vms = append(vms, backing.VM{Address: address, Role: backing.RoleTarget, Pool: "llm", State: backing.VMLive})
	}
	return vms
}

// setWantedVersion submits a change of the pool's version.
func setWantedVersion(t *testing.T, store *memory.Store, version string, expect config.Revision) config.Revision {
	body, err := json.Marshal(config.Pool{Name: "llm", Kind: config.TargetEngine, Model: "m", Version: version})
	assert.NilError(t, err)
	out := change.New(store, config.NewState).Submit(t.Context(), change.Request{
		ID: "wants-" + version, Kind: config.KindPool, Name: "llm", Body: body, By: "day", ExpectedRevision: expect,
	})
	assert.Equal(t, out.Result, change.Accepted)
	return out.Revision
}

// currentConfig returns a function that reads the configuration on each call.
func currentConfig(t *testing.T, store *memory.Store) func() *config.State {
	return func() *config.State {
		state, _, err := changes.CatchUp(context.Background(), store, config.NewState())
		assert.Check(t, err == nil)
		return state
	}
}

// startSteward runs a steward until the returned function is called.
func startSteward(t *testing.T, me string, store *memory.Store, f *fleet.Fleet) (*Steward, func()) {
	s := New(Options{
		OwnIncarnation: peer.Incarnation(me), Table: store, VMs: vmListOf(f), Config: currentConfig(t, store), Log: zap.NewNop(),
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

// waitForVersion waits until each engine reports the version.
func waitForVersion(t *testing.T, f *fleet.Fleet, version string) {
	client := order.NewClient()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, address := range f.Targets["llm"] {
			report, err := client.Report(t.Context(), address)
			if err != nil || report.Data[0].Version != version {
				return poll.Continue("%s: %v %v", address, report, err)
			}
		}
		return poll.Success()
	}, withinTestTimeout)
}

// Two stewards share one pool. One is stopped as planned and the other takes
// over at once; the configured version is served each time.
func TestEnginesServeTheConfiguredVersion(t *testing.T) {
	store := memory.New()
	f := startEngines(t, true)
	revision := setWantedVersion(t, store, "2", 0)
	a, stopA := startSteward(t, "a", store, f)
	b, _ := startSteward(t, "b", store, f)
	waitForVersion(t, f, "2")
	_, heldByA := a.leases.Check("llm")
	_, heldByB := b.leases.Check("llm")
	assert.Assert(t, !heldByA || !heldByB)
	stopA()
	setWantedVersion(t, store, "3", revision)
	waitForVersion(t, f, "3")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, holds := b.leases.Check("llm"); !holds {
			return poll.Continue("b does not hold the lease yet")
		}
		return poll.Success()
	}, withinTestTimeout)
}

// An order of an earlier lease holder arrives late and loads an old version.
// Engines that check fencing tokens refuse it. Other engines execute it, and
// the current holder must detect and correct that, or callers would be served
// by the wrong version permanently.
func TestLateOrderOfPreviousLeaseHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		store := memory.New()
		f := startEngines(t, checks)
		setWantedVersion(t, store, "2", 0)
		startSteward(t, "a", store, f)
		waitForVersion(t, f, "2")
		late := order.Order{SetModel: &targetapi.SetModelRequest{Model: "m", Version: "1"}}
		result, err := order.NewClient().Send(t.Context(), f.Targets["llm"][0], late, 0, "late")
		assert.NilError(t, err)
		if checks {
			assert.Equal(t, result, order.Fenced)
		} else {
			assert.Equal(t, result, order.Done)
		}
		waitForVersion(t, f, "2")
	}
}

// A target with an announced planned stop gets no orders: loading a model into
// a VM that is about to stop wastes bandwidth of the weight store.
func TestStoppingEngineReceivesNoOrder(t *testing.T) {
	f := startEngines(t, true)
	state := config.NewState()
	state.Stops["s"] = config.Stop{ID: "s", Subject: config.StopTarget, Address: f.Targets["llm"][0]}
	s := New(Options{OwnIncarnation: "a", Table: memory.New(), Config: func() *config.State { return state }, Log: zap.NewNop(), LeaseTerm: term})
	s.vms = vmListOf(f)
	assert.DeepEqual(t, s.engines("llm"), f.Targets["llm"][1:])
}
