// Package follow keeps the configuration and the list of targets up to date:
// from the store that has them, and from peers while the store can't be
// reached. What is known is never given up for being old; newer versions
// replace it.
package follow

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

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
	// ReadPlan gives the newest configuration; nil while there is none.
	ReadPlan(ctx context.Context) (*plan.Plan, uint64, error)
	// WatchPlan waits for a configuration newer than a revision; nil when the
	// time is up.
	WatchPlan(ctx context.Context, after uint64, wait time.Duration) (*plan.Plan, uint64, error)
	// ReadTargets gives all entries.
	ReadTargets(ctx context.Context) ([]pool.Entry, uint64, error)
	// WatchTargets waits for changes after a revision.
	WatchTargets(ctx context.Context, after uint64, wait time.Duration) ([]pool.Change, uint64, error)
}

const (
	// watchTime is how long the store holds a call without news. A store may go
	// silent and never answer the calls that it holds, though it serves others
	// again; only the end of a call shows it. Each call has its price, so that a
	// few processes watch the store, and the others hear from them. A change has to be
	// in force within 2 s, also where all watchers are cut off from the store at
	// the moment of the change: the others find out when the last answer that a
	// watcher got is older than trust.
	watchTime = 800 * time.Millisecond
	// watchSlack is how much later the answer may come.
	watchSlack = 700 * time.Millisecond
	// readTimeout bounds the reading of the whole.
	readTimeout = 2 * time.Second
	// newsPause is waited after news of targets. When many start at once their
	// rows stream in one by one, and each would cost a call from each process.
	// It is a tenth of the time within which a leaving target must be left
	// alone.
	newsPause = 200 * time.Millisecond
	// firstRetry and lastRetry pace the calls to a store that fails.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 700 * time.Millisecond
	// outage is how long the store must have failed for entries of sound targets
	// to have lapsed meanwhile: about two of the intervals in which they report.
	outage = 2 * time.Second
	// relayedPause is how often a process that hears from watchers looks whether
	// it still does.
	relayedPause = 100 * time.Millisecond
	// servedLater is how long after this process's first failure a watcher must
	// have been served: longer than watchers take to notice an outage for all.
	servedLater = watchTime + watchSlack
	// sweepPeriod is how often lapsed entries are looked at.
	sweepPeriod = 250 * time.Millisecond
)

// Follower follows a source.
type Follower struct {
	log    *zap.Logger
	source Source
	plans  *plan.Holder
	table  *pool.Table
	peers  *peers // nil without
	// served is the Unix nanosecond since when the store has answered without a
	// break.
	served atomic.Int64
	// watcher tells whether this process is one of those that watch the store.
	watcher func() bool
	// planFeed and targetFeed are the two things followed.
	planFeed   *feed
	targetFeed *feed
}

// feed is the state of following one thing.
type feed struct {
	name  string
	read  func(context.Context) (uint64, error)
	watch func(ctx context.Context, after uint64, wait time.Duration) (bool, uint64, error)
	// pause is waited after news.
	pause time.Duration
	// back is called when the store answers again after an outage.
	back func(time.Time)
	// failingSince is the Unix nanosecond since when the store fails, 0 while it
	// answers.
	failingSince atomic.Int64
	// revision up to which the store has told of changes itself, and the Unix
	// nanosecond of its last answer.
	revision atomic.Uint64
	told     atomic.Int64
	// mu guards interrupt, which ends the call in progress; a leaf.
	mu        sync.Mutex
	interrupt context.CancelFunc
}

// WatchAlone has this process follow the store itself whatever its peers do, for
// measurements. Call it after UsePeers.
func (f *Follower) WatchAlone() { f.watcher = func() bool { return true } }

// New makes a follower.
func New(log *zap.Logger, source Source, plans *plan.Holder, table *pool.Table) *Follower {
	f := &Follower{log: log, source: source, plans: plans, table: table, watcher: func() bool { return true }}
	f.served.Store(time.Now().UnixNano())
	f.planFeed = &feed{name: "configuration", read: f.readPlan, watch: f.watchPlan}
	f.targetFeed = &feed{
		name: "targets", read: f.readTargets, watch: f.watchTargets, pause: newsPause, back: table.ListBack,
	}
	return f
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	done := make(chan struct{}, 3)
	for _, loop := range []func(){
		func() { f.follow(ctx, f.planFeed) },
		func() { f.follow(ctx, f.targetFeed) },
		func() { f.sweep(ctx) },
	} {
		go func() {
			loop()
			done <- struct{}{}
		}()
	}
	if f.peers != nil {
		f.askPeers(ctx)
	}
	for range cap(done) {
		<-done
	}
}

func (f *Follower) sweep(ctx context.Context) {
	for wait.For(ctx, sweepPeriod) {
		f.table.Sweep(time.Now())
	}
}

// follow reads the whole, then waits for changes, again and again. After a
// failure the first call asks for what is there already: a store that is still
// silent shows at once.
func (f *Follower) follow(ctx context.Context, d *feed) {
	known, sound := false, false
	retry := firstRetry
	for ctx.Err() == nil {
		if known && sound && f.relayed() {
			wait.For(ctx, relayedPause)
			continue
		}
		after := d.revision.Load()
		news, next, err := f.call(ctx, d, known, sound)
		if errors.Is(err, ErrHistoryGone) {
			f.log.Info("Changes can't be had; reading the whole.", zap.String("what", d.name), zap.Uint64("after", after))
			known = false
			continue
		}
		if err != nil {
			sound = false
			f.failed(ctx, d, err)
			wait.Around(ctx, retry)
			retry = min(2*retry, lastRetry)
			continue
		}
		f.answered(d)
		d.revision.Store(next)
		d.told.Store(time.Now().UnixNano())
		known, sound, retry = true, true, firstRetry
		if news && d.pause > 0 {
			wait.For(ctx, d.pause)
		}
	}
}

// call makes one call of the store.
func (f *Follower) call(ctx context.Context, d *feed, known, sound bool) (news bool, revision uint64, err error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		revision, err = d.read(ctx)
		return false, revision, err
	}
	hold := watchTime
	if !sound {
		hold = 0
	}
	ctx, cancel := context.WithTimeout(ctx, hold+watchSlack)
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
	if d.failingSince.CompareAndSwap(0, f.lastWord(time.Now()).UnixNano()) {
		f.log.Warn("Store doesn't answer.", zap.String("what", d.name), zap.Error(err))
	}
}

// lastWord is since when the store may have been away, as seen at a first
// failure: since a watcher last vouched for it, if one did until just now.
func (f *Follower) lastWord(now time.Time) time.Time {
	if f.peers == nil {
		return now
	}
	heard := time.Unix(0, f.peers.heard.Load())
	if now.Sub(heard) < 2*trust {
		return heard
	}
	return now
}

func (f *Follower) answered(d *feed) {
	since := d.failingSince.Swap(0)
	if since == 0 {
		return
	}
	f.served.Store(time.Now().UnixNano())
	away := time.Since(time.Unix(0, since))
	f.log.Info("Store answers again.", zap.String("what", d.name), zap.Duration("away", away))
	if away >= outage && d.back != nil && !f.othersServed(time.Unix(0, since)) {
		d.back(time.Now())
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
	return heard.Sub(since) > servedLater && !served.After(since)
}

// Failing tells for how long the store hasn't answered about the configuration
// and about targets; 0 while it does.
func (f *Follower) Failing() (plan, targets time.Duration) {
	return f.planFeed.failing(), f.targetFeed.failing()
}

// failing tells for how long the store has been failing.
func (d *feed) failing() time.Duration {
	since := d.failingSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(time.Unix(0, since))
}

func (f *Follower) readPlan(ctx context.Context) (uint64, error) {
	p, revision, err := f.source.ReadPlan(ctx)
	if err == nil {
		f.apply(p, "store")
	}
	return revision, err
}

func (f *Follower) watchPlan(ctx context.Context, after uint64, hold time.Duration) (bool, uint64, error) {
	p, revision, err := f.source.WatchPlan(ctx, after, hold)
	if err != nil {
		return false, after, err
	}
	f.apply(p, "store")
	return p != nil, revision, nil
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
	entries, revision, err := f.source.ReadTargets(ctx)
	if err != nil {
		return 0, err
	}
	// An outage ends before its consequences are read.
	f.answered(f.targetFeed)
	f.table.Reset(entries, revision, time.Now())
	return revision, nil
}

func (f *Follower) watchTargets(ctx context.Context, after uint64, hold time.Duration) (bool, uint64, error) {
	changes, revision, err := f.source.WatchTargets(ctx, after, hold)
	if err != nil {
		return false, after, err
	}
	f.answered(f.targetFeed)
	f.table.Apply(changes, revision, time.Now())
	return len(changes) > 0, revision, nil
}
