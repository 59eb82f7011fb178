// Package accept provides a listener that keeps accepting connections after temporary errors
// and resets no waiting connection when it is closed.
package accept

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/socket"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay after a failed accept; it doubles with
	// each failure. Callers wait for a connection for one second.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// queuedAcceptTime limits the accept of a connection that is in the accept queue. Its
	// caller may have reset it in the meantime.
	queuedAcceptTime = 10 * time.Millisecond
	// closeChecks is how many times Close checks whether the accept queue is empty, with
	// closeCheckInterval in between. Checks are counted, rather than the time, so that they
	// aren't used up while the process is stopped.
	closeChecks        = 1000
	closeCheckInterval = time.Millisecond
)

// Listener returns an error from Accept only once it is closed. Accept can fail temporarily:
// the system is out of file descriptors or memory, or the network reports an error of a
// connection that is gone. fasthttp ends its server at any error, which would close the port
// to all callers and end the process under the requests in progress. Listener retries instead,
// and new callers wait until the problem is over.
//
// Closing a listening socket resets the connections in its accept queue, whose callers may
// have sent a request already. So Listener is closed when the queue is empty. Connections
// whose handshake is completed by the caller just then are still reset.
type Listener struct {
	net.Listener
	Log *zap.Logger

	// closing is set once Close has been called. It is set without mu, which a waiting Accept
	// holds.
	closing atomic.Bool
	mu      sync.Mutex // guards closed, and is held by Accept while it waits
	closed  bool
}

// tcpListener is the part of net.TCPListener that closing needs.
type tcpListener interface {
	SetDeadline(t time.Time) error
	syscall.Conn
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minRetryDelay
	for {
		conn, err := l.acceptNext()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // Close ended the wait
		}
		if delay == minRetryDelay {
			l.Log.Warn("Connections can't be taken in for now.", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
		time.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

func (l *Listener) acceptNext() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tcp, ok := l.Listener.(tcpListener); ok && l.closing.Load() {
		if err := l.prepareQueuedAccept(tcp); err != nil {
			return nil, err
		}
	}
	return l.Listener.Accept()
}

// prepareQueuedAccept prepares the accept of a connection from the accept queue. If there is
// none, it closes the port and returns net.ErrClosed. The caller holds mu.
func (l *Listener) prepareQueuedAccept(tcp tcpListener) error {
	if err := l.closeIfQueueEmpty(tcp); l.closed {
		return errors.Join(net.ErrClosed, err)
	}
	return tcp.SetDeadline(time.Now().Add(queuedAcceptTime))
}

// Close closes the port once its accept queue is empty. Accept returns the connections that
// are in the queue. Close doesn't wait for them without end: if callers connect faster than
// they are accepted, or nobody calls Accept, it closes the port all the same.
func (l *Listener) Close() error {
	tcp, ok := l.Listener.(tcpListener)
	if !ok {
		return l.Listener.Close()
	}
	l.closing.Store(true)
	if err := tcp.SetDeadline(time.Unix(1, 0)); err != nil { // ends a waiting Accept
		return l.forceClose()
	}
	for range closeChecks {
		if closed, err := l.tryClose(tcp); closed {
			return err
		}
		time.Sleep(closeCheckInterval)
	}
	l.Log.Warn("Port closed with connections that weren't accepted; they are reset.", zap.Stringer("address", l.Addr()))
	return l.forceClose()
}

// tryClose closes the port if its accept queue is empty, and reports whether it is closed.
func (l *Listener) tryClose(tcp tcpListener) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.closeIfQueueEmpty(tcp)
	return l.closed, err
}

// closeIfQueueEmpty also closes the port if the queue can't be read. The caller holds mu.
func (l *Listener) closeIfQueueEmpty(tcp tcpListener) error {
	if l.closed {
		return nil
	}
	waiting, err := socket.HasQueuedConn(tcp)
	if waiting {
		return nil
	}
	return errors.Join(err, l.closeLocked())
}

func (l *Listener) forceClose() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeLocked()
}

// closeLocked closes the port unless it is closed already. The caller holds mu.
func (l *Listener) closeLocked() error {
	if l.closed {
		return nil
	}
	l.closed = true
	return l.Listener.Close()
}
