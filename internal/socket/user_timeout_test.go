package socket

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// A target's VM loses power while a request is sent to it. Nothing is acknowledged,
// and without TCP_USER_TIMEOUT the request would hang until its deadline.
func TestUserTimeoutSetsTheSocketOption(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{Control: UserTimeout(1500 * time.Millisecond)}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var limit int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		limit, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	assert.Equal(t, limit, 1500)
}
