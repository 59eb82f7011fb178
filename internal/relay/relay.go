// Package relay is a small TCP relay for tests. It stands between two
// processes and can delay, cut, freeze and lose answers while it runs.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Faults is what a Relay does wrong. The zero value forwards everything.
type Faults struct {
	// Delay holds every piece back for this long in each direction.
	Delay time.Duration
	// RefuseConnections closes new connections at once.
	RefuseConnections bool
	// FreezeToTarget and FreezeToCaller stop forwarding in one direction and
	// keep the connections, so that neither side learns of it. One alone is a
	// one-way cut. What was held back is forwarded once the freeze ends.
	FreezeToTarget bool
	FreezeToCaller bool
	// LoseAnswer forwards requests, drops what the target answers and closes
	// the connection: the effect happened and nobody was told.
	LoseAnswer bool
}

// Relay forwards connections from its own address to another. It is safe for
// concurrent use.
type Relay struct {
	target   string
	listener net.Listener
	serving  sync.WaitGroup

	// mu guards what follows. changed is closed and replaced whenever faults
	// or closed change, so that frozen connections look again.
	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	closed   bool
	open     map[*link]struct{}
	accepted int
}

const (
	dialTimeout = 5 * time.Second
	pieceBytes  = 16 << 10
	// queuedPieces bounds what one direction of a connection holds back.
	queuedPieces = 1024
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

// Address is the IP:port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFaults replaces the faults, also for connections that are open.
func (r *Relay) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.wake()
}

// Faults is what the relay does wrong now.
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

// OpenConnections counts the open connections.
func (r *Relay) OpenConnections() int { return len(r.links()) }

// AcceptedConnections counts the connections that were forwarded since the start.
func (r *Relay) AcceptedConnections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.wake()
	r.mu.Unlock()
	_ = r.listener.Close()
	r.ResetConnections()
	r.serving.Wait()
}

// wake is called with mu held.
func (r *Relay) wake() {
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
		r.serving.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(callerSide net.Conn) {
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

// thawed waits until frozen says no, and reports false if the link ended first.
func (r *Relay) thawed(done <-chan struct{}, frozen func(Faults) bool) bool {
	for {
		r.mu.Lock()
		still, changed := frozen(r.faults) && !r.closed, r.changed
		r.mu.Unlock()
		if !still {
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

// link is one forwarded connection.
type link struct {
	relay                  *Relay
	callerSide, targetSide net.Conn
	done                   chan struct{}
	once                   sync.Once
}

func (l *link) reset() {
	l.once.Do(func() {
		close(l.done)
		resetConn(l.callerSide)
		resetConn(l.targetSide)
	})
}

func (l *link) run() {
	var ways sync.WaitGroup
	ways.Go(func() {
		l.forward(l.callerSide, l.targetSide, func(f Faults) bool { return f.FreezeToTarget }, false)
	})
	ways.Go(func() {
		l.forward(l.targetSide, l.callerSide, func(f Faults) bool { return f.FreezeToCaller }, true)
	})
	ways.Wait()
	l.once.Do(func() {
		close(l.done)
		_ = l.callerSide.Close()
		_ = l.targetSide.Close()
	})
}

// piece is some bytes and when they may go on.
type piece struct {
	data []byte
	due  time.Time
}

// forward copies one direction. Reading and writing are apart, so that a delay
// holds pieces back without making the flow slower.
func (l *link) forward(from, to net.Conn, frozen func(Faults) bool, answers bool) {
	pieces := make(chan piece, queuedPieces)
	var writing sync.WaitGroup
	writing.Go(func() { l.write(pieces, to, frozen) })
	l.read(from, pieces, answers)
	close(pieces)
	writing.Wait()
}

func (l *link) read(from net.Conn, pieces chan<- piece, answers bool) {
	for {
		buffer := make([]byte, pieceBytes)
		n, err := from.Read(buffer)
		faults := l.relay.Faults()
		if n > 0 && answers && faults.LoseAnswer {
			l.reset()
			return
		}
		if n > 0 {
			select {
			case pieces <- piece{data: buffer[:n], due: time.Now().Add(faults.Delay)}:
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

func (l *link) write(pieces <-chan piece, to net.Conn, frozen func(Faults) bool) {
	for p := range pieces {
		if !l.waitUntil(p.due) || !l.relay.thawed(l.done, frozen) {
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			l.reset()
		}
	}
	if l.relay.thawed(l.done, frozen) {
		closeWrite(to)
	}
}

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

// closeWrite passes the end of one direction on.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
