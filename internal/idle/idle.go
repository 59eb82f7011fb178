// Package idle bounds how long callers' connections may stay unused by a time
// that may change while the server runs. fasthttp takes one at its start only.
package idle

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/vanillagate/vanillagate/internal/socket"
)

// Mark stands for the idle time where fasthttp wants it fixed. It is longer than
// any other time that fasthttp waits to read.
const Mark = 1000 * time.Hour

// Listener hands out connections whose idle time follows a configuration.
// Callers use theirs again after a good part of that time; one closed sooner
// costs a request.
type Listener struct {
	net.Listener
	// Time gives the idle time of now.
	Time func() time.Duration
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
	return &callerConn{TCPConn: tcp, time: l.Time}, nil
}

// takeTime is how long a request that is there may take to be taken in: it needs no
// waiting, but the process may stand still once more.
const takeTime = time.Second

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	time func() time.Duration
	// unused tells that the idle time runs. As the deadlines it is the serving
	// goroutine's alone.
	unused bool
}

// SetReadDeadline puts the idle time of now in the place of Mark.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.unused = time.Until(t) > Mark/2
	if c.unused {
		t = time.Now().Add(c.time())
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read reads a request that has come although the idle time is over. A process
// that stood still meanwhile would otherwise close the connection with a whole
// request in it, and its caller would have to guess.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !c.unused || !errors.Is(err, os.ErrDeadlineExceeded) || socket.Peek(c.TCPConn) != socket.Readable {
		return n, err
	}
	if err := c.TCPConn.SetReadDeadline(time.Now().Add(takeTime)); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(p)
}
