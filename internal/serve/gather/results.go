package gather

import (
	"context"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// deliver sends results to their owner and frees those that can't be delivered.
func (r *Requester) deliver(owner string, shard Shard, results []Result) {
	if owner == string(r.network.Self().Incarnation) {
		r.receive(r.network.Self().Incarnation, shard, results)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
	defer cancel()
	err := r.network.Call(ctx, peer.Incarnation(owner), methodResults, resultsCall{
		Allocator: Allocator{Shard: shard, Gatherer: r.network.Self().Incarnation}, Results: results,
	}, nil)
	if err == nil {
		return
	}
	r.log.Warn("Could not deliver results; freeing them.", zap.String("member", owner), zap.Int("results", len(results)), zap.Error(err))
	r.own.Free(shard, handlesOf(results), true)
}

// receive passes a gatherer's results to the requests that wait for them and frees the others.
func (r *Requester) receive(gatherer peer.Incarnation, shard Shard, results []Result) {
	var unwanted []Result
	r.mu.Lock()
	for _, result := range results {
		result.gatherer = gatherer
		p := r.pending[result.Key]
		if p == nil {
			unwanted = append(unwanted, result)
			continue
		}
		delete(r.pending, result.Key)
		p.done <- result
	}
	r.mu.Unlock()
	r.own.countDiscarded(len(unwanted))
	r.Free(shard, unwanted)
}
