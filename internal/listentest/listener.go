// Package listentest provides helpers for tests of listeners and clients: a listener that
// runs out of file descriptors, callers that keep their connections open, and a server of
// raw bytes.
package listentest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingListener is a listener whose first calls of Accept fail for lack of file
// descriptors.
type FailingListener struct {
	net.Listener
	// FailuresLeft is the number of calls that will still fail.
	FailuresLeft atomic.Int64
}

// NewFailingListener returns a listener that fails the given number of times.
func NewFailingListener(l net.Listener, times int64) *FailingListener {
	t := &FailingListener{Listener: l}
	t.FailuresLeft.Store(times)
	return t
}

// Accept fails with EMFILE while FailuresLeft is positive, then accepts the next
// connection.
func (t *FailingListener) Accept() (net.Conn, error) {
	if t.FailuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return t.Listener.Accept()
}
