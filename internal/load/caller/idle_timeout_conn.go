package caller

import (
	"net"
	"time"
)

// minIdleTimeout prevents callers with little time left from giving up on every
// VM.
const minIdleTimeout = 20 * time.Millisecond

// idleTimeoutConn fails a read if no data has arrived for idleTimeout. A VM
// behind a network partition, or one that hangs, keeps its connections open and
// never answers; a caller that waited until its deadline would have no time left
// to try another address. As with any connection of the HTTP client, only one
// goroutine reads it at a time.
type idleTimeoutConn struct {
	net.Conn
	// share is idleTimeout as a share of the time left to the caller.
	share       float64
	idleTimeout time.Duration
	// deadline is the deadline for reading the whole answer.
	deadline time.Time
}

// SetReadDeadline is called by the HTTP client before it reads an answer, with
// the caller's deadline plus defaultGrace.
func (c *idleTimeoutConn) SetReadDeadline(until time.Time) error {
	c.deadline = until
	left := time.Until(until) - defaultGrace
	c.idleTimeout = max(time.Duration(float64(left)*c.share), minIdleTimeout)
	return c.extendDeadline()
}

// extendDeadline sets the deadline by which the next data must arrive.
func (c *idleTimeoutConn) extendDeadline() error {
	next := time.Now().Add(c.idleTimeout)
	if !c.deadline.IsZero() && c.deadline.Before(next) {
		next = c.deadline
	}
	return c.Conn.SetReadDeadline(next)
}

// Read restarts the idle timeout whenever data arrives.
func (c *idleTimeoutConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n == 0 || err != nil {
		return n, err
	}
	return n, c.extendDeadline()
}
