package limit

import (
	"context"
	"sync"
	"time"
)

// maxWaiting bounds the queue before a gate.
const maxWaiting = 2048

// shortestRetry is the least that a refused caller is told to wait.
const shortestRetry = 100 * time.Millisecond

// Entering is a request that wants to pass a gate.
type AcquireRequest struct {
	Customer string
	// Weight is the customer's share, at least 1.
	Weight   int
	Deadline time.Time
	// Need is how long the request takes once it is let in; zero where unknown.
	ServiceTime time.Duration
}

// Refusal says that a request can't be served in time.
type Refusal struct {
	// After is when to come back.
	RetryAfter time.Duration
	// Queued is how many requests wait.
	QueueLength int
}

// Gate lets requests through as fast as the targets behind it can take them.
type ConcurrencyLimiter struct {
	// Open lets everything through at once: a baseline for measurements.
	open bool

	mu        sync.Mutex // guards what follows; a leaf
	adaptive  *AdaptiveLimit
	queue     *fairQueue
	inService int
	// serving counts the requests in service of each customer, with weights.
	serving map[string]*served
	// pace is the moving average of the time between two requests that end.
	pace    time.Duration
	lastEnd time.Time
}

// NewGate makes a gate; an open one refuses nothing.
func NewConcurrencyLimiter(open bool) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{open: open, adaptive: NewAdaptiveLimit(), queue: newFairQueue(), serving: map[string]*served{}}
}

// Enter waits until the request is let in, and gives the Pass to end. A
// request that can't be in time is refused at once, whether it has waited or
// not. When ctx ends first, both results are nil.
func (g *ConcurrencyLimiter) Acquire(ctx context.Context, e AcquireRequest) (*Permit, *Refusal) {
	now := time.Now()
	g.mu.Lock()
	if g.free() {
		over := g.serve(e.Customer, float64(max(e.Weight, 1)))
		g.mu.Unlock()
		return &Permit{gate: g, customer: e.Customer, since: now, allowed: e.Deadline.Sub(now), OverShare: over}, nil
	}
	if r := g.refuse(e, now); r != nil {
		g.mu.Unlock()
		return nil, r
	}
	w := &waiter{
		customer: e.Customer, weight: float64(max(e.Weight, 1)), deadline: e.Deadline,
		need: e.need(), allowed: e.Deadline.Sub(now), decided: make(chan bool, 1),
	}
	g.queue.push(w)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

func (g *ConcurrencyLimiter) wait(ctx context.Context, w *waiter) (*Permit, *Refusal) {
	latest := time.NewTimer(time.Until(w.deadline) - w.need)
	defer latest.Stop()
	select {
	case in := <-w.decided:
		return g.decided(w, in)
	case <-ctx.Done():
	case <-latest.C:
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed && ctx.Err() != nil {
		return nil, nil
	}
	if removed {
		return nil, g.refusal(w)
	}
	return g.decided(w, <-w.decided)
}

func (g *ConcurrencyLimiter) decided(w *waiter, in bool) (*Permit, *Refusal) {
	if in {
		return &Permit{gate: g, customer: w.customer, since: time.Now(), allowed: w.allowed, OverShare: w.overShare}, nil
	}
	return nil, g.refusal(w)
}

func (g *ConcurrencyLimiter) free() bool {
	return g.open || (g.inService < g.adaptive.Limit() && g.queue.size == 0)
}

// refuse says no to a request whose expected wait leaves too little time.
func (g *ConcurrencyLimiter) refuse(e AcquireRequest, now time.Time) *Refusal {
	wait := g.expectedWait(e.Customer, float64(max(e.Weight, 1)))
	if g.queue.size < maxWaiting && now.Add(wait+e.need()).Before(e.Deadline) {
		return nil
	}
	return &Refusal{RetryAfter: max(wait, shortestRetry), QueueLength: g.queue.size}
}

// need is Need with a margin: half of the requests take longer than usual, and
// one that is let in with just the usual time left is lost work as often as not.
func (e AcquireRequest) need() time.Duration {
	return time.Duration(needMargin * float64(e.ServiceTime))
}

const needMargin = 1.25

// expectedWait of a customer's next request. It follows from the customer's own
// queue and share: behind another's burst it stands only as far as it has to
// share places with it.
func (g *ConcurrencyLimiter) expectedWait(customer string, weight float64) time.Duration {
	return time.Duration(g.queue.before(customer, weight) * float64(g.pace))
}

func (g *ConcurrencyLimiter) refusal(w *waiter) *Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Refusal{RetryAfter: max(g.expectedWait(w.customer, w.weight), shortestRetry), QueueLength: g.queue.size}
}

// Pass is the right to be served. End it once.
type Permit struct {
	// OverShare says that places are short and the request's customer has more
	// of them than its share. Targets must serve the others first: their own
	// queues know nothing of shares.
	OverShare bool

	gate     *ConcurrencyLimiter
	customer string
	since    time.Time
	// allowed is the request's whole time, also what it waited at the gate. A
	// request that waited long has little left, and measured by that every wait
	// would look like slow targets: the gate would shrink just as its queue
	// grows.
	allowed time.Duration
}

// End gives the place to the next one. counts says that the time taken tells
// something about the load on the targets: true for a request that was answered
// or ran out of time, false for one that failed otherwise or was cancelled.
func (p *Permit) Release(counts bool) {
	g := p.gate
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if counts {
		g.adaptive.Observe(now.Sub(p.since), p.allowed, g.inService)
	}
	g.inService--
	g.ended(p.customer)
	g.keepPace(now)
	g.letIn(now)
}

// paceWeight is the weight of the newest interval, longestPace the longest
// interval that counts: a pause in which nobody asked is no slow queue.
const (
	paceWeight  = 0.05
	longestPace = time.Second
)

func (g *ConcurrencyLimiter) keepPace(now time.Time) {
	if !g.lastEnd.IsZero() && g.queue.size > 0 {
		interval := min(now.Sub(g.lastEnd), longestPace)
		g.pace += time.Duration(paceWeight * float64(interval-g.pace))
	}
	g.lastEnd = now
}

// letIn fills the free places. A request that can't be in time any more is
// refused here and costs no stage.
func (g *ConcurrencyLimiter) letIn(now time.Time) {
	for g.inService < g.adaptive.Limit() {
		w := g.queue.pop()
		if w == nil {
			return
		}
		if now.Add(w.need).After(w.deadline) {
			w.decided <- false
			continue
		}
		w.overShare = g.serve(w.customer, w.weight)
		w.decided <- true
	}
}

// served is one customer's requests in service.
type served struct {
	count  int
	weight float64
}

// serve counts a request in service and says whether its customer has more
// places than its share while they are short.
func (g *ConcurrencyLimiter) serve(customer string, weight float64) (overShare bool) {
	g.inService++
	own := g.serving[customer]
	if own == nil {
		own = &served{}
		g.serving[customer] = own
	}
	own.count++
	own.weight = weight
	if g.open || float64(g.inService) < nearLimit*float64(g.adaptive.Limit()) {
		return false
	}
	weights := 0.0
	for _, c := range g.serving {
		weights += c.weight
	}
	return float64(own.count-1) >= float64(g.inService)*weight/weights
}

func (g *ConcurrencyLimiter) ended(customer string) {
	own := g.serving[customer]
	own.count--
	if own.count == 0 {
		delete(g.serving, customer)
	}
}

// Load is what the gate shows to operators.
type LimiterStats struct{ InService, Waiting, Limit int }

// Load tells how full the gate is.
func (g *ConcurrencyLimiter) Stats() LimiterStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return LimiterStats{InService: g.inService, Waiting: g.queue.size, Limit: g.adaptive.Limit()}
}
