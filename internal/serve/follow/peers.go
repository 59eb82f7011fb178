package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/derived"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// askTimeout bounds one question.
	askTimeout = 250 * time.Millisecond
	// firstAsk is when a process that knows nothing yet asks first. Its pauses grow to
	// uninformedAsk.
	firstAsk      = 25 * time.Millisecond
	uninformedAsk = 150 * time.Millisecond
	// catchUp is how much later than a peer the store may tell of a change
	// before its silence is taken for an outage.
	catchUp = 300 * time.Millisecond
	// nearShare is how often a watcher in this process's zone is asked, where there is
	// one: bytes that cross zones cost.
	nearShare = 0.75
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
	// longer does. complete is when a peer last told all changes of the list. Used by
	// the asking loop alone.
	source   peer.Incarnation
	complete time.Time
	// holders are processes to have the whole list from; offered is the Unix nanosecond
	// when one told last that it has it. gathered is used by the loop that asks them alone.
	holders  chan peer.Incarnation
	offered  atomic.Int64
	gathered gathered
}

func (p *peers) chosen(view *peer.View) watchers { return p.watchers.Get(view, chooseWatchers) }

// need has the whole list asked for, unless it is already.
func (p *peers) need(holder peer.Incarnation) {
	select {
	case p.holders <- holder:
	default:
	}
}

func (p *peers) drainHolders() {
	select {
	case <-p.holders:
	default:
	}
}

// UsePeers has this process ask its peers for news, and answer theirs. Call before
// the network starts.
func (f *Follower) UsePeers(network peer.Network) {
	f.peers = &peers{network: network, holders: make(chan peer.Incarnation, 1)}
	f.watcher = func() bool { return f.peers.chosen(network.View()).self() }
	peer.HandleCall(network, methodNews, func(c newsCall) (any, error) { return f.newsSince(c), nil })
	peer.HandleCall(network, methodList, func(c partCall) (any, error) { return f.lister.serve(c, f.table, time.Now()) })
}

// sound tells whether the store answers this process.
func (f *Follower) sound() bool {
	orders, targets := f.FailingFor()
	return orders == 0 && targets == 0 && f.informed()
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
	return f.within().trust() - time.Since(time.Unix(0, f.lastWord(d)))
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
	return f.peers.chosen(f.peers.network.View()).restRetry()
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
	pause := firstAsk
	for wait.For(ctx, pause) {
		f.askForNews(ctx)
		pause = min(pause*5/4, uninformedAsk)
		if f.informed() {
			pause = f.within().askPeriod()
		}
	}
}

// informed tells whether this process knows what it needs to serve.
func (f *Follower) informed() bool { return f.table.Loaded() && f.plans.Current() != nil }

// askForNews asks the process that vouched for the store last, and a watcher at once where
// that one no longer does. Where none does, any process may know more: all watchers may be
// cut off.
func (f *Follower) askForNews(ctx context.Context) {
	before := f.peers.source
	if before != "" && f.ask(ctx, before) {
		return
	}
	f.peers.source = ""
	view := f.peers.network.View()
	draws := []func(*peer.View) (peer.Incarnation, bool){f.watcherToAsk, anyToAsk}
	if time.Since(f.started) > 2*f.within().settling() {
		draws = append(draws, anyToAsk)
	}
	for _, draw := range draws {
		whom, found := draw(view)
		if !found || whom == before {
			continue
		}
		if f.ask(ctx, whom) {
			f.peers.source = whom
			return
		}
		if f.sound() {
			return
		}
	}
}

// watcherToAsk draws a watcher, or a seed for a process that has just started.
func (f *Follower) watcherToAsk(view *peer.View) (peer.Incarnation, bool) {
	if seed, found := f.seedToAsk(view); found {
		return seed, true
	}
	chosen := f.peers.chosen(view)
	if chosen.strong && chosen.rank >= firstReaders && !f.informed() {
		// Other strong VMs, on which the work of all depends, know no more; those that read
		// first do.
		return chosen.all[rand.IntN(min(firstReaders, len(chosen.all)))], true
	}
	if len(chosen.near) > 0 && rand.Float64() < nearShare {
		return chosen.near[rand.IntN(len(chosen.near))], true
	}
	if len(chosen.others) == 0 {
		return "", false
	}
	return chosen.others[rand.IntN(len(chosen.others))], true
}

// anyToAsk draws any process.
func anyToAsk(view *peer.View) (peer.Incarnation, bool) {
	if len(view.Members) == 0 {
		return "", false
	}
	return view.Members[rand.IntN(len(view.Members))].Incarnation, true
}

// seedToAsk draws a seed for a process that has just started: at a start of all seeds are
// the first to know something.
func (f *Follower) seedToAsk(view *peer.View) (peer.Incarnation, bool) {
	if f.informed() || time.Since(f.started) > f.within().settling() || rand.IntN(2) == 0 {
		return "", false
	}
	addresses := f.seeds()
	var seeds []peer.Incarnation
	for _, m := range view.Members {
		if m.State == peer.Alive && slices.Contains(addresses, m.PeerAddress) {
			seeds = append(seeds, m.Incarnation)
		}
	}
	if len(seeds) == 0 {
		return "", false
	}
	return seeds[rand.IntN(len(seeds))], true
}

// ask takes in one process's news and tells whether it vouches for the store.
func (f *Follower) ask(ctx context.Context, whom peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var n news
	if err := f.peers.network.Call(ctx, whom, methodNews, f.newsWanted(), &n); err != nil {
		f.log.Debug("Peer gave no news.", zap.String("member", string(whom)), zap.Error(err))
		return false
	}
	if err := n.unpack(); err != nil {
		f.log.Warn("Peer's news can't be read.", zap.String("member", string(whom)), zap.Error(err))
		return false
	}
	if n.Sound {
		f.vouched(n, time.Now())
	}
	f.take(n)
	return n.Sound && f.followsList(n, whom, time.Now())
}

func (f *Follower) newsWanted() newsCall {
	_, evacuations, _ := f.table.Evacuations()
	call := newsCall{
		Version: f.plans.Version(), Revision: f.table.LastChangeRevision(), Evacuations: evacuations, Changes: true, Packed: true,
	}
	if !f.table.Loaded() {
		call.NoList = true
		return call
	}
	call.UpTo = f.targetFeed.revision.Load()
	return call
}

// followsList tells whether a peer has told all changes of the list. Where it can't, and
// no other could lately, the whole list is asked for.
func (f *Follower) followsList(n news, whom peer.Incarnation, now time.Time) bool {
	if !n.lacking() {
		f.peers.complete = now
		return true
	}
	f.peers.offered.Store(now.UnixNano())
	if n.Many || !f.table.Loaded() || now.Sub(f.peers.complete) > 2*f.within().askPeriod() {
		f.peers.need(whom)
	}
	return false
}

// vouched notes that the store serves a peer. Through it this process is in touch
// with the store as well.
func (f *Follower) vouched(n news, now time.Time) {
	served := now.Add(-time.Duration(n.ServedMS) * time.Millisecond)
	if served.Sub(f.awaySince(f.targetFeed)) >= outage {
		// Nobody heard of the store until it served that peer again.
		f.table.ListRecovered(now)
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
	if n.Evacuated > 0 && f.table.ResetEvacuationsFromPeer(n.Evacuations, n.Evacuated, n.EvacuationsUpTo, time.Now()) {
		f.expect(f.orderFeed)
	}
	// A peer without news of them has seen no change up to here either.
	f.table.ApplyEvacuations(nil, n.EvacuationsUpTo, time.Now())
	if len(n.Changes) > 0 && f.table.Loaded() {
		now := time.Now()
		f.noteOutage(now)
		f.table.Apply(n.Changes, n.TargetsUpTo, now)
		f.expect(f.targetFeed)
	}
	if f.plans.Current() != nil {
		f.orderFeed.learn(min(n.PlanUpTo, n.EvacuationsUpTo))
	}
	if f.table.Loaded() && !n.lacking() {
		f.targetFeed.learn(n.TargetsUpTo)
	}
}

// learn notes that a peer has told all up to a revision. From there on the store
// can be asked for changes, which keeps its history for some seconds only.
func (d *feed) learn(revision uint64) {
	if revision < d.revision.Load() {
		return
	}
	d.revision.Store(revision)
	d.known.Store(true)
}

// noteOutage notes before a peer's news of targets is taken in that the store may have
// been away until now: what the peer's list lacks may have lapsed meanwhile.
func (f *Follower) noteOutage(now time.Time) {
	if f.outageUntilNow(now) {
		f.table.ListRecovered(now)
	}
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
