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

// Parts says what of the file a process hosts.
type Parts struct {
	Platform bool
	Targets  bool
	// Pools limits the targets to these pools; empty means all.
	Pools []string
	// Addresses limits the targets to these; empty means all.
	Addresses []string
}

// Fleet is a running deployment. Use Open.
type Fleet struct {
	// Where the parts listen; empty where a part isn't hosted.
	Table, Objects, VMList, Control string
	// Targets are the listening targets by pool.
	Targets map[string][]string

	log    *zap.Logger
	faults *fault.Set
	ledger *count.ExecutionLog
	table  *table.Table
	vms    *vmlist.List

	weights *engine.WeightStore
	cancel  context.CancelFunc
	engines sync.WaitGroup
	stops   []func() error
}

// Open starts the parts of the file. On an error nothing is left running.
func Open(f File, parts Parts, log *zap.Logger) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &Fleet{
		Targets: map[string][]string{},
		log:     log,
		faults:  fault.NewSet(f.Seed),
		ledger:  &count.ExecutionLog{},
		weights: engine.NewWeightStore(f.weightLoads()),
		cancel:  cancel,
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

// listenWithFaults closes the listener while the scope's fault says down.
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
	f.vms = vmlist.New(f.faults, time.Duration(file.VMListLagMS)*time.Millisecond, f.rows(file))
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

// rows is the first truth of the VM list. Targets that this process hosts
// stand with the address that they really have.
func (f *Fleet) rows(file File) []vmlist.Row {
	rows := []vmlist.Row{}
	for _, e := range file.Entries {
		rows = append(rows, vmlist.Row{Targets: []string{e.Address}, Labels: vmlist.Labels{
			Role: "entry", Zone: e.Zone, Region: regionOr(e.Region), State: vmlist.StateLive, PeerAddress: e.PeerAddress,
		}})
	}
	for _, p := range file.Pools {
		for place := range p.Count {
			address := p.address(place)
			if hosted := f.Targets[p.Pool]; len(hosted) == p.Count {
				address = hosted[place]
			}
			rows = append(rows, vmlist.Row{Targets: []string{address}, Labels: vmlist.Labels{
				Role: "target", Pool: p.Pool, Zone: p.zone(place), Region: regionOr(p.Region), State: vmlist.StateLive,
			}})
		}
	}
	return rows
}

func (f *Fleet) openPools(ctx context.Context, file File, parts Parts) error {
	for number, p := range file.Pools {
		if len(parts.Pools) > 0 && !slices.Contains(parts.Pools, p.Pool) {
			continue
		}
		shared := service.NewSharedState(p.ChecksFencing)
		for place := range p.Count {
			if len(parts.Addresses) > 0 && !slices.Contains(parts.Addresses, p.address(place)) {
				continue
			}
			if err := f.openTarget(ctx, p, place, file.seedFor(number, place), shared); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) openTarget(ctx context.Context, p Pool, place int, seed uint64, shared *service.SharedState) error {
	var address string // set before any call can come, below
	ready := make(chan struct{})
	straggle := func() float64 {
		<-ready
		return target.StraggleFactor(f.faults, p.Pool, address)
	}
	work := f.work(ctx, p, seed, straggle, shared)
	t, err := target.Open(target.Config{Address: p.address(place), Pool: p.Pool, Faults: f.faults, Executions: f.ledger}, work)
	if err != nil {
		close(ready)
		return err
	}
	address = t.Address()
	close(ready)
	f.stops = append(f.stops, t.Stop)
	f.Targets[p.Pool] = append(f.Targets[p.Pool], address)
	f.log.Debug("target listens", zap.String("target", p.name(place)), zap.String("address", address))
	return nil
}

// work builds what the pool's targets are. An engine's loop runs until ctx
// ends.
func (f *Fleet) work(ctx context.Context, p Pool, seed uint64, straggle func() float64, shared *service.SharedState) target.Handler {
	if p.Kind == config.TargetEngine {
		e := engine.New(engine.Config{
			Costs:          p.Engine,
			Serving:        engine.Serving{Model: p.Model, Version: p.Version, Role: p.Role},
			Seed:           seed,
			StraggleFactor: straggle,
			Weights:        f.weights,
		})
		f.engines.Go(func() { e.Run(ctx) })
		return engine.Handler{Engine: e, Fence: target.NewFence(p.ChecksFencing)}
	}
	server := stagepool.NewServer(p.Service, seed, straggle)
	switch p.Kind {
	case config.TargetEncoder:
		return stagepool.Encoder{Server: server}
	case config.TargetRetriever:
		return stagepool.Retriever{Server: server}
	case config.TargetReranker:
		return stagepool.Reranker{Server: server}
	default: // Check let only services remain
		return service.Handler{Name: p.Pool, Server: server, Shared: shared}
	}
}

// Stop lets running calls finish and ends everything.
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
