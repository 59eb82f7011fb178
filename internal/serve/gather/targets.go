package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// effectiveTargets returns how many targets at the configured pace the shard's targets are
// equivalent to, and the mean buffer space that each has for results of this gatherer. Slow
// targets count only if all are slow, since there are no others then.
func (g *Gatherer) effectiveTargets(s *shard, batch *plan.Batch, now time.Time) (targets float64, space int) {
	views := g.availableTargets(s, now)
	allSlow := g.allSlow(s, views, now)
	counted := 0
	for _, v := range views {
		p := s.paces[v.ID]
		if p != nil && p.slow(now) && !allSlow {
			continue
		}
		counted++
		targets += 1 / p.slowdown()
		space += batch.BufferBytes - g.bufferOf(s, v.Address, now).foreign()
	}
	if counted > 0 {
		space /= counted
	}
	return targets, space
}

// allSlow reports whether every target is slow. Then none of them is a straggler: the targets
// are overloaded, or the settings promise too much.
func (g *Gatherer) allSlow(s *shard, views []pool.View, now time.Time) bool {
	for _, v := range views {
		if p := s.paces[v.ID]; p == nil || !p.slow(now) {
			return false
		}
	}
	return true
}

// wait estimates how long a new item is queued before its call starts. The caller holds
// mu.
func (g *Gatherer) wait(s *shard, batch *plan.Batch, now time.Time) time.Duration {
	targets, free := 0, false
	soonest := batch.CallTime
	for _, v := range g.availableTargets(s, now) {
		targets++
		call := s.activeCalls[v.ID]
		if call == nil {
			free = true
			continue
		}
		soonest = min(soonest, max(call.ends.Sub(now), 0))
	}
	if targets == 0 {
		return 0
	}
	if free && s.queue.len() < batch.Size {
		return 0
	}
	rounds := s.queue.len() / batch.Size
	return soonest + time.Duration(rounds)*batch.MaxCallTime()/time.Duration(targets)
}

// shardingOf returns the shards of a service.
func (g *Gatherer) shardingOf(service string) *sharding {
	return g.shardings.get(service, g.table.ReadySet(service))
}

// availableTargets lists the shard's targets that may get calls.
func (g *Gatherer) availableTargets(s *shard, now time.Time) []pool.View {
	views := g.table.ViewsOf(g.shardingOf(s.Service).targets[s.Shard], now)
	kept := views[:0]
	for _, v := range views {
		if v.Weight > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}
