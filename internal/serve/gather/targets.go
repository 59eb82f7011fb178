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
		targets += min(1/p.slowdown(), usableShare(v, batch))
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
		call, pausedUntil := s.activeCalls[v.ID], s.pausedUntil[v.ID]
		switch {
		case call != nil:
			soonest = min(soonest, max(call.ends.Sub(now), 0))
		case v.RateLimit > 0 && now.Before(pausedUntil):
			soonest = min(soonest, pausedUntil.Sub(now))
		default:
			free = true
		}
	}
	if targets == 0 {
		return g.closedFor(s, now)
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

// closedFor returns the time until the first of a shard's targets takes calls again; 0 if one does now, or none
// will as far as is known.
func (g *Gatherer) closedFor(s *shard, now time.Time) time.Duration {
	opening, _ := pool.OpeningOf(g.shardingOf(s.Service).targets[s.Shard], now, pool.AnyTarget)
	return opening.Wait
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

// minCallInterval returns the time between the starts of two calls of a target that has stated a rate of
// perSecond requests. The gatherer is to a stage target what a tracker is to an engine.
func minCallInterval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / (pool.StatedRateShare * perSecond))
}

// usableShare returns the part of a target's time in which it may have calls.
func usableShare(v pool.View, batch *plan.Batch) float64 {
	if v.RateLimit <= 0 {
		return 1
	}
	return min(1, float64(batch.MaxCallTime())/float64(minCallInterval(v.RateLimit)))
}

// pause makes a target get no calls before the given time.
func (s *shard) pause(target string, until time.Time) {
	if until.After(s.pausedUntil[target]) {
		s.pausedUntil[target] = until
	}
}
