package listentest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callerTimeout bounds all reads and writes of one caller.
const callerTimeout = 5 * time.Second

// Caller is a client with one open connection.
type Caller struct{ conn net.Conn }

// Dial opens the connections of n callers. They are closed when the test ends.
func Dial(t *testing.T, address string, n int) []*Caller {
	t.Helper()
	var callers []*Caller
	for range n {
		conn, err := net.DialTimeout("tcp", address, callerTimeout)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
		callers = append(callers, &Caller{conn})
	}
	return callers
}

// DialReused opens the connections of n callers, completes one request on each, and
// sends a second one.
func DialReused(t *testing.T, address string, n int) []*Caller {
	t.Helper()
	callers := Dial(t, address, n)
	for _, caller := range callers {
		caller.SendRequest(t)
		caller.ReadResponse(t)
	}
	for _, caller := range callers {
		caller.SendRequest(t)
	}
	return callers
}

// SendRequest sends one request.
func (c *Caller) SendRequest(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
}

// ReadResponse reads a complete response with status 200, and fails the test if there
// is none.
func (c *Caller) ReadResponse(t *testing.T) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if !assert.Check(t, err == nil, "no response: %v", err) {
		return
	}
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}
