package serve

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// rateNoticeTTL is how long a notice reaches processes that were out of touch when it was published. Later,
// they learn the rate from the target's answers.
const rateNoticeTTL = 30 * time.Second

// rateNotice tells that a target has stated another request rate; 0 means no limit.
type rateNotice struct {
	Target    string  `json:"target"`
	PerSecond float64 `json:"rate"`
}

// rateNotices shares the request rates that targets state. Without it, each process of a large system
// would go on sending until it has had an answer of the target itself.
type rateNotices struct {
	log     *zap.Logger
	network peer.Network
	table   *pool.Table
	// published is the number of notices published.
	published atomic.Uint64
}

// newRateNotices returns notices that are sent and received from now on. Call it before the network starts
// and before the first Apply of the table.
func newRateNotices(log *zap.Logger, network peer.Network, table *pool.Table) *rateNotices {
	n := &rateNotices{log: log, network: network, table: table}
	network.Subscribe(peer.TopicRate, n.receive)
	table.OnRateChange(n.publish)
	return n
}

func (n *rateNotices) publish(target *pool.Target) {
	notice := rateNotice{Target: target.ID, PerSecond: target.RateLimit()}
	if err := n.network.Publish(peer.TopicRate, target.ID, n.published.Add(1), rateNoticeTTL, notice); err != nil {
		n.log.Warn("Failed to tell the peers which request rate a target states.", zap.String("target", target.ID), zap.Error(err))
	}
}

func (n *rateNotices) receive(item peer.Item) {
	var notice rateNotice
	if err := json.Unmarshal(item.Body, &notice); err != nil {
		n.log.Warn("A peer's notice of a request rate can't be decoded.", zap.String("member", string(item.Origin)), zap.Error(err))
		return
	}
	if notice.PerSecond >= 0 {
		n.table.LearnRateLimit(notice.Target, notice.PerSecond, time.Now())
	}
}
