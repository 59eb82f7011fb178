package gather

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// dispatch starts calls at free targets while items are queued. The caller holds mu.
func (g *Gatherer) dispatch(s *shard, batch *plan.Batch, now time.Time) {
	s.queue.timing = timingOf(batch)
	if g.shardingOf(s.Service).isEmpty(s.Shard) {
		g.returnQueued(s, NoTargetInShard)
		return
	}
	if g.replaced(s.Shard) {
		g.returnQueued(s, GathererCutOff)
		return
	}
	g.expire(s, batch, now.Add(g.closedFor(s, now)), pastDeadline)
	tried := map[string]bool{}
	for s.queue.len() > 0 {
		target, free := g.pickTarget(s, batch, tried, now)
		if target == nil || g.keepsSpare(s, batch, free, now) {
			break
		}
		tried[target.ID] = true
		taken := s.queue.take(now, callSlot{
			target: target.ID, zone: target.Zone, items: batch.Size, call: batch.CallTime, item: batch.ItemTime,
			space: int(bufferShare*float64(batch.BufferBytes)) - g.bufferOf(s, target.Address, now).bytes,
		})
		if len(taken) > 0 {
			g.startCall(s, batch, target, taken, now)
		}
	}
	// Late items are dropped only after free targets had the chance to take them.
	g.expire(s, batch, now, lateTooLong)
	if s.queue.len() > 0 {
		g.scheduleDispatch(s)
	}
}

// returnQueued returns all queued items to their owners because the shard's targets were
// removed or evacuated, or this process is cut off from them. The owners submit them to another
// shard or gatherer if there is time. The caller holds mu.
func (g *Gatherer) returnQueued(s *shard, reason Reason) {
	byOwner := map[string][]Result{}
	for _, item := range s.queue.clear() {
		s.reservations.itemStarted(item.Key)
		byOwner[item.owner] = append(byOwner[item.owner], Result{Key: item.Key, Reason: reason})
	}
	for owner, results := range byOwner {
		g.log.Info("Items are given back.", zap.String("reason", string(reason)), zap.String("service", s.Service),
			zap.String("zone", s.Zone), zap.Int("part", s.Part), zap.String("owner", owner), zap.Int("items", len(results)))
		g.sendResults(s, owner, results...)
	}
}

// Redispatch gives back the items of shards that this process no longer gathers for because it is
// cut off from their targets.
func (g *Gatherer) Redispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.shards {
		if batch := g.batch(s.Shard); batch != nil {
			g.dispatch(s, batch, time.Now())
		}
	}
}

// scheduleDispatch runs dispatch again after dispatchInterval. The caller holds mu.
func (g *Gatherer) scheduleDispatch(s *shard) {
	if s.dispatchScheduled {
		return
	}
	s.dispatchScheduled = true
	time.AfterFunc(dispatchInterval, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		s.dispatchScheduled = false
		if batch := g.batch(s.Shard); batch != nil {
			g.dispatch(s, batch, time.Now())
		}
	})
}

// expire drops the queued items to which a condition applies and reports them as late. The
// caller holds mu.
func (g *Gatherer) expire(s *shard, batch *plan.Batch, now time.Time, applies condition) {
	for _, item := range s.queue.removeIf(now, batch.CallTime, applies) {
		g.stats.Late++
		s.reservations.itemStarted(item.Key)
		g.sendResults(s, item.owner, Result{Key: item.Key, Reason: Late})
	}
}

// sendResults delivers results to their owner without blocking. The caller holds mu.
func (g *Gatherer) sendResults(s *shard, owner string, results ...Result) {
	g.deliveries.Add(1)
	go func() {
		defer g.deliveries.Add(-1)
		g.deliver(owner, s.Shard, results)
	}()
}

// minTargetsForSpare is the number of targets from which on a shard keeps one free.
const minTargetsForSpare = 4

// minSparePace is the share of its configured pace that a shard must reach to keep a target
// free.
const minSparePace = 0.9

// keepsSpare reports whether the last free target of a shard is kept for urgent items. If every
// target takes whatever is queued, all of them are busy with small calls, and an item with
// little time has to wait for one of them to end. The caller holds mu.
func (g *Gatherer) keepsSpare(s *shard, batch *plan.Batch, free int, now time.Time) bool {
	if free > 1 || len(s.activeCalls)+free < minTargetsForSpare || g.leaveOut.Has(leaveout.SpareTarget) {
		return false
	}
	if s.queue.len() >= batch.Size || s.queue.hasUrgent(now, batch.CallTime) {
		return false
	}
	// A shard that is slower than configured has no capacity to spare.
	effective, _ := g.effectiveTargets(s, batch, now)
	return effective >= minSparePace*float64(len(s.activeCalls)+free)
}

// pickTarget selects a free target that hasn't been tried in this round: targets at normal pace
// before slow ones, then targets in the zone of the most urgent item, then the target with the
// most free buffer space. free counts the targets that could start a call now, including slow
// ones and those without buffer space. The caller holds mu.
func (g *Gatherer) pickTarget(s *shard, batch *plan.Batch, tried map[string]bool, now time.Time) (best *pool.Target, free int) {
	bestScore := -1.0
	zone := s.queue.mostUrgentZone()
	views := g.availableTargets(s, now)
	allSlow := g.allSlow(s, views, now)
	for _, v := range views {
		if tried[v.ID] || s.activeCalls[v.ID] != nil || now.Before(s.pausedUntil[v.ID]) {
			continue
		}
		free++
		left := batch.BufferBytes - g.bufferOf(s, v.Address, now).bytes
		if left <= 0 {
			continue
		}
		score := float64(left) / float64(batch.BufferBytes)
		if v.Zone == zone {
			score++
		}
		if p := s.paces[v.ID]; p != nil && p.slow(now) && !allSlow {
			if len(s.activeCalls) > 0 {
				continue // a busy target at normal pace is free sooner than a slow one would finish
			}
			score /= 10
		}
		if score > bestScore {
			best, bestScore = v.Target, score
		}
	}
	return best, free
}

func (g *Gatherer) bufferOf(s *shard, address string, now time.Time) *buffer {
	b := s.buffers[address]
	if b == nil {
		b = &buffer{}
		s.buffers[address] = b
	}
	b.dropExpired(now)
	return b
}

// startCall starts one call with the taken items. The caller holds mu.
func (g *Gatherer) startCall(s *shard, batch *plan.Batch, target *pool.Target, taken []*queuedItem, now time.Time) {
	expected := batch.CallTime + time.Duration(len(taken))*batch.ItemTime
	s.activeCalls[target.ID] = &activeCall{ends: now.Add(expected)}
	if rate := target.RateLimit(); rate > 0 {
		s.pause(target.ID, now.Add(minCallInterval(rate)))
	}
	items := make([]Item, 0, len(taken))
	for _, item := range taken {
		item.tries++
		s.reservations.itemStarted(item.Key)
		s.size.add(item.Bytes)
		item.Expires = ToMillis(item.expires.Sub(now))
		items = append(items, item.Item)
		s.runningItems[item.Key] = true
	}
	g.log.Debug("Starting a call of a stage target.", zap.String("service", s.Service), zap.String("target", target.ID),
		zap.Int("items", len(taken)), zap.Int("left", s.queue.len()), zap.Int("working", len(s.activeCalls)),
		zap.Int("buffer_used", g.bufferOf(s, target.Address, now).bytes), zap.Int("buffer", batch.BufferBytes),
		zap.Duration("first_due", taken[0].due.Sub(now)))
	g.stats.Calls++
	g.stats.Items += len(taken)
	go g.runCall(s, batch, target, taken, items, expected)
}
