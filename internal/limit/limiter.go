package limit

import (
	"context"
	"sync"
	"time"
)

// maxQueueLength bounds the queue of a limiter.
const maxQueueLength = 2048

// minRetryAfter is the shortest retry delay given to a refused caller.
const minRetryAfter = 100 * time.Millisecond

// AcquireRequest describes a request that asks for a place.
type AcquireRequest struct {
	Customer string
	// Weight is the customer's weight in fair queueing, at least 1.
	Weight   int
	Deadline time.Time
	// ServiceTime is how long the request usually takes once it is admitted;
	// zero if unknown.
	ServiceTime time.Duration
}

// Refusal says that a request can't be served by its deadline, or that the
// queue is full.
type Refusal struct {
	// RetryAfter is how long to wait before a retry.
	RetryAfter time.Duration
	// QueueLength is the number of requests in the queue.
	QueueLength int
}

// ConcurrencyLimiter bounds the requests in service by an AdaptiveLimit.
// Further requests wait in a fair queue.
type ConcurrencyLimiter struct {
	// unlimited admits every request at once. It is a baseline for
	// measurements.
	unlimited bool

	mu        sync.Mutex // guards the fields below; no other lock is taken under it
	adaptive  *AdaptiveLimit
	queue     *fairQueue
	inService int
	// byCustomer counts each customer's requests in service, with its weight.
	byCustomer map[string]*customerLoad
	// completionInterval is the moving average of the time between two requests
	// that end.
	completionInterval time.Duration
	lastCompletion     time.Time
}

// NewConcurrencyLimiter returns a limiter; an unlimited one refuses nothing.
func NewConcurrencyLimiter(unlimited bool) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{unlimited: unlimited, adaptive: NewAdaptiveLimit(), queue: newFairQueue(), byCustomer: map[string]*customerLoad{}}
}

// Acquire waits until the request is admitted and returns a Permit that must be
// released. A request that can't meet its deadline is refused as soon as this
// is known, on arrival or while it waits. If ctx ends first, both results are
// nil.
func (l *ConcurrencyLimiter) Acquire(ctx context.Context, req AcquireRequest) (*Permit, *Refusal) {
	now := time.Now()
	l.mu.Lock()
	if l.hasCapacity() {
		over := l.addInService(req.Customer, float64(max(req.Weight, 1)))
		l.mu.Unlock()
		return &Permit{limiter: l, customer: req.Customer, since: now, allowed: req.Deadline.Sub(now), OverShare: over}, nil
	}
	if r := l.refuseIfLate(req, now); r != nil {
		l.mu.Unlock()
		return nil, r
	}
	w := &waiter{
		customer: req.Customer, weight: float64(max(req.Weight, 1)), deadline: req.Deadline,
		need: req.need(), allowed: req.Deadline.Sub(now), result: make(chan bool, 1),
	}
	l.queue.push(w)
	l.mu.Unlock()
	return l.wait(ctx, w)
}

func (l *ConcurrencyLimiter) wait(ctx context.Context, w *waiter) (*Permit, *Refusal) {
	timer := time.NewTimer(time.Until(w.deadline) - w.need)
	defer timer.Stop()
	select {
	case admitted := <-w.result:
		return l.result(w, admitted)
	case <-ctx.Done():
	case <-timer.C:
	}
	l.mu.Lock()
	removed := l.queue.remove(w)
	l.mu.Unlock()
	if removed && ctx.Err() != nil {
		return nil, nil
	}
	if removed {
		return nil, l.newRefusal(w)
	}
	return l.result(w, <-w.result)
}

func (l *ConcurrencyLimiter) result(w *waiter, admitted bool) (*Permit, *Refusal) {
	if admitted {
		return &Permit{limiter: l, customer: w.customer, since: time.Now(), allowed: w.allowed, OverShare: w.overShare}, nil
	}
	return nil, l.newRefusal(w)
}

func (l *ConcurrencyLimiter) hasCapacity() bool {
	return l.unlimited || (l.inService < l.adaptive.Limit() && l.queue.size == 0)
}

// refuseIfLate returns a Refusal if the queue is full or the expected wait
// leaves the request too little time, else nil.
func (l *ConcurrencyLimiter) refuseIfLate(req AcquireRequest, now time.Time) *Refusal {
	wait := l.expectedWait(req.Customer, float64(max(req.Weight, 1)))
	if l.queue.size < maxQueueLength && now.Add(wait+req.need()).Before(req.Deadline) {
		return nil
	}
	return &Refusal{RetryAfter: max(wait, minRetryAfter), QueueLength: l.queue.size}
}

// need returns ServiceTime with a margin: half of the requests take longer than
// usual, so one admitted with just the usual time left would miss its deadline
// about every second time.
func (req AcquireRequest) need() time.Duration {
	return time.Duration(serviceTimeMargin * float64(req.ServiceTime))
}

const serviceTimeMargin = 1.25

// expectedWait estimates the wait of a customer's next request from the
// customer's own queue and weight. Another customer's burst delays it only as
// far as the other's weight gives it places.
func (l *ConcurrencyLimiter) expectedWait(customer string, weight float64) time.Duration {
	return time.Duration(l.queue.positionOf(customer, weight) * float64(l.completionInterval))
}

func (l *ConcurrencyLimiter) newRefusal(w *waiter) *Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Refusal{RetryAfter: max(l.expectedWait(w.customer, w.weight), minRetryAfter), QueueLength: l.queue.size}
}

// Permit is the right of a request to be served. Release it exactly once.
type Permit struct {
	// OverShare says that places are short and the request's customer holds
	// more of them than its share. Targets must then serve other customers
	// first: their own queues don't know the shares.
	OverShare bool

	limiter  *ConcurrencyLimiter
	customer string
	since    time.Time
	// allowed is the request's whole time, including its wait in the queue. If
	// only the time left after the wait counted, every long wait would look
	// like slow targets, and the limit would shrink just as the queue grows.
	allowed time.Duration
}

// Release frees the place for the next request. sample says whether the time
// taken tells something about the load on the targets: true for a request that
// was answered or ran out of time, false for one that failed otherwise or was
// cancelled.
func (p *Permit) Release(sample bool) {
	l := p.limiter
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if sample {
		l.adaptive.Observe(now.Sub(p.since), p.allowed, l.inService)
	}
	l.inService--
	l.removeInService(p.customer)
	l.updateCompletionInterval(now)
	l.admitWaiting(now)
}

// intervalWeight is the weight of the newest interval in the moving average.
// maxInterval caps an interval: a pause without requests does not mean that the
// queue is slow.
const (
	intervalWeight = 0.05
	maxInterval    = time.Second
)

func (l *ConcurrencyLimiter) updateCompletionInterval(now time.Time) {
	if !l.lastCompletion.IsZero() && l.queue.size > 0 {
		interval := min(now.Sub(l.lastCompletion), maxInterval)
		l.completionInterval += time.Duration(intervalWeight * float64(interval-l.completionInterval))
	}
	l.lastCompletion = now
}

// admitWaiting fills the free places from the queue. A request that can't meet
// its deadline any more is refused here, before it costs any work.
func (l *ConcurrencyLimiter) admitWaiting(now time.Time) {
	for l.inService < l.adaptive.Limit() {
		w := l.queue.pop()
		if w == nil {
			return
		}
		if now.Add(w.need).After(w.deadline) {
			w.result <- false
			continue
		}
		w.overShare = l.addInService(w.customer, w.weight)
		w.result <- true
	}
}

// customerLoad is one customer's requests in service.
type customerLoad struct {
	count  int
	weight float64
}

// addInService counts a request as in service. It returns whether its customer
// holds more places than its share while places are short.
func (l *ConcurrencyLimiter) addInService(customer string, weight float64) (overShare bool) {
	l.inService++
	own := l.byCustomer[customer]
	if own == nil {
		own = &customerLoad{}
		l.byCustomer[customer] = own
	}
	own.count++
	own.weight = weight
	if l.unlimited || float64(l.inService) < nearLimit*float64(l.adaptive.Limit()) {
		return false
	}
	weights := 0.0
	for _, c := range l.byCustomer {
		weights += c.weight
	}
	return float64(own.count-1) >= float64(l.inService)*weight/weights
}

func (l *ConcurrencyLimiter) removeInService(customer string) {
	own := l.byCustomer[customer]
	own.count--
	if own.count == 0 {
		delete(l.byCustomer, customer)
	}
}

// LimiterStats is the state of a limiter as shown to operators.
type LimiterStats struct{ InService, Waiting, Limit int }

// Stats returns the current state of the limiter.
func (l *ConcurrencyLimiter) Stats() LimiterStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LimiterStats{InService: l.inService, Waiting: l.queue.size, Limit: l.adaptive.Limit()}
}
