// Package steward implements vgsteward: it holds the leases of pools and makes
// their engines serve the configured models.
package steward

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/lease"
	"github.com/vanillagate/vanillagate/internal/command/order"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Options configure a Steward. All are required.
type Options struct {
	OwnIncarnation peer.Incarnation
	Table          backing.Table
	VMs            backing.VMList
	// Config returns the configuration in force in this process.
	Config func() *config.State
	Log    *zap.Logger
	// LeaseTerm is the duration of a lease.
	LeaseTerm time.Duration
	// Period is the interval at which the VM list and the engines' reports are
	// read.
	Period time.Duration
	// MaxConcurrentLoads limits how many engines of a pool load weights at the
	// same time.
	MaxConcurrentLoads int
}

// drainTimeout is how long a planned stop waits for orders in flight. An engine
// completes an order even if its sender is gone.
const drainTimeout = 5 * time.Second

// releaseTimeout limits how long releasing the leases may take.
const releaseTimeout = 3 * time.Second

// Steward runs the work of one vgsteward process. Use New.
type Steward struct {
	opts   Options
	log    *zap.Logger
	leases *lease.Manager
	client *order.Client

	mu   sync.Mutex // guards vms and busy; no other lock is taken while it is held
	vms  []backing.VM
	busy map[string]bool // engines with an order in flight

	orders sync.WaitGroup
}

// New returns a Steward.
func New(opts Options) *Steward {
	return &Steward{
		opts:   opts,
		log:    logging.WithComponent(opts.Log, "steward"),
		leases: lease.NewManager(opts.Table, opts.OwnIncarnation, lease.SystemClock(), opts.LeaseTerm),
		client: order.NewClient(),
		busy:   map[string]bool{},
	}
}

// Run runs until the context ends, then stops gracefully: it sends no new
// orders, waits for those in flight and releases the leases.
func (s *Steward) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runPeriodically(ctx, s.opts.Period, s.readVMs) })
	group.Go(func() error { return runPeriodically(ctx, s.leases.Period(), s.renewLeases) })
	group.Go(func() error { return runPeriodically(ctx, s.opts.Period, s.orderPools) })
	err := group.Wait()
	s.stop()
	return err
}

func runPeriodically(ctx context.Context, period time.Duration, do func(context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Steward) stop() {
	s.log.Info("stopping")
	if !s.drain() {
		s.log.Warn("Orders are still in flight.")
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := s.leases.Release(ctx); err != nil {
		s.log.Warn("Leases could not be released and will expire.", zap.Error(err))
		return
	}
	s.log.Info("leases released")
}

// drain waits for the orders in flight. It returns false on a timeout.
func (s *Steward) drain() bool {
	drained := make(chan struct{})
	go func() {
		s.orders.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return true
	case <-time.After(drainTimeout):
		return false
	}
}

func (s *Steward) renewLeases(ctx context.Context) {
	if err := s.leases.AcquireOrRenew(ctx, s.managedPools()); err != nil && ctx.Err() == nil {
		s.log.Warn("Leases could not be renewed.", zap.Error(err))
	}
}

func (s *Steward) readVMs(ctx context.Context) {
	vms, err := s.opts.VMs.List(ctx)
	if err != nil {
		// The previous list remains in use: an outage of the list must not look
		// as if all engines had left.
		s.log.Warn("VM list could not be read; the previous list stays in use.", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}
