// Package relay is a TCP proxy for tests that injects network faults between
// two processes: delays, connection resets, stalled directions and lost
// answers. The faults can be changed while it runs.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Faults selects the faults that a Relay injects. The zero value injects none.
type Faults struct {
	// Delay is added to all data in each direction.
	Delay time.Duration
	// RefuseConnections resets new connections right after accepting them.
	RefuseConnections bool
	// FreezeToTarget and FreezeToCaller stop forwarding in one direction but
	// keep the connections open, so that neither side sees an error. Setting
	// only one simulates a network failure in one direction. The data held back is forwarded
	// once the freeze ends.
	FreezeToTarget bool
	FreezeToCaller bool
	// LoseAnswer forwards requests but drops the target's answer and resets
	// the connection: the request has taken effect, but the caller doesn't
	// learn of it.
	LoseAnswer bool
}

// Relay accepts connections on its own address and forwards them to a target.
// It is safe for concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	serving  sync.WaitGroup

	// mu guards the fields below. changed is closed and replaced whenever faults
	// or closed change, which wakes the goroutines of frozen connections.
	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	closed   bool
	open     map[*link]struct{}
	accepted int
}

const (
	dialTimeout = 5 * time.Second
	chunkBytes  = 16 << 10
	// maxQueuedChunks bounds the data that one direction of a connection buffers.
	maxQueuedChunks = 1024
)

// Listen starts a relay on a local address such as "127.0.0.1:0" that forwards
// to target.
func Listen(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &Relay{
		target:   target,
		listener: listener,
		changed:  make(chan struct{}),
		open:     map[*link]struct{}{},
	}
	r.serving.Go(r.accept)
	return r, nil
}

// Address returns the IP:port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFaults replaces the faults, also for open connections.
func (r *Relay) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.notifyChanged()
}

// Faults returns the faults that the relay injects now.
func (r *Relay) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// ResetConnections closes every open connection with a reset.
func (r *Relay) ResetConnections() {
	for _, l := range r.links() {
		l.reset()
	}
}

// SilenceConnections makes every open connection drop all data for good, without an error
// on either side. New connections work.
func (r *Relay) SilenceConnections() {
	for _, l := range r.links() {
		l.silent.Store(true)
	}
}

// OpenConnections counts the open connections.
func (r *Relay) OpenConnections() int { return len(r.links()) }

// AcceptedConnections counts the connections forwarded since the start.
func (r *Relay) AcceptedConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close stops the relay and resets its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.notifyChanged()
	r.mu.Unlock()
	_ = r.listener.Close()
	r.ResetConnections()
	r.serving.Wait()
}

// notifyChanged wakes the goroutines of frozen connections. mu must be held.
func (r *Relay) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) links() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*link, 0, len(r.open))
	for l := range r.open {
		all = append(all, l)
	}
	return all
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if r.Faults().RefuseConnections {
			resetConn(conn)
			continue
		}
		r.serving.Go(func() { r.handle(conn) })
	}
}

func (r *Relay) handle(callerSide net.Conn) {
	targetSide, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetConn(callerSide)
		return
	}
	l := &link{relay: r, callerSide: callerSide, targetSide: targetSide, done: make(chan struct{})}
	if !r.add(l) {
		l.reset()
		return
	}
	defer r.remove(l)
	l.run()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.open[l] = struct{}{}
	r.accepted++
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, l)
}

// waitUnfrozen waits until frozen returns false for the current faults or the
// relay is closed. It returns false if the link ended first.
func (r *Relay) waitUnfrozen(done <-chan struct{}, frozen func(Faults) bool) bool {
	for {
		r.mu.Lock()
		isFrozen, changed := frozen(r.faults) && !r.closed, r.changed
		r.mu.Unlock()
		if !isFrozen {
			return true
		}
		select {
		case <-done:
			return false
		case <-changed:
		}
	}
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// link is a forwarded connection: one to the caller and one to the target.
type link struct {
	relay                  *Relay
	callerSide, targetSide net.Conn
	done                   chan struct{}
	once                   sync.Once
	// silent connections stay open and drop all data.
	silent atomic.Bool
}

func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		resetConn(l.callerSide)
		resetConn(l.targetSide)
	})
}

func (l *link) run() {
	var directions sync.WaitGroup
	directions.Go(func() {
		l.forward(l.callerSide, l.targetSide, func(f Faults) bool { return f.FreezeToTarget }, false)
	})
	directions.Go(func() {
		l.forward(l.targetSide, l.callerSide, func(f Faults) bool { return f.FreezeToCaller }, true)
	})
	directions.Wait()
	l.once.Do(func() {
		close(l.done)
		_ = l.callerSide.Close()
		_ = l.targetSide.Close()
	})
}

// chunk is a piece of data and the earliest time to forward it.
type chunk struct {
	data []byte
	due  time.Time
}

// forward copies the data of one direction. Reading and writing run in separate
// goroutines, so that a delay adds latency without reducing throughput.
// fromTarget says that the data is the target's answers.
func (l *link) forward(from, to net.Conn, frozen func(Faults) bool, fromTarget bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	var writing sync.WaitGroup
	writing.Go(func() { l.write(chunks, to, frozen) })
	l.read(from, chunks, fromTarget)
	close(chunks)
	writing.Wait()
}

func (l *link) read(from net.Conn, chunks chan<- chunk, fromTarget bool) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		faults := l.relay.Faults()
		if n > 0 && fromTarget && faults.LoseAnswer {
			l.reset()
			return
		}
		if n > 0 {
			select {
			case chunks <- chunk{data: buffer[:n], due: time.Now().Add(faults.Delay)}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.reset()
			}
			return
		}
	}
}

func (l *link) write(chunks <-chan chunk, to net.Conn, frozen func(Faults) bool) {
	for c := range chunks {
		if !l.waitUntil(c.due) || !l.relay.waitUnfrozen(l.done, frozen) {
			continue
		}
		if l.silent.Load() {
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			l.reset()
		}
	}
	if l.relay.waitUnfrozen(l.done, frozen) && !l.silent.Load() {
		closeWrite(to)
	}
}

// waitUntil sleeps until due. It returns false if the link ended first.
func (l *link) waitUntil(due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

// closeWrite forwards the end of one direction's data (a TCP half-close).
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
