package steward

import (
	"context"
	"slices"
	"sync"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/command/order"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/logging"
)

// maxReports bounds the reports that are asked for at once.
const maxReports = 16

func (s *Steward) steeredPools() []string {
	var names []string
	for name, pool := range s.opts.Config().Pools {
		if order.IsManaged(pool) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// orderAll looks after the pools whose lease this process holds.
func (s *Steward) orderAll(ctx context.Context) {
	state := s.opts.Config()
	for _, name := range s.steeredPools() {
		if _, holds := s.leases.Check(name); holds {
			s.orderPool(ctx, state.Pools[name])
		}
	}
}

func (s *Steward) orderPool(ctx context.Context, pool config.Pool) {
	candidates := s.candidates(ctx, pool)
	for _, c := range order.Choose(candidates, s.opts.MaxConcurrentLoads) {
		s.begin(ctx, pool.Name, c)
	}
}

// candidates asks each engine what it serves. One that does not answer is left
// out until it does.
func (s *Steward) candidates(ctx context.Context, pool config.Pool) []order.Candidate {
	var mu sync.Mutex // guards all
	var all []order.Candidate
	var group errgroup.Group
	group.SetLimit(maxReports)
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
		s.log.Debug("engine gives no report", zap.String("target", address), zap.Error(err))
		return candidate, false
	}
	candidate.NextOrder = order.Next(pool, report)
	return candidate, true
}

// engines lists the targets of a pool that are not about to leave.
func (s *Steward) engines(pool string) []string {
	stopping := s.stopping()
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, vm := range s.vms {
		if vm.Role == backing.RoleTarget && vm.Pool == pool && vm.State == backing.VMLive && !stopping[vm.Address] {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses
}

// stopping lists the targets whose planned stop is in force.
func (s *Steward) stopping() map[string]bool {
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

// begin gives one order. The lease is checked right before it: this process
// may have been paused since the reports were read, and another may hold the
// lease by now. What slips through between the check and the sending, the
// fencing token stops at engines that check it; at the others the new holder's
// comparison with the engine's report puts it right.
func (s *Steward) begin(ctx context.Context, pool string, c order.Candidate) {
	s.setBusy(c.Address, true)
	s.orders.Go(func() {
		defer s.setBusy(c.Address, false)
		id := "order-" + uuid.NewString()
		log := s.log.With(logging.RequestID(id), zap.String("pool", pool), zap.String("target", c.Address))
		token, holds := s.leases.Check(pool)
		if !holds || ctx.Err() != nil {
			log.Info("lease lapsed before an order")
			return
		}
		result, err := s.client.Send(context.WithoutCancel(ctx), c.Address, c.NextOrder, token, id)
		log.Info("order given", zap.String("result", string(result)), zap.Uint64("token", token), zap.Any("order", c.NextOrder), zap.Error(err))
	})
}
