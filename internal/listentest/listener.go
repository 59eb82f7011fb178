// Package listentest has what tests of listeners need: a listener in trouble, and
// callers who keep their connections.
package listentest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// FailingListener is a listener for which the system has no descriptor a few times.
type FailingListener struct {
	net.Listener
	// FailuresLeft is how many times.
	FailuresLeft atomic.Int64
}

// NewFailingListener has a listener fail so many times.
func NewFailingListener(l net.Listener, times int64) *FailingListener {
	t := &FailingListener{Listener: l}
	t.FailuresLeft.Store(times)
	return t
}

// Accept fails as the system does, or waits for the next connection.
func (t *FailingListener) Accept() (net.Conn, error) {
	if t.FailuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return t.Listener.Accept()
}
