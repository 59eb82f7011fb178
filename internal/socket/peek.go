// Package socket looks at the state of a TCP connection without reading from
// it.
package socket

import (
	"crypto/tls"
	"net"
	"syscall"
)

// State is what a look at a connection showed.
type State int

// The states.
const (
	// Idle means open, with nothing to read.
	Idle State = iota
	// Readable means open, with unread bytes.
	Readable
	// Closed means that the other side closed or reset the connection.
	Closed
	// Unsupported means that this sort of connection can't be looked at.
	Unsupported
)

// Peek looks at a connection without blocking and without taking bytes. A
// fasthttp handler doesn't learn that its caller hung up, and a kept
// connection to a target may have been closed, or hold an answer nobody read:
// both show here before any harm is done.
func Peek(conn net.Conn) State {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
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

func peek(fd int) State {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
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
