package conns

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against connections to silent targets that end late since keep-alive settings are rounded.
func TestProbesAndUnackedTimeoutAgree(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := Dial(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.Conn.(*resetConn).Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	option := func(name int) (value int) {
		assert.NilError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		assert.NilError(t, err)
		return value
	}
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	byCount := idle + time.Duration(option(unix.TCP_KEEPCNT))*interval
	byTimeout := idle
	for byTimeout < time.Duration(option(unix.TCP_USER_TIMEOUT))*time.Millisecond {
		byTimeout += interval
	}
	assert.Equal(t, byCount, byTimeout)
	assert.Equal(t, byCount, 3*time.Second)
}
