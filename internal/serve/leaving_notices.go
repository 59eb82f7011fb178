package serve

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// leavingNoticeTTL is how long a notice reaches processes that were out of touch when it was published. Later, the
// list has the target as draining or gone, or the target tells them itself.
const leavingNoticeTTL = 30 * time.Second

// leavingNotices tells the other processes which targets have said in their answers that they leave. Each of them
// would hear it from the target itself, but only in return for a request, and processes that differ in the targets
// that they use divide stage targets differently.
type leavingNotices struct {
	log     *zap.Logger
	network peer.Network
	table   *pool.Table
	// published is the number of notices published.
	published atomic.Uint64
}

// newLeavingNotices returns notices that are sent and received from now on. Call it before the network starts
// and before the first Apply of the table.
func newLeavingNotices(log *zap.Logger, network peer.Network, table *pool.Table) *leavingNotices {
	n := &leavingNotices{log: log, network: network, table: table}
	network.Subscribe(peer.TopicLeaving, n.receive)
	table.OnLeaving(n.publish)
	return n
}

func (n *leavingNotices) publish(run pool.Run) {
	key := fmt.Sprintf("%s/%d/%s", run.ID, run.Born, run.Address)
	if err := n.network.Publish(peer.TopicLeaving, key, n.published.Add(1), leavingNoticeTTL, run); err != nil {
		n.log.Warn("Failed to tell the peers that a target leaves.", zap.String("target", run.ID), zap.Error(err))
	}
}

func (n *leavingNotices) receive(item peer.Item) {
	var run pool.Run
	if err := json.Unmarshal(item.Body, &run); err != nil {
		n.log.Warn("A peer's notice of a target that leaves can't be decoded.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	n.table.LearnLeaving(run, time.Now())
}
