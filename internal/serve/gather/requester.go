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
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// ackTimeout is how long a gatherer may take to answer before the next one is tried. VMs
	// are a millisecond or two apart, but the smallest have a fifth of a core, and once it is
	// used up they are stalled for the rest of a tenth of a second, possibly twice in a row.
	// After a failover that is too early, items are processed twice.
	ackTimeout = 350 * time.Millisecond
	// checkAfter is the time after which a gatherer that hasn't returned all results is asked
	// whether it still has the items; a call takes 300 to 450 ms.
	checkAfter  = 600 * time.Millisecond
	checkPeriod = 200 * time.Millisecond
	// freeMessageDelay is how long results to be freed are collected for one message to their
	// allocator: long enough for those of one request.
	freeMessageDelay = 5 * time.Millisecond
	// handoverPause is the time until items that were given back by a gatherer that is cut off are
	// submitted again; by then its notice has arrived at most processes.
	handoverPause = 20 * time.Millisecond
	// deliveryTimeout bounds the calls that deliver or free results or cancel a request.
	deliveryTimeout = 500 * time.Millisecond
)

// Requester submits this process's items to the gatherers and receives the results.
type Requester struct {
	log     *zap.Logger
	network peer.Network
	table   *pool.Table
	own     *Gatherer
	reach   Reach
	// leaveOut is Options.LeaveOut.
	leaveOut leaveout.Set
	started  time.Time
	// serial numbers submissions and reservations.
	serial atomic.Uint64

	mu             sync.Mutex // guards the fields below; never held during a call
	pending        map[Key]*pending
	unresponsive   map[peer.Incarnation]bool
	pendingFrees   map[freeKey][]string
	flushScheduled bool
	leaving        bool
	// owners and the rankings cached in it are accessed with mu held.
	owners derived.Value[assignmentInputs, *owners]
}

// pending is a submitted item whose result has not arrived.
type pending struct {
	item        Item
	due         time.Time
	expires     time.Time
	shard       Shard
	gatherer    peer.Incarnation
	submittedAt time.Time
	done        chan<- Result
}

// RefusedError means that the items can't be processed, or not in time.
type RefusedError struct {
	Reason Reason
	// Service is the service whose targets can't process them.
	Service string
	// Wait is the gatherer's estimate in Ack.Wait.
	Wait time.Duration
	// Closed is Ack.Closed.
	Closed time.Duration
	// Share is Ack.Share.
	Share ShareCause
	// Place is the time until the places that are held for the request; 0 if there are none.
	Place time.Duration
	// Hopeless means that the request can't be done by its deadline if it comes back.
	Hopeless bool
}

// Error describes the refusal.
func (r *RefusedError) Error() string {
	text := fmt.Sprintf("service %q refused the items: %s (%v too late)", r.Service, r.reason(), r.Wait)
	switch {
	case r.Place > 0:
		return fmt.Sprintf("%s; place held in %v", text, r.Place)
	case r.Hopeless:
		return text + "; no capacity before the deadline"
	default:
		return text
	}
}

// reason describes why the items were refused.
func (r *RefusedError) reason() string {
	switch r.Share {
	case TeamAboveShare:
		return "the team is above its share"
	case RoomForLarge:
		return "room is kept for larger requests"
	default:
		return string(r.Reason)
	}
}

// Reach tells which processes are cut off from which services.
type Reach interface {
	// CutOff reports whether this process is cut off from a service.
	CutOff(service string) bool
	// PeerCutOff reports whether another process is cut off from any of the services.
	PeerCutOff(id peer.Incarnation, services ...string) bool
	// Generation grows whenever one of these answers changes.
	Generation() uint64
}

// Options configures a Requester.
type Options struct {
	Log     *zap.Logger
	Network peer.Network
	Table   *pool.Table
	// Gatherer is this process's own gatherer.
	Gatherer *Gatherer
	// Reach may be nil: no process is cut off.
	Reach Reach
	// LeaveOut disables mechanisms, for measurements.
	LeaveOut leaveout.Set
}

// New creates a requester and registers the handlers for calls between processes. It must be
// called before the network starts.
func New(o Options) *Requester {
	r := &Requester{
		log: o.Log, network: o.Network, table: o.Table, reach: o.Reach, leaveOut: o.LeaveOut, started: time.Now(),
		pending: map[Key]*pending{}, unresponsive: map[peer.Incarnation]bool{}, pendingFrees: map[freeKey][]string{},
	}
	r.own = o.Gatherer
	r.own.leaveOut = o.LeaveOut
	r.own.deliver = r.deliver
	r.own.release = r.free
	r.own.replaced = r.replaced
	peer.HandleCall(o.Network, methodSubmit, func(c submitCall) (any, error) {
		return r.own.Submit(string(c.Owner), c.Shard, c.Items, time.Now()), nil
	})
	peer.HandleCall(o.Network, methodResults, func(c resultsCall) (any, error) {
		r.receive(c.Gatherer, c.Shard, c.Results)
		return struct{}{}, nil
	})
	peer.HandleCall(o.Network, methodCancel, func(c cancelCall) (any, error) {
		r.own.Cancel(c.Shard, c.Request, c.UpTo)
		return struct{}{}, nil
	})
	peer.HandleCall(o.Network, methodFree, func(c freeCall) (any, error) {
		return newFreeAck(c, r.own.Free(c.Shard, c.Handles, c.Final)), nil
	})
	peer.HandleCall(o.Network, methodReserve, func(c reserveCall) (any, error) {
		return r.own.ReserveStage(c, time.Now()), nil
	})
	peer.HandleCall(o.Network, methodPlace, func(c placeCall) (any, error) {
		r.own.PlaceStage(c, time.Now())
		return struct{}{}, nil
	})
	peer.HandleCall(o.Network, methodCheck, func(c checkCall) (any, error) {
		return r.own.MissingItems(c.Shard, c.Keys), nil
	})
	return r
}

// Gatherer returns this process's own gatherer.
func (r *Requester) Gatherer() *Gatherer { return r.own }

// Leave makes this process stop gathering for its own items, which go to other processes from
// now on if there are any.
func (r *Requester) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// StageWork is the work of one stage of a request.
type StageWork struct {
	Service string
	Items   []Item
	Due     time.Time
	Expires time.Time
	// Zone is the preferred zone; empty means any zone.
	Zone string
	// Shard is the shard at which a place was claimed; if it is the zero value, the shard is
	// chosen by the request.
	Shard Shard
}

// StageResults holds the results of one stage of a request.
type StageResults struct {
	Shard   Shard
	Results []Result
}

// RunStage has the items of a stage processed and waits for all results. The error is a
// *RefusedError or the context's.
func (r *Requester) RunStage(ctx context.Context, work StageWork) (*StageResults, error) {
	excluded := map[Shard]bool{}
	for {
		shard, err := r.chooseShardExcept(excluded, work.Service, work.Zone, work.Items[0].Request)
		if err != nil {
			return nil, err
		}
		if work.Shard != (Shard{}) && !excluded[work.Shard] {
			shard = work.Shard
		}
		done, err := r.runOnShard(ctx, shard, work)
		var refused *RefusedError
		if !errors.As(err, &refused) {
			return done, err
		}
		switch refused.Reason {
		case NoTargetInShard:
			excluded[shard] = true
		case GathererCutOff:
			if !wait.For(ctx, handoverPause) {
				return nil, context.Cause(ctx)
			}
		default:
			return done, err
		}
	}
}

// runOnShard has the items processed by the targets of one shard.
func (r *Requester) runOnShard(ctx context.Context, shard Shard, work StageWork) (*StageResults, error) {
	results := make(chan Result, 2*len(work.Items))
	wanted := r.register(work, shard, results)
	defer r.forget(wanted)
	if err := r.submit(ctx, shard, wanted); err != nil {
		return nil, err
	}
	return r.awaitResults(ctx, shard, wanted, results)
}

func (r *Requester) register(work StageWork, shard Shard, results chan<- Result) []*pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make([]*pending, 0, len(work.Items))
	for _, item := range work.Items {
		p := &pending{item: item, due: work.Due, expires: work.Expires, shard: shard, done: results}
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

// submit sends items to the first gatherer in the ranking that answers and knows the service.
// If there is none, this process gathers for them itself.
func (r *Requester) submit(ctx context.Context, shard Shard, wanted []*pending) error {
	self := r.network.Self().Incarnation
	for _, candidate := range r.gatherers(shard) {
		ack, err := r.submitTo(ctx, candidate, shard, wanted)
		if err == nil && !ack.UnknownService {
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

// errUnknownService means that a gatherer doesn't know the service or no targets yet.
var errUnknownService = errors.New("gatherer doesn't know the service or has no targets yet")

// refusal returns the error for an answer that refuses items, else nil.
func refusal(shard Shard, ack Ack) error {
	if ack.UnknownService {
		return &RefusedError{Reason: NoTarget, Service: shard.Service}
	}
	if ack.NoTargetInShard {
		return &RefusedError{Reason: NoTargetInShard, Service: shard.Service}
	}
	if ack.Refused {
		return &RefusedError{
			Reason: Late, Service: shard.Service, Wait: ack.Wait.Duration(), Closed: ack.Closed.Duration(), Place: ack.Place.Duration(), Hopeless: ack.Hopeless, Share: ack.Share,
		}
	}
	return nil
}

func (r *Requester) submitTo(ctx context.Context, to peer.Incarnation, shard Shard, wanted []*pending) (Ack, error) {
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

// items returns the wanted items with the times left from now on, and records them as
// submitted to a gatherer.
func (r *Requester) items(wanted []*pending, to peer.Incarnation) []Item {
	now := time.Now()
	serial := r.serial.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]Item, 0, len(wanted))
	for _, p := range wanted {
		p.gatherer = to
		p.submittedAt = now
		item := p.item
		item.Serial = serial
		item.Due = ToMillis(p.due.Sub(now))
		item.Expires = ToMillis(p.expires.Sub(now))
		items = append(items, item)
	}
	return items
}

// awaitResults collects the results of all items and has lost items submitted again.
func (r *Requester) awaitResults(ctx context.Context, shard Shard, wanted []*pending, results <-chan Result) (*StageResults, error) {
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
			if result.Reason != Completed {
				r.abandon(shard, wanted, results, done)
				return nil, &RefusedError{Reason: result.Reason, Service: shard.Service}
			}
			seen[result.Key] = true
			done.Results = append(done.Results, result)
		case <-timer.C:
			if err := r.resubmitLost(ctx, shard, wanted, seen); err != nil {
				r.abandon(shard, wanted, results, done)
				return nil, err
			}
			timer.Reset(checkPeriod)
		}
	}
	slices.SortFunc(done.Results, func(a, b Result) int { return a.Piece - b.Piece })
	return done, nil
}

// abandon cancels the items that have no result yet and frees the results that exist.
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
	existing := append(done.Results, drain(results)...)
	r.own.countDiscarded(len(handlesOf(existing)))
	r.Free(shard, existing)
}

// drain returns the results left in the channel. No more can follow, since the items are no
// longer pending.
func drain(results <-chan Result) []Result {
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
		ctx, cancel := context.WithTimeout(context.Background(), deliveryTimeout)
		defer cancel()
		err := r.network.Call(ctx, gatherer, methodCancel, cancelCall{Shard: shard, Request: request, UpTo: upTo}, nil)
		if err != nil {
			r.log.Debug("Could not deliver cancellation; the items will expire.", zap.Error(err))
		}
	}()
}
