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
	"github.com/vanillagate/vanillagate/internal/serve/revision"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// updatesTimeout limits one request for updates.
	updatesTimeout = 250 * time.Millisecond
	// initialPollPause is the first pause between polls of a process without state. The
	// pauses grow up to maxInitialPollPause.
	initialPollPause    = 25 * time.Millisecond
	maxInitialPollPause = 150 * time.Millisecond
	// storeLagTolerance is how long after a peer the store may deliver a change before its
	// silence is treated as an outage.
	storeLagTolerance = 300 * time.Millisecond
	// sameZoneShare is the probability that a watcher in this process's zone is polled if
	// there is one, because traffic between zones has a cost.
	sameZoneShare = 0.75
)

// peers is the state of following through other processes. Most processes receive changes
// only from the watchers, so that a change doesn't cost a store call from each process.
type peers struct {
	network peer.Network
	// lastRelay is the Unix time in nanoseconds of the store's last answer to a healthy
	// watcher, as far as known here. servedSince is the time since which the store had
	// served that watcher without interruption.
	lastRelay   atomic.Int64
	servedSince atomic.Int64
	watchers    derived.Value[*peer.View, watchers]
	// relay is the process that last confirmed that the store is healthy; empty if it no
	// longer does. lastComplete is when a peer last sent all changes of the list. Both are
	// used only by the goroutine that polls peers.
	relay        peer.Incarnation
	lastComplete time.Time
	// holders passes a process to fetch the full list from. lastOffer is the Unix time in
	// nanoseconds at which a peer last reported that it has the list. partialList is used
	// only by the goroutine that fetches lists.
	holders     chan peer.Incarnation
	lastOffer   atomic.Int64
	partialList partialList
	// unconfirmed means that no peer confirms that the store is healthy. It is used only by
	// the goroutine that polls peers.
	unconfirmed bool
}

func (p *peers) currentWatchers(view *peer.View) watchers {
	return p.watchers.Get(view, chooseWatchers)
}

// requestList triggers a fetch of the full list, unless one is already pending.
func (p *peers) requestList(holder peer.Incarnation) {
	select {
	case p.holders <- holder:
	default:
	}
}

func (p *peers) clearHolders() {
	select {
	case <-p.holders:
	default:
	}
}

// UsePeers makes this process poll its peers for updates and answer their requests. Call it
// before the network starts.
func (f *Follower) UsePeers(network peer.Network) {
	f.peers = &peers{network: network, holders: make(chan peer.Incarnation, 1)}
	f.isWatcher = func() bool { return f.peers.currentWatchers(network.View()).includesSelf() }
	peer.HandleCall(network, methodUpdates, func(request updatesRequest) (any, error) { return f.answerUpdates(request), nil })
	peer.HandleCall(network, methodList, func(request partRequest) (any, error) { return f.listServer.serve(request, f.table, time.Now()) })
}

// storeHealthy reports whether the store answers this process and the process is
// initialized.
func (f *Follower) storeHealthy() bool {
	operatorState, targets := f.FailingFor()
	return operatorState == 0 && targets == 0 && f.initialized()
}

// lastAnswer returns the earlier of the store's last answers to this process about the
// operator state and about targets.
func (f *Follower) lastAnswer() time.Time {
	return time.Unix(0, min(f.operatorFeed.lastAnswer.Load(), f.targetFeed.lastAnswer.Load()))
}

// contactValidFor returns how much longer a feed counts as current because a watcher
// confirmed that the store is healthy or the store itself answered recently. It is 0 for
// watchers, which rely on their own calls. A newly started process may take itself for a
// watcher before it has discovered its peers, so the exception doesn't apply to it yet.
func (f *Follower) contactValidFor(d *feed) time.Duration {
	if f.peers == nil || f.isWatcher() && time.Since(f.started) > f.propagationBound().discoveryTime() {
		return 0
	}
	return f.propagationBound().contactTTL() - time.Since(time.Unix(0, f.lastContact(d)))
}

// retryFloor returns the shortest pause between calls to a failing store. All processes
// that are not watchers together call no more often than the watchers do. A full outage
// thus causes the same number of calls in a fleet of any size, and the watchers inform the
// others when it ends.
func (f *Follower) retryFloor() time.Duration {
	if f.peers == nil {
		return minRetryPause
	}
	if f.isWatcher() {
		return f.watcherRetry()
	}
	return f.peers.currentWatchers(f.peers.network.View()).nonWatcherRetry()
}

// watcherRetry returns a longer pause while the store serves another watcher: it then
// rejects only this process, which the other watcher makes up for.
func (f *Follower) watcherRetry() time.Duration {
	contactTTL := f.propagationBound().contactTTL()
	if time.Since(time.Unix(0, f.peers.lastRelay.Load())) < contactTTL {
		return contactTTL
	}
	return minRetryPause
}

func (f *Follower) runPeerPolling(ctx context.Context) {
	pause := initialPollPause
	for wait.For(ctx, pause) {
		f.pollPeers(ctx)
		f.noteConfirmation(time.Now())
		pause = min(pause*5/4, maxInitialPollPause)
		if f.initialized() {
			pause = f.propagationBound().peerPollInterval()
		}
	}
}

// noteConfirmation logs when peers no longer confirm that the store is healthy, and when
// they do again.
func (f *Follower) noteConfirmation(now time.Time) {
	age := now.Sub(time.Unix(0, f.peers.lastRelay.Load()))
	unconfirmed := f.peers.lastRelay.Load() != 0 && age > f.propagationBound().contactTTL()
	if unconfirmed == f.peers.unconfirmed {
		return
	}
	f.peers.unconfirmed = unconfirmed
	if unconfirmed {
		f.log.Warn("No peer confirms that the store answers.", zap.Duration("last_confirmed", age))
		return
	}
	f.log.Info("A peer confirms that the store answers.")
}

// initialized reports whether this process has the configuration and targets it needs to
// serve.
func (f *Follower) initialized() bool { return f.table.Loaded() && f.plans.Current() != nil }

// pollPeers asks the process that last confirmed that the store is healthy. If that one no
// longer does, it asks a watcher at once, and then any process, because all watchers may be
// cut off from the store.
func (f *Follower) pollPeers(ctx context.Context) {
	previous := f.peers.relay
	if previous != "" && f.pollPeer(ctx, previous) {
		return
	}
	f.peers.relay = ""
	view := f.peers.network.View()
	picks := []func(*peer.View) (peer.Incarnation, bool){f.pickWatcher, pickMember}
	if time.Since(f.started) > 2*f.propagationBound().discoveryTime() {
		picks = append(picks, pickMember)
	}
	for _, pick := range picks {
		member, found := pick(view)
		if !found || member == previous {
			continue
		}
		if f.pollPeer(ctx, member) {
			f.peers.relay = member
			return
		}
		if f.storeHealthy() {
			return
		}
	}
}

// pickWatcher picks a random watcher, or a seed for a newly started process.
func (f *Follower) pickWatcher(view *peer.View) (peer.Incarnation, bool) {
	if seed, found := f.pickSeed(view); found {
		return seed, true
	}
	currentWatchers := f.peers.currentWatchers(view)
	if currentWatchers.strong && currentWatchers.rank >= firstReaders && !f.initialized() {
		// The work of all processes depends on strong VMs, so these ask the first readers,
		// which have the state before the other watchers.
		return currentWatchers.all[rand.IntN(min(firstReaders, len(currentWatchers.all)))], true
	}
	if len(currentWatchers.sameZone) > 0 && rand.Float64() < sameZoneShare {
		return currentWatchers.sameZone[rand.IntN(len(currentWatchers.sameZone))], true
	}
	if len(currentWatchers.others) == 0 {
		return "", false
	}
	return currentWatchers.others[rand.IntN(len(currentWatchers.others))], true
}

// pickMember picks a random process.
func pickMember(view *peer.View) (peer.Incarnation, bool) {
	if len(view.Members) == 0 {
		return "", false
	}
	return view.Members[rand.IntN(len(view.Members))].Incarnation, true
}

// pickSeed picks a random seed for a newly started process: when all processes start at
// once, the seeds are the first to have state.
func (f *Follower) pickSeed(view *peer.View) (peer.Incarnation, bool) {
	if f.initialized() || time.Since(f.started) > f.propagationBound().discoveryTime() || rand.IntN(2) == 0 {
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

// pollPeer applies the updates of one process. It reports whether that process confirms
// that the store is healthy and has sent all changes of the target list.
func (f *Follower) pollPeer(ctx context.Context, member peer.Incarnation) bool {
	ctx, cancel := context.WithTimeout(ctx, updatesTimeout)
	defer cancel()
	var u updates
	if err := f.peers.network.Call(ctx, member, methodUpdates, f.newUpdatesRequest(), &u); err != nil {
		f.log.Debug("Peer didn't answer the request for updates.", zap.String("member", string(member)), zap.Error(err))
		return false
	}
	if err := u.unpack(); err != nil {
		f.log.Warn("Updates from a peer can't be decoded.", zap.String("member", string(member)), zap.Error(err))
		return false
	}
	if f.fromEarlierEra(u) {
		f.log.Debug("Peer's updates are from an earlier era of the store.", zap.String("member", string(member)),
			zap.Stringer("targets", u.TargetsUpTo), zap.Stringer("evacuations", u.EvacuationsUpTo), zap.Uint64("known_era", f.knownEra()))
		f.applyPlan(u.Plan, "peer", u.PlanUpTo) // configurations are ordered by their own versions
		return false
	}
	if u.StoreHealthy {
		f.noteRelay(u, time.Now())
	}
	f.applyUpdates(u)
	return u.StoreHealthy && f.noteListCoverage(u, member, time.Now())
}

func (f *Follower) newUpdatesRequest() updatesRequest {
	_, evacuations, _ := f.table.Evacuations()
	request := updatesRequest{
		Version: f.plans.Version(), NewestKnown: f.table.LastChangeRevision(), EvacuationsRevision: evacuations, AcceptsChanges: true, AcceptsPacked: true, KnowsEras: true,
	}
	if !f.table.Loaded() {
		request.NoList = true
		return request
	}
	if synced := f.targetFeed.revision.Load(); synced.Era() == request.NewestKnown.Era() {
		request.SyncedTo = synced
	}
	return request
}

// noteListCoverage reports whether a peer has sent all changes of the list. If it couldn't,
// and no other peer has lately, the full list is requested.
func (f *Follower) noteListCoverage(u updates, member peer.Incarnation, now time.Time) bool {
	if !u.needsList() {
		f.peers.lastComplete = now
		return true
	}
	f.peers.lastOffer.Store(now.UnixNano())
	if u.TooManyChanges || !f.table.Loaded() || now.Sub(f.peers.lastComplete) > 2*f.propagationBound().peerPollInterval() {
		f.peers.requestList(member)
	}
	return false
}

// noteRelay records that the store serves a peer, which keeps this process in contact with
// the store.
func (f *Follower) noteRelay(u updates, now time.Time) {
	served := now.Add(-peerMillis(u.ServedMS))
	if served.Sub(f.unreachableSince(f.targetFeed)) >= minOutage {
		// Until the store served that peer again, no process had contact with it.
		f.table.ListRecovered(now)
	}
	f.peers.lastRelay.Store(now.Add(-peerMillis(u.AgeMS)).UnixNano())
	f.peers.servedSince.Store(served.UnixNano())
	if f.isWatcher() {
		return // watchers rely on their own calls
	}
	f.noteReachable(f.operatorFeed, now)
	f.noteReachable(f.targetFeed, now)
}

// applyUpdates applies a peer's updates. The store should soon deliver the same changes; if
// it doesn't, it is assumed to no longer answer this process, and the call in progress is
// cancelled.
func (f *Follower) applyUpdates(u updates) {
	if u.Plan != nil {
		f.applyPlan(u.Plan, "peer", u.PlanUpTo)
		f.expectFromStore(f.operatorFeed)
	}
	if u.EvacuationsRevision > 0 && f.table.ResetEvacuationsFromPeer(u.Evacuations, u.EvacuationsRevision, u.EvacuationsUpTo, time.Now()) {
		f.expectFromStore(f.operatorFeed)
	}
	// A peer that sends no evacuations has seen no change of them up to this revision
	// either.
	f.table.ApplyEvacuations(nil, u.EvacuationsUpTo, time.Now())
	if len(u.Changes) > 0 && f.table.Loaded() {
		now := time.Now()
		f.restoreLapsedAfterOutage(now)
		f.table.Apply(u.Changes.usable(), u.TargetsUpTo, now)
		f.expectFromStore(f.targetFeed)
	}
	if f.plans.Current() != nil {
		f.operatorFeed.syncedFromPeer(min(u.PlanUpTo, u.EvacuationsUpTo))
	}
	if f.table.Loaded() && !u.needsList() {
		f.targetFeed.syncedFromPeer(u.TargetsUpTo)
	}
}

// syncedFromPeer records that a peer has sent all changes up to a revision. Watching the
// store continues from there, since the store keeps its history for only a few seconds. A
// peer that knows no more than what the store can't continue from doesn't help.
func (d *feed) syncedFromPeer(upTo revision.Revision) {
	lost := d.lostUpTo.Load()
	stillLost := lost > 0 && upTo <= lost && !d.synced.Load()
	if stillLost || upTo < d.revision.Load() {
		return
	}
	d.revision.Store(upTo)
	d.synced.Store(true)
}

// restoreLapsedAfterOutage is called before a peer's target updates are applied. If the
// store may have been down until now, entries missing from the peer's list may have lapsed
// meanwhile, so their targets are kept for a grace period.
func (f *Follower) restoreLapsedAfterOutage(now time.Time) {
	if f.inOutage(now) {
		f.table.ListRecovered(now)
	}
}

// inOutage reports whether the store may have been down for all processes long enough for
// entries to lapse: it doesn't answer this process, or the last contact with it is older
// than a healthy watcher's relayed contact can be.
func (f *Follower) inOutage(now time.Time) bool {
	failingFor := f.targetFeed.failingFor()
	if failingFor >= minOutage {
		return !f.othersServed(now.Add(-failingFor))
	}
	return now.Sub(f.unreachableSince(f.targetFeed)) >= max(minOutage, f.propagationBound().contactTTL())
}

// expectFromStore cancels the feed's store call if the store doesn't answer within
// storeLagTolerance.
func (f *Follower) expectFromStore(d *feed) {
	if f.contactValidFor(d) > 0 {
		return
	}
	previous := d.lastAnswer.Load()
	time.AfterFunc(storeLagTolerance, func() {
		if d.lastAnswer.Load() == previous && d.failingFor() == 0 {
			f.log.Warn("A peer knows more than the store has told us.", zap.String("what", d.name), zap.Stringer("revision", d.revision.Load()))
			d.cancelCurrentCall()
		}
	})
}
