package entry

import (
	"context"
	"crypto/tls"
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
	"github.com/vanillagate/vanillagate/internal/connlimit"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/hangup"
	"github.com/vanillagate/vanillagate/internal/idle"
	"github.com/vanillagate/vanillagate/internal/inforce"
	"github.com/vanillagate/vanillagate/internal/intake"
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
	// bodyCopies is how many times a request holds its body: as it arrived, decoded, and encoded for its targets.
	bodyCopies = 4
	// readsPerSnapshot is how many reads of the table there are per check of
	// the configuration snapshot.
	readsPerSnapshot = 5
)

// Server is an entry process.
type Server struct {
	opts Options
	log  *zap.Logger

	keeper     *inforce.Keeper
	targets    *directory.Table
	client     *target.Client
	customers  *limit.Customers
	limiters   limiters
	executor   *pipeline.Executor
	prefixes   *prefix.Index // nil without affinity
	claims     *claim.Claims
	changes    *change.Submitter
	hangups    *hangup.Watcher
	suspects   *suspicion
	observer   *observer
	stops      *stops
	executions *executionChecker
	vms        vmView
	keys       keyIndex
	health     *storeHealth

	// memory and connections limit the requests and the connections of callers.
	memory      *intake.Memory
	connections *connlimit.Limiter

	http         *fasthttp.Server
	listener     net.Listener
	idleListener *idle.Listener // listener as http uses it
	// inFlight counts all requests, callerRequests only those to pipelines and
	// services.
	inFlight       atomic.Int64
	callerRequests atomic.Int64
	shuttingDown   atomic.Bool
	// loopCtx is cancelled to end the background loops.
	loopCtx   context.Context
	stopLoops context.CancelFunc
}

// New builds a Server. It must be called before the peer network starts.
func New(opts Options) (*Server, error) {
	policy, err := routing.New(opts.Policy.Routing)
	if err != nil {
		return nil, eris.Wrap(err, "entry")
	}
	health := newStoreHealth()
	opts.Table = monitoredTable{Table: opts.Table, health: health}
	opts.Objects = monitoredObjects{ObjectStore: opts.Objects, health: health}
	opts.VMs = monitoredVMs{VMList: opts.VMs, health: health}
	s := &Server{opts: opts, log: logging.WithComponent(opts.Log, "entry"), health: health}
	s.loopCtx, s.stopLoops = context.WithCancel(context.Background())
	s.keeper = inforce.New(inforce.Options{
		Table: opts.Table, Objects: opts.Objects, Network: opts.Network,
		Log: logging.WithComponent(opts.Log, "config"), Period: opts.ConfigPeriod, SnapshotPeriod: readsPerSnapshot * opts.ConfigPeriod,
		OnPeerAnswer: func(ctx context.Context, of peer.Incarnation) { s.stops.fetchFrom(ctx, of) },
	})
	s.targets = directory.New(directory.Options{
		Node: string(opts.Network.Self().Incarnation), Zone: opts.Zone, Policy: policy,
		Ejection: routing.DefaultEjection(), NoEjection: opts.Policy.NoEjection,
		FetchReports: opts.Policy.Routing == routing.WithReports,
	})
	s.client = target.NewClient(maxAnswerBytes)
	s.customers = limit.NewCustomers(opts.Policy.split())
	s.limiters = limiters{unlimited: opts.Policy.NoAdmission, byName: map[string]*limit.ConcurrencyLimiter{}}
	s.claims = claim.New(opts.Table, opts.Objects)
	s.changes = change.New(opts.Table, s.keeper.State)
	s.hangups = hangup.New(errCallerLeft)
	s.suspects = newSuspicion(s)
	s.observer = newObserver(s)
	s.stops = newStops(s)
	s.executions = newExecutionChecker(s)
	s.executor = &pipeline.Executor{
		Targets: s.targets, Client: s.client, Budgets: &retry.Budgets{Unlimited: opts.Policy.RetryWithoutBudget},
		Latencies: pipeline.NewLatencyTracker(), Observer: s.observer, Suspicion: s.suspects,
	}
	if !opts.Policy.NoAffinity {
		s.prefixes = prefix.New(s.observer.rates.PromptTokenTime)
		s.executor.Prefixes = s.prefixes
	}
	s.keeper.OnChange(func(state *config.State) { s.stops.onConfigChange(state) })
	opts.Network.Handle(methodStatus, s.handleStatus)
	opts.Network.Handle(methodVMs, s.handleVMs)
	opts.Network.Handle(methodStops, s.stops.handleStops)
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

// Run serves until ctx ends, then shuts down gracefully.
func (s *Server) Run(ctx context.Context) error {
	s.buildHTTPServer(s.handle)
	defer s.stopLoops()
	var background sync.WaitGroup
	s.startLoops(s.loopCtx, &background)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(s.serve)
	group.Go(func() error {
		<-groupCtx.Done()
		return s.shutdown()
	})
	err := group.Wait()
	s.stopLoops()
	background.Wait()
	return err
}

// buildHTTPServer creates the HTTP server and its listener.
func (s *Server) buildHTTPServer(handler fasthttp.RequestHandler) {
	s.idleListener = &idle.Listener{
		Listener:    &accept.Listener{Listener: s.listener, Log: s.log},
		IdleTimeout: func() time.Duration { return idleTimeout },
	}
	limits := s.opts.Limits
	limits.TLS = s.opts.TLS != nil
	s.memory, s.connections = limits.NewMemory(), limits.NewConnections()
	s.http = &fasthttp.Server{
		Handler:               intake.Handler(func() int { return s.opts.MaxBody }, handler, s.rejectBody),
		Name:                  "vanillagate",
		ReadBufferSize:        maxHeaderBytes,
		HeaderReceived:        prepareBody,
		ReduceMemoryUsage:     true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idle.DynamicTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		ErrorHandler:          writeUnreadable,
		Logger:                discardLogger{},
	}
}

func (s *Server) serve() error {
	s.log.Info("Serving.", zap.String("address", s.listener.Addr().String()), zap.String("zone", s.opts.Zone))
	var below net.Listener = s.idleListener
	if s.opts.TLS != nil {
		below = tls.NewListener(below, s.opts.TLS)
	}
	return eris.Wrap(s.http.Serve(&intake.Listener{
		Listener: below, Memory: s.memory, Connections: s.connections, BodyCopies: bodyCopies, Log: s.log,
		HeadLimit: func() int { return maxHeaderBytes },
		HeadTime:  func() time.Duration { return s.http.ReadTimeout },
	}), "entry: serve")
}

// prepareBody is called between the head of a request and its body.
func prepareBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	intake.TakeBody(h)
	return fasthttp.RequestConfig{}
}

func (s *Server) startLoops(ctx context.Context, wait *sync.WaitGroup) {
	loops := []func(context.Context){
		s.keeper.Run, s.keeper.RunSnapshots, s.claims.Run, s.hangups.Run,
		s.pollVMList, s.runProbes, s.runDemands, s.suspects.detector.Run, s.runCacheEvents, s.executions.run, s.observer.run, s.stops.run,
	}
	for _, loop := range loops {
		wait.Go(func() { loop(ctx) })
	}
}

const (
	// propagationMargin is how long after the shutdown announcement a peer may
	// still give this VM's address to a caller.
	propagationMargin = time.Second
	// shutdownTimeout bounds a graceful shutdown. It exceeds every request's
	// deadline, so requests that are still running then are past theirs.
	shutdownTimeout = maxTimeout + time.Minute
	// drainTimeout bounds how long outcomes are recorded after the last
	// request. An outage of the table service may last longer than the VM can
	// wait.
	drainTimeout = time.Minute
)

// shutdown performs a graceful shutdown. First this VM's address is no longer
// given to callers and peers. It keeps serving callers that cached the address
// until their cache has expired, then stops listening and waits for the last
// requests.
func (s *Server) shutdown() error {
	s.shuttingDown.Store(true)
	s.log.Info("Leaving.", zap.Int64("in_flight", s.inFlight.Load()))
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	s.announceShutdown(ctx)
	s.waitForEntriesTTL(ctx)
	err := s.closePort(ctx)
	s.waitForRequests(ctx)
	drainCtx, cancelDrain := context.WithTimeout(ctx, drainTimeout)
	defer cancelDrain()
	if drainErr := s.claims.Drain(drainCtx); drainErr != nil {
		s.log.Warn("Not all outcomes were recorded.", zap.Error(drainErr))
	}
	s.observer.flush(ctx)
	s.log.Info("Left.", zap.Int64("in_flight", s.inFlight.Load()))
	return eris.Wrap(err, "entry: shutdown")
}

// closePort stops listening and closes connections as they become idle.
func (s *Server) closePort(ctx context.Context) error {
	s.idleListener.StartDrain()
	s.idleListener.WaitClosed(ctx)
	return s.http.ShutdownWithContext(ctx)
}

// waitForEntriesTTL waits until the last response of /v1/entries with this VM's
// address has expired, including one that a peer gave before it received the
// announcement.
func (s *Server) waitForEntriesTTL(ctx context.Context) {
	timer := time.NewTimer(s.opts.EntriesTTL + propagationMargin)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

const drainPollInterval = 10 * time.Millisecond

func (s *Server) waitForRequests(ctx context.Context) {
	for s.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// limiters holds a concurrency limiter for each pipeline and service.
type limiters struct {
	unlimited bool
	mu        sync.Mutex // guards byName; no other lock is taken under it
	byName    map[string]*limit.ConcurrencyLimiter
}

func (l *limiters) get(name string) *limit.ConcurrencyLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.byName[name]
	if limiter == nil {
		limiter = limit.NewConcurrencyLimiter(l.unlimited)
		l.byName[name] = limiter
	}
	return limiter
}

// discardLogger drops fasthttp's own log lines. Each is about one caller's
// broken connection, and writeUnreadable answers those that can be answered.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
