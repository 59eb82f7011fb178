// Package follow keeps operators' orders and the list of targets up to date:
// from the store that has them, and from peers while the store can't be
// reached. What is known is never given up for being old; newer versions
// replace it.
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
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// ErrHistoryGone means that changes since the asked revision can no longer be
// had: the whole has to be read anew.
var ErrHistoryGone = errors.New("history is no longer available")

// Source is the store that operators and targets write to. Each call gives the
// revision up to which its answer goes.
type Source interface {
	// ReadOperatorState gives all that operators have ordered.
	ReadOperatorState(ctx context.Context) (OperatorState, uint64, error)
	// WatchOperatorState waits for changes after a revision.
	WatchOperatorState(ctx context.Context, after uint64, wait time.Duration) (OperatorStateChanges, uint64, error)
	// ReadTargets gives a page of all entries, the first one for an empty cursor.
	ReadTargets(ctx context.Context, cursor string) (TargetPage, error)
	// WatchTargets waits for changes after a revision.
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) (TargetChanges, uint64, error)
}

// TargetChanges are what has changed of the list of targets.
type TargetChanges struct {
	Changes []pool.Change
	// More tells that other changes have happened already: they didn't fit in one answer.
	More bool
}

// TargetPage is a part of the list of targets.
type TargetPage struct {
	Entries []pool.Entry
	// AsOf is the revision as of which it was read, or later.
	AsOf uint64
	// Next is the cursor of the next page; empty for the last one.
	Next string
}

// OperatorState are all that operators have ordered.
type OperatorState struct {
	// Plan is the newest configuration; nil while there is none.
	Plan *plan.Plan
	// Evacuations are those in force.
	Evacuations []pool.Evacuation
}

// OperatorStateChanges are what has changed of Orders.
type OperatorStateChanges struct {
	// Plan is nil where the configuration hasn't changed.
	Plan        *plan.Plan
	Evacuations []pool.EvacuationChange
}

func (c OperatorStateChanges) empty() bool { return c.Plan == nil && len(c.Evacuations) == 0 }

const (
	// readTimeout bounds the reading of one page.
	readTimeout = 2 * time.Second
	// firstRetry and lastRetry pace the calls to a store that fails by those that
	// watch it for others; see leastRetry for the rest.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 700 * time.Millisecond
	// outage is how long the store must have failed for entries of sound targets
	// to have lapsed meanwhile: about two of the intervals in which they report.
	outage = 2 * time.Second
	// lookAgain is how often a process that leaves the reading to others looks whether
	// they have told it.
	lookAgain = 50 * time.Millisecond
	// offerStands is how long a peer's word stands that it has the list of targets.
	offerStands = time.Second
	// sweepPeriod is how often lapsed entries are looked at, idlePeriod how often it is
	// looked whether there are any.
	sweepPeriod = 250 * time.Millisecond
	idlePeriod  = time.Second
)

// Follower follows a source.
type Follower struct {
	log    *zap.Logger
	source Source
	plans  *plan.Holder
	table  *pool.Table
	peers  *peers // nil without
	// started is when this process began to follow, lot its place in [0, 1) among those
	// that read last what nobody knows.
	started time.Time
	lot     float64
	// bound is the Bound in force, in ns.
	bound atomic.Int64
	// served is the Unix nanosecond since when the store has answered without a
	// break.
	served atomic.Int64
	// watcher tells whether this process is one of those that watch the store, seeds the
	// peer addresses of those that others meet first.
	watcher func() bool
	seeds   func() []string
	// alone means that this process follows the store whatever its peers do.
	alone bool
	// packedNews and lister are what it tells its peers.
	packedNews packedNews
	lister     lister
	// reading is the list of targets as far as it was read; used by the loop that
	// follows them alone.
	reading reading
	// orderFeed and targetFeed are the two things followed.
	orderFeed  *feed
	targetFeed *feed
}

// feed is the state of following one thing.
type feed struct {
	name string
	read func(context.Context) (uint64, error)
	// watch waits for changes and tells whether there was news, and no more than it gave.
	watch func(ctx context.Context, after uint64, wait time.Duration) (bool, uint64, error)
	// paused tells that there is a pause after news; see Bound.newsPause.
	paused bool
	// back is called when the store answers again after an outage.
	back func(time.Time)
	// failingSince is the Unix nanosecond since when the store fails, 0 while it
	// answers.
	failingSince atomic.Int64
	// known tells that the whole was read, from the store or from a peer, and
	// revision up to which it and all changes since are known.
	known    atomic.Bool
	revision atomic.Uint64
	// lacksSince is since when it isn't known; used by the loop that follows it alone.
	lacksSince time.Time
	// told is the Unix nanosecond of the store's last answer to this process.
	told atomic.Int64
	// mu guards interrupt, which ends the call in progress; a leaf.
	mu        sync.Mutex
	interrupt context.CancelFunc
}

// AlwaysWatchStore has this process follow the store itself whatever its peers do, for
// measurements. Call it after UsePeers.
func (f *Follower) AlwaysWatchStore() {
	f.alone = true
	f.watcher = func() bool { return true }
}

// SetSeeds gives the peer addresses of the processes that others meet first. They read at once
// what they don't know; the others ask them first. Call before Run.
func (f *Follower) SetSeeds(addresses func() []string) { f.seeds = addresses }

// New makes a follower.
func New(log *zap.Logger, source Source, plans *plan.Holder, table *pool.Table) *Follower {
	now := time.Now()
	f := &Follower{
		log: log, source: source, plans: plans, table: table, started: now,
		watcher: func() bool { return true }, seeds: func() []string { return nil },
		lister: lister{readers: map[peer.Incarnation]time.Time{}},
	}
	f.served.Store(now.UnixNano())
	f.SetPropagationBound(DefaultPropagationBound)
	f.lot = rand.Float64()
	f.orderFeed = &feed{name: "orders", read: f.readOrders, watch: f.watchOrders, lacksSince: now}
	f.targetFeed = &feed{
		name: "targets", read: f.readTargets, watch: f.watchTargets, paused: true, back: table.ListRecovered, lacksSince: now,
	}
	return f
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.follow(ctx, f.orderFeed) })
	loops.Go(func() { f.follow(ctx, f.targetFeed) })
	loops.Go(func() { f.sweep(ctx) })
	if f.peers != nil {
		loops.Go(func() { f.askPeers(ctx) })
		loops.Go(func() { f.fetchLists(ctx) })
	}
	loops.Wait()
}

func (f *Follower) sweep(ctx context.Context) {
	period := idlePeriod
	for wait.For(ctx, period) {
		now := time.Now()
		period = idlePeriod
		if f.table.Sweep(now) > 0 {
			period = sweepPeriod
		}
		f.packedNews.forget(now)
		f.lister.forget(now)
	}
}

// follow reads the whole, then waits for changes, again and again, unless a
// watcher does it for this process. After a failure the first call asks for what
// is there already: a store that is still silent shows at once.
func (f *Follower) follow(ctx context.Context, d *feed) {
	sound := false
	retry := firstRetry
	for ctx.Err() == nil {
		if rest := f.rest(d); rest > 0 {
			wait.For(ctx, rest)
			continue
		}
		after := d.revision.Load()
		caughtUp, next, err := f.call(ctx, d, sound)
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info("Changes can't be had; reading the whole.", zap.String("what", d.name), zap.Uint64("after", after))
			d.known.Store(false)
			d.lacksSince = time.Now()
			continue
		}
		if err != nil {
			sound = false
			f.failed(ctx, d, err)
			wait.Around(ctx, max(retry, f.leastRetry()))
			retry = min(2*retry, lastRetry)
			continue
		}
		d.upTo(next)
		f.answered(d)
		sound, retry = true, firstRetry
		if caughtUp && d.paused {
			wait.For(ctx, f.within().newsPause())
		}
	}
}

// rest is how long a feed needs no call of the store; 0 if it needs one now.
func (f *Follower) rest(d *feed) time.Duration {
	if d.known.Load() {
		if left := f.relayedFor(d); left > 0 {
			return min(left, f.within().askPeriod())
		}
	}
	if !d.known.Load() || f.lastWord(d) == 0 {
		if left := f.untilReading(d, time.Now()); left > 0 {
			return min(left, lookAgain)
		}
	}
	// While the store fails one feed asks after it for both.
	if d == f.orderFeed && d.failing() > 0 && f.targetFeed.failing() > 0 {
		return firstRetry
	}
	return 0
}

// untilReading is how long a feed leaves to others to read the whole; 0 or less where this
// process has to. While a peer has the list to tell it needn't be read, unless that takes
// too long.
func (f *Follower) untilReading(d *feed, now time.Time) time.Duration {
	if f.peers != nil && d == f.targetFeed && now.Sub(d.lacksSince) < time.Duration(f.within()) {
		offered := time.Unix(0, f.peers.offered.Load())
		if left := offered.Add(offerStands).Sub(now); left > 0 {
			return left
		}
	}
	return f.readingTurn(d.lacksSince).Sub(now)
}

// upTo notes that all changes up to a revision are known from the store.
func (d *feed) upTo(revision uint64) {
	d.revision.Store(revision)
	d.known.Store(true)
}

// call makes one call of the store. caughtUp is as watch tells it.
func (f *Follower) call(ctx context.Context, d *feed, sound bool) (caughtUp bool, revision uint64, err error) {
	if !d.known.Load() {
		revision, err = d.read(ctx)
		return false, revision, err
	}
	bound := f.within()
	hold := bound.watchTime()
	if !sound {
		hold = 0
	}
	ctx, cancel := context.WithTimeout(ctx, hold+bound.watchSlack())
	defer cancel()
	d.mu.Lock()
	d.interrupt = cancel
	d.mu.Unlock()
	return d.watch(ctx, d.revision.Load(), hold)
}

// end ends the call in progress: its answer should have come.
func (d *feed) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupt != nil {
		d.interrupt()
	}
}

func (f *Follower) failed(ctx context.Context, d *feed, err error) {
	if ctx.Err() != nil {
		return
	}
	if d.failingSince.CompareAndSwap(0, f.awaySince(d).UnixNano()) {
		f.log.Warn("Store doesn't answer.", zap.String("what", d.name), zap.Error(err))
	}
}

// awaySince is since when the store may have been away, as seen at a first failure:
// since its last word to this process or to one that vouched for it.
func (f *Follower) awaySince(d *feed) time.Time {
	last := f.lastWord(d)
	if last == 0 {
		return time.Now()
	}
	return time.Unix(0, last)
}

// lastWord is the Unix nanosecond of the store's last word to this process or to one that
// vouched for it; 0 where there was none.
func (f *Follower) lastWord(d *feed) int64 {
	if f.peers == nil {
		return d.told.Load()
	}
	return max(d.told.Load(), f.peers.heard.Load())
}

// answered notes an answer of the store.
func (f *Follower) answered(d *feed) {
	now := time.Now()
	before := time.Unix(0, d.told.Swap(now.UnixNano()))
	if now.Sub(before) > f.within().trust() || d.failing() > 0 {
		f.served.Store(now.UnixNano())
	}
	f.ended(d, now)
}

// ended notes that the store is there, by its own answer or a watcher's word.
func (f *Follower) ended(d *feed, now time.Time) {
	since := d.failingSince.Swap(0)
	if since == 0 {
		return
	}
	began := time.Unix(0, since)
	away := now.Sub(began)
	f.log.Info("Store answers again.", zap.String("what", d.name), zap.Duration("away", away))
	if away >= outage && d.back != nil && !f.othersServed(began) {
		d.back(now)
	}
}

// othersServed tells whether the store served other processes while it didn't
// answer this one. Targets reach it then too, and none of their entries lapses;
// one that ends has left.
func (f *Follower) othersServed(since time.Time) bool {
	if f.peers == nil {
		return false
	}
	heard := time.Unix(0, f.peers.heard.Load())
	served := time.Unix(0, f.peers.servedSince.Load())
	return heard.Sub(since) > f.within().servedLater() && !served.After(since)
}

// FailingFor tells for how long the store hasn't answered about operators' orders
// and about targets; 0 while it does.
func (f *Follower) FailingFor() (orders, targets time.Duration) {
	return f.orderFeed.failing(), f.targetFeed.failing()
}

// failing tells for how long the store has been failing.
func (d *feed) failing() time.Duration {
	since := d.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

func (f *Follower) readOrders(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	orders, revision, err := f.source.ReadOperatorState(ctx)
	if err != nil {
		return 0, err
	}
	f.apply(orders.Plan, "store")
	f.table.ResetEvacuations(orders.Evacuations, revision, time.Now())
	return revision, nil
}

func (f *Follower) watchOrders(ctx context.Context, after uint64, hold time.Duration) (bool, uint64, error) {
	changes, revision, err := f.source.WatchOperatorState(ctx, after, hold)
	if err != nil {
		return false, after, err
	}
	f.apply(changes.Plan, "store")
	f.table.ApplyEvacuations(changes.Evacuations, revision, time.Now())
	return !changes.empty(), revision, nil
}

// apply puts a plan in force, if it is one, newer, and can be used.
func (f *Follower) apply(p *plan.Plan, from string) {
	if p == nil {
		return
	}
	if err := p.Check(); err != nil {
		f.log.Warn("Configuration can't be used; passed over.", zap.Uint64("version", p.Version), zap.String("from", from), zap.Error(err))
		return
	}
	if !f.plans.Apply(p) {
		return
	}
	f.log.Info("Configuration in force.", zap.Uint64("version", p.Version), zap.Int("routes", len(p.Routes)),
		zap.Int("teams", len(p.Teams)), zap.String("from", from))
}

func (f *Follower) readTargets(ctx context.Context) (uint64, error) {
	f.reading.restartIfOld(time.Now())
	for {
		page, err := f.readPage(ctx, f.reading.next)
		if err != nil {
			return 0, err
		}
		// An outage ends before its consequences are read.
		f.answered(f.targetFeed)
		if f.reading.add(page) {
			break
		}
	}
	whole := f.reading
	f.reading = reading{}
	f.table.Reset(whole.entries, whole.asOf, time.Now())
	return whole.asOf, nil
}

func (f *Follower) readPage(ctx context.Context, cursor string) (TargetPage, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.source.ReadTargets(ctx, cursor)
}

func (f *Follower) watchTargets(ctx context.Context, after uint64, hold time.Duration) (bool, uint64, error) {
	news, revision, err := f.source.WatchTargets(ctx, after, hold)
	if err != nil {
		return false, after, err
	}
	f.answered(f.targetFeed)
	f.table.Apply(news.Changes, revision, time.Now())
	return len(news.Changes) > 0 && !news.More, revision, nil
}
