package limit

import (
	"container/heap"
	"math"
	"time"
)

// waiter is a request in the queue of a limiter.
type waiter struct {
	customer string
	weight   float64
	deadline time.Time
	// need is how long the request takes once it is admitted, with a margin.
	need time.Duration
	// allowed is the request's whole time.
	allowed time.Duration
	// result receives whether the request is admitted, exactly once.
	result chan bool
	// overShare becomes Permit.OverShare; it is set before result is sent.
	overShare bool
	index     int // position in its customer's heap; -1 once removed
}

// fairQueue orders waiting requests: between customers by weight (start-time
// fair queueing, so that none starves), within a customer by deadline.
type fairQueue struct {
	customers   map[string]*customerQueue
	virtualTime float64
	size        int
}

// customerQueue holds one customer's waiting requests.
type customerQueue struct {
	waiting deadlineHeap
	// nextStart is the virtual time at which the customer's next request
	// starts.
	nextStart float64
}

func newFairQueue() *fairQueue { return &fairQueue{customers: map[string]*customerQueue{}} }

func (q *fairQueue) push(w *waiter) {
	c := q.customers[w.customer]
	if c == nil {
		c = &customerQueue{nextStart: q.virtualTime}
		q.customers[w.customer] = c
	}
	c.nextStart = math.Max(c.nextStart, q.virtualTime)
	heap.Push(&c.waiting, w)
	q.size++
}

// positionOf estimates the position of a customer's next request in the order
// of service, counted from 1. It is at most the end of the queue, and earlier
// if the customer's weight gives it its turn earlier.
func (q *fairQueue) positionOf(customer string, weight float64) float64 {
	own, others := 1.0, 0.0
	for name, c := range q.customers {
		if name == customer {
			own += float64(len(c.waiting))
			continue
		}
		if len(c.waiting) > 0 {
			others += c.waiting[0].weight
		}
	}
	return math.Min(float64(q.size+1), own*(weight+others)/weight)
}

// pop removes and returns the next request; nil if none waits.
func (q *fairQueue) pop() *waiter {
	var best *customerQueue
	for _, c := range q.customers {
		if len(c.waiting) > 0 && (best == nil || c.startsBefore(best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	w := heap.Pop(&best.waiting).(*waiter)
	q.virtualTime = best.nextStart
	best.nextStart += 1 / w.weight
	q.size--
	q.dropIdle(w.customer, best)
	return w
}

func (c *customerQueue) startsBefore(other *customerQueue) bool {
	if c.nextStart != other.nextStart {
		return c.nextStart < other.nextStart
	}
	return c.waiting[0].deadline.Before(other.waiting[0].deadline)
}

// dropIdle deletes a customer that has nothing waiting and whose next start is
// not ahead of the virtual time. If the whole queue is empty it resets the
// virtual time.
func (q *fairQueue) dropIdle(name string, c *customerQueue) {
	if len(c.waiting) == 0 && q.size == 0 {
		q.customers = map[string]*customerQueue{}
		q.virtualTime = 0
		return
	}
	if len(c.waiting) == 0 && c.nextStart <= q.virtualTime {
		delete(q.customers, name)
	}
}

// remove deletes a request that no longer waits; false if it has left the queue
// already.
func (q *fairQueue) remove(w *waiter) bool {
	c := q.customers[w.customer]
	if c == nil || w.index < 0 {
		return false
	}
	heap.Remove(&c.waiting, w.index)
	q.size--
	q.dropIdle(w.customer, c)
	return true
}

// deadlineHeap is a heap of one customer's requests, earliest deadline first.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push is part of heap.Interface.
func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop is part of heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
