// Package serve is the serving core of one process: it wires what follows the
// configuration, knows the targets, gathers stages, and runs requests. A front
// reads requests from callers and writes the replies; a codec speaks to the
// targets.
package serve

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/follow"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/run"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
	"github.com/vanillagate/vanillagate/internal/serve/warmup"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Options are what a Server is made from.
type Options struct {
	Log     *zap.Logger
	Metrics metrics.Registry
	// Zone of this VM.
	Zone string
	// Peers is how this process takes part in the network of processes.
	Peers  peer.Options
	Source follow.Source
	Codec  run.Codec
	// Stager makes the calls of stage targets over the given client.
	Stager func(*upstream.Client) gather.StageClient
	// Budget bounds the repeats of all processes together.
	Budget quota.Rule
	// ChangeBound is within what time changes in the store are in force; 0 is
	// follow.DefaultPropagationBound.
	ChangeBound follow.PropagationBound
	// Again means that another process may have run in this one's place.
	Again bool
	// LeaveOut switches mechanisms off, for measurements.
	LeaveOut leaveout.Set
}

func (o Options) budget(now time.Time) *quota.Budget {
	if o.Again {
		return quota.NewAfterRestart(o.Budget, now)
	}
	return quota.New(o.Budget, now)
}

// Server is the serving core of one process.
type Server struct {
	log      *zap.Logger
	metrics  metrics.Registry
	zone     string
	plans    *plan.Holder
	table    *pool.Table
	client   *upstream.Client
	network  *peer.Node
	follower *follow.Follower
	stages   *gather.Requester
	budget   *quota.Budget
	warmup   *warmup.Limiter  // nil where it is left out
	engines  *engines.Tracker // nil where it is left out
	executor *run.Executor

	started  time.Time
	inFlight atomic.Int64
	// leavingSince is when the shutdown began; nil before.
	leavingSince atomic.Pointer[time.Time]
	tasks        sync.WaitGroup
	life         context.Context
	stop         context.CancelFunc
}

// New wires a server. Nothing runs before Start.
func New(o Options) (*Server, error) {
	network, err := peer.New(o.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "serve")
	}
	s := &Server{
		log: logging.WithComponent(o.Log, "serve"), metrics: o.Metrics, zone: o.Zone, network: network,
		plans: &plan.Holder{}, client: &upstream.Client{}, budget: o.budget(time.Now()), started: time.Now(),
	}
	s.life, s.stop = context.WithCancel(context.Background())
	s.table = pool.New(logging.WithComponent(o.Log, "targets"))
	s.table.OnLeave(func(t *pool.Target) { s.client.Drop(t.Address) })
	s.follower = follow.New(logging.WithComponent(o.Log, "follow"), o.Source, s.plans, s.table)
	s.follower.UsePeers(network)
	if o.Peers.Seeds != nil {
		s.follower.SetSeeds(func() []string { return s.seeds(o.Peers.Seeds) })
	}
	if o.ChangeBound > 0 {
		s.follower.SetPropagationBound(o.ChangeBound)
	}
	if o.LeaveOut.Has(leaveout.Watchers) {
		s.follower.AlwaysWatchStore()
	}
	if o.LeaveOut.Has(leaveout.LeavingAlone) {
		s.table.DisableConnectBackoff()
	}
	s.stages = gather.New(gather.Options{
		Log: logging.WithComponent(o.Log, "stages"), Network: network, Table: s.table, LeaveOut: o.LeaveOut,
		Gatherer: gather.NewGatherer(s.life, logging.WithComponent(o.Log, "gather"), s.table, s.plans, o.Stager(s.client)),
	})
	s.executor = &run.Executor{
		Log: logging.WithComponent(o.Log, "request"), Plans: s.plans, Table: s.table, Client: s.client, Codec: o.Codec,
		Stages: s.stages, Budget: s.budget, Zone: o.Zone, Metrics: &run.Metrics{Registry: o.Metrics},
		LeaveOut: o.LeaveOut, TimeToReady: s.starting,
	}
	if !o.LeaveOut.Has(leaveout.EngineAccounts) {
		s.engines = engines.New(logging.WithComponent(o.Log, "engines"), network)
		s.executor.Engines = s.engines
	}
	if !o.LeaveOut.Has(leaveout.Warmup) {
		s.warmup = warmup.New(network, s.budget.MemberCount, time.Now())
		s.executor.Warmup = s.warmup
	}
	if !o.LeaveOut.Has(leaveout.Containment) {
		s.executor.Suspicion = newSuspicion(s.life, logging.WithComponent(o.Log, "suspicion"), network)
	}
	return s, nil
}

// seeds gives the peer addresses of the processes that others meet first.
func (s *Server) seeds(read func(context.Context) ([]string, error)) []string {
	list, err := read(s.life)
	if err != nil {
		s.log.Warn("Seeds aren't known.", zap.Error(err))
	}
	return list
}

const (
	// aloneStart is about how long a process takes after its start to know the configuration
	// and the targets, memberStart by how much longer for each member: at a start of all the
	// list goes from one to the other.
	aloneStart  = 300 * time.Millisecond
	memberStart = 2500 * time.Microsecond
)

// starting is in about what time this process knows what it needs: as reckoned from the
// members known, or, when that is over, as long again as it has taken so far.
func (s *Server) starting(now time.Time) time.Duration {
	age := now.Sub(s.started)
	expected := aloneStart + time.Duration(len(s.network.View().Members))*memberStart
	if age < expected {
		return expected - age
	}
	return age
}

// Start joins the other processes and begins to follow the configuration.
func (s *Server) Start() error {
	if err := s.network.Start(s.life); err != nil {
		return eris.Wrap(err, "serve")
	}
	s.tasks.Go(func() { s.follower.Run(s.life) })
	s.tasks.Go(s.housekeep)
	return nil
}

// housekeepPeriod is how often unused connections are closed and members counted.
const housekeepPeriod = time.Second

func (s *Server) housekeep() {
	for wait.For(s.life, housekeepPeriod) {
		now := time.Now()
		s.client.Prune(now)
		s.budget.SetMemberCount(1+len(s.network.View().Members), now)
		if s.warmup != nil {
			s.warmup.Prune(now)
		}
		if s.engines != nil {
			s.engines.Sweep(now)
		}
	}
}

// Plans gives the configuration in force.
func (s *Server) Plans() *plan.Holder { return s.plans }

// UpdateRetryBudget puts another bound on the repeats of all processes together.
func (s *Server) UpdateRetryBudget(rule quota.Rule) { s.budget.SetRule(rule, time.Now()) }

// UpdatePropagationBound puts another bound on the time until changes are in force.
func (s *Server) UpdatePropagationBound(b follow.PropagationBound) { s.follower.SetPropagationBound(b) }

// Run answers one request; see run.Executor.
func (s *Server) Run(ctx context.Context, r *run.Request) *run.Reply { return s.executor.Run(ctx, r) }

// TrackRequest counts a request as in flight until the returned function is called.
func (s *Server) TrackRequest() func() {
	s.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { s.inFlight.Add(-1) }) }
}

// ShuttingDown tells whether this process is shutting down, and for how long.
func (s *Server) ShuttingDown() (time.Duration, bool) {
	since := s.leavingSince.Load()
	if since == nil {
		return 0, false
	}
	return time.Since(*since), true
}

// Ready tells whether callers should come here.
func (s *Server) Ready() bool {
	return s.leavingSince.Load() == nil && s.plans.Current() != nil && s.table.Loaded()
}

// EntryAddresses lists the addresses that a caller in a zone should use, its zone's
// first by lot. Those of other zones are left out while the zone has its part
// of the VMs: what crosses zones costs.
func (s *Server) EntryAddresses(zone string) []string {
	var near, far []string
	add := func(m peer.Member) {
		if m.Zone == zone {
			near = append(near, m.CallerAddress)
			return
		}
		far = append(far, m.CallerAddress)
	}
	zones := map[string]bool{}
	view := s.network.View()
	for _, m := range view.Members {
		if m.State == peer.Alive && m.CallerAddress != "" {
			add(m)
			zones[m.Zone] = true
		}
	}
	if s.leavingSince.Load() == nil {
		add(view.Self)
		zones[view.Self.Zone] = true
	}
	shuffle(near)
	shuffle(far)
	if enough(len(near), len(near)+len(far), len(zones)) {
		return near
	}
	return append(near, far...)
}

// enough tells whether a zone has at least half of an even part of the VMs. One
// that has less would be overloaded by its own callers.
func enough(near, all, zones int) bool { return zones > 0 && 2*near*zones >= all && near > 0 }

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// BeginShutdown takes this process out of what callers and peers are told. It
// goes on serving those that come all the same, for as long as the shutdown allows.
func (s *Server) BeginShutdown(d run.ShutdownSchedule) {
	now := time.Now()
	s.leavingSince.Store(&now)
	s.executor.StartShutdown(d)
	s.stages.Leave()
	s.network.AnnounceLeave()
}

// AcceptFor is how long this process may go on accepting requests if it ends after a time.
func (s *Server) AcceptFor(left time.Duration) time.Duration { return s.executor.AcceptFor(left) }

// InFlight is how many requests are being answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop ends everything.
func (s *Server) Stop() {
	s.stop()
	s.network.Close()
	s.tasks.Wait()
}
