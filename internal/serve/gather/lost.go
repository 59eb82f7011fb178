package gather

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// resubmitLost asks the gatherers whether they still have the items and submits those again
// that were lost: a gatherer may have died or be frozen.
func (r *Requester) resubmitLost(ctx context.Context, shard Shard, wanted []*pending, seen map[Key]bool) error {
	byGatherer := map[peer.Incarnation][]*pending{}
	r.mu.Lock()
	for _, p := range wanted {
		if !seen[p.item.Key] && time.Since(p.submittedAt) >= checkPeriod {
			byGatherer[p.gatherer] = append(byGatherer[p.gatherer], p)
		}
	}
	r.mu.Unlock()
	for gatherer, list := range byGatherer {
		lost := r.lost(ctx, gatherer, shard, list)
		if len(lost) == 0 {
			continue
		}
		r.log.Warn("Items got lost; handed over again.", zap.String("member", string(gatherer)),
			zap.String("request", lost[0].item.Request), zap.Int("items", len(lost)))
		if err := r.submit(ctx, shard, lost); err != nil {
			return err
		}
	}
	return nil
}

// lost returns those of the items that their gatherer no longer has.
func (r *Requester) lost(ctx context.Context, gatherer peer.Incarnation, shard Shard, list []*pending) []*pending {
	keys := make([]Key, 0, len(list))
	for _, p := range list {
		keys = append(keys, p.item.Key)
	}
	var unknown []Key
	if gatherer == r.network.Self().Incarnation {
		unknown = r.own.MissingItems(shard, keys)
	} else {
		ctx, cancel := context.WithTimeout(ctx, ackTimeout)
		defer cancel()
		if err := r.network.Call(ctx, gatherer, methodCheck, checkCall{Shard: shard, Keys: keys}, &unknown); err != nil {
			r.failOver(gatherer, err)
			return list
		}
	}
	return r.stillMissing(list, unknown)
}

// stillMissing returns the unknown items whose results didn't arrive while the gatherer was
// asked: it forgets an item just before the result arrives here.
func (r *Requester) stillMissing(list []*pending, unknown []Key) []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []*pending
	for _, p := range list {
		stillPending := r.pending[p.item.Key] == p
		if stillPending && slices.Contains(unknown, p.item.Key) && time.Since(p.submittedAt) > checkAfter {
			missing = append(missing, p)
		}
	}
	return missing
}
