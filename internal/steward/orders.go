package steward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/order"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/logging"
)

// maxConcurrentReports limits the reports that are requested concurrently.
const maxConcurrentReports = 16

func (s *Steward) managedPools() []string {
	var names []string
	for name, pool := range s.opts.Config().Pools {
		if order.IsManaged(pool) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// orderPools sends orders to the engines of the pools whose lease this process
// holds.
func (s *Steward) orderPools(ctx context.Context) {
	s.client.Prune(time.Now())
	state := s.opts.Config()
	for _, name := range s.managedPools() {
		if _, holds := s.leases.Check(name); holds {
			s.orderPool(ctx, state.Pools[name])
		}
	}
}

func (s *Steward) orderPool(ctx context.Context, pool config.Pool) {
	candidates := s.candidates(ctx, pool)
	for _, c := range order.Choose(candidates, s.opts.MaxConcurrentLoads) {
		s.startOrder(ctx, pool.Name, c)
	}
}

// candidates requests the report of each engine. An engine that does not answer
// is left out until it does.
func (s *Steward) candidates(ctx context.Context, pool config.Pool) []order.Candidate {
	var mu sync.Mutex // guards all
	var all []order.Candidate
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for _, address := range s.engines(pool.Name) {
		group.Go(func() error {
			candidate, ok := s.candidate(ctx, pool, address)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				all = append(all, candidate)
			}
			return nil
		})
	}
	_ = group.Wait() // no member returns an error
	return all
}

func (s *Steward) candidate(ctx context.Context, pool config.Pool, address string) (order.Candidate, bool) {
	candidate := order.Candidate{Address: address, Busy: s.isBusy(address)}
	if candidate.Busy {
		return candidate, true
	}
	report, err := s.client.Report(ctx, address)
	if err != nil {
		s.log.Debug("Engine returned no report.", zap.String("target", address), zap.Error(err))
		return candidate, false
	}
	candidate.NextOrder = order.Next(pool, report)
	return candidate, true
}

// engines returns the live targets of a pool without a planned stop.
func (s *Steward) engines(pool string) []string {
	stoppingSet := s.stoppingTargets()
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, vm := range s.vms {
		if vm.Role == backing.RoleTarget && vm.Pool == pool && vm.State == backing.VMLive && !stoppingSet[vm.Address] {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// stoppingTargets returns the targets that have a planned stop in force.
func (s *Steward) stoppingTargets() map[string]bool {
	addresses := map[string]bool{}
	for _, stop := range s.opts.Config().Stops {
		if stop.Subject == config.StopTarget {
			addresses[stop.Address] = true
		}
	}
	return addresses
}

func (s *Steward) isBusy(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy[address]
}

func (s *Steward) setBusy(address string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if busy {
		s.busy[address] = true
	} else {
		delete(s.busy, address)
	}
}

// startOrder sends one order in the background. The lease is checked
// immediately before: this process may have been paused since the reports were
// read, and another process may hold the lease. An order that becomes outdated
// between the check and its arrival is refused by engines that check fencing
// tokens. At other engines the new holder corrects its effect when it compares
// the engine's report with the configuration.
func (s *Steward) startOrder(ctx context.Context, pool string, c order.Candidate) {
	s.setBusy(c.Address, true)
	s.orders.Go(func() {
		defer s.setBusy(c.Address, false)
		id := "order-" + uuid.NewString()
		log := s.log.With(logging.RequestID(id), zap.String("pool", pool), zap.String("target", c.Address))
		token, holds := s.leases.Check(pool)
		if !holds || ctx.Err() != nil {
			log.Info("Lease expired before the order was sent.")
			return
		}
		result, err := s.client.Send(context.WithoutCancel(ctx), c.Address, c.NextOrder, token, id)
		log.Info("order given", zap.String("result", string(result)), zap.Uint64("token", token), zap.Any("order", c.NextOrder), zap.Error(err))
	})
}
