// Package steward is what vgsteward runs: it holds the leases of pools and has
// their engines serve what the configuration wants.
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

// Options are what a Steward is made of. All are required.
type Options struct {
	OwnIncarnation peer.Incarnation
	Table          backing.Table
	VMs            backing.VMList
	// Config is the configuration in force in this process.
	Config func() *config.State
	Log    *zap.Logger
	// LeaseTerm is the length of a lease.
	LeaseTerm time.Duration
	// Period is how often VM list and engines are looked at.
	Period time.Duration
	// MaxConcurrentLoads bounds how many engines of a pool fetch weights together.
	MaxConcurrentLoads int
}

// drainTime is how long a planned stop waits for orders on their way; an
// engine finishes an order all the same when its sender has gone.
const drainTime = 5 * time.Second

// releaseTime bounds giving the leases up.
const releaseTime = 3 * time.Second

// Steward is one vgsteward process. Use New.
type Steward struct {
	opts   Options
	log    *zap.Logger
	leases *lease.Manager
	client *order.Client

	mu   sync.Mutex // guards vms and busy; a leaf
	vms  []backing.VM
	busy map[string]bool // engines with an order on its way

	orders sync.WaitGroup
}

// New builds a Steward.
func New(opts Options) *Steward {
	return &Steward{
		opts:   opts,
		log:    logging.WithComponent(opts.Log, "steward"),
		leases: lease.NewManager(opts.Table, opts.OwnIncarnation, lease.SystemClock(), opts.LeaseTerm),
		client: order.NewClient(),
		busy:   map[string]bool{},
	}
}

// Run works until the context ends, then stops gracefully: no new order, wait
// for those on their way, give up the leases.
func (s *Steward) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, s.opts.Period, s.readVMs) })
	group.Go(func() error { return every(ctx, s.leases.Period(), s.renew) })
	group.Go(func() error { return every(ctx, s.opts.Period, s.orderAll) })
	err := group.Wait()
	s.stop()
	return err
}

func every(ctx context.Context, period time.Duration, do func(context.Context)) error {
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
		s.log.Warn("orders are still on their way")
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	if err := s.leases.Release(ctx); err != nil {
		s.log.Warn("leases can't be released and end by themselves", zap.Error(err))
		return
	}
	s.log.Info("leases released")
}

// drain waits for the orders on their way; false if it gave up.
func (s *Steward) drain() bool {
	drained := make(chan struct{})
	go func() {
		s.orders.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return true
	case <-time.After(drainTime):
		return false
	}
}

func (s *Steward) renew(ctx context.Context) {
	if err := s.leases.AcquireOrRenew(ctx, s.steeredPools()); err != nil && ctx.Err() == nil {
		s.log.Warn("leases can't be renewed", zap.Error(err))
	}
}

func (s *Steward) readVMs(ctx context.Context) {
	vms, err := s.opts.VMs.List(ctx)
	if err != nil {
		// The list of before goes on to be used: an outage of the list must
		// not look as if all engines had left.
		s.log.Warn("VM list can't be read", zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
}
