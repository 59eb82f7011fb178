package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/accept"
	"github.com/vanillagate/vanillagate/internal/command/change"
	"github.com/vanillagate/vanillagate/internal/command/claim"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/hangup"
	"github.com/vanillagate/vanillagate/internal/idle"
	"github.com/vanillagate/vanillagate/internal/inforce"
	"github.com/vanillagate/vanillagate/internal/limit"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/prefix"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/target"
)

const (
	maxHeaderBytes = 16 << 10
	maxAnswerBytes = 16 << 20
	readTimeout    = 10 * time.Second
	idleTimeout    = 60 * time.Second
	// snapshotPeriods is how many reads of the table come between two looks at
	// the snapshot.
	snapshotPeriods = 5
)

// Server is one entry process.
type Server struct {
	opts Options
	log  *zap.Logger

	keeper    *inforce.Keeper
	targets   *directory.Table
	client    *target.Client
	customers *limit.Customers
	gates     gates
	executor  *pipeline.Executor
	prefixes  *prefix.Index // nil without affinity
	claims    *claim.Claims
	changes   *change.Submitter
	hangups   *hangup.Watcher
	suspects  *suspicion
	observer  *observer
	stops     *stops
	certain   *certainty
	vms       vmView
	keys      keyIndex
	health    *health

	http     *fasthttp.Server
	listener net.Listener
	port     *idle.Listener // the listener as http has it
	// inFlight counts all requests, callers those of pipelines and services.
	inFlight atomic.Int64
	callers  atomic.Int64
	leaving  atomic.Bool
	// loops ends when the background work has to.
	loops     context.Context
	stopLoops context.CancelFunc
}

// New wires a Server. Call before the network starts.
func New(opts Options) (*Server, error) {
	policy, err := routing.New(opts.Policy.Routing)
	if err != nil {
		return nil, eris.Wrap(err, "entry")
	}
	health := newHealth()
	opts.Table = watchedTable{Table: opts.Table, health: health}
	opts.Objects = watchedObjects{ObjectStore: opts.Objects, health: health}
	opts.VMs = watchedVMs{VMList: opts.VMs, health: health}
	s := &Server{opts: opts, log: logging.WithComponent(opts.Log, "entry"), health: health}
	s.loops, s.stopLoops = context.WithCancel(context.Background())
	s.keeper = inforce.New(inforce.Options{
		Table: opts.Table, Objects: opts.Objects, Network: opts.Network,
		Log: logging.WithComponent(opts.Log, "config"), Period: opts.ConfigPeriod, SnapshotPeriod: snapshotPeriods * opts.ConfigPeriod,
		OnPeerAnswer: func(ctx context.Context, of peer.Incarnation) { s.stops.learn(ctx, of) },
	})
	s.targets = directory.New(directory.Options{
		Node: string(opts.Network.Self().Incarnation), Zone: opts.Zone, Policy: policy,
		Ejection: routing.DefaultEjection(), NoEjection: opts.Policy.NoEjection,
		FetchReports: opts.Policy.Routing == routing.WithReports,
	})
	s.client = target.NewClient(maxAnswerBytes)
	s.customers = limit.NewCustomers(opts.Policy.split())
	s.gates = gates{open: opts.Policy.NoAdmission, byName: map[string]*limit.ConcurrencyLimiter{}}
	s.claims = claim.New(opts.Table, opts.Objects)
	s.changes = change.New(opts.Table, s.keeper.State)
	s.hangups = hangup.New(errCallerLeft)
	s.suspects = newSuspicion(s)
	s.observer = newObserver(s)
	s.stops = newStops(s)
	s.certain = newCertainty(s)
	s.executor = &pipeline.Executor{
		Targets: s.targets, Client: s.client, Budgets: &retry.Budgets{Unlimited: opts.Policy.RetryWithoutBudget},
		Latencies: pipeline.NewLatencyTracker(), Observer: s.observer, Suspicion: s.suspects,
	}
	if !opts.Policy.NoAffinity {
		s.prefixes = prefix.New(s.observer.rates.PromptTokenTime)
		s.executor.Prefixes = s.prefixes
	}
	s.keeper.OnChange(func(state *config.State) { s.stops.inForce(state) })
	opts.Network.Handle(methodStatus, s.answerStatus)
	opts.Network.Handle(methodVMs, s.answerVMs)
	opts.Network.Handle(methodStops, s.stops.answer)
	return s, nil
}

// Listen opens the port for callers.
func (s *Server) Listen() error {
	listener, err := net.Listen("tcp", s.opts.Listen)
	if err != nil {
		return eris.Wrap(err, "entry: listen")
	}
	s.listener = listener
	return nil
}

// Run serves until the context ends, then leaves without cutting a request.
func (s *Server) Run(ctx context.Context) error {
	s.prepare(s.handle)
	defer s.stopLoops()
	var background sync.WaitGroup
	s.startLoops(s.loops, &background)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(s.serve)
	group.Go(func() error {
		<-groupCtx.Done()
		return s.leave()
	})
	err := group.Wait()
	s.stopLoops()
	background.Wait()
	return err
}

// prepare makes what serves the port.
func (s *Server) prepare(handler fasthttp.RequestHandler) {
	s.port = &idle.Listener{
		Listener: &accept.Listener{Listener: s.listener, Log: s.log},
		Time:     func() time.Duration { return idleTimeout },
	}
	s.http = &fasthttp.Server{
		Handler:               handler,
		Name:                  "vanillagate",
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    s.opts.MaxBody,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idle.DynamicTimeout,
		TLSConfig:             s.opts.TLS,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ErrorHandler:          refuseUnreadable,
		Logger:                quietLogger{},
	}
}

func (s *Server) serve() error {
	s.log.Info("Serving.", zap.String("address", s.listener.Addr().String()), zap.String("zone", s.opts.Zone))
	if s.opts.TLS != nil {
		return eris.Wrap(s.http.ServeTLS(s.port, "", ""), "entry: serve")
	}
	return eris.Wrap(s.http.Serve(s.port), "entry: serve")
}

func (s *Server) startLoops(ctx context.Context, wait *sync.WaitGroup) {
	loops := []func(context.Context){
		s.keeper.Run, s.keeper.RunSnapshots, s.claims.Run, s.hangups.Run,
		s.runVMList, s.runProbes, s.runDemands, s.runCacheEvents, s.certain.run, s.observer.run, s.stops.run,
	}
	for _, loop := range loops {
		wait.Go(func() { loop(ctx) })
	}
}

const (
	// newsMargin is how long after the announcement some peer may still name
	// this VM to a caller.
	newsMargin = time.Second
	// leaveTimeout bounds a planned leave. Requests still running then are older
	// than any deadline.
	leaveTimeout = longestTimeout + time.Minute
	// drainTimeout bounds the recording of outcomes after the last request. An
	// outage of the table service may last, and the VM has to go.
	drainTimeout = time.Minute
)

// leave is the graceful shutdown. First this VM drops out of what callers and
// peers are told. It goes on serving those that hold an old answer until that
// has run out, then stops listening and lets the last requests end.
func (s *Server) leave() error {
	s.leaving.Store(true)
	s.log.Info("Leaving.", zap.Int64("in_flight", s.inFlight.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	s.announceLeave(ctx)
	s.waitForOldCallers(ctx)
	err := s.closePort(ctx)
	s.waitForLast(ctx)
	drainCtx, drained := context.WithTimeout(ctx, drainTimeout)
	defer drained()
	if drainErr := s.claims.Drain(drainCtx); drainErr != nil {
		s.log.Warn("Outcomes not recorded.", zap.Error(drainErr))
	}
	s.observer.flush(ctx)
	s.log.Info("Left.", zap.Int64("in_flight", s.inFlight.Load()))
	return eris.Wrap(err, "entry: shutdown")
}

// closePort stops listening and closes connections as they fall idle.
func (s *Server) closePort(ctx context.Context) error {
	s.port.Drain(ctx)
	return s.http.ShutdownWithContext(ctx)
}

// waitForOldCallers waits until the last answer of /v1/entries that named this
// VM has run out, also one that a peer gave before it heard of the leave.
func (s *Server) waitForOldCallers(ctx context.Context) {
	timer := time.NewTimer(s.opts.EntriesTTL + newsMargin)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

const lastPoll = 10 * time.Millisecond

func (s *Server) waitForLast(ctx context.Context) {
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(lastPoll)
	}
}

// gates holds a gate for each pipeline and service.
type gates struct {
	open   bool
	mu     sync.Mutex // guards byName; a leaf
	byName map[string]*limit.ConcurrencyLimiter
}

func (g *gates) of(name string) *limit.ConcurrencyLimiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.byName[name]
	if gate == nil {
		gate = limit.NewConcurrencyLimiter(g.open)
		g.byName[name] = gate
	}
	return gate
}

// quietLogger drops fasthttp's own lines: each is one caller's broken
// connection, and refuseUnreadable answers what can be answered.
type quietLogger struct{}

// Printf is part of fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}
