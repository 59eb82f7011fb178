package follow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/derived"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const methodNews = "follow.news"

const (
	// askPeriod is how often a process asks a watcher for news: several times
	// within the shortest time in which a change has to be in force, 2 s.
	askPeriod = 300 * time.Millisecond
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// trust is how long what the store told a watcher stands for its word here.
	// Usually it is 0.8 s and a question's period old at most. What is left to
	// 2 s is for this process's own call of the store.
	trust = 1500 * time.Millisecond
	// catchUp is how much later than a peer the store may tell of a change
	// before its silence is taken for an outage.
	catchUp = 300 * time.Millisecond
)

// peers are the other processes. Most of them hear of changes from the
// watchers alone, so that a change doesn't cost a call of the store from each.
type peers struct {
	network peer.Network
	// heard is the Unix nanosecond at which the store had last told a sound
	// watcher, as far as known here; servedSince since when it had served that one.
	heard       atomic.Int64
	servedSince atomic.Int64
	watchers    derived.Value[*peer.View, watchers]
}

func (p *peers) chosen(view *peer.View) watchers { return p.watchers.Get(view, chooseWatchers) }

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
	// Sound tells that the store answers this process, and that it is a watcher.
	Sound bool `json:"sound,omitempty"`
	// ServedMS is for how long the store has served this process without a break.
	ServedMS int64 `json:"served_ms,omitempty"`
	// AgeMS is how long ago the store last told this process.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// UsePeers has peers asked while the store doesn't answer, and theirs answered.
// Call before the network starts.
func (f *Follower) UsePeers(network peer.Network) {
	f.peers = &peers{network: network}
	f.watcher = func() bool { return f.peers.chosen(network.View()).self }
	network.Handle(methodNews, func(_ context.Context, params json.RawMessage) (any, error) {
		var call newsCall
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, err
		}
		return f.newsSince(call), nil
	})
}

func (f *Follower) newsSince(call newsCall) news {
	now := time.Now()
	n := news{
		Sound:    f.sound() && f.watcher(),
		ServedMS: now.Sub(time.Unix(0, f.served.Load())).Milliseconds(),
		AgeMS:    now.Sub(f.told()).Milliseconds(),
	}
	if p := f.plans.Current(); p != nil && p.Version > call.Version {
		n.Plan = p
	}
	if f.table.Known() && f.table.Newest() > call.Revision {
		n.Entries, n.Revision = f.table.Entries()
	}
	return n
}

// sound tells whether the store answers this process.
func (f *Follower) sound() bool {
	plan, targets := f.Failing()
	return plan == 0 && targets == 0 && f.table.Known() && f.plans.Current() != nil
}

// told is when the store last told this process of both things that it follows.
func (f *Follower) told() time.Time {
	return time.Unix(0, min(f.planFeed.told.Load(), f.targetFeed.told.Load()))
}

// relayed tells whether a sound watcher's answers stand for the store's.
func (f *Follower) relayed() bool {
	if f.peers == nil || f.watcher() {
		return false
	}
	return time.Since(time.Unix(0, f.peers.heard.Load())) < trust
}

func (f *Follower) askPeers(ctx context.Context) {
	for wait.For(ctx, askPeriod) {
		f.askOne(ctx)
	}
}

// whomToAsk draws a watcher, or any process where this one can't reach the
// store: a watcher may be cut off alike.
func (f *Follower) whomToAsk() (peer.Incarnation, bool) {
	view := f.peers.network.View()
	if f.sound() {
		if others := f.peers.chosen(view).others; len(others) > 0 {
			return others[rand.IntN(len(others))], true
		}
	}
	if len(view.Members) == 0 {
		return "", false
	}
	return view.Members[rand.IntN(len(view.Members))].Incarnation, true
}

func (f *Follower) askOne(ctx context.Context) {
	whom, found := f.whomToAsk()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var n news
	call := newsCall{Version: f.plans.Version(), Revision: f.table.Newest()}
	if err := f.peers.network.Call(ctx, whom, methodNews, call, &n); err != nil {
		f.log.Debug("Peer gave no news.", zap.String("member", string(whom)), zap.Error(err))
		return
	}
	if n.Sound {
		now := time.Now()
		f.peers.heard.Store(now.Add(-time.Duration(n.AgeMS) * time.Millisecond).UnixNano())
		f.peers.servedSince.Store(now.Add(-time.Duration(n.ServedMS) * time.Millisecond).UnixNano())
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
		f.mirror(n)
		f.expect(f.targetFeed)
	}
}

// mirror takes in a peer's list of targets. While the store doesn't answer this
// process, what a peer's list lacks may have lapsed in the outage.
func (f *Follower) mirror(n news) {
	now := time.Now()
	failing := f.targetFeed.failing()
	if failing >= outage && !f.othersServed(now.Add(-failing)) {
		f.table.ListBack(now)
	}
	f.table.Mirror(n.Entries, n.Revision, now)
}

// expect ends a feed's call if it brings nothing soon.
func (f *Follower) expect(d *feed) {
	if f.relayed() {
		return
	}
	before := d.revision.Load()
	time.AfterFunc(catchUp, func() {
		if d.revision.Load() == before && d.failing() == 0 {
			f.log.Warn("A peer knows more than the store has told us.", zap.String("what", d.name), zap.Uint64("revision", before))
			d.end()
		}
	})
}
