// Package connlimit limits how many connections of callers a process holds. When there are too many, those whose
// request hasn't arrived make room for new ones, the longest waiting first.
package connlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// started is the origin of times that are kept as numbers.
var started = time.Now()

const (
	// slowArrival is how long the body of a request may take before its connection makes room sooner than unused ones.
	slowArrival = time.Second
	// stalledWrite is how long a write may take before its connection makes room if there is no other.
	stalledWrite = time.Second
)

// Limiter limits the connections of all ports together.
type Limiter struct {
	max int

	mu   sync.Mutex // guards the fields below and those of all Places; no other lock is taken while it is held
	open int
	peak int
	// unproven holds the connections whose first head hasn't arrived, idle those that wait for another one, and receiving
	// those of which a body is arriving. serving holds those whose request is being served. All begin with the one that
	// has been there longest.
	unproven, idle, receiving, serving list.List
	closed, rejected                   int64
}

// New returns a limiter for max connections.
func New(max int) *Limiter { return &Limiter{max: max} }

// Stats are the numbers of connections since the process started, except for Open.
type Stats struct {
	// Open is the number of open connections, Peak its maximum, Max the limit.
	Open, Peak, Max int
	// Closed counts those that made room for others, Rejected those for which there was no room.
	Closed, Rejected int64
}

// Stats returns the current numbers.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: l.open, Peak: l.peak, Max: l.max, Closed: l.closed, Rejected: l.rejected}
}

// Place is the place of one connection in a Limiter.
type Place struct {
	limiter *Limiter
	conn    net.Conn
	// state is the list that has this connection, at element, since a time.
	state   *list.List
	element *list.Element
	since   time.Time
	// served is set once a request has arrived. left is set once the place is given up.
	served, left bool
	// writing is when the write in progress began, as nanoseconds of the monotonic clock; 0 if there is none.
	writing atomic.Int64
}

// Admit returns the place of a new connection, which waits for its first request. If there is no room, it closes
// another connection, which it returns too. The place is nil if requests are being served on all of them.
func (l *Limiter) Admit(conn net.Conn) (place *Place, closed net.Conn) {
	place, closed = l.admit(conn)
	if closed != nil {
		_ = closed.Close() // unused, so the error does not matter
	}
	return place, closed
}

// admit is Admit without the close.
func (l *Limiter) admit(conn net.Conn) (place *Place, victim net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		longest := l.toClose(time.Now())
		if longest == nil {
			l.rejected++
			return nil, nil
		}
		longest.leave()
		l.closed++
		victim = longest.conn
	}
	l.open++
	l.peak = max(l.peak, l.open)
	place = &Place{limiter: l, conn: conn}
	place.enter(&l.unproven)
	return place, victim
}

// toClose returns the connection to close: one that has never had a request, one whose body arrives slowly, an unused
// one, any other whose body is arriving, or one whose caller doesn't read its answer. It returns nil if there is none.
// The caller holds mu.
func (l *Limiter) toClose(now time.Time) *Place {
	unproven, idle, receiving := first(&l.unproven), first(&l.idle), first(&l.receiving)
	switch {
	case unproven != nil:
		return unproven
	case receiving != nil && (idle == nil || now.Sub(receiving.since) >= slowArrival):
		return receiving
	case idle != nil:
		return idle
	default:
		return l.stalled(now)
	}
}

// stalled returns the first connection whose write has taken long; nil if there is none. The caller holds mu.
func (l *Limiter) stalled(now time.Time) *Place {
	for e := l.serving.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Place)
		if began := c.writing.Load(); began != 0 && now.Sub(started)-time.Duration(began) >= stalledWrite {
			return c
		}
	}
	return nil
}

// first returns the longest waiting connection of a list; nil if it is empty.
func first(state *list.List) *Place {
	if front := state.Front(); front != nil {
		return front.Value.(*Place)
	}
	return nil
}

// Wait notes that the connection waits for a request.
func (p *Place) Wait() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	if p.served {
		p.enter(&p.limiter.idle)
	}
}

// Receive notes that the head of a request has arrived, and its body is arriving.
func (p *Place) Receive() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.enter(&p.limiter.receiving)
}

// Serve notes that a request has arrived completely.
func (p *Place) Serve() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.served = true
	p.enter(&p.limiter.serving)
}

// BeginWrite notes that a write to the caller begins, EndWrite that it has ended.
func (p *Place) BeginWrite() { p.writing.Store(int64(time.Since(started))) }

// EndWrite is the counterpart of BeginWrite.
func (p *Place) EndWrite() { p.writing.Store(0) }

// Leave gives the place up. It may be called more than once.
func (p *Place) Leave() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	p.leave()
}

// enter moves the connection to another list, unless it has left. The caller holds mu.
func (p *Place) enter(state *list.List) {
	if p.left {
		return
	}
	p.unlist()
	p.state, p.element, p.since = state, state.PushBack(p), time.Now()
}

// unlist removes the connection from its list. The caller holds mu.
func (p *Place) unlist() {
	if p.state != nil {
		p.state.Remove(p.element)
		p.state, p.element = nil, nil
	}
}

// leave gives the place up. The caller holds mu.
func (p *Place) leave() {
	if p.left {
		return
	}
	p.left = true
	p.unlist()
	p.limiter.open--
}
