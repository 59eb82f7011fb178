// Package accept provides a listener that keeps accepting connections after temporary errors.
package accept

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay after a failed accept; it doubles with
	// each failure. Callers wait for a connection for one second.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
)

// Listener returns an error from Accept only once it is closed. Accept can fail temporarily:
// the system is out of file descriptors or memory, or the network reports an error of a
// connection that is gone. fasthttp ends its server at any error, which would close the port
// to all callers and end the process under the requests in progress. Listener retries instead,
// and new callers wait until the problem is over.
type Listener struct {
	net.Listener
	Log *zap.Logger
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minRetryDelay
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if delay == minRetryDelay {
			l.Log.Warn("Connections can't be taken in for now.", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
		time.Sleep(delay)
		delay = min(2*delay, maxRetryDelay)
	}
}
