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
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// maxEntries bounds the entries of targets in one message, which must stay below
	// peer.MaxMessageBytes.
	maxEntries = 2000
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
	// source is the process that vouched for the store last; empty where it no
	// longer does. Used by the asking loop alone.
	source peer.Incarnation
}

func (p *peers) chosen(view *peer.View) watchers { return p.watchers.Get(view, chooseWatchers) }

// newsCall asks for what is newer than this.
type newsCall struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	// Evacuations is the revision of the last change of any evacuation.
	Evacuations uint64 `json:"evacuations,omitempty"`
	// Changes tells that the caller takes changes since Revision in place of the
	// whole list. A process of an earlier version doesn't.
	Changes bool `json:"changes,omitempty"`
	// From asks for nothing but the entries of targets after an ID.
	From string `json:"from,omitempty"`
}

// news is what is newer; nil and empty where nothing is.
type news struct {
	Plan *plan.Plan `json:"plan,omitempty"`
	// Evacuated is the revision of the last change of any evacuation, if that is newer
	// than the caller's; 0 otherwise. Evacuations are all those in force then.
	Evacuated   uint64            `json:"evacuated,omitempty"`
	Evacuations []pool.Evacuation `json:"evacuations,omitempty"`
	// PlanUpTo, EvacuationsUpTo and TargetsUpTo are the store's revisions up to which
	// the answering process knows all changes of each. EvacuationsUpTo is 0 from a
	// process of an earlier version.
	PlanUpTo        uint64 `json:"plan_up_to,omitempty"`
	EvacuationsUpTo uint64 `json:"evacuations_up_to,omitempty"`
	TargetsUpTo     uint64 `json:"targets_up_to,omitempty"`
	// Revision is that of the list of targets; 0 where there is no news of it.
	// Changes are those since the caller's, Entries the whole list where they
	// can't be told.
	Revision uint64        `json:"revision,omitempty"`
	Changes  []pool.Change `json:"changes,omitempty"`
	Entries  []pool.Entry  `json:"entries,omitempty"`
	// More tells that Entries are a part of the list: others follow the last one's ID.
	More bool `json:"more,omitempty"`
	// Sound tells that the store answers this process and has told it of changes
	// just now.
	Sound bool `json:"sound,omitempty"`
	// ServedMS is for how long the store has served this process without a break.
	ServedMS int64 `json:"served_ms,omitempty"`
	// AgeMS is how long ago the store last told this process.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// UsePeers has this process ask its peers for news, and answer theirs. Call before
// the network starts.
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
	if call.From != "" {
		return f.entriesAfter(call.From, now)
	}
	age := now.Sub(f.told())
	n := news{
		Sound:       f.sound() && age < f.within().trust(),
		ServedMS:    now.Sub(time.Unix(0, f.served.Load())).Milliseconds(),
		AgeMS:       age.Milliseconds(),
		PlanUpTo:    f.orderFeed.revision.Load(),
		TargetsUpTo: f.table.UpTo(),
	}
	if p := f.plans.Current(); p != nil && p.Version > call.Version {
		n.Plan = p
	}
	f.evacuationNews(&n, call)
	if f.table.Known() && f.table.Newest() > call.Revision {
		if call.Changes {
			n.Changes, n.Revision = f.table.Since(call.Revision, now)
		}
		if len(n.Changes) == 0 {
			n.Entries, n.Revision, n.More = f.table.Entries("", maxEntries, now)
		}
	}
	return n
}

// entriesAfter is the part of the list of targets after an ID.
func (f *Follower) entriesAfter(id string, now time.Time) news {
	var n news
	n.Entries, n.Revision, n.More = f.table.Entries(id, maxEntries, now)
	return n
}

// evacuationNews adds what the caller lacks of the evacuations.
func (f *Follower) evacuationNews(n *news, call newsCall) {
	list, newest, upTo := f.table.Evacuations()
	n.EvacuationsUpTo = upTo
	if newest > call.Evacuations {
		n.Evacuated, n.Evacuations = newest, list
	}
}

// sound tells whether the store answers this process.
func (f *Follower) sound() bool {
	orders, targets := f.Failing()
	return orders == 0 && targets == 0 && f.table.Known() && f.plans.Current() != nil
}

// told is when the store last told this process of both things that it follows.
func (f *Follower) told() time.Time {
	return time.Unix(0, min(f.orderFeed.told.Load(), f.targetFeed.told.Load()))
}

// relayedFor is for how long what a feed knows still stands for the store's word,
// because a watcher vouches for it or the store itself has just told; 0 for a
// watcher. A process that has just started may only seem to be one, since it doesn't
// know its peers yet.
func (f *Follower) relayedFor(d *feed) time.Duration {
	if f.peers == nil || f.watcher() && time.Since(f.started) > f.within().settling() {
		return 0
	}
	last := max(f.peers.heard.Load(), d.told.Load())
	return f.within().trust() - time.Since(time.Unix(0, last))
}

// leastRetry is the shortest pause between calls of a store that fails. Those that
// don't watch it together call no more often than the watchers: an outage for all
// costs the same in any fleet, and when it ends the watchers tell the others.
func (f *Follower) leastRetry() time.Duration {
	if f.peers == nil {
		return firstRetry
	}
	if f.watcher() {
		return f.watcherRetry()
	}
	view := f.peers.network.View()
	watching := len(f.peers.chosen(view).others)
	others := 1 + len(view.Members) - watching
	return lastRetry * time.Duration(max(others, 1)) / time.Duration(max(watching, 1))
}

// watcherRetry is longer while another watcher is served: then the store turns this
// process away, which a watcher elsewhere makes up for.
func (f *Follower) watcherRetry() time.Duration {
	trust := f.within().trust()
	if time.Since(time.Unix(0, f.peers.heard.Load())) < trust {
		return trust
	}
	return firstRetry
}

func (f *Follower) askPeers(ctx context.Context) {
	for wait.For(ctx, f.within().askPeriod()) {
		f.askForNews(ctx)
	}
}

// askForNews asks the process that vouched for the store last, and another one at
// once where that one no longer does.
func (f *Follower) askForNews(ctx context.Context) {
	before := f.peers.source
	if before != "" && f.ask(ctx, before) {
		return
	}
	f.peers.source = ""
	whom, found := f.whomToAsk()
	if found && whom != before && f.ask(ctx, whom) {
		f.peers.source = whom
	}
}

// whomToAsk draws a watcher, or any process where this one has no word from the
// store: all watchers may be cut off.
func (f *Follower) whomToAsk() (peer.Incarnation, bool) {
	view := f.peers.network.View()
	others := f.peers.chosen(view).others
	if len(others) > 0 && (f.sound() || rand.IntN(2) == 0) {
		return others[rand.IntN(len(others))], true
	}
	if len(view.Members) == 0 {
		return "", false
	}
	return view.Members[rand.IntN(len(view.Members))].Incarnation, true
}

// ask takes in one process's news and tells whether it vouches for the store.
func (f *Follower) ask(ctx context.Context, whom peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var n news
	_, evacuations, _ := f.table.Evacuations()
	call := newsCall{Version: f.plans.Version(), Revision: f.table.Newest(), Evacuations: evacuations, Changes: true}
	if err := f.peers.network.Call(ctx, whom, methodNews, call, &n); err != nil {
		f.log.Debug("Peer gave no news.", zap.String("member", string(whom)), zap.Error(err))
		return false
	}
	if err := f.complete(ctx, whom, &n); err != nil {
		f.log.Debug("Peer's list of targets broke off.", zap.String("member", string(whom)), zap.Error(err))
		return false
	}
	if n.Sound {
		f.vouched(n, time.Now())
	}
	f.take(n)
	return n.Sound
}

// complete asks for the rest of a list of targets that has come in part. Changes
// meanwhile are asked for later, since the list is taken for as old as its beginning.
func (f *Follower) complete(ctx context.Context, whom peer.Incarnation, n *news) error {
	for n.More {
		var rest news
		call := newsCall{From: n.Entries[len(n.Entries)-1].ID}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		err := f.peers.network.Call(ctx, whom, methodNews, call, &rest)
		cancel()
		if err != nil {
			return err
		}
		n.Entries = append(n.Entries, rest.Entries...)
		n.More = rest.More && len(rest.Entries) > 0
	}
	return nil
}

// vouched notes that the store serves a peer. Through it this process is in touch
// with the store as well.
func (f *Follower) vouched(n news, now time.Time) {
	served := now.Add(-time.Duration(n.ServedMS) * time.Millisecond)
	if served.Sub(f.awaySince(f.targetFeed)) >= outage {
		// Nobody heard of the store until it served that peer again.
		f.table.ListBack(now)
	}
	f.peers.heard.Store(now.Add(-time.Duration(n.AgeMS) * time.Millisecond).UnixNano())
	f.peers.servedSince.Store(served.UnixNano())
	if f.watcher() {
		return // it has to know by itself
	}
	f.ended(f.orderFeed, now)
	f.ended(f.targetFeed, now)
}

// take applies a peer's news. The store should tell of the same; if it doesn't
// soon, it doesn't answer us any more.
func (f *Follower) take(n news) {
	if n.Plan != nil {
		f.apply(n.Plan, "peer")
		f.expect(f.orderFeed)
	}
	if n.Evacuated > 0 && f.table.MirrorEvacuations(n.Evacuations, n.Evacuated, n.EvacuationsUpTo, time.Now()) {
		f.expect(f.orderFeed)
	}
	// A peer without news of them has seen no change up to here either.
	f.table.ChangeEvacuations(nil, n.EvacuationsUpTo, time.Now())
	if n.Revision > 0 {
		f.mirror(n)
		f.expect(f.targetFeed)
	}
	if f.plans.Current() != nil {
		f.orderFeed.learn(min(n.PlanUpTo, n.EvacuationsUpTo))
	}
	if f.table.Known() {
		f.targetFeed.learn(n.TargetsUpTo)
	}
}

// learn notes that a peer has told all up to a revision. From there on the store
// can be asked for changes, which keeps its history for some seconds only.
func (d *feed) learn(revision uint64) {
	if revision <= d.revision.Load() {
		return
	}
	d.revision.Store(revision)
	d.known.Store(true)
}

// mirror takes in a peer's news of targets. While the store doesn't answer this
// process, what a peer's list lacks may have lapsed in the outage.
func (f *Follower) mirror(n news) {
	now := time.Now()
	if f.outageUntilNow(now) {
		f.table.ListBack(now)
	}
	if len(n.Changes) > 0 {
		f.table.Apply(n.Changes, n.TargetsUpTo, now)
		return
	}
	f.table.Mirror(n.Entries, n.Revision, now)
}

// outageUntilNow tells whether the store may have been away for all so long that
// entries have lapsed: it doesn't answer this process, or nobody has vouched for it
// for longer than a sound watcher's word is old.
func (f *Follower) outageUntilNow(now time.Time) bool {
	failing := f.targetFeed.failing()
	if failing >= outage {
		return !f.othersServed(now.Add(-failing))
	}
	return now.Sub(f.awaySince(f.targetFeed)) >= max(outage, f.within().trust())
}

// expect ends a feed's call if it brings nothing soon.
func (f *Follower) expect(d *feed) {
	if f.relayedFor(d) > 0 {
		return
	}
	before := d.told.Load()
	time.AfterFunc(catchUp, func() {
		if d.told.Load() == before && d.failing() == 0 {
			f.log.Warn("A peer knows more than the store has told us.", zap.String("what", d.name), zap.Uint64("revision", d.revision.Load()))
			d.end()
		}
	})
}
