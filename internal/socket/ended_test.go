package socket

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an end that isn't seen because bytes before it are unread.
func TestHasEndedBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	peer, err := listener.Accept()
	assert.NilError(t, err)
	_, err = peer.Write([]byte("unread"))
	assert.NilError(t, err)
	time.Sleep(10 * time.Millisecond)
	assert.Assert(t, !HasEnded(conn))
	assert.NilError(t, peer.Close())
	for deadline := time.Now().Add(time.Second); !HasEnded(conn) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, HasEnded(conn))
	assert.Equal(t, Peek(conn), Readable)
}
