// Package listentest has what tests of listeners need: a listener in trouble, and
// callers who keep their connections.
package listentest

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

// Troubled is a listener for which the system has no descriptor a few times.
type Troubled struct {
	net.Listener
	// Left is how many times.
	Left atomic.Int64
}

// NewTroubled has a listener fail so many times.
func NewTroubled(l net.Listener, times int64) *Troubled {
	t := &Troubled{Listener: l}
	t.Left.Store(times)
	return t
}

// Accept fails as the system does, or waits for the next connection.
func (t *Troubled) Accept() (net.Conn, error) {
	if t.Left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return t.Listener.Accept()
}
