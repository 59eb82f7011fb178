package gather

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// runCall makes one call, handles its outcome, and dispatches again.
func (g *Gatherer) runCall(s *shard, batch *plan.Batch, target *pool.Target, taken []*queuedItem, items []Item, expected time.Duration) {
	ctx, cancel := context.WithTimeout(g.life, callTimeoutFactor*expected+callTimeoutSlack)
	defer cancel()
	started := time.Now()
	tracked := g.table.Begin(target, 0, started)
	ended := make(chan struct{})
	results, err := g.client.Run(ctx, target, items, func() { go g.releaseAfterFetch(s, items, ended) })
	close(ended)
	now := time.Now()
	tracked.End(outcomeOf(results, err), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(s.activeCalls, target.ID)
	for _, item := range taken {
		delete(s.runningItems, item.Key)
	}
	if err != nil {
		g.callFailed(s, target, taken, err, now)
	} else {
		g.callFinished(s, batch, target, taken, results, now)
		if !s.warmingUp(batch, started) {
			g.recordPace(s, target, now.Sub(started), expected, now)
		}
	}
	g.dispatch(s, batch, now)
}

// releaseAfterFetch releases the inputs of a call's items once the target must have fetched
// them, unless the call ends before. The time counts from the moment the call was written: a
// small VM may be stalled for a tenth of a second between deciding on the call and writing it,
// and if inputs are freed too soon, their request has to repeat all its stages.
func (g *Gatherer) releaseAfterFetch(s *shard, items []Item, ended <-chan struct{}) {
	timer := time.NewTimer(inputFetchTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		g.inputsFetched(s, items)
	case <-ended:
	}
}

// inputsFetched records that the inputs of some items have been fetched, and has their
// allocators release the inputs that no item of the group still has to fetch.
func (g *Gatherer) inputsFetched(s *shard, items []Item) {
	if g.leaveOut.Has(leaveout.EarlyRelease) {
		return
	}
	g.mu.Lock()
	groups := s.inputTracker.inputsFetched(items)
	g.mu.Unlock()
	for _, group := range groups {
		g.release(group.allocator, group.inputs, false)
	}
}

// outcomeOf classifies a call for the table of targets.
func outcomeOf(results []Result, err error) pool.Outcome {
	var exceeded *upstream.BoundError
	switch {
	case errors.As(err, &exceeded): // also of an answer that says that the call didn't run
		return pool.Failed
	case errors.Is(err, ErrFull):
		return pool.Full
	case errors.Is(err, ErrMisdirected):
		return pool.Misdirected
	case errors.Is(err, upstream.ErrNotAllowed):
		return pool.Abandoned
	case upstream.NotSent(err):
		return pool.Unreachable
	case err != nil:
		return pool.Failed
	}
	for _, r := range results {
		if r.Reason != TargetFailed {
			return pool.Answered
		}
	}
	return pool.Failed
}

// recordPace updates the pace of a target after a call. The caller holds mu.
func (g *Gatherer) recordPace(s *shard, target *pool.Target, actual, expected time.Duration, now time.Time) {
	if g.leaveOut.Has(leaveout.SlowTargets) {
		return
	}
	p := s.paces[target.ID]
	if p == nil {
		p = &pace{}
		s.paces[target.ID] = p
	}
	p.record(actual, expected, now)
}

// callFailed handles a call that got no answer: its items are queued again or fail. The caller
// holds mu.
func (g *Gatherer) callFailed(s *shard, target *pool.Target, taken []*queuedItem, err error, now time.Time) {
	notRun := errors.Is(err, ErrFull) || errors.Is(err, ErrMisdirected) || upstream.NotSent(err)
	if notRun {
		s.pause(target.ID, now.Add(fullPause))
	}
	g.log.Warn("Call of a stage target failed.", zap.String("target", target.ID), zap.String("service", s.Service),
		zap.Int("items", len(taken)), zap.Error(err))
	for _, item := range taken {
		if notRun {
			item.tries--
		}
		g.retry(s, item, target, TargetFailed)
	}
}

// retry puts an item back into the queue, or fails it. An item whose inputs were already freed
// fails at once: a second call would only find them gone, and its request needs the time to
// restart its stages. The caller holds mu.
func (g *Gatherer) retry(s *shard, item *queuedItem, target *pool.Target, reason Reason) {
	if s.inputTracker.released(item.Key) {
		g.stats.Failed++
		g.sendResults(s, item.owner, Result{Key: item.Key, Reason: InputGone})
		return
	}
	if item.tries >= maxTries {
		g.stats.Failed++
		g.sendResults(s, item.owner, Result{Key: item.Key, Reason: reason})
		return
	}
	g.stats.Retried++
	item.avoidTarget = target.ID
	item.since = time.Now()
	s.queue.add(item)
}

// firstFailedRequest returns the request of the first item that has no result.
func firstFailedRequest(taken []*queuedItem, results []Result) string {
	for i, r := range results {
		if r.Reason != Completed {
			return taken[i].Request
		}
	}
	return ""
}

// callFinished distributes the results of a call. The caller holds mu.
func (g *Gatherer) callFinished(s *shard, batch *plan.Batch, target *pool.Target, taken []*queuedItem, results []Result, now time.Time) {
	byOwner := map[string][]Result{}
	spaceShort := false
	failures := map[Reason]int{}
	for i, item := range taken {
		r := results[i]
		if r.Reason != Completed {
			failures[r.Reason]++
		}
		r.Key = item.Key
		r.Zone = target.Zone
		switch r.Reason {
		case NoSpace:
			spaceShort = true
			item.tries-- // the call didn't run the item
			g.retry(s, item, target, NoSpace)
			continue
		case TargetFailed:
			g.retry(s, item, target, TargetFailed)
			continue
		case Completed:
			g.bufferOf(s, target.Address, now).put(r.Handle, item.Bytes, now.Add(batch.Keep))
			if group := s.inputTracker.completed(item.Key); group != nil {
				go g.release(group.allocator, group.inputs, true)
			}
		}
		byOwner[item.owner] = append(byOwner[item.owner], r)
	}
	if len(failures) > 0 {
		g.log.Info("Items of a call weren't made.", zap.String("target", target.ID), zap.String("service", s.Service),
			zap.Int("items", len(taken)), zap.Any("reasons", failures), zap.String("request", firstFailedRequest(taken, results)))
	}
	if spaceShort {
		g.bufferOf(s, target.Address, now).markFull(batch.BufferBytes, now.Add(foreignTime))
	}
	for owner, list := range byOwner {
		g.sendResults(s, owner, list...)
	}
}
