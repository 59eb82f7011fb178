// Package idle bounds how long callers' connections may stay unused by a time
// that may change while the server runs. fasthttp takes one at its start only.
package idle

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/wait"
)

const (
	// Mark stands for the idle time where fasthttp wants it fixed. It is longer than
	// any other time that fasthttp waits to read.
	Mark = 1000 * time.Hour
	// takeTime is how long a request that is there may take to be taken in: it needs
	// no waiting, but the process may stand still once more.
	takeTime = time.Second
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
	c := &callerConn{TCPConn: tcp, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*callerConn]struct{}{}
	}
	l.open[c] = struct{}{}
	return c, nil
}

// Drain ends the unused connections, now and as they fall idle, and waits until
// none is left or the context ends. Call it before fasthttp's shutdown, which
// closes them by what it has noted: a request that is in the socket already, or
// has just been read, would be dropped without a word. Here each is looked at by
// who reads it, and served if there is a request.
func (l *Listener) Drain(ctx context.Context) {
	l.draining.Store(true)
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

	mu sync.Mutex // guards unused and the read deadline; a leaf
	// unused tells that the idle time runs.
	unused bool
}

// SetReadDeadline puts the idle time of now in the place of Mark.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unused = time.Until(t) > Mark/2
	switch {
	case c.unused && c.listener.draining.Load():
		t = time.Now()
	case c.unused:
		t = time.Now().Add(c.listener.Time())
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read reads a request that has come although the idle time is over. A process
// that stood still meanwhile would otherwise close the connection with a whole
// request in it, and its caller would have to guess.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.takeIn() {
			return n, err
		}
	}
}

// takeIn gives time to read what has come on an unused connection; false where
// nothing has, or the connection isn't unused.
func (c *callerConn) takeIn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unused || socket.Peek(c.TCPConn) != socket.Readable {
		return false
	}
	return c.TCPConn.SetReadDeadline(time.Now().Add(takeTime)) == nil
}

func (c *callerConn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unused
}

// endUnused ends the wait for a request that hasn't come.
func (c *callerConn) endUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused {
		_ = c.TCPConn.SetReadDeadline(time.Now()) // fails on a closed one only
	}
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.forget(c)
	return c.TCPConn.Close()
}
