package conns

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// resetConn is a connection whose reads tell a reset from an orderly end, also while a write is in progress. The system
// reports a reset to one call only. If that is the write, or an earlier read, a read sees an orderly end.
type resetConn struct {
	net.Conn
	// readErr is the error after which nothing more is read; nil before.
	readErr atomic.Pointer[error]
	// opened is when the connection was opened, receivedAfter the time from then until it last received data; 0 for none.
	opened        time.Time
	receivedAfter atomic.Int64

	writing  sync.Mutex // held during a write; guards writeErr. No other lock is taken while it is held
	writeErr error      // of the first write that failed
}

// ReportResets returns the connection with reads that fail if it was reset, and return io.EOF only if the other side has
// closed it in order. A write that is still in progress then is ended, as nobody reads its answer any more.
func ReportResets(conn net.Conn) net.Conn { return &resetConn{Conn: conn, opened: time.Now()} }

// Read implements io.Reader. After an error other than a passed deadline each read returns that error.
func (c *resetConn) Read(p []byte) (int, error) {
	if end := c.readErr.Load(); end != nil {
		return 0, *end
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receivedAfter.Store(int64(time.Since(c.opened)))
	}
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr.Store(&err)
	}
	return n, err
}

// checkEnd returns io.EOF, or the error that a write has got instead of the read that saw the end.
func (c *resetConn) checkEnd() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // the other side may never read what is being written
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return io.EOF
	case errors.Is(c.writeErr, syscall.EPIPE): // reset after the orderly end
		return io.EOF
	default:
		return c.writeErr
	}
}

// Write implements io.Writer.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// CloseWrite ends the sending side, if the transport can.
func (c *resetConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// NetConn returns the transport connection.
func (c *resetConn) NetConn() net.Conn { return c.Conn }
