// Package follow keeps the operator state (configuration and evacuations) and the target
// list up to date. They come from the store, and from peers while the store can't be
// reached. State is never discarded because of its age, only replaced by a newer version.
//
// A few processes, the watchers, watch the store with long-poll calls. The other processes
// poll a watcher for updates and call the store themselves only if no watcher confirms that
// it is healthy.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/fresh"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// ErrHistoryGone means that the store doesn't have the changes since the requested
// revision, so the full state must be read again. The revision returned with it is the start
// of the store's era: the store may have come back from a copy.
var ErrHistoryGone = errors.New("changes since the requested revision are no longer available")

// Source is the store that operators and targets write to. Each call also returns the
// revision up to which its result is complete.
type Source interface {
	// ReadOperatorState returns the full operator state.
	ReadOperatorState(ctx context.Context) (OperatorState, revision.Revision, error)
	// WatchOperatorState waits up to wait for changes after a revision.
	WatchOperatorState(ctx context.Context, after revision.Revision, wait time.Duration) (OperatorStateChanges, revision.Revision, error)
	// ReadTargets returns one page of the target list; an empty cursor requests the first
	// page.
	ReadTargets(ctx context.Context, cursor string) (TargetPage, error)
	// WatchTargets waits up to wait for changes after a revision.
	WatchTargets(ctx context.Context, after revision.Revision, wait time.Duration) (TargetChanges, revision.Revision, error)
}

// TargetChanges holds changes of the target list.
type TargetChanges struct {
	Changes []pool.Change
	// More is set when further changes exist that didn't fit in this answer.
	More bool
}

// TargetPage is one page of the target list.
type TargetPage struct {
	Entries []pool.Entry
	// AsOf is a revision up to which the page contains all changes; it may contain newer
	// ones.
	AsOf revision.Revision
	// Next is the cursor of the next page; empty on the last page.
	Next string
	// Bytes is the approximate memory of the page.
	Bytes int
}

// OperatorState is everything that operators have set.
type OperatorState struct {
	// Plan is the newest configuration; nil if there is none yet. PlanErr is set if one is
	// stored that can't be decoded.
	Plan    *plan.Plan
	PlanErr error
	// Evacuations are the evacuations in effect.
	Evacuations []pool.Evacuation
}

// OperatorStateChanges holds changes of the operator state.
type OperatorStateChanges struct {
	// Plan is nil if the configuration hasn't changed. PlanErr is set if it has changed to
	// one that can't be decoded.
	Plan        *plan.Plan
	PlanErr     error
	Evacuations []pool.EvacuationChange
}

func (c OperatorStateChanges) empty() bool { return c.Plan == nil && len(c.Evacuations) == 0 }

const (
	// readTimeout limits the read of the operator state or of one page of targets.
	readTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause limit the backoff between calls of watchers to a
	// failing store. For other processes see retryFloor.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 700 * time.Millisecond
	// minOutage is the shortest store outage after which entries of healthy targets may
	// have lapsed: about two of the intervals at which targets report.
	minOutage = 2 * time.Second
	// readTurnCheckInterval is how often a process that leaves the initial read to others
	// checks whether it has received the state from them.
	readTurnCheckInterval = 50 * time.Millisecond
	// offerTTL is how long a peer's statement that it can send the target list is relied
	// on.
	offerTTL = time.Second
	// sweepInterval is how often lapsed entries are checked, and idleSweepInterval how
	// often when there are none.
	sweepInterval     = 250 * time.Millisecond
	idleSweepInterval = time.Second
)

// Follower keeps the plan holder and the target table in sync with a Source.
type Follower struct {
	log    *zap.Logger
	source Source
	plans  *plan.Holder
	table  *pool.Table
	peers  *peers // nil if the process has no peers
	// started is when this process created the follower. readJitter is a random value in
	// [0, 1) that spreads the initial reads of processes that are not watchers.
	started    time.Time
	readJitter float64
	// bound is the current PropagationBound in nanoseconds.
	bound atomic.Int64
	// rejectedPlans counts the configurations that couldn't be used.
	rejectedPlans atomic.Int64
	// unusableParts counts the parts of configurations in force that couldn't be used.
	unusableParts atomic.Int64
	// servedSince is the Unix time in nanoseconds since which the store has answered this
	// process without interruption.
	servedSince atomic.Int64
	// isWatcher reports whether this process is one of the watchers. seeds returns the peer
	// addresses of the seeds.
	isWatcher func() bool
	seeds     func() []string
	// alwaysWatch makes this process watch the store itself regardless of its peers.
	alwaysWatch bool
	// packedUpdates and listServer hold what this process sends to its peers.
	packedUpdates packedUpdates
	listServer    listServer
	// listRead is the progress of reading the target list; used only by the goroutine of
	// targetFeed.
	listRead listRead
	// operatorFeed follows the operator state, targetFeed the target list.
	operatorFeed *feed
	targetFeed   *feed
	// catchUps are the calls that bring both up to date for requests.
	catchUps   fresh.Calls[struct{}]
	standstill standstill
}

// feed is the state of following either the operator state or the target list.
type feed struct {
	name string
	read func(context.Context) (revision.Revision, error)
	// watch waits for changes. It reports whether there were any and the answer held all of
	// them.
	watch func(ctx context.Context, after revision.Revision, wait time.Duration) (bool, revision.Revision, error)
	// watchNow gets the changes that there are. It reports whether there are more.
	watchNow func(ctx context.Context, after revision.Revision) (more bool, upTo revision.Revision, err error)
	// pauseAfterChanges adds a pause after changes; see PropagationBound.batchPause.
	pauseAfterChanges bool
	// onRecovery, if set, is called when the store answers again after it failed for all
	// processes for at least minOutage.
	onRecovery func(time.Time)
	// failingSince is the Unix time in nanoseconds since which the store has been failing;
	// 0 while it answers.
	failingSince atomic.Int64
	// synced is set once the full state has been received from the store or a peer.
	// revision is the one up to which all changes have been received.
	synced   atomic.Bool
	revision revision.Atomic
	// lostUpTo is the last revision from which the store could no longer send the changes; if
	// the store has come back from a copy, the start of its era.
	lostUpTo revision.Atomic
	// unsyncedSince is when synced was last unset, or when the follower was created; used
	// only by the goroutine of this feed.
	unsyncedSince time.Time
	// lastAnswer is the Unix time in nanoseconds of the store's last answer to this
	// process.
	lastAnswer atomic.Int64
	// mu guards cancelCall, which cancels the store call in progress. No other lock is
	// taken while mu is held.
	mu         sync.Mutex
	cancelCall context.CancelFunc
}

// AlwaysWatchStore makes this process watch the store itself regardless of its peers, for
// measurements. Call it after UsePeers.
func (f *Follower) AlwaysWatchStore() {
	f.alwaysWatch = true
	f.isWatcher = func() bool { return true }
}

// SetSeeds sets the function that returns the peer addresses of the seeds, which other
// processes contact first. Seeds read the initial state from the store immediately; other
// processes ask them first. Call it before Run.
func (f *Follower) SetSeeds(addresses func() []string) { f.seeds = addresses }

// New returns a Follower that updates plans and table from source.
func New(log *zap.Logger, source Source, plans *plan.Holder, table *pool.Table) *Follower {
	now := time.Now()
	f := &Follower{
		log: log, source: source, plans: plans, table: table, started: now,
		isWatcher: func() bool { return true }, seeds: func() []string { return nil },
		listServer: listServer{readers: map[peer.Incarnation]time.Time{}},
	}
	f.servedSince.Store(now.UnixNano())
	f.SetPropagationBound(DefaultPropagationBound)
	f.readJitter = rand.Float64()
	f.operatorFeed = &feed{
		name: "orders", read: f.readOperatorState, watch: f.watchOperatorState, watchNow: f.operatorChanges, unsyncedSince: now,
	}
	f.targetFeed = &feed{
		name: "targets", read: f.readTargets, watch: f.watchTargets, watchNow: f.targetChanges, pauseAfterChanges: true,
		onRecovery: table.ListRecovered, unsyncedSince: now,
	}
	return f
}

// Run follows the source until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.runFeed(ctx, f.operatorFeed) })
	loops.Go(func() { f.runFeed(ctx, f.targetFeed) })
	loops.Go(func() { f.sweep(ctx) })
	loops.Go(func() { f.runBeats(ctx) })
	if f.peers != nil {
		loops.Go(func() { f.runPeerPolling(ctx) })
		loops.Go(func() { f.runListFetches(ctx) })
	}
	loops.Wait()
}

func (f *Follower) sweep(ctx context.Context) {
	interval := idleSweepInterval
	for wait.For(ctx, interval) {
		now := time.Now()
		interval = idleSweepInterval
		if f.table.Sweep(now) > 0 {
			interval = sweepInterval
		}
		f.packedUpdates.dropExpired(now)
		f.listServer.dropExpired(now)
	}
}

// runFeed reads the full state and then waits for changes, repeatedly, unless a watcher
// does so for this process. The first call after a failure returns without waiting for
// changes, so that a store that is still silent is noticed early.
func (f *Follower) runFeed(ctx context.Context, d *feed) {
	healthy := false
	retry := minRetryPause
	for ctx.Err() == nil {
		if idleTime := f.idleTime(d); idleTime > 0 {
			wait.For(ctx, idleTime)
			continue
		}
		after := d.revision.Load()
		caughtUp, upTo, err := f.callStore(ctx, d, healthy)
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info("Changes can't be had; reading the whole.", zap.String("what", d.name), zap.Stringer("after", after),
				zap.Uint64("store_era", upTo.Era()))
			d.loseSync(max(after, upTo))
			continue
		}
		if err != nil {
			healthy = false
			first := f.noteFailure(ctx, d, err)
			f.pauseAfterFailure(ctx, first, retry)
			retry = min(2*retry, maxRetryPause)
			continue
		}
		d.syncedFromStore(upTo)
		f.noteAnswer(d)
		healthy, retry = true, minRetryPause
		if caughtUp && d.pauseAfterChanges {
			wait.For(ctx, f.propagationBound().batchPause())
		}
	}
}

// pauseAfterFailure waits after a failed store call. The store may have ended only this call,
// so the pause is short after the first failure. There is none for watchers, which other
// processes rely on.
func (f *Follower) pauseAfterFailure(ctx context.Context, first bool, retry time.Duration) {
	switch {
	case !first:
		wait.Jittered(ctx, max(retry, f.retryFloor()))
	case !f.isWatcher():
		wait.Jittered(ctx, minRetryPause)
	}
}

// idleTime returns how long a feed needs no store call; 0 if it needs one now.
func (f *Follower) idleTime(d *feed) time.Duration {
	if d.synced.Load() {
		if left := f.contactValidFor(d); left > 0 {
			return min(left, f.propagationBound().peerPollInterval())
		}
	}
	if !d.synced.Load() || f.lastContact(d) == 0 {
		if left := f.timeUntilRead(d, time.Now()); left > 0 {
			return min(left, readTurnCheckInterval)
		}
	}
	if d == f.operatorFeed && d.failingFor() > 0 && f.targetFeed.probesStore() {
		return minRetryPause
	}
	return 0
}

// probesStore reports whether the store fails for this feed and the feed calls it until it
// answers, so that others needn't. A feed that waits for its turn to read the full state again
// doesn't call.
func (d *feed) probesStore() bool {
	return d.failingFor() > 0 && (d.synced.Load() || d.lostUpTo.Load() == 0)
}

// timeUntilRead returns how long this feed waits for others to provide the full state; 0 or
// less if this process must read it from the store. While a peer offers the target list
// there is no need to read it, unless receiving it takes too long. The operator state is
// small, and a process that asks the store for changes of it has waited for others already,
// so after a loss of the history it is read at once.
func (f *Follower) timeUntilRead(d *feed, now time.Time) time.Duration {
	if d == f.operatorFeed && d.lostUpTo.Load() > 0 {
		return 0
	}
	if f.peers != nil && d == f.targetFeed && now.Sub(d.unsyncedSince) < time.Duration(f.propagationBound()) {
		lastOffer := time.Unix(0, f.peers.lastOffer.Load())
		if left := lastOffer.Add(offerTTL).Sub(now); left > 0 {
			return left
		}
	}
	return f.readTurn(d.unsyncedSince).Sub(now)
}

// syncedFromStore records that all changes up to a revision have been received from the
// store.
func (d *feed) syncedFromStore(upTo revision.Revision) {
	d.revision.Store(upTo)
	d.synced.Store(true)
}

// loseSync records that the store doesn't have the changes since a revision, or any before it.
func (d *feed) loseSync(upTo revision.Revision) {
	d.lostUpTo.Store(upTo)
	d.synced.Store(false)
	d.unsyncedSince = time.Now()
}

// callStore makes one store call. caughtUp is the first result of feed.watch.
func (f *Follower) callStore(ctx context.Context, d *feed, healthy bool) (caughtUp bool, upTo revision.Revision, err error) {
	if !d.synced.Load() {
		upTo, err = d.read(ctx)
		return false, upTo, err
	}
	bound := f.propagationBound()
	hold := bound.longPollTime()
	if !healthy {
		hold = 0
	}
	ctx, cancel := context.WithTimeout(ctx, hold+bound.longPollGrace())
	defer cancel()
	d.mu.Lock()
	d.cancelCall = cancel
	d.mu.Unlock()
	return d.watch(ctx, d.revision.Load(), hold)
}

// cancelCurrentCall cancels the store call in progress, whose answer is overdue.
func (d *feed) cancelCurrentCall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelCall != nil {
		d.cancelCall()
	}
}

// noteFailure records a failed store call. It reports whether it is the first one since the
// store was last reachable.
func (f *Follower) noteFailure(ctx context.Context, d *feed, err error) (first bool) {
	if ctx.Err() != nil {
		return false
	}
	first = d.failingSince.CompareAndSwap(0, f.unreachableSince(d).UnixNano())
	if first {
		f.log.Warn("Store doesn't answer.", zap.String("what", d.name), zap.Error(err))
	}
	return first
}

// unreachableSince returns the time since which the store may have been unreachable: its
// last contact with this process, direct or relayed, or now if there was none.
func (f *Follower) unreachableSince(d *feed) time.Time {
	last := f.lastContact(d)
	if last == 0 {
		return time.Now()
	}
	return time.Unix(0, last)
}

// lastContact returns the Unix time in nanoseconds of the store's last answer to this
// process or to a watcher that relayed it; 0 if there was none.
func (f *Follower) lastContact(d *feed) int64 {
	if f.peers == nil {
		return d.lastAnswer.Load()
	}
	return max(d.lastAnswer.Load(), f.peers.lastRelay.Load())
}

// noteAnswer records an answer of the store to this process.
func (f *Follower) noteAnswer(d *feed) {
	now := time.Now()
	previous := time.Unix(0, d.lastAnswer.Swap(now.UnixNano()))
	if now.Sub(previous) > f.propagationBound().contactTTL() || d.failingFor() > 0 {
		f.servedSince.Store(now.UnixNano())
	}
	f.noteReachable(d, now)
}

// noteReachable records that the store is reachable, by its own answer or through a
// watcher.
func (f *Follower) noteReachable(d *feed, now time.Time) {
	since := d.failingSince.Swap(0)
	if since == 0 {
		return
	}
	outageStart := time.Unix(0, since)
	outageDuration := now.Sub(outageStart)
	f.log.Info("Store answers again.", zap.String("what", d.name), zap.Duration("away", outageDuration))
	if outageDuration >= minOutage && d.onRecovery != nil && !f.othersServed(outageStart) {
		d.onRecovery(now)
	}
}

// othersServed reports whether the store served other processes while it didn't answer this
// one. In that case targets can reach the store as well and their entries don't lapse; if
// an entry is gone, its target has left.
func (f *Follower) othersServed(since time.Time) bool {
	if f.peers == nil {
		return false
	}
	lastRelay := time.Unix(0, f.peers.lastRelay.Load())
	relayServedSince := time.Unix(0, f.peers.servedSince.Load())
	return lastRelay.Sub(since) > f.propagationBound().partialOutageMargin() && !relayServedSince.After(since)
}

// FailingFor returns how long the store hasn't answered calls for the operator state and
// for targets; 0 while it answers.
func (f *Follower) FailingFor() (operatorState, targets time.Duration) {
	return f.operatorFeed.failingFor(), f.targetFeed.failingFor()
}

// failingFor returns how long the store has been failing; 0 while it answers.
func (d *feed) failingFor() time.Duration {
	since := d.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

func (f *Follower) readOperatorState(ctx context.Context) (revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	state, asOf, err := f.source.ReadOperatorState(ctx)
	if err != nil {
		return 0, err
	}
	f.notePlanErr(state.PlanErr, asOf)
	f.applyPlan(state.Plan, "store", asOf)
	f.table.ResetEvacuations(state.Evacuations, asOf, time.Now())
	return asOf, nil
}

func (f *Follower) watchOperatorState(ctx context.Context, after revision.Revision, hold time.Duration) (bool, revision.Revision, error) {
	changes, upTo, err := f.source.WatchOperatorState(ctx, after, hold)
	if err != nil {
		return false, upTo, err
	}
	f.notePlanErr(changes.PlanErr, upTo)
	f.applyPlan(changes.Plan, "store", upTo)
	f.table.ApplyEvacuations(changes.Evacuations, upTo, time.Now())
	return !changes.empty(), upTo, nil
}

// operatorChanges is feed.watchNow of the operator state, whose changes come as a whole.
func (f *Follower) operatorChanges(ctx context.Context, after revision.Revision) (more bool, upTo revision.Revision, err error) {
	_, upTo, err = f.watchOperatorState(ctx, after, 0)
	return false, upTo, err
}

// notePlanErr records that a configuration as of a revision can't be decoded. err may be
// nil.
func (f *Follower) notePlanErr(err error, asOf revision.Revision) {
	if err == nil {
		return
	}
	f.rejectedPlans.Add(1)
	f.log.Warn("Configuration can't be decoded; passed over.", zap.Stringer("revision", asOf), zap.Error(err))
}

// applyPlan puts a configuration into effect if it is present, valid and newer than the
// current one. asOf is the revision as of which it was sent.
func (f *Follower) applyPlan(p *plan.Plan, from string, asOf revision.Revision) {
	if p == nil {
		return
	}
	if err := p.Check(); err != nil {
		f.rejectedPlans.Add(1)
		f.log.Warn("Configuration can't be used; passed over.", zap.Uint64("version", p.Version), zap.String("from", from), zap.Error(err))
		return
	}
	if !f.plans.Apply(p) {
		return
	}
	f.unusableParts.Add(int64(len(p.Unusable)))
	for _, part := range p.Unusable[:min(len(p.Unusable), maxLoggedParts)] {
		f.log.Warn("Part of the configuration can't be used.", zap.Uint64("version", p.Version), zap.String("part", part))
	}
	f.log.Info("Configuration in force.", zap.Uint64("version", p.Version), zap.Int("routes", len(p.Routes)),
		zap.Int("teams", len(p.Teams)), zap.String("from", from), zap.Stringer("revision", asOf),
		zap.Duration("last_contact", f.ContactAge(time.Now())))
}

// maxLoggedParts limits the parts of a configuration that are logged one by one.
const maxLoggedParts = 16

// RejectedPlans returns how many configurations couldn't be used.
func (f *Follower) RejectedPlans() int64 { return f.rejectedPlans.Load() }

// UnusableParts returns how many parts of the configurations in force couldn't be used. Only processes that read the
// configuration from the store count them.
func (f *Follower) UnusableParts() int64 { return f.unusableParts.Load() }

// ContactAge returns the time since the store last answered this process, or a watcher that
// relayed it, about the operator state; 0 if it never has.
func (f *Follower) ContactAge(now time.Time) time.Duration {
	last := f.lastContact(f.operatorFeed)
	if last == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, last))
}

func (f *Follower) readTargets(ctx context.Context) (revision.Revision, error) {
	f.listRead.restartIfOld(time.Now())
	for {
		page, err := f.readPage(ctx, f.listRead.next)
		if err != nil {
			return 0, err
		}
		// The end of an outage must be recorded before the list is applied, so that targets
		// whose entries lapsed during the outage aren't removed at once.
		f.noteAnswer(f.targetFeed)
		last, err := f.listRead.add(page)
		if err != nil {
			return 0, err
		}
		if last {
			break
		}
	}
	list := f.listRead
	f.listRead = listRead{}
	f.table.Reset(list.entries, list.asOf, time.Now())
	return list.asOf, nil
}

func (f *Follower) readPage(ctx context.Context, cursor string) (TargetPage, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.source.ReadTargets(ctx, cursor)
}

func (f *Follower) watchTargets(ctx context.Context, after revision.Revision, hold time.Duration) (bool, revision.Revision, error) {
	changes, upTo, err := f.applyTargetChanges(ctx, after, hold)
	return len(changes.Changes) > 0 && !changes.More, upTo, err
}

// targetChanges is feed.watchNow of the target list.
func (f *Follower) targetChanges(ctx context.Context, after revision.Revision) (more bool, upTo revision.Revision, err error) {
	changes, upTo, err := f.applyTargetChanges(ctx, after, 0)
	return changes.More, upTo, err
}

func (f *Follower) applyTargetChanges(ctx context.Context, after revision.Revision, hold time.Duration) (TargetChanges, revision.Revision, error) {
	changes, upTo, err := f.source.WatchTargets(ctx, after, hold)
	if err != nil {
		return TargetChanges{}, upTo, err
	}
	f.noteAnswer(f.targetFeed)
	f.table.Apply(changes.Changes, upTo, time.Now())
	return changes, upTo, nil
}
