// Package serve is the serving core of one process. It connects the components that follow the
// configuration, track the targets, run pipeline stages and execute requests. A front end
// reads requests from callers and writes the replies; a codec translates between requests and
// the targets' protocol.
package serve

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/follow"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/prefixes"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
	"github.com/vanillagate/vanillagate/internal/serve/reach"
	"github.com/vanillagate/vanillagate/internal/serve/run"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Options configures a Server.
type Options struct {
	Log     *zap.Logger
	Metrics metrics.Registry
	// Zone is the availability zone of this VM.
	Zone string
	// Peers configures the network between the entry processes.
	Peers peer.Options
	// Source is the store of the configuration and the targets.
	Source follow.Source
	// Codec translates between requests and the wire format of the targets.
	Codec run.Codec
	// NewStageClient creates the client that calls stage targets, which sends over the given
	// HTTP client and records in the table what targets state.
	NewStageClient func(*upstream.Client, *pool.Table) gather.StageClient
	// DialTarget opens connections to targets and to the callers' addresses of peers; nil for
	// conns.DialTCP.
	DialTarget conns.DialFunc
	// RetryBudget limits the retries of all processes together.
	RetryBudget quota.Rule
	// PropagationBound is the maximum time until a change in the store takes effect; 0 means
	// follow.DefaultPropagationBound.
	PropagationBound follow.PropagationBound
	// MemoryBytes is how much memory this process may use; 0 if unknown.
	MemoryBytes int
	// AfterRestart means that the system has run before. Another process may then have used the
	// address of this one and spent its part of the retry budget.
	AfterRestart bool
	// Convictions keeps the convictions of requests that crash their targets; nil for none.
	Convictions crashes.Register
	// Origins is the table in which the origins of streams outlive all processes; nil for none.
	Origins origins.Rows
	// LeaveOut disables mechanisms, to measure their effect.
	LeaveOut leaveout.Set
}

func (o Options) budget(now time.Time) *quota.Budget {
	if o.AfterRestart {
		return quota.NewAfterRestart(o.RetryBudget, now)
	}
	b := quota.New(o.RetryBudget, now)
	b.AwaitPeers()
	return b
}

// Server is the serving core of one process.
type Server struct {
	log         *zap.Logger
	metrics     metrics.Registry
	zone        string
	plans       *plan.Holder
	table       *pool.Table
	client      *upstream.Client
	network     *peer.Node
	follower    *follow.Follower
	stages      *gather.Requester
	reach       *reach.Tracker
	budget      *quota.Budget
	counts      *countExchange
	rateLimiter *ratelimit.Limiter  // nil if disabled by LeaveOut
	engines     *engines.Tracker    // nil if disabled by LeaveOut
	prefixes    *prefixes.Directory // nil if disabled by LeaveOut
	origins     *origins.Registry
	ledger      *origins.Ledger   // nil without Options.Origins
	crashes     *crashes.Detector // nil if disabled by LeaveOut
	executor    *run.Executor

	// readSeeds reads the peer addresses of the seed processes; nil if there are none.
	readSeeds func(context.Context) ([]string, error)
	started   time.Time
	inFlight  atomic.Int64
	// shutdownSince is when the shutdown began; nil before it.
	shutdownSince atomic.Pointer[time.Time]
	tasks         sync.WaitGroup
	baseCtx       context.Context
	cancel        context.CancelFunc
}

// New creates a server and its components. No background work runs before Start.
func New(o Options) (*Server, error) {
	network, err := peer.New(o.Peers)
	if err != nil {
		return nil, eris.Wrap(err, "serve")
	}
	s := &Server{
		log: logging.WithComponent(o.Log, "serve"), metrics: o.Metrics, zone: o.Zone, network: network,
		plans: &plan.Holder{MemoryBytes: o.MemoryBytes}, client: &upstream.Client{Dial: o.DialTarget}, budget: o.budget(time.Now()), started: time.Now(),
		readSeeds: o.Peers.Seeds,
	}
	s.baseCtx, s.cancel = context.WithCancel(context.Background())
	s.table = pool.New(logging.WithComponent(o.Log, "targets"))
	if o.AfterRestart {
		s.table.StartedLate()
	}
	s.table.OnLeave(func(t *pool.Target) { s.client.CloseIdle(t.Address) })
	s.follower = follow.New(logging.WithComponent(o.Log, "follow"), o.Source, s.plans, s.table)
	s.follower.UsePeers(network)
	if o.Peers.Seeds != nil {
		s.follower.SetSeeds(func() []string { return s.seeds(o.Peers.Seeds) })
	}
	if o.PropagationBound > 0 {
		s.follower.SetPropagationBound(o.PropagationBound)
	}
	if o.LeaveOut.Has(leaveout.Watchers) {
		s.follower.AlwaysWatchStore()
	}
	if o.LeaveOut.Has(leaveout.LeavingAlone) {
		s.table.DisableConnectBackoff()
	}
	s.reach = reach.New(reach.Options{
		Log: logging.WithComponent(o.Log, "reach"), Network: network, Table: s.table, Connect: s.connect, Services: s.services,
		OnChange: func() { s.stages.Gatherer().Redispatch() },
	})
	s.client.OnSlowConnect = s.reach.ConnectSlow
	s.client.OnExceeded, s.client.Unbounded = s.answerExceeded, o.LeaveOut.Has(leaveout.ResponseBounds)
	s.stages = gather.New(gather.Options{
		Log: logging.WithComponent(o.Log, "stages"), Network: network, Table: s.table, Reach: s.reach, LeaveOut: o.LeaveOut,
		Gatherer: gather.NewGatherer(s.baseCtx, logging.WithComponent(o.Log, "gather"), s.table, s.plans, o.NewStageClient(s.client, s.table)),
	})
	s.executor = &run.Executor{
		Log: logging.WithComponent(o.Log, "request"), Plans: s.plans, Table: s.table, Client: s.client, Codec: o.Codec,
		Stages: s.stages, Budget: s.budget, Reach: forwarding{s.reach, network}, Zone: o.Zone, Metrics: &run.Metrics{Registry: o.Metrics},
		LeaveOut: o.LeaveOut, TimeToReady: s.timeToReady, ContactAge: s.follower.ContactAge, CatchUp: s.follower.CatchUp, AwaitCurrent: s.follower.AwaitCurrent,
	}
	s.origins = origins.New(s.baseCtx, logging.WithComponent(o.Log, "origins"), network)
	if o.Origins != nil {
		s.ledger = origins.NewLedger(s.baseCtx, origins.LedgerOptions{
			Log: logging.WithComponent(o.Log, "origins"), Metrics: o.Metrics, Network: network, Rows: o.Origins, Versions: streamVersions{s.table, s.plans},
		})
		s.origins.UseLedger(s.ledger)
	}
	s.executor.Origins = s.origins
	s.counts = newCountExchange(s.log, network, s.budget)
	newRateNotices(s.log, network, s.table)
	newLeavingNotices(s.log, network, s.table)
	if !o.LeaveOut.Has(leaveout.EngineAccounts) {
		s.engines = engines.New(logging.WithComponent(o.Log, "engines"), network)
		if o.LeaveOut.Has(leaveout.EnginePace) {
			s.engines.DisablePace()
		}
		if o.LeaveOut.Has(leaveout.EngineRejections) {
			s.engines.DisableRejections()
		}
		s.executor.Engines = s.engines
	}
	if !o.LeaveOut.Has(leaveout.PromptCopies) {
		s.prefixes = prefixes.New(s.baseCtx, logging.WithComponent(o.Log, "prefixes"), network)
		s.executor.Prefixes = s.prefixes
	}
	if !o.LeaveOut.Has(leaveout.Warmup) {
		s.rateLimiter = ratelimit.New(network, s.processCount, time.Now())
		s.executor.RateLimiter = s.rateLimiter
	}
	if !o.LeaveOut.Has(leaveout.Containment) {
		s.crashes = crashes.New(s.baseCtx, crashes.Options{
			Log: logging.WithComponent(o.Log, "suspicion"), Network: network, Dial: o.DialTarget, Register: o.Convictions, AfterRestart: o.AfterRestart,
		})
		s.executor.Suspicion = s.crashes
	}
	return s, nil
}

// answerExceeded records that a part of a target's answer exceeded its bound.
func (s *Server) answerExceeded(target, address string, err *upstream.BoundError) {
	metrics.GetOrRegisterCounter("vanillagate_answers_exceeding{kind="+strconv.Quote(string(err.Part))+"}", s.metrics).Inc(1)
	s.log.Warn("Answer exceeded a bound.", zap.String("target", target), zap.String("address", address),
		zap.String("kind", string(err.Part)), zap.Int("bytes", err.Bytes), zap.Bool("timed_out", err.TimedOut))
}

// seeds returns the peer addresses of the seed processes, which new processes contact first.
func (s *Server) seeds(read func(context.Context) ([]string, error)) []string {
	list, err := read(s.baseCtx)
	if err != nil {
		s.log.Warn("Failed to read the seed addresses.", zap.Error(err))
	}
	return list
}

const (
	// baseStartTime is about how long a process needs after its start to load the
	// configuration and the targets. startTimePerMember is added for each member: when all
	// processes start at once, the target list is passed on from one to the next.
	baseStartTime      = 300 * time.Millisecond
	startTimePerMember = 2500 * time.Microsecond
)

// timeToReady estimates how long it takes until this process has loaded the configuration and
// the targets. The estimate grows with the number of known members. Once the estimated time
// has passed, it is as long again as the process has run so far.
func (s *Server) timeToReady(now time.Time) time.Duration {
	age := now.Sub(s.started)
	expected := baseStartTime + time.Duration(len(s.network.View().Members))*startTimePerMember
	if age < expected {
		return expected - age
	}
	return age
}

// Start joins the peer network and starts following the configuration.
func (s *Server) Start() error {
	if err := s.network.Start(s.baseCtx); err != nil {
		return eris.Wrap(err, "serve")
	}
	s.updateProcessCount(time.Now())
	s.tasks.Go(func() { s.follower.Run(s.baseCtx) })
	s.tasks.Go(func() { s.reach.Run(s.baseCtx) })
	s.tasks.Go(func() { s.counts.run(s.baseCtx) })
	s.tasks.Go(s.runMaintenance)
	if s.crashes != nil {
		s.tasks.Go(func() { s.crashes.Run(s.baseCtx) })
	}
	if s.ledger != nil {
		s.tasks.Go(func() { s.ledger.Run(s.baseCtx) })
	}
	return nil
}

// maintenancePeriod is how often unused connections are closed and the member count of the
// retry budget is updated.
const maintenancePeriod = time.Second

func (s *Server) runMaintenance() {
	for wait.For(s.baseCtx, maintenancePeriod) {
		now := time.Now()
		s.client.Prune(now)
		s.updateProcessCount(now)
		if s.rateLimiter != nil {
			s.rateLimiter.Prune(now)
		}
		if s.engines != nil {
			s.engines.Sweep(now)
		}
		if s.prefixes != nil {
			s.prefixes.Sweep(now)
		}
		s.origins.Sweep(now)
		if s.ledger != nil {
			s.ledger.Sweep(now)
		}
	}
}

// updateProcessCount updates how many processes share common bounds.
func (s *Server) updateProcessCount(now time.Time) {
	if s.isOnlyVM() {
		s.budget.SetOnlyProcess(now)
	}
	members := 1 + len(s.network.View().Members)
	s.budget.SetMemberCount(members, now)
	s.table.SetMemberCount(max(members, s.processCount()))
}

// processCount returns the number of processes that share common bounds; 0 while it is unknown.
func (s *Server) processCount() int {
	n, _ := s.budget.ProcessCount(time.Now())
	return n
}

// isOnlyVM reports whether the seeds name no other VM.
func (s *Server) isOnlyVM() bool {
	if s.readSeeds == nil {
		return true
	}
	seeds, err := s.readSeeds(s.baseCtx)
	own := s.network.Self().PeerAddress
	return err == nil && !slices.ContainsFunc(seeds, func(address string) bool { return address != own })
}

// Plans returns the holder of the configuration in force.
func (s *Server) Plans() *plan.Holder { return s.plans }

// UpdateRetryBudget replaces the limit on the retries of all processes together.
func (s *Server) UpdateRetryBudget(rule quota.Rule) { s.budget.SetRule(rule, time.Now()) }

// UpdatePropagationBound replaces the maximum time until changes in the store take effect.
func (s *Server) UpdatePropagationBound(b follow.PropagationBound) { s.follower.SetPropagationBound(b) }

// Run executes one request; see run.Executor.
func (s *Server) Run(ctx context.Context, r *run.Request) *run.Reply { return s.executor.Run(ctx, r) }

// TrackRequest counts a request as in flight until the returned function is called.
func (s *Server) TrackRequest() func() {
	s.inFlight.Add(1)
	var once sync.Once
	return func() { once.Do(func() { s.inFlight.Add(-1) }) }
}

// ShuttingDown reports whether this process is shutting down, and for how long it has been.
func (s *Server) ShuttingDown() (time.Duration, bool) {
	since := s.shutdownSince.Load()
	if since == nil {
		return 0, false
	}
	return time.Since(*since), true
}

// Ready reports whether this process can serve callers: it isn't shutting down and has loaded
// the configuration and the targets.
func (s *Server) Ready() bool {
	return s.shutdownSince.Load() == nil && s.plans.Current() != nil && s.table.Loaded()
}

// EntryAddresses lists the addresses of the entry VMs that a caller in the given zone should
// use: first those of its zone, in random order. VMs of other zones are left out as long as
// the zone has at least half of an even share of the VMs, because traffic between zones is
// charged.
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
	if s.shutdownSince.Load() == nil {
		add(view.Self)
		zones[view.Self.Zone] = true
	}
	shuffle(near)
	shuffle(far)
	if hasFairShare(len(near), len(near)+len(far), len(zones)) {
		return near
	}
	return append(near, far...)
}

// hasFairShare reports whether a zone has at least half of an even share of the VMs. The
// callers of a zone with fewer VMs would overload them.
func hasFairShare(near, all, zones int) bool { return zones > 0 && 2*near*zones >= all && near > 0 }

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// BeginShutdown withdraws this process from the addresses given to callers and announces its
// leave to the peers. Requests that still arrive are served for as long as the shutdown
// schedule allows.
func (s *Server) BeginShutdown(schedule run.ShutdownSchedule) {
	now := time.Now()
	s.shutdownSince.Store(&now)
	s.executor.StartShutdown(schedule)
	s.stages.Leave()
	s.network.AnnounceLeave()
}

// AcceptFor returns how long this process may go on accepting requests and still finish all of
// them if it exits after the given time.
func (s *Server) AcceptFor(timeLeft time.Duration) time.Duration {
	return s.executor.AcceptFor(timeLeft)
}

// Accepting reports whether requests that arrive now are accepted.
func (s *Server) Accepting() bool { return s.executor.Accepting() }

// stagesPoll is how often FinishStages checks whether items are left.
const stagesPoll = 10 * time.Millisecond

// FinishStages waits until this process has finished the stage calls that it makes for itself and its
// peers, or the context ends. Peers submit no more items once they know that it is leaving.
func (s *Server) FinishStages(ctx context.Context) {
	for !s.stages.Gatherer().Idle() && wait.For(ctx, stagesPoll) {
		continue
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop stops all background work and closes the connections to the peers.
func (s *Server) Stop() {
	s.cancel()
	s.network.Close()
	s.tasks.Wait()
}
