package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const methodNews = "follow.news"

const (
	// askPeriod is how often a process that the store doesn't answer asks a
	// peer: several times within the shortest time in which a change has to be
	// in force, 2 s.
	askPeriod = 500 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 400 * time.Millisecond
	// patience is how long the store may fail before peers are asked.
	patience = 300 * time.Millisecond
)

// peers are the other processes, asked for news while the store doesn't answer.
type peers struct{ network peer.Network }

// newsCall asks for what is newer than this.
type newsCall struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}

// news is what is newer; nil and empty where nothing is.
type news struct {
	Plan     *plan.Plan   `json:"plan,omitempty"`
	Entries  []pool.Entry `json:"entries,omitempty"`
	Revision uint64       `json:"revision,omitempty"`
}

// UsePeers has peers asked while the store doesn't answer, and theirs answered.
// Call before the network starts.
func (f *Follower) UsePeers(network peer.Network) {
	f.peers = &peers{network: network}
	network.Handle(methodNews, func(_ context.Context, params json.RawMessage) (any, error) {
		var call newsCall
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, err
		}
		return f.newsSince(call), nil
	})
}

func (f *Follower) newsSince(call newsCall) news {
	var n news
	if p := f.plans.Current(); p != nil && p.Version > call.Version {
		n.Plan = p
	}
	if f.table.Known() && f.table.Revision() > call.Revision {
		n.Entries, n.Revision = f.table.Entries()
	}
	return n
}

func (f *Follower) askPeers(ctx context.Context) {
	for wait.For(ctx, askPeriod) {
		if f.planFeed.failing() > patience || f.targetFeed.failing() > patience {
			f.askOne(ctx)
		}
	}
}

func (f *Follower) askOne(ctx context.Context) {
	members := f.peers.network.Members()
	if len(members) == 0 {
		return
	}
	m := members[rand.IntN(len(members))]
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var n news
	call := newsCall{Version: f.plans.Version(), Revision: f.table.Revision()}
	if err := f.peers.network.Call(ctx, m.Incarnation, methodNews, call, &n); err != nil {
		f.log.Debug("Peer gave no news.", zap.String("member", string(m.Incarnation)), zap.Error(err))
		return
	}
	f.apply(n.Plan, "peer")
	if n.Revision > 0 {
		f.table.Reset(n.Entries, n.Revision, time.Now())
	}
}
