// Package idle bounds how long callers' connections may stay unused by a time
// that may change while the server runs. fasthttp takes one at its start only.
package idle

import (
	"net"
	"time"
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

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	time func() time.Duration
}

// SetReadDeadline puts the idle time of now in the place of Mark.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > Mark/2 {
		t = time.Now().Add(c.time())
	}
	return c.TCPConn.SetReadDeadline(t)
}
