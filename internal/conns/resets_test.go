package conns

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

// Guards against reads that take a reset for an orderly end, or the reverse, while a write is in progress.
func TestReadsTellAResetFromAnOrderlyEnd(t *testing.T) {
	t.Parallel()
	reset := func(conn *net.TCPConn) { _ = conn.SetLinger(0) }
	for name, tc := range map[string]struct {
		end     func(*net.TCPConn)
		orderly bool
	}{
		"reset":                   {reset, false},
		"closed with unread data": {func(*net.TCPConn) {}, false},
		"closed":                  {func(conn *net.TCPConn) { _, _ = io.CopyN(io.Discard, conn, writtenBytes-1) }, true},
		"half-closed, then read": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		}, true},
		"half-closed, then reset": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		}, true},
		"half-closed, then silent": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
		}, true},
	} {
		for play := range 50 {
			data, err, again := readWhileWriting(t, play, tc.end)
			assert.Equal(t, err == nil, tc.orderly, "%s: %v", name, err)
			if tc.orderly {
				assert.Equal(t, data, "some data", name)
				assert.Equal(t, again, io.EOF, name)
			} else {
				assert.Equal(t, again, err, name)
			}
		}
	}
}

// writtenBytes is more than the socket buffers of a connection hold.
const writtenBytes = 8 << 20

// readWhileWriting reads a connection to its end while it is written, and returns what was read, the error, and that of
// one more read. end is called at the other side before it closes the connection.
func readWhileWriting(t *testing.T, play int, end func(*net.TCPConn)) (data string, err, again error) {
	t.Helper()
	address := listentest.Serve(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1)) // the write is in progress
		_, _ = io.WriteString(conn, "some data")
		time.Sleep(time.Duration(play%5) * time.Millisecond)
		end(conn)
	})
	conn, err := Dial(t.Context(), address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Write(make([]byte, writtenBytes)) }()
	read, err := io.ReadAll(conn)
	_, again = conn.Read(make([]byte, 1))
	return string(read), err, again
}
