package listentest

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Serve accepts connections on a local address until the test ends. It calls serve for each, and closes the connection
// after it.
func Serve(t *testing.T, serve func(*net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the test has ended it as it wants
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}
