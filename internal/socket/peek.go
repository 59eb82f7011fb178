// Package socket inspects TCP connections and sets socket options.
package socket

import (
	"net"
	"syscall"
)

// State is the state of a connection as seen by Peek.
type State int

// The states.
const (
	// Idle means open, with nothing to read.
	Idle State = iota
	// Readable means open, with unread bytes.
	Readable
	// Closed means that the peer closed or reset the connection.
	Closed
	// Unsupported means that the state of this type of connection can't be read.
	Unsupported
)

// Peek returns the state of a connection without blocking and without consuming
// bytes. It detects that a caller has disconnected, which fasthttp does not report
// to a handler, and that an idle connection to a target has been closed or has an
// unread response, before the connection is reused.
func Peek(conn net.Conn) State {
	sc, ok := transport(conn).(syscall.Conn)
	if !ok {
		return Unsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unsupported
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

// transport returns the connection below another one, such as TLS.
func transport(conn net.Conn) net.Conn {
	if above, ok := conn.(interface{ NetConn() net.Conn }); ok {
		return above.NetConn()
	}
	return conn
}

func peek(fd int) State {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Idle
	case err != nil:
		return Closed
	case n == 0:
		return Closed
	default:
		return Readable
	}
}
