package gather

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Stager makes the calls of stage targets.
type Stager interface {
	// Run makes one call. The results are in the order of the items. The error
	// is ErrFull where the target certainly did nothing.
	Run(ctx context.Context, target *pool.Target, items []Item) ([]Result, error)
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
	// lookPeriod is how often a cell whose items wait is looked at for those
	// that can no longer be in time, when no call ends meanwhile.
	lookPeriod = 40 * time.Millisecond
	// foreignTime is how long a room that was full of results unknown here is
	// held for full. They lapse one by one over four seconds.
	foreignTime = 500 * time.Millisecond
	// freePeriod is how long results to be freed are collected for one call.
	// Rooms hold about 1.2 s of results and bind first in a burst, so that each
	// 25 ms cost 2% of a pool.
	freePeriod = 25 * time.Millisecond
	// roomShare is the part of a target's room that is planned with. Results are
	// larger or smaller than their stage says, and one without room costs its
	// request a second call, or its whole chain where its inputs are gone.
	roomShare = 0.9
	// freeTimeout bounds the call that frees results; what it misses lapses.
	freeTimeout = time.Second
	// callPatience is how much longer than expected a call may take before its
	// items are given to another target: slow targets take three to five times
	// as long, and a call made twice is waste.
	callPatience = 5
	callSlack    = 300 * time.Millisecond
)

// Gatherer gathers for the cells whose items are handed to this process.
type Gatherer struct {
	log     *zap.Logger
	table   *pool.Table
	plans   *plan.Holder
	stager  Stager
	deliver func(owner string, cell Cell, results []Result)
	// release gives back results of any cell; final is false while their reader
	// may still fail.
	release func(cell Cell, handles []string, final bool)
	// life ends the calls in progress when the process goes.
	life context.Context

	mu    sync.Mutex // guards cells and all in them; taken before pool.Table's
	cells map[Cell]*cell
	stats Stats
}

// Stats counts what a gatherer did.
type Stats struct {
	Calls    int
	Items    int
	Failed   int
	Late     int
	Repeated int
	// InVain counts results that nobody waited for any more.
	InVain int
}

// cell is the state of one cell.
type cell struct {
	Cell
	queue   *queue
	feeding feeding
	ledger  *ledger
	size    meanSize
	working map[string]*waitingCall // by target ID
	running map[Key]bool
	rooms   map[string]*room // by address
	paces   map[string]*pace // by target ID
	pauses  map[string]time.Time
	freeing map[string][]string // handles by address
	looking bool
	freer   bool
}

type waitingCall struct{ ends time.Time }

// NewGatherer makes a gatherer whose calls end with life.
func NewGatherer(life context.Context, log *zap.Logger, table *pool.Table, plans *plan.Holder, stager Stager) *Gatherer {
	return &Gatherer{log: log, table: table, plans: plans, stager: stager, life: life, cells: map[Cell]*cell{}}
}

// Stats gives the counts so far.
func (g *Gatherer) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

func (g *Gatherer) of(id Cell) *cell {
	c := g.cells[id]
	if c == nil {
		c = &cell{
			Cell: id, queue: newQueue(), ledger: newLedger(), working: map[string]*waitingCall{}, running: map[Key]bool{},
			rooms: map[string]*room{}, paces: map[string]*pace{}, pauses: map[string]time.Time{},
			freeing: map[string][]string{},
		}
		g.cells[id] = c
	}
	return c
}

// Ack answers a submission.
type Ack struct {
	// Refused means that the items can't be made before their deadline.
	Refused bool `json:"refused,omitempty"`
	// Unknown means that this process doesn't know the service: its
	// configuration is older or newer than the asker's.
	Unknown bool `json:"unknown,omitempty"`
	// Wait is about how long a new item waits.
	Wait Millis `json:"wait,omitempty"`
}

// Submit takes items for a cell. It answers at once; the results come through
// deliver. Items that it has already are left as they are.
func (g *Gatherer) Submit(owner string, id Cell, items []Item, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return Ack{Unknown: true}
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
		if id.Zone != "" {
			item.Zone = "" // all targets of the cell are alike
		}
		c.feeding.add(item)
		c.ledger.note(item.group(), promise{items: 1, due: now.Add(item.Due.Duration())})
		c.queue.add(&waiting{
			Item: item, owner: owner, due: now.Add(item.Due.Duration()), expires: now.Add(item.Expires.Duration()), since: now,
		})
	}
	g.dispatch(c, batch, now)
	return Ack{Wait: ToMillis(wait)}
}

// Ask decides whether a cell promises to make the items of one stage of a
// request in time.
func (g *Gatherer) Ask(id Cell, request string, stage, rank, items int, due time.Duration, now time.Time) Ack {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return Ack{Unknown: true}
	}
	c := g.of(id)
	targets, room := g.strength(c, batch, now)
	can := sustained(targets, batch.Size, room, int(c.size.mean), batch.CallTime, batch.ItemTime)
	key := groupKey{Request: request, Stage: stage}
	granted, excess := c.ledger.ask(now, key, rank, promise{items: items, due: now.Add(due)}, can)
	return Ack{Refused: !granted, Wait: ToMillis(excess)}
}

// strength is how many targets at the usual pace the cell's are worth, and the
// mean room that each has for results of ours. Slow ones count only where all
// are slow: then they are what there is.
func (g *Gatherer) strength(c *cell, batch *plan.Batch, now time.Time) (targets float64, room int) {
	views := g.sound(c, now)
	allSlow := g.allSlow(c, views, now)
	counted := 0
	for _, v := range views {
		p := c.paces[v.ID]
		if p != nil && p.slow(now) && !allSlow {
			continue
		}
		counted++
		targets += 1 / p.factor()
		room += batch.RoomBytes - g.roomOf(c, v.Address, now).foreign()
	}
	if counted > 0 {
		room /= counted
	}
	return targets, room
}

// allSlow tells whether every target is slow. That is no straggler but a pool
// under strain, or one whose settings promise too much.
func (g *Gatherer) allSlow(c *cell, views []pool.View, now time.Time) bool {
	for _, v := range views {
		if p := c.paces[v.ID]; p == nil || !p.slow(now) {
			return false
		}
	}
	return true
}

func (g *Gatherer) batch(id Cell) *plan.Batch {
	p := g.plans.Current()
	if p == nil {
		return nil
	}
	service := p.Service(id.Service)
	if service == nil {
		return nil
	}
	return service.Batch
}

// wait is about how long a new item waits for its call's turn. The caller
// holds mu.
func (g *Gatherer) wait(c *cell, batch *plan.Batch, now time.Time) time.Duration {
	targets, free := 0, false
	soonest := batch.CallTime
	for _, v := range g.sound(c, now) {
		targets++
		call := c.working[v.ID]
		if call == nil {
			free = true
			continue
		}
		soonest = min(soonest, max(call.ends.Sub(now), 0))
	}
	if targets == 0 {
		return 0
	}
	if free && c.queue.len() < batch.Size {
		return 0
	}
	full := batch.CallTime + time.Duration(batch.Size)*batch.ItemTime
	rounds := c.queue.len() / batch.Size
	return soonest + time.Duration(rounds)*full/time.Duration(targets)
}

// sound lists the cell's targets that may get calls.
func (g *Gatherer) sound(c *cell, now time.Time) []pool.View {
	views := g.table.Views(c.Service, now)
	kept := views[:0]
	for _, v := range views {
		if c.in(v) && v.Weight > 0 {
			kept = append(kept, v)
		}
	}
	return kept
}

// dispatch starts a call at each free target while items wait. The caller
// holds mu.
func (g *Gatherer) dispatch(c *cell, batch *plan.Batch, now time.Time) {
	g.expire(c, batch, now, (*waiting).overdue)
	passed := map[string]bool{}
	for c.queue.len() > 0 {
		target := g.pick(c, batch, passed, now)
		if target == nil {
			break
		}
		passed[target.ID] = true
		taken := c.queue.take(now, offer{
			target: target.ID, zone: target.Zone, items: batch.Size, call: batch.CallTime,
			room: int(roomShare*float64(batch.RoomBytes)) - g.roomOf(c, target.Address, now).bytes,
		})
		if len(taken) > 0 {
			g.start(c, batch, target, taken, now)
		}
	}
	// What is late is given up only after free targets have had their choice.
	g.expire(c, batch, now, (*waiting).hopeless)
	if c.queue.len() > 0 {
		g.lookLater(c)
	}
}

// lookLater looks at the cell again soon. The caller holds mu.
func (g *Gatherer) lookLater(c *cell) {
	if c.looking {
		return
	}
	c.looking = true
	time.AfterFunc(lookPeriod, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.looking = false
		if batch := g.batch(c.Cell); batch != nil {
			g.dispatch(c, batch, time.Now())
		}
	})
}

// expire gives up the items to which a condition applies. The caller holds mu.
func (g *Gatherer) expire(c *cell, batch *plan.Batch, now time.Time, applies func(*waiting, time.Time, time.Duration) bool) {
	for _, w := range c.queue.drop(now, batch.CallTime, applies) {
		g.stats.Late++
		c.ledger.begun(w.Key)
		g.hand(c, w.owner, Result{Key: w.Key, Reason: Late})
	}
}

// hand gives one result to its owner without blocking. The caller holds mu.
func (g *Gatherer) hand(c *cell, owner string, results ...Result) {
	go g.deliver(owner, c.Cell, results)
}

// pick chooses a free target that wasn't passed: sound ones before slow ones,
// then one in the zone of what is most urgent, then the one with most room. The
// caller holds mu.
func (g *Gatherer) pick(c *cell, batch *plan.Batch, passed map[string]bool, now time.Time) *pool.Target {
	var best *pool.Target
	bestScore := -1.0
	zone := c.queue.firstZone()
	views := g.sound(c, now)
	allSlow := g.allSlow(c, views, now)
	for _, v := range views {
		if passed[v.ID] || c.working[v.ID] != nil || now.Before(c.pauses[v.ID]) {
			continue
		}
		left := batch.RoomBytes - g.roomOf(c, v.Address, now).bytes
		if left <= 0 {
			continue
		}
		score := float64(left) / float64(batch.RoomBytes)
		if v.Zone == zone {
			score++
		}
		if p := c.paces[v.ID]; p != nil && p.slow(now) && !allSlow {
			if len(c.working) > 0 {
				continue // a sound one ends sooner than a slow one would
			}
			score /= 10
		}
		if score > bestScore {
			best, bestScore = v.Target, score
		}
	}
	return best
}

func (g *Gatherer) roomOf(c *cell, address string, now time.Time) *room {
	r := c.rooms[address]
	if r == nil {
		r = &room{}
		c.rooms[address] = r
	}
	r.sweep(now)
	return r
}

// start makes one call. The caller holds mu.
func (g *Gatherer) start(c *cell, batch *plan.Batch, target *pool.Target, taken []*waiting, now time.Time) {
	expected := batch.CallTime + time.Duration(len(taken))*batch.ItemTime
	c.working[target.ID] = &waitingCall{ends: now.Add(expected)}
	items := make([]Item, 0, len(taken))
	for _, w := range taken {
		w.tries++
		c.ledger.begun(w.Key)
		c.size.add(w.Bytes)
		w.Expires = ToMillis(w.expires.Sub(now))
		items = append(items, w.Item)
		c.running[w.Key] = true
	}
	g.log.Debug("Call starts.", zap.String("service", c.Service), zap.String("target", target.ID),
		zap.Int("items", len(taken)), zap.Int("left", c.queue.len()), zap.Int("working", len(c.working)),
		zap.Int("room_used", g.roomOf(c, target.Address, now).bytes), zap.Int("room", batch.RoomBytes),
		zap.Duration("first_due", taken[0].due.Sub(now)))
	g.stats.Calls++
	g.stats.Items += len(taken)
	go g.call(c, batch, target, taken, items, expected)
}

func (g *Gatherer) call(c *cell, batch *plan.Batch, target *pool.Target, taken []*waiting, items []Item, expected time.Duration) {
	ctx, cancel := context.WithTimeout(g.life, callPatience*expected+callSlack)
	defer cancel()
	started := time.Now()
	noted := g.table.Begin(target, 0, started)
	fetched := time.AfterFunc(fetchTime, func() { g.fetched(c, items) })
	results, err := g.stager.Run(ctx, target, items)
	fetched.Stop()
	now := time.Now()
	noted.End(outcomeOf(results, err), now)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(c.working, target.ID)
	for _, w := range taken {
		delete(c.running, w.Key)
	}
	if err != nil {
		g.failed(c, target, taken, err, now)
	} else {
		g.finished(c, batch, target, taken, results, now)
		g.notePace(c, target, now.Sub(started), expected, now)
	}
	g.dispatch(c, batch, now)
}

// fetched tells those who gathered the inputs of some items that they have been
// fetched.
func (g *Gatherer) fetched(c *cell, items []Item) {
	g.mu.Lock()
	groups := c.feeding.fetched(items)
	g.mu.Unlock()
	for _, group := range groups {
		g.release(group.cell, group.inputs, false)
	}
}

func outcomeOf(results []Result, err error) pool.Outcome {
	switch {
	case errors.Is(err, ErrFull):
		return pool.Full
	case upstream.NotSent(err):
		return pool.Unreachable
	case err != nil:
		return pool.Failed
	}
	for _, r := range results {
		if r.Reason != Broken {
			return pool.Answered
		}
	}
	return pool.Failed
}

func (g *Gatherer) notePace(c *cell, target *pool.Target, actual, expected time.Duration, now time.Time) {
	p := c.paces[target.ID]
	if p == nil {
		p = &pace{}
		c.paces[target.ID] = p
	}
	p.took(actual, expected, now)
}

// failed puts the items of a call without an answer back. The caller holds mu.
func (g *Gatherer) failed(c *cell, target *pool.Target, taken []*waiting, err error, now time.Time) {
	notRun := errors.Is(err, ErrFull) || upstream.NotSent(err)
	if notRun {
		c.pauses[target.ID] = now.Add(fullPause)
	}
	g.log.Warn("Call of a stage target failed.", zap.String("target", target.ID), zap.String("service", c.Service),
		zap.Int("items", len(taken)), zap.Error(err))
	for _, w := range taken {
		if notRun {
			w.tries--
		}
		g.again(c, w, target, Broken)
	}
}

// again puts an item back into the queue, or gives it up. The caller holds mu.
func (g *Gatherer) again(c *cell, w *waiting, target *pool.Target, reason Reason) {
	if w.tries >= maxTries {
		g.stats.Failed++
		g.hand(c, w.owner, Result{Key: w.Key, Reason: reason})
		return
	}
	g.stats.Repeated++
	w.avoid = target.ID
	w.since = time.Now()
	c.queue.add(w)
}

// finished hands out the results of a call. The caller holds mu.
func (g *Gatherer) finished(c *cell, batch *plan.Batch, target *pool.Target, taken []*waiting, results []Result, now time.Time) {
	byOwner := map[string][]Result{}
	lacking := false
	for i, w := range taken {
		r := results[i]
		r.Key = w.Key
		r.Zone = target.Zone
		switch r.Reason {
		case NoRoom:
			lacking = true
			w.tries-- // it wasn't tried
			g.again(c, w, target, NoRoom)
			continue
		case Broken:
			g.again(c, w, target, Broken)
			continue
		case Made:
			g.roomOf(c, target.Address, now).put(r.Handle, w.Bytes, now.Add(batch.Keep))
			if group := c.feeding.made(w.Key); group != nil {
				go g.release(group.cell, group.inputs, true)
			}
		}
		byOwner[w.owner] = append(byOwner[w.owner], r)
	}
	if lacking {
		g.roomOf(c, target.Address, now).full(batch.RoomBytes, now.Add(foreignTime))
	}
	for owner, list := range byOwner {
		g.hand(c, owner, list...)
	}
}

// inVain counts results that nobody waited for.
func (g *Gatherer) inVain(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stats.InVain += n
}

// Cancel drops what waits for requests that were given up.
func (g *Gatherer) Cancel(id Cell, requests []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[id]
	if c == nil {
		return
	}
	for _, request := range requests {
		c.queue.remove(request)
		c.feeding.drop(request)
		c.ledger.drop(request)
	}
}

// Unknown lists those of the items that neither wait nor run here.
func (g *Gatherer) Unknown(id Cell, keys []Key) []Key {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.cells[id]
	var unknown []Key
	for _, k := range keys {
		if c == nil || (!c.running[k] && !c.queue.has(k)) {
			unknown = append(unknown, k)
		}
	}
	return unknown
}

// Free gives back the space of results. Several calls' results go to their
// maker together. Where it isn't final their reader may still fail, and only
// those are given back whose space is needed.
func (g *Gatherer) Free(id Cell, handles []string, final bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	batch := g.batch(id)
	if batch == nil {
		return
	}
	c := g.of(id)
	byMaker := map[string][]string{}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		byMaker[address] = append(byMaker[address], handle)
	}
	for address, list := range byMaker {
		list = g.roomOf(c, address, time.Now()).release(list, final, batch.RoomBytes)
		c.freeing[address] = append(c.freeing[address], list...)
	}
	if c.freer {
		return
	}
	c.freer = true
	time.AfterFunc(freePeriod, func() { g.flush(c) })
}

func (g *Gatherer) flush(c *cell) {
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
		g.free(c, target, handles)
	}
}

func (g *Gatherer) free(c *cell, target *pool.Target, handles []string) {
	ctx, cancel := context.WithTimeout(g.life, freeTimeout)
	defer cancel()
	if err := g.stager.Free(ctx, target, handles); err != nil {
		g.log.Warn("Results not freed; they lapse by themselves.", zap.String("target", target.ID), zap.Error(err))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.roomOf(c, target.Address, time.Now())
	for _, handle := range handles {
		r.drop(handle)
	}
}
