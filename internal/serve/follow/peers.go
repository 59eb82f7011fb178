package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const methodNews = "follow.news"

const (
	// askPeriod is how often a process that the store doesn't answer asks a
	// peer: several times within the shortest time in which a change has to be
	// in force, 2 s. One that the store seems to answer asks every calmPeriods
	// of these, lest the store has gone silent towards it alone.
	askPeriod   = 500 * time.Millisecond
	calmPeriods = 2
	// askTimeout bounds one question.
	askTimeout = 400 * time.Millisecond
	// patience is how long the store may fail before peers are asked.
	patience = 300 * time.Millisecond
	// catchUp is how much later than a peer the store may tell of a change
	// before its silence is taken for an outage.
	catchUp = 300 * time.Millisecond
	// lookouts is how many processes look out for changes with short calls of
	// the store. Two may be gone at once without anybody noticing.
	lookouts = 3
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
	f.lookout = func() bool { return isLookout(network) }
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
	if f.table.Known() && f.table.Newest() > call.Revision {
		n.Entries, n.Revision = f.table.Entries()
	}
	return n
}

// isLookout tells whether this process is among the first by rendezvous, which
// all processes reckon alike.
func isLookout(network peer.Network) bool {
	self := network.Self().Incarnation
	before := 0
	for _, m := range network.Members() {
		if m.State == peer.Alive && member.Hash(string(m.Incarnation)) > member.Hash(string(self)) {
			before++
		}
	}
	return before < lookouts
}

func (f *Follower) askPeers(ctx context.Context) {
	for n := 0; wait.For(ctx, askPeriod); n++ {
		failing := f.planFeed.failing() > patience || f.targetFeed.failing() > patience
		if failing || n%calmPeriods == 0 {
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
	call := newsCall{Version: f.plans.Version(), Revision: f.table.Newest()}
	if err := f.peers.network.Call(ctx, m.Incarnation, methodNews, call, &n); err != nil {
		f.log.Debug("Peer gave no news.", zap.String("member", string(m.Incarnation)), zap.Error(err))
		return
	}
	f.take(n)
}

// take applies a peer's news. The store should tell of the same; if it doesn't
// soon, it doesn't answer us any more.
func (f *Follower) take(n news) {
	if n.Plan != nil {
		f.apply(n.Plan, "peer")
		f.expect(f.planFeed)
	}
	if n.Revision > 0 {
		f.table.Reset(n.Entries, n.Revision, time.Now())
		f.expect(f.targetFeed)
	}
}

// expect ends a feed's call if it brings nothing soon.
func (f *Follower) expect(d *feed) {
	before := d.revision.Load()
	time.AfterFunc(catchUp, func() {
		if d.revision.Load() == before && d.failing() == 0 {
			f.log.Warn("A peer knows more than the store has told us.", zap.String("what", d.name), zap.Uint64("revision", before))
			d.end()
		}
	})
}
