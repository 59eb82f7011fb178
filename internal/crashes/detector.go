package crashes

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// probeDelay is how long after a connection broke its target is probed. The port of a
	// crashed process closes a few milliseconds later at most.
	probeDelay = 50 * time.Millisecond
	// probeTimeout limits the probe. A target that accepts a connection is alive.
	probeTimeout = 300 * time.Millisecond
	// reviewPeriod is how often a collector judges its evidence if nothing new comes, minReviewPause the
	// time between two reviews.
	reviewPeriod   = 250 * time.Millisecond
	minReviewPause = 50 * time.Millisecond
	// suspensionCheckPeriod is how often a process checks whether it was suspended, suspensionTime the delay from
	// which it was, doubtTime how long unframed answers don't count after that.
	suspensionCheckPeriod = 100 * time.Millisecond
	suspensionTime        = 500 * time.Millisecond
	doubtTime             = 5 * time.Second
	// maxLoggedParts limits the parts of a prompt in a log line.
	maxLoggedParts = 16
)

// Call is a call of a request to a target.
type Call struct {
	RequestID string
	Traits    Traits
	// Parts are the IDs of the shared parts of the prompt, for the log.
	Parts []string
	// Target is the target's ID, Address its IP:port. Born is when it started, in Unix milliseconds; 0 if that isn't known.
	Target  string
	Address string
	Born    int64
	// HeardAt is when data last came from the target in this call; before the first, when the call was sent.
	HeardAt time.Time
	// Silent means that the target wasn't heard of for so long that it may have been replaced.
	Silent bool
	// EndedByTarget means that the other side has ended the connection.
	EndedByTarget bool
	// CutOff means that the caller of the target was cut off from it, so that a refused connection proves nothing.
	CutOff bool
	// Ask asks whether the process at the address is the one that had the call; nil if that can't be asked. silent is
	// Silent, or means that no connection could be established meanwhile.
	Ask func(ctx context.Context, silent bool) Fate
	// Superseded reports whether the list of targets has come to name another start of the target; nil if there is no list.
	Superseded func() bool
}

// Options configures a Detector.
type Options struct {
	Log     *zap.Logger
	Network peer.Network
	// Dial opens connections to targets; nil for conns.DialTCP.
	Dial conns.DialFunc
	// Register keeps convictions; nil for none.
	Register Register
	// AfterRestart means that the system has run before, so that the register may hold convictions.
	AfterRestart bool
}

// Detector is the part of one process that finds the requests that crash their targets.
type Detector struct {
	log     *zap.Logger
	network peer.Network
	dial    conns.DialFunc
	baseCtx context.Context
	// afterRestart is that of the options.
	afterRestart bool

	reporter *reporter
	keeper   *keeper
	// index finds convictions without a lock.
	index      atomic.Pointer[convictionIndex]
	collectors collectorChoice
	// wake has an element when the evidence is to be judged.
	wake chan struct{}

	mu          sync.Mutex // guards the fields below; no other lock is taken while it is held
	convictions *convictionSet
	// answered has the requests that this process has seen answered, watched the traits that a collector asks
	// about, and until when.
	answered recentTraits
	watched  map[Trait]time.Time
	judge    judge
	// resumedAt is when this process last went on after it was suspended.
	resumedAt time.Time
	// watches follow the targets whose calls have broken, until it is known whether they have ended.
	watches map[start]*watch
	// askedAt is when this process, as a collector, asked last, lastAsked what.
	askedAt   time.Time
	lastAsked []Trait
	version   uint64 // of the last item published
}

// New creates a detector. Call it before the network starts.
func New(baseCtx context.Context, o Options) *Detector {
	d := &Detector{
		log: o.Log, network: o.Network, dial: o.Dial, baseCtx: baseCtx, afterRestart: o.AfterRestart, wake: make(chan struct{}, 1),
		convictions: newConvictionSet(), watched: map[Trait]time.Time{}, watches: map[start]*watch{},
	}
	if d.dial == nil {
		d.dial = conns.DialTCP
	}
	d.index.Store(d.convictions.index())
	d.reporter = &reporter{log: o.Log, network: o.Network, baseCtx: baseCtx, receive: d.receiveReports, choice: &d.collectors}
	d.keeper = newKeeper(o.Log, o.Register)
	o.Network.Subscribe(peer.TopicConviction, d.receiveConvictions)
	o.Network.Subscribe(peer.TopicCrashQuestion, d.receiveQuestion)
	o.Network.Subscribe(peer.TopicCrashAnswer, d.receiveAnswer)
	peer.HandleCall(o.Network, methodReport, func(list []report) (any, error) {
		d.receiveReports(list)
		return struct{}{}, nil
	})
	return d
}

// Run does the work of a collector while this process is one, until the context ends.
func (d *Detector) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { d.runReviews(ctx) })
	loops.Go(func() { d.runKeeper(ctx) })
	loops.Go(func() { d.watchSuspensions(ctx) })
	loops.Wait()
}

func (d *Detector) runReviews(ctx context.Context) {
	for d.awaitReview(ctx) {
		now := time.Now()
		d.expire(now)
		d.reporter.followCollectors(now)
		if d.isCollector() {
			d.review(now)
		}
		wait.For(ctx, minReviewPause)
	}
}

// watchSuspensions notes when this process goes on after it was suspended. It does nothing else, so that it
// notes that before probeDelay has passed.
func (d *Detector) watchSuspensions(ctx context.Context) {
	last := time.Now()
	for wait.For(ctx, suspensionCheckPeriod) {
		now := time.Now()
		if now.Sub(last) > suspensionCheckPeriod+suspensionTime {
			d.mu.Lock()
			d.resumedAt = now
			d.mu.Unlock()
		}
		last = now
	}
}

// suspendedLately reports whether this process was suspended shortly before a time, or has been since.
func (d *Detector) suspendedLately(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return at.Sub(d.resumedAt) < doubtTime
}

// awaitReview waits until the evidence is to be judged; false means that the context has ended.
func (d *Detector) awaitReview(ctx context.Context) bool {
	timer := time.NewTimer(reviewPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-d.wake:
	case <-timer.C:
	}
	return true
}

// reviewSoon has the evidence judged.
func (d *Detector) reviewSoon() {
	select {
	case d.wake <- struct{}{}:
	default: // it will be anyway
	}
}

func (d *Detector) isCollector() bool {
	view := d.network.View()
	return slices.Contains(d.collectors.of(view), view.Self.Incarnation)
}

// Convicted returns the conviction because of which a request must not run, if there is one.
func (d *Detector) Convicted(t Traits) (Conviction, bool) { return d.index.Load().find(t) }

// Convictions lists the convictions in force.
func (d *Detector) Convictions() []Conviction {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Conviction
	for _, c := range d.convictions.active() {
		list = append(list, c.Conviction)
	}
	return list
}

// Crashed reports that a call's target has just crashed.
func (d *Detector) Crashed(c Call) {
	now := time.Now()
	d.reportCrash(c, now, now)
}

// reportCrash reports that a call's target has crashed between two times.
func (d *Detector) reportCrash(c Call, from, until time.Time) {
	d.log.Warn("Target died under a request.", zap.String("request", c.RequestID), zap.String("target", c.Target),
		zap.Int64("born", c.Born), zap.String("address", c.Address), zap.Duration("silent", until.Sub(from)),
		zap.Stringer("content", c.Traits.Content), zap.Strings("parts", c.Parts[:min(len(c.Parts), maxLoggedParts)]))
	d.reporter.add(c, from, until, time.Now())
}

// Answered records that a target has survived a request: the answer is complete, or has been coming for
// long. An unframed answer may have ended because the target died, so the target is probed first. It
// doesn't count after this process was suspended: another target may have the address by now.
func (d *Detector) Answered(c Call, unframed bool) {
	if !unframed {
		d.recordAnswer(c.Traits, time.Now())
		return
	}
	at := time.Now()
	time.AfterFunc(probeDelay, func() {
		if d.baseCtx.Err() != nil {
			return
		}
		switch {
		case d.targetDied(c.Address):
			d.Crashed(c)
		case !d.suspendedLately(at):
			d.recordAnswer(c.Traits, at)
		}
	})
}

// targetDied reports whether connections to an address are refused.
func (d *Detector) targetDied(address string) bool {
	return errors.Is(d.probe(address), syscall.ECONNREFUSED)
}

// probe returns the error of a connection to an address; nil if it is established.
func (d *Detector) probe(address string) error {
	ctx, cancel := context.WithTimeout(d.baseCtx, probeTimeout)
	defer cancel()
	conn, err := d.dial(ctx, address)
	if err == nil {
		_ = conn.Close() // only probed
	}
	return err
}

// publish publishes an item under a key of its own, so that it doesn't replace one that a peer hasn't
// received yet. The caller holds mu.
func (d *Detector) publish(topic peer.Topic, ttl time.Duration, body any) {
	d.version++
	version := d.version
	go func() {
		if err := d.network.Publish(topic, strconv.FormatUint(version, 10), version, ttl, body); err != nil {
			d.log.Warn("Failed to tell the peers of crashes.", zap.String("topic", string(topic)), zap.Error(err))
		}
	}()
}

// decode decodes an item of a peer.
func decode[T any](d *Detector, item peer.Item) (body T, ok bool) {
	if err := json.Unmarshal(item.Body, &body); err != nil {
		d.log.Warn("A peer's message about crashes can't be decoded.", zap.String("member", string(item.Origin)),
			zap.String("topic", string(item.Topic)), zap.Error(err))
		return body, false
	}
	return body, true
}

// receiveConvictions adopts the convictions of a collector.
func (d *Detector) receiveConvictions(item peer.Item) {
	if list, ok := decode[[]Conviction](d, item); ok {
		d.adopt(list, time.Now())
	}
}

// adopt adds convictions and returns those that are new.
func (d *Detector) adopt(list []Conviction, now time.Time) []Conviction {
	d.mu.Lock()
	defer d.mu.Unlock()
	var news []Conviction
	for _, c := range list {
		if !d.convictions.merge(c, now) {
			continue
		}
		news = append(news, c)
		message := "Requests crash their targets and are refused from now on."
		if c.Lifted {
			message = "Requests are no longer refused for crashes."
			for _, t := range c.Traits {
				d.judge.acquitted.record(t, now)
			}
		}
		d.log.Warn(message, zap.String("conviction", c.Key()), zap.Strings("traits", c.Names()), zap.Int("crashes", c.Crashes), zap.Uint64("revision", c.Revision))
	}
	d.index.Store(d.convictions.index())
	return news
}

// receiveReports adds the crashes that a process has seen to the evidence.
func (d *Detector) receiveReports(list []report) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range list {
		slices.Sort(r.Parts)
		d.judge.evidence.add(r.crash(now), Traits{Content: r.Content, Parts: r.Parts})
	}
	d.reviewSoon()
}

// expire forgets what no longer counts.
func (d *Detector) expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judge.evidence.expire(now)
	for t, until := range d.watched {
		if now.After(until) {
			delete(d.watched, t)
		}
	}
	if d.convictions.expire(now) {
		d.index.Store(d.convictions.index())
	}
}

// review judges the evidence and publishes what follows from it.
func (d *Detector) review(now time.Time) {
	members := len(d.network.View().Members)
	d.mu.Lock()
	v := d.judge.review(d.convictions, members, now)
	ask := len(v.ask) > 0 && (now.Sub(d.askedAt) >= askPeriod || !containsAll(d.lastAsked, v.ask))
	if ask {
		d.askedAt, d.lastAsked = now, v.ask
		d.publish(peer.TopicCrashQuestion, askTTL, v.ask)
		time.AfterFunc(contentAnswerTime(members), d.reviewSoon)
	}
	changes := d.nextRevisions(v)
	d.mu.Unlock()
	if ask {
		d.answerQuestion(v.ask)
	}
	for _, c := range d.announce(changes, now) {
		d.keeper.add(c)
	}
}

// nextRevisions returns the changes of convictions with their revisions. The caller holds mu.
func (d *Detector) nextRevisions(v verdicts) []Conviction {
	var changes []Conviction
	set := d.convictions.clone()
	now := time.Now()
	for _, c := range v.lifted {
		c.Lifted = true
		changes = append(changes, set.add(c, now))
	}
	for _, c := range v.convicted {
		changes = append(changes, set.add(c, now))
	}
	return changes
}

// announce adopts convictions, publishes those that are new and returns them.
func (d *Detector) announce(list []Conviction, now time.Time) []Conviction {
	news := d.adopt(list, now)
	if len(news) > 0 {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.publish(peer.TopicConviction, convictionTTL, news)
	}
	return news
}

func containsAll(list, wanted []Trait) bool {
	return !slices.ContainsFunc(wanted, func(t Trait) bool { return !slices.Contains(list, t) })
}
