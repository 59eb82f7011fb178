package gather

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Processes that start together know few of each other for half a second, and
// each small group has a gatherer of its own for every cell. All of them call
// the same targets, which are full for most, and each goes on trying with what
// it has long after the processes have met. One notices it by targets that are
// full while another process is the cell's gatherer: then the items are handed
// back to their owners, who hand them to that one.

// errHandedBack means that a gatherer has handed items back.
var errHandedBack = errors.New("the gatherer has handed items back")

// handBack gives all that waits back to its owners. The caller holds mu.
func (g *Gatherer) handBack(c *cell) {
	byOwner := map[string][]Result{}
	for _, w := range c.queue.drop(time.Time{}, 0, anyItem) {
		c.ledger.begun(w.Key)
		byOwner[w.owner] = append(byOwner[w.owner], Result{Key: w.Key, Reason: Moved})
	}
	for owner, list := range byOwner {
		g.stats.HandedBack += len(list)
		g.hand(c, owner, list...)
	}
}

func anyItem(*waiting, time.Time, time.Duration) bool { return true }

// mayGather tells whether this process is to gather for a cell as far as it
// knows. The caller may hold the gatherer's mu.
func (r *Requester) mayGather(cell Cell) bool {
	return r.gatherers(cell, time.Now())[0] == r.network.Self().Incarnation
}

// takeBack hands items that a gatherer gave back to the right one. Where this
// process still takes the giver for that, it knows less than the giver does, or
// more: the giver is passed by for a while.
func (r *Requester) takeBack(cell Cell, list []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	byGiver := map[peer.Incarnation]int{}
	r.mu.Lock()
	for _, p := range list {
		byGiver[p.gatherer]++
	}
	r.mu.Unlock()
	first := r.gatherers(cell, time.Now())[0]
	if byGiver[first] > 0 && first != r.network.Self().Incarnation {
		r.passBy(first, errHandedBack)
	}
	err := r.submit(ctx, cell, list)
	if err == nil {
		return
	}
	r.log.Warn("Items that were handed back found no gatherer.", zap.String("service", cell.Service),
		zap.Int("items", len(list)), zap.Error(err))
	r.giveUp(list, reasonOf(err))
}

// giveUp tells the requests that wait that their items won't be made.
func (r *Requester) giveUp(list []*pending, reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range list {
		if r.pending[p.item.Key] == p {
			delete(r.pending, p.item.Key)
			p.done <- Result{Key: p.item.Key, Reason: reason}
		}
	}
}

func reasonOf(err error) Reason {
	var refused *Refused
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return Broken
}

