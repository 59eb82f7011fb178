package fleet

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/engine"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/gate"
	"github.com/vanillagate/vanillagate/internal/standin/objects"
	"github.com/vanillagate/vanillagate/internal/standin/service"
	"github.com/vanillagate/vanillagate/internal/standin/stagepool"
	"github.com/vanillagate/vanillagate/internal/standin/table"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/standin/vmlist"
)

// Parts selects the parts of the file that a process hosts.
type Parts struct {
	Platform bool
	Targets  bool
	// Pools limits the targets to these pools; empty means all.
	Pools []string
	// Addresses limits the targets to these; empty means all.
	Addresses []string
}

// Fleet is a running deployment. Create it with Open.
type Fleet struct {
	// Addresses of the listeners; empty if the part isn't hosted.
	Table, Objects, VMList, Control string
	// Targets holds the addresses of the hosted targets by pool.
	Targets map[string][]string

	log          *zap.Logger
	faults       *fault.Set
	executionLog *count.ExecutionLog
	table        *table.Table
	vms          *vmlist.List

	weights *engine.WeightStore
	cancel  context.CancelFunc
	engines sync.WaitGroup
	stops   []func() error
}

// Open starts the selected parts of the file. If it returns an error, everything
// that it started has been stopped.
func Open(f File, parts Parts, log *zap.Logger) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &Fleet{
		Targets:      map[string][]string{},
		log:          log,
		faults:       fault.NewSet(f.Seed),
		executionLog: &count.ExecutionLog{},
		weights:      engine.NewWeightStore(f.weightLoads()),
		cancel:       cancel,
	}
	if err := fleet.open(ctx, f, parts); err != nil {
		return nil, errors.Join(err, fleet.Stop())
	}
	return fleet, nil
}

func (f *Fleet) open(ctx context.Context, file File, parts Parts) error {
	if parts.Targets {
		if err := f.openPools(ctx, file, parts); err != nil {
			return err
		}
	}
	if parts.Platform {
		if err := f.openPlatform(file); err != nil {
			return err
		}
	}
	control, err := f.listen(file.Control, f.controlHandler())
	if err != nil {
		return err
	}
	f.Control = control.Address()
	return nil
}

func (f *Fleet) listen(address string, handler http.Handler) (*gate.RestartableServer, error) {
	g, err := gate.Open(address, handler)
	if err != nil {
		return nil, err
	}
	f.stops = append(f.stops, g.Stop)
	return g, nil
}

// listenWithFaults starts a listener that is closed while the scope's fault has
// Down set.
func (f *Fleet) listenWithFaults(address, scope string, handler http.Handler) (string, error) {
	g, err := f.listen(address, handler)
	if err != nil {
		return "", err
	}
	f.faults.Watch(func() { g.SetDown(f.faults.Combined(scope).Down) })
	return g.Address(), nil
}

func (f *Fleet) openPlatform(file File) error {
	latency := time.Duration(file.StoreLatencyMS) * time.Millisecond
	f.table = table.New(table.Rates{
		WritesPerSecond: file.TableWritesPerSecond,
		ReadsPerSecond:  file.TableReadsPerSecond,
		ByItem:          file.TableRateByItem,
	})
	f.vms = vmlist.New(f.faults, time.Duration(file.VMListLagMS)*time.Millisecond, f.initialVMRows(file))
	var err error
	handler := table.Handler{Table: f.table, Faults: f.faults, Latency: latency}
	if f.Table, err = f.listenWithFaults(file.Table, fault.ScopeTable, handler); err != nil {
		return err
	}
	if f.Objects, err = f.listenWithFaults(file.Objects, fault.ScopeObjects, objects.New(f.faults, latency)); err != nil {
		return err
	}
	f.VMList, err = f.listenWithFaults(file.VMList, fault.ScopeVMList, f.vms)
	return err
}

// initialVMRows returns the initial rows of the VM list. If this process hosts all
// targets of a pool, their actual addresses are used, since port 0 in the file
// stands for any free port.
func (f *Fleet) initialVMRows(file File) []vmlist.Row {
	rows := []vmlist.Row{}
	for _, e := range file.Entries {
		rows = append(rows, vmlist.Row{Targets: []string{e.Address}, Labels: vmlist.Labels{
			Role: "entry", Zone: e.Zone, Region: regionOrDefault(e.Region), State: vmlist.StateLive, PeerAddress: e.PeerAddress,
		}})
	}
	for _, p := range file.Pools {
		for index := range p.Count {
			address := p.address(index)
			if hosted := f.Targets[p.Pool]; len(hosted) == p.Count {
				address = hosted[index]
			}
			rows = append(rows, vmlist.Row{Targets: []string{address}, Labels: vmlist.Labels{
				Role: "target", Pool: p.Pool, Zone: p.zone(index), Region: regionOrDefault(p.Region), State: vmlist.StateLive,
			}})
		}
	}
	return rows
}

func (f *Fleet) openPools(ctx context.Context, file File, parts Parts) error {
	for poolIndex, p := range file.Pools {
		if len(parts.Pools) > 0 && !slices.Contains(parts.Pools, p.Pool) {
			continue
		}
		shared := service.NewSharedState(p.ChecksFencing)
		for index := range p.Count {
			if len(parts.Addresses) > 0 && !slices.Contains(parts.Addresses, p.address(index)) {
				continue
			}
			if err := f.openTarget(ctx, p, index, file.seedFor(poolIndex, index), shared); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) openTarget(ctx context.Context, p Pool, index int, seed uint64, shared *service.SharedState) error {
	var address string // set before ready is closed
	ready := make(chan struct{})
	straggleFactor := func() float64 {
		<-ready
		return target.StraggleFactor(f.faults, p.Pool, address)
	}
	handler := f.newHandler(ctx, p, seed, straggleFactor, shared)
	t, err := target.Open(target.Config{Address: p.address(index), Pool: p.Pool, Faults: f.faults, Executions: f.executionLog}, handler)
	if err != nil {
		close(ready)
		return err
	}
	address = t.Address()
	close(ready)
	f.stops = append(f.stops, t.Stop)
	f.Targets[p.Pool] = append(f.Targets[p.Pool], address)
	f.log.Debug("target listens", zap.String("target", p.name(index)), zap.String("address", address))
	return nil
}

// newHandler returns the request handler of a target of the pool. For an engine, it
// also starts the engine's loop, which runs until ctx ends.
func (f *Fleet) newHandler(ctx context.Context, p Pool, seed uint64, straggleFactor func() float64, shared *service.SharedState) target.Handler {
	if p.Kind == config.TargetEngine {
		e := engine.New(engine.Config{
			Costs:          p.Engine,
			Serving:        engine.Serving{Model: p.Model, Version: p.Version, Role: p.Role},
			Seed:           seed,
			StraggleFactor: straggleFactor,
			Weights:        f.weights,
		})
		f.engines.Go(func() { e.Run(ctx) })
		return engine.Handler{Engine: e, Fence: target.NewFence(p.ChecksFencing)}
	}
	server := stagepool.NewServer(p.Service, seed, straggleFactor)
	switch p.Kind {
	case config.TargetEncoder:
		return stagepool.Encoder{Server: server}
	case config.TargetRetriever:
		return stagepool.Retriever{Server: server}
	case config.TargetReranker:
		return stagepool.Reranker{Server: server}
	default: // service: Check accepts no other kind
		return service.Handler{Name: p.Pool, Server: server, Shared: shared}
	}
}

// Stop waits for running calls, then stops all listeners and engines.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.stops))
	var all sync.WaitGroup
	for i, stop := range f.stops {
		all.Go(func() { errs[i] = stop() })
	}
	all.Wait()
	f.cancel()
	f.engines.Wait()
	return errors.Join(errs...)
}
