package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// strength is how many targets at the usual pace the shard's are worth, and the
// mean space that each has for results of ours. Slow ones count only where all
// are slow: then they are what there is.
func (g *Gatherer) strength(c *shard, batch *plan.Batch, now time.Time) (targets float64, space int) {
	views := g.sound(c, now)
	allSlow := g.allSlow(c, views, now)
	counted := 0
	for _, v := range views {
		p := c.paces[v.ID]
		if p != nil && p.slow(now) && !allSlow {
			continue
		}
		counted++
		targets += 1 / p.factor()
		space += batch.BufferBytes - g.bufferOf(c, v.Address, now).foreign()
	}
	if counted > 0 {
		space /= counted
	}
	return targets, space
}

// allSlow tells whether every target is slow. That is no straggler but a pool
// under strain, or one whose settings claim too much.
func (g *Gatherer) allSlow(c *shard, views []pool.View, now time.Time) bool {
	for _, v := range views {
		if p := c.paces[v.ID]; p == nil || !p.slow(now) {
			return false
		}
	}
	return true
}

// wait is about how long a new item waits for its call's turn. The caller
// holds mu.
func (g *Gatherer) wait(c *shard, batch *plan.Batch, now time.Time) time.Duration {
	targets, free := 0, false
	soonest := batch.CallTime
	for _, v := range g.sound(c, now) {
		targets++
		call := c.working[v.ID]
		if call == nil {
			free = true
			continue
		}
		soonest = min(soonest, max(call.ends.Sub(now), 0))
	}
	if targets == 0 {
		return 0
	}
	if free && c.queue.len() < batch.Size {
		return 0
	}
	rounds := c.queue.len() / batch.Size
	return soonest + time.Duration(rounds)*batch.MaxCallTime()/time.Duration(targets)
}

// shardingOf gives the shards of a service.
func (g *Gatherer) shardingOf(service string) *sharding {
	return g.shardings.of(service, g.table.ReadySet(service))
}

// sound lists the shard's targets that may get calls.
func (g *Gatherer) sound(c *shard, now time.Time) []pool.View {
	views := g.table.ViewsOf(g.shardingOf(c.Service).targets[c.Shard], now)
	kept := views[:0]
	for _, v := range views {
		if v.Weight > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}
