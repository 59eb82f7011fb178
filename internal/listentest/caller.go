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

// callerPatience bounds all that one caller waits for.
const callerPatience = 5 * time.Second

// Caller keeps a connection.
type Caller struct{ conn net.Conn }

// Dial opens the connections of n callers, which are closed with the test.
func Dial(t *testing.T, address string, n int) []*Caller {
	t.Helper()
	var all []*Caller
	for range n {
		conn, err := net.DialTimeout("tcp", address, callerPatience)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(callerPatience)))
		all = append(all, &Caller{conn})
	}
	return all
}

// DialReused has n callers whose connections have served a request each and carry the
// next one.
func DialReused(t *testing.T, address string, n int) []*Caller {
	t.Helper()
	kept := Dial(t, address, n)
	for _, caller := range kept {
		caller.SendRequest(t)
		caller.ReadResponse(t)
	}
	for _, caller := range kept {
		caller.SendRequest(t)
	}
	return kept
}

// SendRequest sends one request.
func (c *Caller) SendRequest(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
}

// ReadResponse reads a whole answer, and fails the test where there is none.
func (c *Caller) ReadResponse(t *testing.T) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if !assert.Check(t, err == nil, "no answer: %v", err) {
		return
	}
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}
