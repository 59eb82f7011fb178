package gather

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/derived"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// ackTimeout is how long a gatherer may take to answer before another one is
	// asked. The VMs are a millisecond or two apart, but the smallest have a fifth of
	// a core and may use it up for the rest of a tenth of a second, and the next
	// one as well. Failed over too soon, its items are made twice.
	ackTimeout = 350 * time.Millisecond
	// checkAfter is from when on a gatherer that owes results is asked whether
	// it still has the items; a call takes 300 to 450 ms.
	checkAfter  = 600 * time.Millisecond
	checkPeriod = 200 * time.Millisecond
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
	// leaveOut is Options.LeaveOut.
	leaveOut leaveout.Set
	started  time.Time
	// serial counts what was handed over or asked for.
	serial atomic.Uint64

	mu           sync.Mutex // guards what follows; never held during a call
	pending      map[Key]*pending
	unresponsive map[peer.Incarnation]bool
	freeing      map[freeKey][]string
	freer        bool
	leaving      bool
	// owners is read and its rankings are added to with mu held.
	owners derived.Value[layout, *owners]
}

type pending struct {
	item     Item
	due      time.Time
	expires  time.Time
	shard    Shard
	gatherer peer.Incarnation
	asked    time.Time
	done     chan<- Result
}

// RefusedError means that the items can't be made in time.
type RefusedError struct {
	Reason Reason
	// Service whose targets can't make it.
	Service string
	// Wait is about how long the queue is.
	Wait time.Duration
}

// Error describes the refusal.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("%s refused: %s (%v too late)", r.Service, r.Reason, r.Wait)
}

// Options are what a Requester is made from.
type Options struct {
	Log     *zap.Logger
	Network peer.Network
	Table   *pool.Table
	// Gatherer is this process's own.
	Gatherer *Gatherer
	// LeaveOut switches mechanisms off, for measurements.
	LeaveOut leaveout.Set
}

// New wires a requester and its gatherer. Call before the network starts.
func New(o Options) *Requester {
	r := &Requester{
		log: o.Log, network: o.Network, table: o.Table, leaveOut: o.LeaveOut, started: time.Now(),
		pending: map[Key]*pending{}, unresponsive: map[peer.Incarnation]bool{}, freeing: map[freeKey][]string{},
	}
	r.own = o.Gatherer
	r.own.leaveOut = o.LeaveOut
	r.own.deliver = r.deliver
	r.own.release = r.free
	peer.HandleCall(o.Network, methodSubmit, func(c submitCall) (any, error) {
		return r.own.Submit(string(c.Owner), c.Shard, c.Items, time.Now()), nil
	})
	peer.HandleCall(o.Network, methodDone, func(c doneCall) (any, error) {
		r.take(c.Gatherer, c.Shard, c.Results)
		return struct{}{}, nil
	})
	peer.HandleCall(o.Network, methodCancel, func(c cancelCall) (any, error) {
		r.own.Cancel(c.Shard, c.Request, c.UpTo)
		return struct{}{}, nil
	})
	peer.HandleCall(o.Network, methodFree, func(c freeCall) (any, error) {
		return ackOf(c, r.own.Free(c.Shard, c.Handles, c.Final)), nil
	})
	peer.HandleCall(o.Network, methodAsk, func(c askCall) (any, error) {
		return r.own.Ask(c, time.Now()), nil
	})
	peer.HandleCall(o.Network, methodCheck, func(c checkCall) (any, error) {
		return r.own.Unknown(c.Shard, c.Keys), nil
	})
	return r
}

// Gatherer is this process's own.
func (r *Requester) Gatherer() *Gatherer { return r.own }

// Leave makes this process hand its items to others from now on.
func (r *Requester) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// StageWork is what one request wants of one stage.
type StageWork struct {
	Service string
	Items   []Item
	Due     time.Time
	Expires time.Time
	// Zone is where the results are wanted; empty for anywhere.
	Zone string
}

// StageResults is what became of the work.
type StageResults struct {
	Shard   Shard
	Results []Result
}

// RunStage has the items made and waits for all of them. The error is *RefusedError or
// the context's.
func (r *Requester) RunStage(ctx context.Context, w StageWork) (*StageResults, error) {
	moved := map[Shard]bool{}
	for {
		shard, err := r.shardBeside(moved, w.Service, w.Zone, w.Items[0].Request)
		if err != nil {
			return nil, err
		}
		done, err := r.makeAt(ctx, shard, w)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != Moved {
			return done, err
		}
		moved[shard] = true
	}
}

// makeAt has the items made by the targets of one shard.
func (r *Requester) makeAt(ctx context.Context, shard Shard, w StageWork) (*StageResults, error) {
	results := make(chan Result, 2*len(w.Items))
	wanted := r.register(w, shard, results)
	defer r.forget(wanted)
	if err := r.submit(ctx, shard, wanted); err != nil {
		return nil, err
	}
	return r.wait(ctx, shard, wanted, results)
}

func (r *Requester) register(w StageWork, shard Shard, results chan<- Result) []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make([]*pending, 0, len(w.Items))
	for _, item := range w.Items {
		p := &pending{item: item, due: w.Due, expires: w.Expires, shard: shard, done: results}
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

// submit hands items to the best gatherer that answers. The last resort is
// this process itself.
func (r *Requester) submit(ctx context.Context, shard Shard, wanted []*pending) error {
	self := r.network.Self().Incarnation
	for _, candidate := range r.gatherers(shard) {
		ack, err := r.offer(ctx, candidate, shard, wanted)
		if err == nil && !ack.Unknown {
			return refusal(shard, ack)
		}
		if err == nil {
			err = errUnknownService
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		r.failOver(candidate, err)
	}
	ack := r.own.Submit(string(self), shard, r.items(wanted, self), time.Now())
	return refusal(shard, ack)
}

// errUnknownService means that a gatherer's configuration lacks the service.
var errUnknownService = errors.New("the gatherer doesn't know the service")

func refusal(shard Shard, ack Ack) error {
	if ack.Unknown {
		return &RefusedError{Reason: NoTarget, Service: shard.Service}
	}
	if ack.Moved {
		return &RefusedError{Reason: Moved, Service: shard.Service}
	}
	if ack.Refused {
		return &RefusedError{Reason: Late, Service: shard.Service, Wait: ack.Wait.Duration()}
	}
	return nil
}

func (r *Requester) offer(ctx context.Context, to peer.Incarnation, shard Shard, wanted []*pending) (Ack, error) {
	items := r.items(wanted, to)
	self := r.network.Self().Incarnation
	if to == self {
		return r.own.Submit(string(self), shard, items, time.Now()), nil
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	var ack Ack
	err := r.network.Call(ctx, to, methodSubmit, submitCall{Owner: self, Shard: shard, Items: items}, &ack)
	return ack, err
}

// items are the wanted items with their times as of now, noted as handed to a
// gatherer.
func (r *Requester) items(wanted []*pending, to peer.Incarnation) []Item {
	now := time.Now()
	serial := r.serial.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]Item, 0, len(wanted))
	for _, p := range wanted {
		p.gatherer = to
		p.asked = now
		item := p.item
		item.Serial = serial
		item.Due = ToMillis(p.due.Sub(now))
		item.Expires = ToMillis(p.expires.Sub(now))
		items = append(items, item)
	}
	return items
}

// wait collects the results of all items, and looks after those that stay away.
func (r *Requester) wait(ctx context.Context, shard Shard, wanted []*pending, results <-chan Result) (*StageResults, error) {
	done := &StageResults{Shard: shard}
	timer := time.NewTimer(checkAfter)
	defer timer.Stop()
	seen := map[Key]bool{}
	for len(seen) < len(wanted) {
		select {
		case <-ctx.Done():
			r.abandon(shard, wanted, results, done)
			return nil, context.Cause(ctx)
		case result := <-results:
			if seen[result.Key] {
				r.Free(shard, []Result{result})
				continue
			}
			if result.Reason != Made {
				r.abandon(shard, wanted, results, done)
				return nil, &RefusedError{Reason: result.Reason, Service: shard.Service}
			}
			seen[result.Key] = true
			done.Results = append(done.Results, result)
		case <-timer.C:
			if err := r.lookAfter(ctx, shard, wanted, seen); err != nil {
				r.abandon(shard, wanted, results, done)
				return nil, err
			}
			timer.Reset(checkPeriod)
		}
	}
	slices.SortFunc(done.Results, func(a, b Result) int { return a.Piece - b.Piece })
	return done, nil
}

// abandon drops what is no longer wanted and frees what was made.
func (r *Requester) abandon(shard Shard, wanted []*pending, results <-chan Result, done *StageResults) {
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
		r.cancel(gatherer, shard, request)
	}
	made := append(done.Results, unread(results)...)
	r.own.inVain(len(handlesOf(made)))
	r.Free(shard, made)
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

func (r *Requester) cancel(gatherer peer.Incarnation, shard Shard, request string) {
	upTo := r.serial.Load()
	if gatherer == r.network.Self().Incarnation {
		r.own.Cancel(shard, request, upTo)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), doneTimeout)
		defer cancel()
		err := r.network.Call(ctx, gatherer, methodCancel, cancelCall{Shard: shard, Request: request, UpTo: upTo}, nil)
		if err != nil {
			r.log.Debug("Cancel not delivered; the items expire.", zap.Error(err))
		}
	}()
}
