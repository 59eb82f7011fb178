// Package idle limits how long connections of callers may stay unused, by a timeout that may
// change while the server runs. fasthttp reads its timeout only at its start.
package idle

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// DynamicTimeout is the idle timeout to configure in fasthttp, which wants a fixed one; it
	// stands for the current timeout of the Listener. It is longer than any other time that
	// fasthttp waits to read.
	DynamicTimeout = 1000 * time.Hour
	// DynamicHeaderTimeout is the read timeout to configure in fasthttp. It stands for the current header timeout
	// of the Listener. It is shorter than DynamicTimeout and longer than any other time.
	DynamicHeaderTimeout = 100 * time.Hour
	// firstByteTime is how long a new connection may wait for its first byte, if the header timeout isn't longer.
	firstByteTime = 10 * time.Second
	// pendingReadTime is how long reading a request that has already been received may take.
	// It needs no waiting for the network, but the process may stall once more.
	pendingReadTime = time.Second
	// firstRequestTime is how long after it was accepted a connection may wait for its first
	// request while the listener drains: callers send it one round trip after they have
	// connected.
	firstRequestTime = 250 * time.Millisecond
	// nextRequestTime is how long after an answer a connection waits for the next request
	// while the listener drains. Callers that send one right after an answer that didn't
	// announce the close, such as a stream that began before the drain, send it within that
	// time even if they are short of CPU.
	nextRequestTime = time.Second
	// closedPoll is how often WaitClosed checks for open connections.
	closedPoll = 10 * time.Millisecond
)

// Listener accepts connections whose idle timeout follows the configuration. Callers reuse
// their connections until shortly before that timeout, so closing one sooner fails a request.
type Listener struct {
	net.Listener
	// IdleTimeout returns the current idle timeout. It is called from several goroutines.
	IdleTimeout func() time.Duration
	// HeaderTimeout returns how long a head may currently take from its first byte on. It may be nil if
	// DynamicHeaderTimeout isn't used.
	HeaderTimeout func() time.Duration

	closeOnce sync.Once
	closeErr  error // set by closeOnce
	// draining is set once unused connections are to be closed.
	draining atomic.Bool
	// ending is set once connections no longer wait for what their callers may still send.
	ending atomic.Bool
	mu     sync.Mutex // guards open; locked before the mu of a connection
	open   map[*callerConn]struct{}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn, nil
	}
	c := &callerConn{TCPConn: tcp, listener: l, accepted: time.Now(), nothingRead: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*callerConn]struct{}{}
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close closes the port. It may be called more than once: the shutdown of fasthttp closes the
// port again after StartDrain.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// StartDrain closes the port, and closes connections that are unused or become so. Answers
// should announce the close from then on.
//
// Call it before the shutdown of fasthttp, and that one only once WaitClosed has returned.
// fasthttp decides by its own bookkeeping which connections to close: it ends a connection
// after the answer under way even if the next request has been received, and one whose first
// request takes more than a few seconds to arrive. Here the goroutine that reads a connection
// checks it, and serves a request that has arrived.
func (l *Listener) StartDrain() {
	l.draining.Store(true)
	_ = l.Close() // fails only if it is already closed
	l.applyDeadlines()
}

// EndWaits ends the waiting for what callers may still send, because the process is about to
// exit. A request of which only a part has arrived can't be read any more; its read ends with
// a timeout, so that the request can be refused.
func (l *Listener) EndWaits() {
	l.ending.Store(true)
	l.applyDeadlines()
}

func (l *Listener) applyDeadlines() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range conns {
		c.applyDeadline()
	}
}

// Draining reports whether StartDrain has been called.
func (l *Listener) Draining() bool { return l.draining.Load() }

// WaitClosed waits until no connection is open or the context ends.
func (l *Listener) WaitClosed(ctx context.Context) {
	for l.openCount() > 0 && wait.For(ctx, closedPoll) {
		continue
	}
}

func (l *Listener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *Listener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// callerConn is a connection from a caller.
type callerConn struct {
	*net.TCPConn
	listener *Listener
	accepted time.Time

	mu sync.Mutex // guards the fields below and the read deadline; no other lock is taken while it is held
	// nothingRead is set until the first bytes are read, idle while the idle timeout runs. In
	// both cases the connection waits for a request.
	nothingRead, idle bool
	// idleSince is when the idle time began. minIdleTime is the idle timeout at the time of
	// the previous request: its answer may have announced that timeout to the caller.
	idleSince      time.Time
	minIdleTimeout time.Duration
	// deadline is the read deadline that fasthttp set.
	deadline time.Time
	// restEnd is until when bytes that arrived before the deadline may be read after it; zero if none were.
	// readingRest is set while the deadline is extended for them.
	restEnd     time.Time
	readingRest bool
}

// SetReadDeadline sets the read deadline. It replaces DynamicTimeout by the current idle
// timeout, and DynamicHeaderTimeout by the current header timeout.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = time.Until(t) > DynamicTimeout/2
	if c.idle {
		c.idleSince = time.Now()
		t = c.idleEnd()
	} else {
		c.minIdleTimeout = c.listener.IdleTimeout()
		if time.Until(t) > DynamicHeaderTimeout/2 {
			t = time.Now().Add(c.headerTime())
		}
	}
	c.deadline, c.restEnd, c.readingRest = t, time.Time{}, false
	return c.TCPConn.SetReadDeadline(c.currentDeadline())
}

// currentDeadline returns the read deadline to apply: the one that fasthttp set, or an earlier
// one while the listener drains. The caller holds mu.
func (c *callerConn) currentDeadline() time.Time {
	switch {
	case c.listener.ending.Load():
		return time.Now()
	case c.unusedLocked() && c.listener.draining.Load():
		return c.drainDeadline()
	default:
		return c.deadline
	}
}

// headerTime returns how long the head that is read next may take. The caller holds mu.
func (c *callerConn) headerTime() time.Duration {
	limit := c.listener.HeaderTimeout()
	if c.nothingRead {
		return max(limit, firstByteTime)
	}
	return limit
}

// idleEnd returns when the idle timeout ends. The caller holds mu.
func (c *callerConn) idleEnd() time.Time {
	return c.idleSince.Add(max(c.minIdleTimeout, c.listener.IdleTimeout()))
}

// drainDeadline returns until when an unused connection waits for a request while the listener
// drains. The caller holds mu.
func (c *callerConn) drainDeadline() time.Time {
	until := c.idleSince.Add(nextRequestTime)
	if c.nothingRead {
		until = c.accepted.Add(firstRequestTime)
	}
	if now := time.Now(); until.Before(now) {
		return now
	}
	return until
}

// Read also reads a request that arrived in time if the idle timeout has passed since.
// Otherwise a process that was stalled meanwhile would close the connection with a complete
// request in it, and its caller couldn't tell whether it ran. If the idle timeout has become
// longer since the connection became idle, Read waits for the rest of it.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			return n, errors.Join(err, c.noteBytesRead())
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !c.extendForPendingData() && !c.extendIdleWait() && !c.extendForRest() {
			return n, c.timeoutError(err)
		}
	}
}

// timeoutError returns the error of a read that timed out. If draining ended the wait for a
// first request, it is io.EOF, because fasthttp answers a timeout even if there is no request.
func (c *callerConn) timeoutError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nothingRead && c.listener.draining.Load() {
		return io.EOF
	}
	return err
}

// noteBytesRead records that bytes have been read. fasthttp doesn't set another deadline
// while the head or the body of a request is read, so the one it set before is restored.
func (c *callerConn) noteBytesRead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.nothingRead && !c.readingRest {
		return nil
	}
	c.nothingRead, c.readingRest = false, false
	return c.TCPConn.SetReadDeadline(c.currentDeadline())
}

// extendForPendingData extends the deadline to read data that has arrived on an unused
// connection. It returns false if there is no data, the connection isn't unused, or the time
// for its first request is over.
func (c *callerConn) extendForPendingData() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unusedLocked() || !c.idle && !time.Now().Before(c.deadline) {
		return false
	}
	if socket.Peek(c.TCPConn) != socket.Readable {
		return false
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(pendingReadTime)) == nil
}

// extendForRest extends the deadline of a request for one read if more of it has arrived: a process that was stalled
// may read it after the deadline, and what has arrived by the end of the waits is served. It returns false if nothing
// has arrived, or the time for that is over.
func (c *callerConn) extendForRest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unusedLocked() || socket.Peek(c.TCPConn) != socket.Readable {
		return false
	}
	now := time.Now()
	if c.restEnd.IsZero() {
		c.restEnd = now.Add(pendingReadTime)
	}
	if !now.Before(c.restEnd) {
		return false
	}
	c.readingRest = true
	return c.TCPConn.SetReadDeadline(c.restEnd) == nil
}

// extendIdleWait extends the deadline to the rest of an idle timeout that has become longer.
// It returns false if that is over or the connection isn't idle.
func (c *callerConn) extendIdleWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.listener.draining.Load() {
		return false
	}
	end := c.idleEnd()
	if !time.Now().Before(end) {
		return false
	}
	c.deadline = end
	return c.TCPConn.SetReadDeadline(end) == nil
}

// unusedLocked reports whether the connection waits for a request. The caller holds mu.
func (c *callerConn) unusedLocked() bool { return c.nothingRead || c.idle }

// applyDeadline applies the deadline that holds since the listener drains.
func (c *callerConn) applyDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.TCPConn.SetReadDeadline(c.currentDeadline()) // fails only on a closed connection
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}
