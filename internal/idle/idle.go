// Package idle bounds how long callers' connections may stay unused by a time
// that may change while the server runs. fasthttp takes one at its start only.
package idle

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// DynamicTimeout stands for the idle time where fasthttp wants it fixed. It is longer than
	// any other time that fasthttp waits to read.
	DynamicTimeout = 1000 * time.Hour
	// takeTime is how long a request that is there may take to be taken in: it needs
	// no waiting, but the process may stand still once more.
	takeTime = time.Second
	// firstRequestTime is how long after it was accepted a connection may wait for its
	// first request while the listener drains: callers send it a round trip after they
	// have connected.
	firstRequestTime = 250 * time.Millisecond
	// drainPoll is how often Drain looks whether connections are still unused.
	drainPoll = time.Millisecond
)

// Listener hands out connections whose idle time follows a configuration.
// Callers use theirs again after a good part of that time; one closed sooner
// costs a request.
type Listener struct {
	net.Listener
	// Time gives the idle time of now.
	Time func() time.Duration

	closing  sync.Once
	closeErr error // set by closing
	// draining means that no connection stays open unused.
	draining atomic.Bool
	mu       sync.Mutex // guards open; taken before a connection's mu
	open     map[*callerConn]struct{}
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
	c := &callerConn{TCPConn: tcp, listener: l, accepted: time.Now(), fresh: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*callerConn]struct{}{}
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Close closes the port. It may be called again: fasthttp's shutdown closes the port that
// Drain has closed.
func (l *Listener) Close() error {
	l.closing.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Drain closes the port, ends the unused connections, now and as they fall idle, and waits
// until none is left or the context ends. Call it before fasthttp's shutdown, which
// closes them by what it has noted: a request that is in the socket already, or
// has just been read, would be dropped without a word, and the first request of a
// connection would be served seconds later. Here each is looked at by
// who reads it, and served if there is a request.
func (l *Listener) Drain(ctx context.Context) {
	l.draining.Store(true)
	_ = l.Close() // fails where it is closed already
	for _, c := range l.unused() {
		c.endUnused()
	}
	for len(l.unused()) > 0 && wait.For(ctx, drainPoll) {
		continue
	}
}

func (l *Listener) unused() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*callerConn
	for c := range l.open {
		if c.isUnused() {
			list = append(list, c)
		}
	}
	return list
}

func (l *Listener) forget(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	listener *Listener
	accepted time.Time

	mu sync.Mutex // guards what follows and the read deadline; a leaf
	// fresh tells that nothing has been read yet, idle that the idle time runs: in both
	// cases the connection waits for a request.
	fresh, idle bool
	// idleSince is when the idle time began, least the idle time as the request before
	// came: its answer may have told the caller.
	idleSince time.Time
	least     time.Duration
	// deadline is the one that the reader asked for.
	deadline time.Time
}

// SetReadDeadline puts the idle time of now in the place of Mark.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = time.Until(t) > DynamicTimeout/2
	if c.idle {
		c.idleSince = time.Now()
		t = c.idleEnd()
	} else {
		c.least = c.listener.Time()
	}
	c.deadline = t
	if c.unused() && c.listener.draining.Load() {
		t = c.lastWait()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// idleEnd is when the idle time ends. The caller holds mu.
func (c *callerConn) idleEnd() time.Time {
	return c.idleSince.Add(max(c.least, c.listener.Time()))
}

// lastWait is until when an unused connection waits for a request once the listener
// drains. The caller holds mu.
func (c *callerConn) lastWait() time.Time {
	now := time.Now()
	if first := c.accepted.Add(firstRequestTime); c.fresh && first.After(now) {
		return first
	}
	return now
}

// Read reads a request that has come although the idle time is over. A process
// that stood still meanwhile would otherwise close the connection with a whole
// request in it, and its caller would have to guess. Where the idle time has become
// longer since the connection fell idle, it waits on.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			return n, errors.Join(err, c.begin())
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if !c.takeIn() && !c.waitOn() {
			return n, c.waitEnded(err)
		}
	}
}

// waitEnded is the error of a wait that is over. Where the drain ended the wait for a first
// request it is io.EOF: fasthttp answers a timeout, also where there is no request.
func (c *callerConn) waitEnded(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh && c.listener.draining.Load() {
		return io.EOF
	}
	return err
}

// begin notes that bytes have come. fasthttp sets no deadline anew within a connection's
// first request, so that the one it asked for has to hold again.
func (c *callerConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fresh {
		return nil
	}
	c.fresh = false
	return c.TCPConn.SetReadDeadline(c.deadline)
}

// takeIn gives time to read what has come on an unused connection; false where
// nothing has, the connection isn't unused, or the time for its first request is over.
func (c *callerConn) takeIn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unused() || !c.idle && !time.Now().Before(c.deadline) {
		return false
	}
	if socket.Peek(c.TCPConn) != socket.Readable {
		return false
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(takeTime)) == nil
}

// waitOn waits for the rest of an idle time that has become longer; false where it is
// over, or the connection isn't idle.
func (c *callerConn) waitOn() bool {
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

// unused tells that the connection waits for a request. The caller holds mu.
func (c *callerConn) unused() bool { return c.fresh || c.idle }

func (c *callerConn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unused()
}

// endUnused ends the wait for a request that hasn't come.
func (c *callerConn) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused() {
		_ = c.TCPConn.SetReadDeadline(c.lastWait()) // fails on a closed one only
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.forget(c)
	return c.TCPConn.Close()
}
