package target

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// ErrUnknownEnd means that an answer has ended with its connection, and that its target isn't known to have
// run after that: it may have died in the middle of the answer.
var ErrUnknownEnd = errors.New("target: the answer ended with its connection, and the target may have died")

const (
	// outliveTimeout limits the time until a target shows that it runs.
	outliveTimeout = 300 * time.Millisecond
	// deathTime is how long a process that dies takes at most to close all of its connections.
	deathTime = 50 * time.Millisecond
)

// secondConn is a connection to the process that writes an answer, opened while the answer arrives. It shows whether
// that process outlives the answer. A connection that is opened later may be to another process at the address, which
// health checks don't name.
type secondConn struct {
	// opened is closed when conn is set: nil if there is no connection to that process.
	opened chan struct{}
	conn   *conns.Conn
	// watched is closed when ended and died are set. ended means that the target has closed the connection, died that
	// it has closed that of the answer as well.
	watched     chan struct{}
	ended, died bool
}

// openSecond opens a second connection to the process that writes an answer. It doesn't block. The caller calls close.
func openSecond(ctx context.Context, answer net.Conn, address string) *secondConn {
	s := &secondConn{opened: make(chan struct{}), watched: make(chan struct{})}
	go func() {
		defer close(s.watched)
		s.conn = dialSecond(ctx, answer, address)
		close(s.opened)
		if s.conn == nil {
			return
		}
		if _, err := s.conn.R.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		s.ended = true
		time.Sleep(deathTime)
		s.died = socket.HasEnded(answer)
	}()
	return s
}

// dialSecond returns nil if no connection can be opened before that of the answer has ended.
func dialSecond(ctx context.Context, answer net.Conn, address string) *conns.Conn {
	if socket.HasEnded(answer) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, outliveTimeout)
	defer cancel()
	conn, err := conns.Dial(bounded, address)
	if err != nil {
		return nil // the target is asked on a connection of its own
	}
	if socket.HasEnded(answer) {
		_ = conn.Close() // nothing was sent
		return nil
	}
	return conn
}

// stop ends watching the connection.
func (s *secondConn) stop() {
	<-s.opened
	if s.conn != nil {
		_ = s.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	}
	<-s.watched
	if s.conn != nil {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}

// close closes the connection.
func (s *secondConn) close() {
	s.stop()
	if s.conn != nil {
		_ = s.conn.Close() // its answer doesn't matter any more
	}
}

// outlivesAnswer reports whether a target is known to run, after the end of its answer. The death of a process closes
// its connections, so any answer, and silence on an open connection, show that it runs. A target that closes
// connections without a call, or whose answer ended before a second connection was open, is asked on a new one. A
// process that has been started again at the address since isn't told apart then.
func (c *Client) outlivesAnswer(ctx context.Context, address string, second *secondConn) bool {
	second.stop()
	if second.died {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, outliveTimeout)
	defer cancel()
	call := Call{Address: address, Method: fasthttp.MethodGet, Path: targetapi.PathHealth, NewConnection: true}
	if second.conn != nil && !second.ended {
		call.conn = second.conn
	}
	ex, err := c.start(bounded, call)
	if err != nil {
		return false
	}
	defer ex.finish()
	var h fasthttp.ResponseHeader
	err = readHeader(ex.conn.R, &h)
	return err == nil || bounded.Err() != nil && ctx.Err() == nil
}
