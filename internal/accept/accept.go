// Package accept takes connections in whatever trouble the system has with it.
package accept

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// firstPause and lastPause are how long after a failure the next connection is
	// taken in, twice as long each time. Callers wait for a second.
	firstPause = 5 * time.Millisecond
	lastPause  = 100 * time.Millisecond
)

// Listener fails only once it is closed. The system has no descriptor or no memory
// left for a moment, or the network reports an error of a connection that has
// gone; fasthttp ends its server at that. The port would be closed to all, and
// those who are being served would lose their process. Here whoever is at the
// door waits until it is over.
type Listener struct {
	net.Listener
	Log *zap.Logger
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	pause := firstPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if pause == firstPause {
			l.Log.Warn("Connections can't be taken in for now.", zap.Stringer("address", l.Addr()), zap.Error(err))
		}
		time.Sleep(pause)
		pause = min(2*pause, lastPause)
	}
}
