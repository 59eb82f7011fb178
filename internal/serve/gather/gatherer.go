package gather

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// StageClient makes the calls of stage targets.
type StageClient interface {
	// Run makes one call. The results are in the order of the items. The error
	// is ErrFull where the target certainly did nothing. sent is called when the
	// call has been written.
	Run(ctx context.Context, target *pool.Target, items []Item, sent func()) ([]Result, error)
	// Free gives back the space of results.
	Free(ctx context.Context, target *pool.Target, handles []string) error
}

// ErrFull means that a target took a call but didn't run it.
var ErrFull = errors.New("target is full")

const (
	// maxTries is how often an item is given to targets that fail it.
	maxTries = 3
	// fullPause is how long a target that was full isn't tried: another process
	// gathers for it as well, or a call that was given up still runs.
	fullPause = 100 * time.Millisecond
	// lookPeriod is how often a shard whose items wait is looked at for those
	// that can no longer be in time, when no call ends meanwhile.
	lookPeriod = 40 * time.Millisecond
	// foreignTime is how long a buffer that was full of results unknown here is
	// held for full. They lapse one by one.
	foreignTime = 500 * time.Millisecond
	// freePeriod is how long results to be freed are collected for one call. Buffers are
	// the first thing that is short in a burst, so it is short too.
	freePeriod = 25 * time.Millisecond
	// bufferShare is the part of a target's buffer that is planned with. Results are
	// larger or smaller than their stage says, and one without space costs its
	// request a second call, or its whole chain where its inputs are gone.
	bufferShare = 0.9
	// freeTimeout bounds the call that frees results; what it misses lapses.
	freeTimeout = time.Second
	// callPatience is how much longer than expected a call may take before its
	// items are given to another target: a call made twice is waste.
	callPatience = 5
	callSlack    = 300 * time.Millisecond
)

// Gatherer gathers for the shards whose items are handed to this process.
type Gatherer struct {
	log     *zap.Logger
	table   *pool.Table
	plans   *plan.Holder
	stager  StageClient
	deliver func(owner string, shard Shard, results []Result)
	// release gives back results of any allocator; final is false while their reader
	// may still fail.
	release func(allocator Allocator, handles []string, final bool)
	// leaveOut is Options.LeaveOut.
	leaveOut  leaveout.Set
	shardings shardings
	// life ends the calls in progress when the process goes.
	life context.Context

	mu     sync.Mutex // guards shards and all in them; taken before pool.Table's
	shards map[Shard]*shard
	stats  Stats
}

// Stats counts what a gatherer did.
type Stats struct {
	Calls   int
	Items   int
	Failed  int
	Late    int
	Retried int
	// Discarded counts results that nobody waited for any more.
	Discarded int
}

// shard is the state of one shard.
type shard struct {
	Shard
	// since is when this process began to gather for it.
	since        time.Time
	queue        *queue
	feeding      feeding
	reservations *reservations
	size         meanSize
	working      map[string]*waitingCall // by target ID
	running      map[Key]bool
	buffers      map[string]*buffer // by address
	paces        map[string]*pace   // by target ID
	pauses       map[string]time.Time
	freeing      map[string][]string // handles by address
	looking      bool
	freer        bool
}

type waitingCall struct{ ends time.Time }

// NewGatherer makes a gatherer whose calls end with life.
func NewGatherer(life context.Context, log *zap.Logger, table *pool.Table, plans *plan.Holder, stager StageClient) *Gatherer {
	return &Gatherer{log: log, table: table, plans: plans, stager: stager, life: life, shards: map[Shard]*shard{}}
}

// Stats gives the counts so far.
func (g *Gatherer) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

func (g *Gatherer) of(id Shard) *shard {
	c := g.shards[id]
	if c == nil {
		c = &shard{
			Shard: id, since: time.Now(), queue: newQueue(g.leaveOut), reservations: newReservations(g.leaveOut),
			working: map[string]*waitingCall{}, running: map[Key]bool{},
			buffers: map[string]*buffer{}, paces: map[string]*pace{}, pauses: map[string]time.Time{},
			freeing: map[string][]string{},
		}
		g.shards[id] = c
	}
	return c
}

// Ack answers a submission.
type Ack struct {
	// Refused means that the items can't be made before their deadline.
	Refused bool `json:"refused,omitempty"`
	// Unknown means that this process doesn't know the service, because its
	// configuration is older or newer than the asker's, or no targets yet.
	Unknown bool `json:"unknown,omitempty"`
	// Moved means that the shard has no targets, while others of its service have.
	Moved bool `json:"moved,omitempty"`
	// Wait is about how long a new item waits.
	Wait Millis `json:"wait,omitempty"`
}

// Submit takes items for a shard. It answers at once; the results come through
// deliver. Items that it has already are left as they are.
func (g *Gatherer) Submit(owner string, id Shard, items []Item, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return Ack{Unknown: true}
	}
	sharding := g.shardingOf(id.Service)
	if sharding.without(id) {
		return Ack{Moved: true}
	}
	c := g.of(id)
	wait := g.wait(c, batch, now)
	for _, item := range items {
		if wait+batch.CallTime+batch.ItemTime > item.Expires.Duration() {
			return Ack{Refused: true, Wait: ToMillis(wait)}
		}
	}
	for _, item := range items {
		if c.running[item.Key] {
			continue
		}
		if id.Zone != "" || len(sharding.byZone[item.Zone]) == 0 {
			item.Zone = "" // no target is nearer than the others
		}
		c.feeding.add(item)
		c.reservations.note(item.group(), now.Add(item.Due.Duration()), item.Serial)
		c.queue.add(&waiting{
			Item: item, owner: owner, due: now.Add(item.Due.Duration()), expires: now.Add(item.Expires.Duration()), since: now,
		})
	}
	g.dispatch(c, batch, now)
	return Ack{Wait: ToMillis(wait)}
}

// Ask decides whether a shard reserves the making of the items of one stage of a
// request in time.
func (g *Gatherer) Ask(call askCall, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(call.Shard)
	if batch == nil {
		return Ack{Unknown: true}
	}
	c := g.of(call.Shard)
	targets, space := g.strength(c, batch, now)
	can := sustained(targets, batch, space, int(c.size.mean))
	key := groupKey{Request: call.Request, Stage: call.Stage}
	wanted := reservation{items: call.Items, due: now.Add(call.Due.Duration()), serial: call.Serial}
	granted, excess := c.reservations.ask(now, key, call.Rank, wanted, can)
	return Ack{Refused: !granted, Wait: ToMillis(excess)}
}

// batch is how a shard's targets work; nil where this process doesn't know them.
func (g *Gatherer) batch(id Shard) *plan.Batch {
	service := g.plans.Service(id.Service)
	if service == nil || !g.table.Loaded() {
		return nil
	}
	return service.Batch
}

// inVain counts results that nobody waited for.
func (g *Gatherer) inVain(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.Discarded += n
}

// Cancel drops what waits for a request that was given up, as far as it was
// handed over or asked for under a serial up to the given one.
func (g *Gatherer) Cancel(id Shard, request string, upTo uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.shards[id]
	if c == nil {
		return
	}
	c.queue.remove(request, upTo)
	c.feeding.drop(request, upTo)
	c.reservations.drop(request, upTo)
}

// Unknown lists those of the items that neither wait nor run here.
func (g *Gatherer) Unknown(id Shard, keys []Key) []Key {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.shards[id]
	var unknown []Key
	for _, k := range keys {
		if c == nil || (!c.running[k] && !c.queue.has(k)) {
			unknown = append(unknown, k)
		}
	}
	return unknown
}

// Free gives back the space of results, and tells which. Several calls' results go to
// their maker together. Where it isn't final their reader may still fail, and only
// those are given back whose space is needed.
func (g *Gatherer) Free(id Shard, handles []string, final bool) (released []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return nil
	}
	c := g.of(id)
	byMaker := map[string][]string{}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		byMaker[address] = append(byMaker[address], handle)
	}
	for address, list := range byMaker {
		list = g.bufferOf(c, address, time.Now()).release(list, final, batch.BufferBytes)
		c.freeing[address] = append(c.freeing[address], list...)
		released = append(released, list...)
	}
	if !c.freer {
		c.freer = true
		time.AfterFunc(freePeriod, func() { g.flush(c) })
	}
	return released
}

// noteReleased notes that inputs of items were given back before the items were made.
func (g *Gatherer) noteReleased(handles []string) {
	if len(handles) == 0 {
		return
	}
	released := make(map[string]bool, len(handles))
	for _, handle := range handles {
		released[handle] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.shards {
		c.feeding.noteReleased(released)
	}
}

func (g *Gatherer) flush(c *shard) {
	g.mu.Lock()
	freeing := c.freeing
	c.freeing = map[string][]string{}
	c.freer = false
	g.mu.Unlock()
	for address, handles := range freeing {
		if len(handles) == 0 {
			continue
		}
		target := g.table.ByAddress(c.Service, address)
		if target == nil {
			continue // its results went with it
		}
		if target.Evacuated() {
			continue // nothing may be sent there; its results lapse
		}
		g.free(c, target, handles)
	}
}

func (g *Gatherer) free(c *shard, target *pool.Target, handles []string) {
	ctx, cancel := context.WithTimeout(g.life, freeTimeout)
	defer cancel()
	if err := g.stager.Free(ctx, target, handles); err != nil {
		g.log.Warn("Results not freed; they lapse by themselves.", zap.String("target", target.ID), zap.Error(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.bufferOf(c, target.Address, time.Now())
	for _, handle := range handles {
		r.drop(handle)
	}
}
