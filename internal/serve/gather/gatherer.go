package gather

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// StageClient calls stage targets.
type StageClient interface {
	// Run makes one call and returns the results in the order of the items. The error is
	// ErrFull or ErrMisdirected if the call certainly didn't run. sent is called when the call has
	// been written.
	Run(ctx context.Context, target *pool.Target, items []Item, sent func()) ([]Result, error)
	// Free frees the space of results.
	Free(ctx context.Context, target *pool.Target, handles []string) error
}

// ErrFull means that a target received a call but refused to run it.
var ErrFull = errors.New("target is full")

// ErrMisdirected means that another target is at a target's address and refused to run the call.
var ErrMisdirected = errors.New("another target is at the address")

const (
	// maxTries is the number of failed tries after which an item is reported as failed.
	maxTries = 3
	// fullPause is how long a target that was full or unreachable gets no calls. A full target
	// is also used by another gatherer, or still runs a call that was given up here.
	fullPause = 100 * time.Millisecond
	// dispatchInterval is how often a shard with queued items is checked for items that can no
	// longer be in time, if no call ends in between.
	dispatchInterval = 40 * time.Millisecond
	// foreignTime is how long a buffer full of foreign results counts as full. The results
	// expire one by one.
	foreignTime = 500 * time.Millisecond
	// freeCallDelay is how long results to be freed are collected for one call to the target.
	// It is short because buffers are the first resource to run out in a burst.
	freeCallDelay = 25 * time.Millisecond
	// bufferShare is the share of a target's buffer that calls are planned with. Results can be
	// larger than configured for their stage, and an item whose result finds no space costs its
	// request a second call, or all its stages if its inputs are gone.
	bufferShare = 0.9
	// freeTimeout bounds the call that frees results. Results that it doesn't free expire.
	freeTimeout = time.Second
	// callTimeoutFactor is how many times longer than expected a call may take before its items
	// are given to another target. It is generous because running a call twice wastes a
	// target's time.
	callTimeoutFactor = 5
	callTimeoutSlack  = 300 * time.Millisecond
)

// Gatherer queues the items that are submitted to this process and sends them to stage targets
// in batches, shard by shard.
type Gatherer struct {
	log     *zap.Logger
	table   *pool.Table
	plans   *plan.Holder
	client  StageClient
	deliver func(owner string, shard Shard, results []Result)
	// release frees results of any allocator. final is false while their reader may still fail.
	release func(allocator Allocator, handles []string, final bool)
	// replaced reports whether this process doesn't gather for a shard because it is cut off from
	// its service. It is called with mu held.
	replaced func(Shard) bool
	// leaveOut is Options.LeaveOut.
	leaveOut  leaveout.Set
	shardings shardings
	// life is cancelled at shutdown and ends the calls in progress.
	life context.Context
	// deliveries counts the deliveries of results in progress.
	deliveries atomic.Int64

	mu     sync.Mutex // guards shards, everything in them, stats and teamSeries; acquired before Requester's and pool.Table's
	shards map[Shard]*shard
	stats  Stats
	// teamSeries holds the teams that TeamShares lists by name.
	teamSeries map[string]bool
}

// Stats counts calls and items of a gatherer.
type Stats struct {
	Calls   int
	Items   int
	Failed  int
	Late    int
	Retried int
	// Discarded counts results that arrived when no request waited for them any more.
	Discarded int
}

// shard is the state of one shard.
type shard struct {
	Shard
	// since is when this process began to gather for the shard.
	since             time.Time
	queue             *queue
	inputTracker      inputTracker
	reservations      *reservations
	size              meanSize
	activeCalls       map[string]*activeCall // by target ID
	runningItems      map[Key]bool
	buffers           map[string]*buffer // by address
	paces             map[string]*pace   // by target ID
	pausedUntil       map[string]time.Time
	pendingFrees      map[string][]string // handles by address
	dispatchScheduled bool
	flushScheduled    bool
}

// activeCall is a call in progress; ends is when it is expected to end.
type activeCall struct{ ends time.Time }

// NewGatherer creates a gatherer. Its calls end when life is cancelled.
func NewGatherer(life context.Context, log *zap.Logger, table *pool.Table, plans *plan.Holder, client StageClient) *Gatherer {
	return &Gatherer{log: log, table: table, plans: plans, client: client, life: life, shards: map[Shard]*shard{}, teamSeries: map[string]bool{}, replaced: func(Shard) bool { return false }}
}

// Stats returns the counts so far.
func (g *Gatherer) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Idle reports whether no items are queued or running, and all results have been delivered.
func (g *Gatherer) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.shards {
		if s.queue.len() > 0 || len(s.activeCalls) > 0 {
			return false
		}
	}
	return g.deliveries.Load() == 0 // deliveries begin while mu is held
}

func (g *Gatherer) stateOf(id Shard) *shard {
	s := g.shards[id]
	if s == nil {
		s = &shard{
			Shard: id, since: time.Now(), queue: newQueue(g.leaveOut), reservations: newReservations(g.leaveOut),
			activeCalls: map[string]*activeCall{}, runningItems: map[Key]bool{},
			buffers: map[string]*buffer{}, paces: map[string]*pace{}, pausedUntil: map[string]time.Time{},
			pendingFrees: map[string][]string{},
		}
		g.shards[id] = s
	}
	return s
}

// Ack is the answer to a submission or to a reservation.
type Ack struct {
	// Refused means that the items can't be processed in time.
	Refused bool `json:"refused,omitempty"`
	// UnknownService means that this process doesn't know the service, because its
	// configuration is older or newer than the caller's, or that it doesn't know any targets
	// yet.
	UnknownService bool `json:"unknown,omitempty"`
	// NoTargetInShard means that the shard has no targets, while other shards of its service have.
	NoTargetInShard bool `json:"moved,omitempty"`
	// Wait is an estimate: of the time that a new item would be queued, or for a refused
	// reservation of the time by which items would be late.
	Wait Millis `json:"wait,omitempty"`
	// Closed is the time until the first of the shard's targets takes calls again, if the items are refused because
	// none does before.
	Closed Millis `json:"closed,omitempty"`
	// Share says whether a reservation was refused because of a share.
	Share ShareCause `json:"share,omitempty"`
	// Place is the time until the place that is held for a refused request; 0 if there is none.
	Place Millis `json:"place,omitempty"`
	// Hopeless means that a refused request can't be done by its deadline if it comes back.
	Hopeless bool `json:"hopeless,omitempty"`
}

// Submit queues items for a shard. It returns at once; the results are passed to deliver. Items
// that are already queued or running are left unchanged.
func (g *Gatherer) Submit(owner string, id Shard, items []Item, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return Ack{UnknownService: true}
	}
	sharding := g.shardingOf(id.Service)
	if sharding.isEmpty(id) {
		return Ack{NoTargetInShard: true}
	}
	s := g.stateOf(id)
	wait := g.wait(s, batch, now)
	for _, item := range items {
		if wait+batch.CallTime+batch.ItemTime > item.Expires.Duration() {
			return Ack{Refused: true, Wait: ToMillis(wait), Closed: ToMillis(g.closedFor(s, now))}
		}
	}
	for _, item := range items {
		if s.runningItems[item.Key] {
			continue
		}
		if id.Zone != "" || len(sharding.byZone[item.Zone]) == 0 {
			item.Zone = "" // all targets of the shard are in one zone, or none is in the item's zone
		}
		s.inputTracker.add(item)
		s.reservations.addItem(item.group(), now.Add(item.Due.Duration()), item.Serial)
		s.queue.add(&queuedItem{
			Item: item, owner: owner, due: now.Add(item.Due.Duration()), expires: now.Add(item.Expires.Duration()), since: now,
		})
	}
	g.dispatch(s, batch, now)
	return Ack{Wait: ToMillis(wait)}
}

// ReserveStage decides whether a shard can process the items of one stage of a request in time,
// and reserves the capacity if it can.
func (g *Gatherer) ReserveStage(call reserveCall, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(call.Shard)
	if batch == nil {
		return Ack{UnknownService: true}
	}
	s := g.stateOf(call.Shard)
	if closed := g.closedFor(s, now); closed > 0 && now.Add(closed+batch.CallTime).After(call.reservation(now).due) {
		return Ack{Refused: true, Wait: ToMillis(closed), Closed: ToMillis(closed)}
	}
	targets, space := g.effectiveTargets(s, batch, now)
	available := sustainedCapacity(targets, batch, space, int(s.size.mean))
	key := groupKey{Request: call.Request, Stage: call.Stage}
	wanted := call.reservation(now)
	if call.Caller != "" && !g.leaveOut.Has(leaveout.ReturnPlaces) {
		return g.reserveReturning(s, call, wanted, available, now)
	}
	granted, lateness := s.reservations.reserve(now, key, call.Rank, wanted, available)
	return Ack{Refused: !granted, Wait: ToMillis(lateness), Share: s.reservations.shares.cause}
}

// batch returns the batch settings of a shard's service; nil if this process doesn't know the
// service or has no list of targets yet.
func (g *Gatherer) batch(id Shard) *plan.Batch {
	service := g.plans.Service(id.Service)
	if service == nil || !g.table.Loaded() {
		return nil
	}
	return service.Batch
}

// countDiscarded counts results that no request waited for.
func (g *Gatherer) countDiscarded(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Discarded += n
}

// Cancel drops the queued items and the reservations of a request that was given up, as far as
// their serial is not above upTo.
func (g *Gatherer) Cancel(id Shard, request string, upTo uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.shards[id]
	if s == nil {
		return
	}
	s.queue.removeRequest(request, upTo)
	s.inputTracker.drop(request, upTo)
	s.reservations.drop(request, upTo)
}

// MissingItems lists those of the items that are neither queued nor running here.
func (g *Gatherer) MissingItems(id Shard, keys []Key) []Key {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.shards[id]
	var unknown []Key
	for _, k := range keys {
		if s == nil || (!s.runningItems[k] && !s.queue.has(k)) {
			unknown = append(unknown, k)
		}
	}
	return unknown
}

// Free frees the space of results and returns those that it will free. The results of several
// calls are sent to their target together. If final is false, their reader may still fail, and
// only results in buffers that are running out of space are freed.
func (g *Gatherer) Free(id Shard, handles []string, final bool) (released []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return nil
	}
	s := g.stateOf(id)
	byAddress := map[string][]string{}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		byAddress[address] = append(byAddress[address], handle)
	}
	for address, list := range byAddress {
		list = g.bufferOf(s, address, time.Now()).selectReleasable(list, final, batch.BufferBytes)
		s.pendingFrees[address] = append(s.pendingFrees[address], list...)
		released = append(released, list...)
	}
	if !s.flushScheduled {
		s.flushScheduled = true
		time.AfterFunc(freeCallDelay, func() { g.flush(s) })
	}
	return released
}

// markReleased records that inputs were freed before the items that read them were complete.
func (g *Gatherer) markReleased(handles []string) {
	if len(handles) == 0 {
		return
	}
	released := make(map[string]bool, len(handles))
	for _, handle := range handles {
		released[handle] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.shards {
		s.inputTracker.markReleased(released)
	}
}

// flush sends the collected results to be freed to their targets. The targets are called
// concurrently, since one that doesn't answer would delay the others.
func (g *Gatherer) flush(s *shard) {
	g.mu.Lock()
	pendingFrees := s.pendingFrees
	s.pendingFrees = map[string][]string{}
	s.flushScheduled = false
	g.mu.Unlock()
	for address, handles := range pendingFrees {
		if len(handles) == 0 {
			continue
		}
		target := g.table.ByAddress(s.Service, address)
		if target == nil {
			continue // the target is gone, and its results with it
		}
		if target.Declines(time.Now()) || target.RateLimit() > 0 {
			continue // the target gets no calls, or few, and those to run items; its results expire
		}
		go g.free(s, target, handles)
	}
}

func (g *Gatherer) free(s *shard, target *pool.Target, handles []string) {
	ctx, cancel := context.WithTimeout(g.life, freeTimeout)
	defer cancel()
	if err := g.client.Free(ctx, target, handles); err != nil {
		g.log.Warn("Could not free results; they will expire.", zap.String("target", target.ID), zap.Error(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bufferOf(s, target.Address, time.Now())
	for _, handle := range handles {
		b.drop(handle)
	}
}
