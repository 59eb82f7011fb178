package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const unnamedAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"

// answerInTurn sends the n-th of the answers to the n-th request on each connection.
func answerInTurn(answers ...string) func(net.Conn) {
	return func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for n := 0; readRequest(r) != nil && n < len(answers); n++ {
			_, _ = io.WriteString(conn, answers[n])
		}
	}
}

// newNamedRequest returns a request whose answers name it.
func newNamedRequest(address string) *Request {
	r := newRequest(address)
	r.NamesRequest = func(h *fasthttp.ResponseHeader) bool { return len(h.Peek("X-Attempt")) > 0 }
	return r
}

// send sends a request and returns the body of its answer.
func send(t *testing.T, c *Client, r *Request) (string, error) {
	t.Helper()
	a, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	return readAll(t, a), nil
}

// Guards against an extra answer without an ID that is taken for the answer to the next request.
func TestUnnamedAnswerOnAReusedConnectionIsNotTaken(t *testing.T) {
	address := startTarget(t, answerInTurn(plainAnswer, unnamedAnswer+plainAnswer))
	var c Client
	body, err := send(t, &c, newNamedRequest(address))
	assert.NilError(t, err)
	assert.Equal(t, body, "hello")
	_, err = send(t, &c, newNamedRequest(address))
	assert.Assert(t, errors.Is(err, ErrUnnamedAnswer), "%v", err)
	assert.Assert(t, !NotSent(err))
	assert.Assert(t, !c.HasIdle(address, 0))
}

// Guards against targets that name no request and whose answers are dropped, or whose connections are kept.
func TestUnnamedFirstAnswerIsTakenAndItsConnectionClosed(t *testing.T) {
	address := startTarget(t, alwaysAnswer(unnamedAnswer))
	var c Client
	for n := range 3 {
		body, err := send(t, &c, newNamedRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "stolen")
		assert.Equal(t, c.Dialed(), int64(n+1))
	}
}

// Guards against an unnamed answer that is taken because only an answer of another request came before it.
func TestUnnamedAnswerAfterAnUnrelatedOneIsNotTaken(t *testing.T) {
	address := startTarget(t, answerInTurn("HTTP/1.1 200 OK\r\nX-Attempt: id-0\r\nContent-Length: 4\r\n\r\nlate"+unnamedAnswer))
	var c Client
	_, err := send(t, &c, newNamedRequest(address))
	assert.Assert(t, errors.Is(err, ErrUnnamedAnswer), "%v", err)
}

// Guards against a connection that is used again although an extra answer came on it.
func TestConnectionIsClosedAfterAnUnrelatedAnswer(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nX-Attempt: id-0\r\nContent-Length: 4\r\n\r\nlate"
	address := startTarget(t, answerInTurn(plainAnswer, late+plainAnswer, plainAnswer))
	var c Client
	for range 3 {
		body, err := send(t, &c, newNamedRequest(address))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, c.Dialed(), int64(2))
}

// Guards against a request whose answers can't be told from those to an earlier one on its connection.
func TestNewConnectionIsNotAKeptOne(t *testing.T) {
	address := startTarget(t, alwaysAnswer(plainAnswer))
	var c Client
	for n := range 3 {
		r := newNamedRequest(address)
		r.NewConnection = n > 0
		_, err := send(t, &c, r)
		assert.NilError(t, err)
		assert.Equal(t, c.Dialed(), int64(n+1))
	}
}
