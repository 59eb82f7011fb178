package gather

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/wait"
)

// Methods of the calls between processes.
const (
	methodSubmit = "gather.submit"
	methodDone   = "gather.done"
	methodCancel = "gather.cancel"
	methodFree   = "gather.free"
	methodCheck  = "gather.check"
	methodAsk    = "gather.ask"
)

const (
	// ackTimeout is how long a gatherer may take to answer before it is passed
	// by. The VMs are a millisecond or two apart; a busy one answers within some
	// tens of ms.
	ackTimeout = 150 * time.Millisecond
	// checkAfter is from when on a gatherer that owes results is asked whether
	// it still has the items; a call takes about 300 ms.
	checkAfter  = 400 * time.Millisecond
	checkPeriod = 200 * time.Millisecond
	// passBy is how long a gatherer that didn't answer gets no items.
	passBy = 2 * time.Second
	// handPeriod is how long results to be freed are collected for one message
	// to their gatherer: long enough for those of one request.
	handPeriod = 5 * time.Millisecond
	// doneTimeout bounds the handing over of results.
	doneTimeout = 500 * time.Millisecond
)

// Requester hands this process's items to the gatherers and gets the results.
type Requester struct {
	log     *zap.Logger
	network peer.Network
	table   *pool.Table
	own     *Gatherer
	// askNobody is Options.AskNobody.
	askNobody bool
	started   time.Time

	mu      sync.Mutex // guards what follows; never held during a call
	pending map[Key]*pending
	passed  map[peer.Incarnation]time.Time
	freeing map[freeKey][]string
	freer   bool
	leaving bool
}

type pending struct {
	item     Item
	due      time.Time
	expires  time.Time
	cell     Cell
	gatherer peer.Incarnation
	asked    time.Time
	done     chan<- Result
}

// Refused means that the items can't be made in time.
type Refused struct {
	Reason Reason
	// Service whose targets can't make it.
	Service string
	// Wait is about how long the queue is.
	Wait time.Duration
}

// Error describes the refusal.
func (r *Refused) Error() string {
	return fmt.Sprintf("%s refused: %s (%v too late)", r.Service, r.Reason, r.Wait)
}

type submitCall struct {
	Owner peer.Incarnation `json:"owner"`
	Cell  Cell             `json:"cell"`
	Items []Item           `json:"items"`
}

type askCall struct {
	Cell    Cell   `json:"cell"`
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Rank    int    `json:"rank"`
	Items   int    `json:"items"`
	Due     Millis `json:"due"`
}

type doneCall struct {
	Cell    Cell     `json:"cell"`
	Results []Result `json:"results"`
}

type cancelCall struct {
	Cell     Cell     `json:"cell"`
	Requests []string `json:"requests"`
}

type freeCall struct {
	freeKey
	Handles []string `json:"handles"`
}

// freeKey is what results to be freed are collected by.
type freeKey struct {
	Cell Cell `json:"cell"`
	// Final is false while a reader of the results may still fail.
	Final bool `json:"final,omitempty"`
}

type checkCall struct {
	Cell Cell  `json:"cell"`
	Keys []Key `json:"keys"`
}

// Options are what a Requester is made from.
type Options struct {
	Log     *zap.Logger
	Network peer.Network
	Table   *pool.Table
	// Gatherer is this process's own.
	Gatherer *Gatherer
	// AskNobody leaves out the question whether a request's stages can be done
	// in time: a baseline for measurements.
	AskNobody bool
}

// New wires a requester and its gatherer. Call before the network starts.
func New(o Options) *Requester {
	r := &Requester{
		log: o.Log, network: o.Network, table: o.Table, askNobody: o.AskNobody, started: time.Now(),
		pending: map[Key]*pending{}, passed: map[peer.Incarnation]time.Time{}, freeing: map[freeKey][]string{},
	}
	r.own = o.Gatherer
	r.own.deliver = r.deliver
	r.own.release = r.free
	handle(o.Network, methodSubmit, func(c submitCall) any {
		return r.own.Submit(string(c.Owner), c.Cell, c.Items, time.Now())
	})
	handle(o.Network, methodDone, func(c doneCall) any {
		r.take(c.Cell, c.Results)
		return struct{}{}
	})
	handle(o.Network, methodCancel, func(c cancelCall) any {
		r.own.Cancel(c.Cell, c.Requests)
		return struct{}{}
	})
	handle(o.Network, methodFree, func(c freeCall) any {
		r.own.Free(c.Cell, c.Handles, c.Final)
		return struct{}{}
	})
	handle(o.Network, methodAsk, func(c askCall) any {
		return r.own.Ask(c.Cell, c.Request, c.Stage, c.Rank, c.Items, c.Due.Duration(), time.Now())
	})
	handle(o.Network, methodCheck, func(c checkCall) any { return r.own.Unknown(c.Cell, c.Keys) })
	return r
}

func handle[T any](network peer.Network, method string, fn func(T) any) {
	network.Handle(method, func(_ context.Context, params json.RawMessage) (any, error) {
		var call T
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, err
		}
		return fn(call), nil
	})
}

// Gatherer is this process's own.
func (r *Requester) Gatherer() *Gatherer { return r.own }

// Leave makes this process hand its items to others from now on.
func (r *Requester) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Plan is what a request will want of one stage.
type Plan struct {
	Service string
	Stage   int
	Items   int
	Due     time.Time
	Rank    int
	// Zone is where the stage will be made if the service is divided by zone;
	// empty for anywhere.
	Zone string
}

// Ask asks the gatherers of all stages whether they can make a request's items
// in time; the error is *Refused where one can't. A gatherer that doesn't
// answer is no reason to refuse.
func (r *Requester) Ask(ctx context.Context, request string, plans []Plan) error {
	r.meetPeers(ctx)
	if r.askNobody {
		return nil
	}
	answers := make(chan error, len(plans))
	asked := make([]Cell, len(plans))
	for i, p := range plans {
		cell, err := r.cellOf(p.Service, p.Zone, request)
		if err != nil {
			return err
		}
		asked[i] = cell
	}
	for i, p := range plans {
		go func() { answers <- r.askFor(ctx, request, asked[i], p) }()
	}
	var refused error
	for range plans {
		if err := <-answers; err != nil {
			refused = err
		}
	}
	if refused != nil {
		for _, cell := range asked {
			r.cancel(r.gatherers(cell, time.Now())[0], cell, request)
		}
	}
	return refused
}

func (r *Requester) askFor(ctx context.Context, request string, cell Cell, p Plan) error {
	now := time.Now()
	gatherer := r.gatherers(cell, now)[0]
	due := p.Due.Sub(now)
	if gatherer == r.network.Self().Incarnation {
		return promised(cell, r.own.Ask(cell, request, p.Stage, p.Rank, p.Items, due, now))
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	call := askCall{Cell: cell, Request: request, Stage: p.Stage, Rank: p.Rank, Items: p.Items, Due: ToMillis(due)}
	var ack Ack
	if err := r.network.Call(ctx, gatherer, methodAsk, call, &ack); err != nil {
		if ctx.Err() == nil || errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			r.passBy(gatherer, err)
		}
		return nil
	}
	return promised(cell, ack)
}

// promised tells whether a cell's answer is a refusal. One that doesn't know the
// service can't say.
func promised(cell Cell, ack Ack) error {
	if ack.Unknown {
		return nil
	}
	return refusal(cell, ack)
}

// Work is what one request wants of one stage.
type Work struct {
	Service string
	Items   []Item
	Due     time.Time
	Expires time.Time
	// Zone is where the results are wanted; empty for anywhere.
	Zone string
}

// Done is what became of the work.
type Done struct {
	Cell    Cell
	Results []Result
}

// Make has the items made and waits for all of them. The error is *Refused or
// the context's.
func (r *Requester) Make(ctx context.Context, w Work) (*Done, error) {
	cell, err := r.cellOf(w.Service, w.Zone, w.Items[0].Request)
	if err != nil {
		return nil, err
	}
	results := make(chan Result, 2*len(w.Items))
	wanted := r.register(w, cell, results)
	defer r.forget(wanted)
	if err := r.submit(ctx, cell, wanted); err != nil {
		return nil, err
	}
	return r.wait(ctx, cell, wanted, results)
}

const (
	// acquaintance is how long after its start a process that knows no other
	// waits for peers before it gathers for itself. When all start together each
	// would call every target with what it has alone, and most would be full.
	acquaintance = 600 * time.Millisecond
	alonePoll    = 20 * time.Millisecond
)

// meetPeers waits, just after the start, until a peer is known.
func (r *Requester) meetPeers(ctx context.Context) {
	for time.Since(r.started) < acquaintance && len(r.network.Members()) == 0 {
		if !wait.For(ctx, alonePoll) {
			return
		}
	}
}

// cellOf chooses the cell for some work: the wanted zone's, else one by the
// request, so that the cells get equal shares.
func (r *Requester) cellOf(service, zone, request string) (Cell, error) {
	views := r.table.Views(service, time.Now())
	if len(views) == 0 {
		return Cell{}, &Refused{Reason: Idle, Service: service}
	}
	list := cells(service, views)
	for _, c := range list {
		if c.Zone == zone {
			return c, nil
		}
	}
	// Each target is as likely as another, so a cell's share follows its size.
	v := views[Cell{Service: service}.score(request)%uint64(len(views))]
	for _, c := range list {
		if c.in(v) {
			return c, nil
		}
	}
	return list[0], nil
}

// Zones lists the zones in which a request's stages may be made, the one to try
// first in front; nil where none of the services is divided by zone. All stages
// of a chain are best made in one zone, since their results don't cross then.
// The first is drawn by the request, each zone as often as it has targets.
func (r *Requester) Zones(services []string, request string) []string {
	now := time.Now()
	weight := map[string]float64{}
	divided := false
	for _, service := range services {
		views := r.table.Views(service, now)
		divided = divided || len(views) > maxCell
		for _, v := range views {
			weight[v.Zone] += 1 / float64(len(views))
		}
	}
	if !divided {
		return nil
	}
	var zones []string
	for zone := range weight {
		zones = append(zones, zone)
	}
	// The highest of u^(1/w), u drawn by request and zone, falls on each zone
	// as often as its weight says.
	draw := func(zone string) float64 {
		u := float64(Cell{Zone: zone}.score(request)>>11) / (1 << 53)
		return math.Pow(u, 1/weight[zone])
	}
	slices.SortFunc(zones, func(a, b string) int { return cmp.Compare(draw(b), draw(a)) })
	return zones
}

func (r *Requester) register(w Work, cell Cell, results chan<- Result) []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make([]*pending, 0, len(w.Items))
	for _, item := range w.Items {
		p := &pending{item: item, due: w.Due, expires: w.Expires, cell: cell, done: results}
		r.pending[item.Key] = p
		wanted = append(wanted, p)
	}
	return wanted
}

func (r *Requester) forget(wanted []*pending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range wanted {
		if r.pending[p.item.Key] == p {
			delete(r.pending, p.item.Key)
		}
	}
}

// gatherers ranks the processes that may gather for a cell, best first; this
// one is always among them.
func (r *Requester) gatherers(cell Cell, now time.Time) []peer.Incarnation {
	self := r.network.Self().Incarnation
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []peer.Incarnation{}
	for _, m := range r.network.Members() {
		if m.State == peer.Alive && now.After(r.passed[m.Incarnation]) {
			list = append(list, m.Incarnation)
		}
	}
	if !r.leaving || len(list) == 0 {
		list = append(list, self)
	}
	slices.SortFunc(list, func(a, b peer.Incarnation) int {
		if cell.score(string(a)) > cell.score(string(b)) {
			return -1
		}
		return 1
	})
	return list
}

// submit hands items to the best gatherer that answers. The last resort is
// this process itself.
func (r *Requester) submit(ctx context.Context, cell Cell, wanted []*pending) error {
	self := r.network.Self().Incarnation
	for _, candidate := range r.gatherers(cell, time.Now()) {
		ack, err := r.offer(ctx, candidate, cell, wanted)
		if err == nil && !ack.Unknown {
			return refusal(cell, ack)
		}
		if err == nil {
			err = errUnknownService
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		r.passBy(candidate, err)
	}
	ack := r.own.Submit(string(self), cell, r.items(wanted, self), time.Now())
	return refusal(cell, ack)
}

// errUnknownService means that a gatherer's configuration lacks the service.
var errUnknownService = errors.New("the gatherer doesn't know the service")

func refusal(cell Cell, ack Ack) error {
	if ack.Unknown {
		return &Refused{Reason: Idle, Service: cell.Service}
	}
	if ack.Refused {
		return &Refused{Reason: Late, Service: cell.Service, Wait: ack.Wait.Duration()}
	}
	return nil
}

func (r *Requester) offer(ctx context.Context, to peer.Incarnation, cell Cell, wanted []*pending) (Ack, error) {
	items := r.items(wanted, to)
	self := r.network.Self().Incarnation
	if to == self {
		return r.own.Submit(string(self), cell, items, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var ack Ack
	err := r.network.Call(ctx, to, methodSubmit, submitCall{Owner: self, Cell: cell, Items: items}, &ack)
	return ack, err
}

// items are the wanted items with their times as of now, noted as handed to a
// gatherer.
func (r *Requester) items(wanted []*pending, to peer.Incarnation) []Item {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]Item, 0, len(wanted))
	for _, p := range wanted {
		p.gatherer = to
		p.asked = now
		item := p.item
		item.Due = ToMillis(p.due.Sub(now))
		item.Expires = ToMillis(p.expires.Sub(now))
		items = append(items, item)
	}
	return items
}

func (r *Requester) passBy(member peer.Incarnation, err error) {
	r.log.Warn("Gatherer doesn't answer; passed by.", zap.String("member", string(member)), zap.Error(err))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passed[member] = time.Now().Add(passBy)
}

// wait collects the results of all items, and looks after those that stay away.
func (r *Requester) wait(ctx context.Context, cell Cell, wanted []*pending, results <-chan Result) (*Done, error) {
	done := &Done{Cell: cell}
	timer := time.NewTimer(checkAfter)
	defer timer.Stop()
	seen := map[Key]bool{}
	for len(seen) < len(wanted) {
		select {
		case <-ctx.Done():
			r.abandon(cell, wanted, results, done)
			return nil, context.Cause(ctx)
		case result := <-results:
			if seen[result.Key] {
				r.Free(cell, []string{result.Handle})
				continue
			}
			if result.Reason != Made {
				r.abandon(cell, wanted, results, done)
				return nil, &Refused{Reason: result.Reason, Service: cell.Service}
			}
			seen[result.Key] = true
			done.Results = append(done.Results, result)
		case <-timer.C:
			if err := r.lookAfter(ctx, cell, wanted, seen); err != nil {
				r.abandon(cell, wanted, results, done)
				return nil, err
			}
			timer.Reset(checkPeriod)
		}
	}
	slices.SortFunc(done.Results, func(a, b Result) int { return a.Piece - b.Piece })
	return done, nil
}

// lookAfter asks the gatherers whether they still have the items, and hands
// those to others that got lost: a gatherer may have died, or may be frozen.
func (r *Requester) lookAfter(ctx context.Context, cell Cell, wanted []*pending, seen map[Key]bool) error {
	byGatherer := map[peer.Incarnation][]*pending{}
	r.mu.Lock()
	for _, p := range wanted {
		if !seen[p.item.Key] && time.Since(p.asked) >= checkPeriod {
			byGatherer[p.gatherer] = append(byGatherer[p.gatherer], p)
		}
	}
	r.mu.Unlock()
	for gatherer, list := range byGatherer {
		lost := r.lost(ctx, gatherer, cell, list)
		if len(lost) == 0 {
			continue
		}
		r.log.Warn("Items got lost; handed over again.", zap.String("member", string(gatherer)),
			zap.String("request", lost[0].item.Request), zap.Int("items", len(lost)))
		if err := r.submit(ctx, cell, lost); err != nil {
			return err
		}
	}
	return nil
}

func (r *Requester) lost(ctx context.Context, gatherer peer.Incarnation, cell Cell, list []*pending) []*pending {
	keys := make([]Key, 0, len(list))
	for _, p := range list {
		keys = append(keys, p.item.Key)
	}
	var unknown []Key
	if gatherer == r.network.Self().Incarnation {
		unknown = r.own.Unknown(cell, keys)
	} else {
		ctx, cancel := context.WithTimeout(ctx, ackTimeout)
		defer cancel()
		if err := r.network.Call(ctx, gatherer, methodCheck, checkCall{Cell: cell, Keys: keys}, &unknown); err != nil {
			r.passBy(gatherer, err)
			return list
		}
	}
	return r.stillMissing(list, unknown)
}

// stillMissing are the unknown items whose results didn't come while the
// gatherer was asked: it forgets an item just before its result arrives here.
func (r *Requester) stillMissing(list []*pending, unknown []Key) []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []*pending
	for _, p := range list {
		waits := r.pending[p.item.Key] == p
		if waits && slices.Contains(unknown, p.item.Key) && time.Since(p.asked) > checkAfter {
			missing = append(missing, p)
		}
	}
	return missing
}

// abandon drops what is no longer wanted and frees what was made.
func (r *Requester) abandon(cell Cell, wanted []*pending, results <-chan Result, done *Done) {
	byGatherer := map[peer.Incarnation]string{}
	r.mu.Lock()
	for _, p := range wanted {
		if r.pending[p.item.Key] == p {
			byGatherer[p.gatherer] = p.item.Request
		}
	}
	r.mu.Unlock()
	r.forget(wanted)
	for gatherer, request := range byGatherer {
		r.cancel(gatherer, cell, request)
	}
	made := handlesOf(append(done.Results, unread(results)...))
	r.own.inVain(len(made))
	r.Free(cell, made)
}

// unread are the results that have come and that nobody has taken in. No more
// come: the items are forgotten.
func unread(results <-chan Result) []Result {
	var list []Result
	for len(results) > 0 {
		list = append(list, <-results)
	}
	return list
}

func (r *Requester) cancel(gatherer peer.Incarnation, cell Cell, request string) {
	if gatherer == r.network.Self().Incarnation {
		r.own.Cancel(cell, []string{request})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		defer cancel()
		err := r.network.Call(ctx, gatherer, methodCancel, cancelCall{Cell: cell, Requests: []string{request}}, nil)
		if err != nil {
			r.log.Debug("Cancel not delivered; the items expire.", zap.Error(err))
		}
	}()
}

// deliver gives results to their owner; what reaches nobody is freed.
func (r *Requester) deliver(owner string, cell Cell, results []Result) {
	if owner == string(r.network.Self().Incarnation) {
		r.take(cell, results)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	err := r.network.Call(ctx, peer.Incarnation(owner), methodDone, doneCall{Cell: cell, Results: results}, nil)
	if err == nil {
		return
	}
	r.log.Warn("Results not delivered; freed.", zap.String("member", owner), zap.Int("results", len(results)), zap.Error(err))
	r.own.Free(cell, handlesOf(results), true)
}

func handlesOf(results []Result) []string {
	var handles []string
	for _, result := range results {
		if result.Reason == Made {
			handles = append(handles, result.Handle)
		}
	}
	return handles
}

// take hands results to the requests that wait; what nobody waits for is freed.
func (r *Requester) take(cell Cell, results []Result) {
	var unwanted []Result
	r.mu.Lock()
	for _, result := range results {
		p := r.pending[result.Key]
		if p == nil {
			unwanted = append(unwanted, result)
			continue
		}
		delete(r.pending, result.Key)
		p.done <- result
	}
	r.mu.Unlock()
	r.own.inVain(len(unwanted))
	r.Free(cell, handlesOf(unwanted))
}

// Free gives back the space of results, several requests' together.
func (r *Requester) Free(cell Cell, handles []string) { r.free(cell, handles, true) }

func (r *Requester) free(cell Cell, handles []string, final bool) {
	if len(handles) == 0 {
		return
	}
	key := freeKey{Cell: cell, Final: final}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freeing[key] = append(r.freeing[key], handles...)
	if r.freer {
		return
	}
	r.freer = true
	time.AfterFunc(handPeriod, r.flush)
}

func (r *Requester) flush() {
	r.mu.Lock()
	freeing := r.freeing
	r.freeing = map[freeKey][]string{}
	r.freer = false
	r.mu.Unlock()
	for key, handles := range freeing {
		r.freeAt(key, handles)
	}
}

func (r *Requester) freeAt(key freeKey, handles []string) {
	gatherer := r.gatherers(key.Cell, time.Now())[0]
	if gatherer == r.network.Self().Incarnation {
		r.own.Free(key.Cell, handles, key.Final)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
	defer cancel()
	if err := r.network.Call(ctx, gatherer, methodFree, freeCall{freeKey: key, Handles: handles}, nil); err != nil {
		r.log.Debug("Results not freed by their gatherer; freed from here.", zap.Error(err))
		r.own.Free(key.Cell, handles, key.Final)
	}
}
