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

func (g *Gatherer) call(c *shard, batch *plan.Batch, target *pool.Target, taken []*waiting, items []Item, expected time.Duration) {
	ctx, cancel := context.WithTimeout(g.life, callPatience*expected+callSlack)
	defer cancel()
	started := time.Now()
	noted := g.table.Begin(target, 0, started)
	ended := make(chan struct{})
	results, err := g.stager.Run(ctx, target, items, func() { go g.watchFetch(c, items, ended) })
	close(ended)
	now := time.Now()
	noted.End(outcomeOf(results, err), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(c.working, target.ID)
	for _, w := range taken {
		delete(c.running, w.Key)
	}
	if err != nil {
		g.failed(c, target, taken, err, now)
	} else {
		g.finished(c, batch, target, taken, results, now)
		if !c.newcomer(batch, started) {
			g.notePace(c, target, now.Sub(started), expected, now)
		}
	}
	g.dispatch(c, batch, now)
}

// watchFetch waits until a call that has been written must have fetched its
// inputs, unless it ends before. The time counts from the writing: a small VM
// may stand still for a tenth of a second between its decision and that, and
// inputs given back too soon cost their request its whole chain.
func (g *Gatherer) watchFetch(c *shard, items []Item, ended <-chan struct{}) {
	timer := time.NewTimer(fetchTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		g.fetched(c, items)
	case <-ended:
	}
}

// fetched tells those who gathered the inputs of some items that they have been
// fetched.
func (g *Gatherer) fetched(c *shard, items []Item) {
	if g.leaveOut.Has(leaveout.EarlyRelease) {
		return
	}
	g.mu.Lock()
	groups := c.feeding.fetched(items)
	g.mu.Unlock()
	for _, group := range groups {
		g.release(group.allocator, group.inputs, false)
	}
}

func outcomeOf(results []Result, err error) pool.Outcome {
	switch {
	case errors.Is(err, ErrFull):
		return pool.Full
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

func (g *Gatherer) notePace(c *shard, target *pool.Target, actual, expected time.Duration, now time.Time) {
	if g.leaveOut.Has(leaveout.SlowTargets) {
		return
	}
	p := c.paces[target.ID]
	if p == nil {
		p = &pace{}
		c.paces[target.ID] = p
	}
	p.took(actual, expected, now)
}

// failed puts the items of a call without an answer back. The caller holds mu.
func (g *Gatherer) failed(c *shard, target *pool.Target, taken []*waiting, err error, now time.Time) {
	notRun := errors.Is(err, ErrFull) || upstream.NotSent(err)
	if notRun {
		c.pauses[target.ID] = now.Add(fullPause)
	}
	g.log.Warn("Call of a stage target failed.", zap.String("target", target.ID), zap.String("service", c.Service),
		zap.Int("items", len(taken)), zap.Error(err))
	for _, w := range taken {
		if notRun {
			w.tries--
		}
		g.again(c, w, target, TargetFailed)
	}
}

// again puts an item back into the queue, or gives it up. One whose inputs were given
// back already is given up at once: a second call would only find out that they are
// gone, and its request needs that time to start its stages over. The caller holds mu.
func (g *Gatherer) again(c *shard, w *waiting, target *pool.Target, reason Reason) {
	if c.feeding.released(w.Key) {
		g.stats.Failed++
		g.hand(c, w.owner, Result{Key: w.Key, Reason: InputGone})
		return
	}
	if w.tries >= maxTries {
		g.stats.Failed++
		g.hand(c, w.owner, Result{Key: w.Key, Reason: reason})
		return
	}
	g.stats.Retried++
	w.avoid = target.ID
	w.since = time.Now()
	c.queue.add(w)
}

// firstUnmade names the request of the first item that wasn't made.
func firstUnmade(taken []*waiting, results []Result) string {
	for i, r := range results {
		if r.Reason != Made {
			return taken[i].Request
		}
	}
	return ""
}

// finished hands out the results of a call. The caller holds mu.
func (g *Gatherer) finished(c *shard, batch *plan.Batch, target *pool.Target, taken []*waiting, results []Result, now time.Time) {
	byOwner := map[string][]Result{}
	lacking := false
	unmade := map[Reason]int{}
	for i, w := range taken {
		r := results[i]
		if r.Reason != Made {
			unmade[r.Reason]++
		}
		r.Key = w.Key
		r.Zone = target.Zone
		switch r.Reason {
		case NoSpace:
			lacking = true
			w.tries-- // it wasn't tried
			g.again(c, w, target, NoSpace)
			continue
		case TargetFailed:
			g.again(c, w, target, TargetFailed)
			continue
		case Made:
			g.bufferOf(c, target.Address, now).put(r.Handle, w.Bytes, now.Add(batch.Keep))
			if group := c.feeding.made(w.Key); group != nil {
				go g.release(group.allocator, group.inputs, true)
			}
		}
		byOwner[w.owner] = append(byOwner[w.owner], r)
	}
	if len(unmade) > 0 {
		g.log.Info("Items of a call weren't made.", zap.String("target", target.ID), zap.String("service", c.Service),
			zap.Int("items", len(taken)), zap.Any("reasons", unmade), zap.String("request", firstUnmade(taken, results)))
	}
	if lacking {
		g.bufferOf(c, target.Address, now).full(batch.BufferBytes, now.Add(foreignTime))
	}
	for owner, list := range byOwner {
		g.hand(c, owner, list...)
	}
}
