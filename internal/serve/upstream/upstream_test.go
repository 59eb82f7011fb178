package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

// startTarget listens on a local port and calls serve for each connection.
func startTarget(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	return listentest.Serve(t, func(conn *net.TCPConn) { serve(conn) })
}

// readRequest reads one request from a connection; nil at its end.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req
}

// alwaysAnswer sends the same answer to each request on a connection.
func alwaysAnswer(answer string) func(net.Conn) {
	return func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for readRequest(r) != nil {
			_, _ = io.WriteString(conn, answer)
		}
	}
}

func newRequest(address string) *Request {
	return &Request{
		Address: address, Method: "GET", URI: "/a%2Fb//c?x=%20&y", Host: "h.example",
		Header: []Header{{"X-Attempt", "id-1"}, {"x-lower", "v"}},
		MatchesRequest: func(h *fasthttp.ResponseHeader) bool {
			id := string(h.Peek("X-Attempt"))
			return id == "" || id == "id-1"
		},
	}
}

const plainAnswer = "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello"

func readAll(t *testing.T, a *Answer) string {
	t.Helper()
	body, err := io.ReadAll(a)
	assert.NilError(t, err)
	return string(body)
}

// exchange sends a request and returns the body of its answer.
func exchange(t *testing.T, c *Client, address string) string {
	t.Helper()
	a, err := c.Send(context.Background(), newRequest(address))
	assert.NilError(t, err)
	defer a.Close()
	return readAll(t, a)
}

func TestRequestIsSentByteForByte(t *testing.T) {
	got := make(chan string, 1)
	address := startTarget(t, func(conn net.Conn) {
		buffer := make([]byte, 4096)
		n, _ := conn.Read(buffer)
		got <- string(buffer[:n])
		_, _ = io.WriteString(conn, plainAnswer)
	})
	var c Client
	r := newRequest(address)
	r.Method, r.Body = "POST", []byte("{}")
	a, err := c.Send(context.Background(), r)
	assert.NilError(t, err)
	defer a.Close()
	assert.Equal(t, readAll(t, a), "hello")
	assert.Equal(t, <-got, "POST /a%2Fb//c?x=%20&y HTTP/1.1\r\nHost: h.example\r\nX-Attempt: id-1\r\nx-lower: v\r\n"+
		"Content-Length: 2\r\n\r\n{}")
}

func TestConnectionIsReusedAfterCompleteAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  plainAnswer,
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"interim": "HTTP/1.1 100 Continue\r\n\r\n" + plainAnswer,
	} {
		address := startTarget(t, alwaysAnswer(answer))
		var c Client
		for range 3 {
			assert.Equal(t, exchange(t, &c, address), "hello", name)
		}
		assert.Equal(t, c.Dialed(), int64(1), name)
	}
}

// A target accepts a limited number of connections from all processes together. If each
// process keeps as many as it needed at its busiest moment, the target resets new connections,
// and requests sent on those have an unknown outcome.
func TestIdleConnectionLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		maxIdleConns     int
		closeAfterAnswer bool
		kept             int
	}{"no bound": {0, false, 4}, "two": {2, false, 2}, "none": {0, true, 0}} {
		address := startTarget(t, alwaysAnswer(plainAnswer))
		var c Client
		var answers []*Answer
		for range 4 {
			r := newRequest(address)
			r.MaxIdleConns, r.CloseAfterAnswer = tc.maxIdleConns, tc.closeAfterAnswer
			a, err := c.Send(context.Background(), r)
			assert.NilError(t, err)
			answers = append(answers, a)
		}
		for _, a := range answers {
			assert.Equal(t, readAll(t, a), "hello")
			a.Close()
		}
		kept := 0
		for c.idle.Take(address, time.Now(), 0) != nil {
			kept++
		}
		assert.Equal(t, kept, tc.kept, name)
	}
}

func TestClosedConnectionIsRedialed(t *testing.T) {
	address := startTarget(t, alwaysAnswer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	var c Client
	for range 2 {
		assert.Equal(t, exchange(t, &c, address), "")
	}
	assert.Equal(t, c.Dialed(), int64(2))
}

// A target closes the connection in the middle of its answer, for each way of marking the end
// of a body. The caller must not take a partial answer for a complete one.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	for name, answer := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
		"chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
		"between chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"last chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
	} {
		address := startTarget(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, answer)
		})
		var c Client
		a, err := c.Send(context.Background(), newRequest(address))
		assert.NilError(t, err, name)
		_, err = io.ReadAll(a)
		assert.Assert(t, err != nil, name)
		a.Close()
	}
}

// The end of the connection completes an answer without a length, but a reset truncates it.
func TestResetTruncatesAnswerWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := startTarget(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhello")
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		})
		var c Client
		a, err := c.Send(context.Background(), newRequest(address))
		assert.NilError(t, err)
		_, err = io.ReadAll(a)
		assert.Equal(t, err != nil, reset)
		a.Close()
	}
}

// A target sends a second answer after a complete one. The next request on the connection must
// not get it.
func TestExtraAnswerIsNotReadByNextRequest(t *testing.T) {
	address := startTarget(t, alwaysAnswer(plainAnswer+"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen"))
	var c Client
	for range 3 {
		assert.Equal(t, exchange(t, &c, address), "hello")
	}
}

// An answer to an earlier request arrives when the answer to the next one is due. Its header
// identifies the request, and it is discarded.
func TestLateAnswerToEarlierRequestIsDiscarded(t *testing.T) {
	var n atomic.Int32
	address := startTarget(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for readRequest(r) != nil {
			if n.Add(1) == 2 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt: id-0\r\nContent-Length: 4\r\n\r\nlate")
			}
			_, _ = io.WriteString(conn, plainAnswer)
		}
	})
	var c Client
	for range 3 {
		assert.Equal(t, exchange(t, &c, address), "hello")
	}
}

// A target refuses a long request before it has read the body, keeps the connection open and
// reads the rest later. It would take bytes of another request on the connection for the rest
// of the body.
func TestEarlyAnswerDoesNotCorruptTheConnection(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	type seen struct {
		bytes int64
		err   error
	}
	got := make(chan seen, 4)
	address := startTarget(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		n, err := io.Copy(io.Discard, req.Body)
		if req.Method == "POST" {
			got <- seen{n, err}
		}
	})
	var c Client
	r := newRequest(address)
	r.Method, r.Body = "POST", []byte(body)
	a, err := c.Send(context.Background(), r)
	assert.NilError(t, err)
	assert.Equal(t, a.Status, 503)
	assert.Equal(t, readAll(t, a), "")
	a.Close()
	again, err := c.Send(context.Background(), newRequest(address))
	if err == nil {
		again.Close()
	}
	first := <-got
	// Either the connection was closed or the whole body was sent; no other bytes arrived.
	assert.Assert(t, first.err != nil || first.bytes == int64(len(body)), "%+v", first)
}

func TestNotSentReportsUnsentRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	var c Client
	_, err = c.Send(context.Background(), newRequest(address))
	assert.Assert(t, NotSent(err))

	cut := startTarget(t, func(conn net.Conn) { readRequest(bufio.NewReader(conn)) })
	_, err = c.Send(context.Background(), newRequest(cut))
	assert.Assert(t, err != nil && !NotSent(err))
}

// A target has closed a connection while it was unused. A request written to it would be lost,
// and its outcome would be unknown.
func TestIdleConnectionClosedByTargetIsNotUsed(t *testing.T) {
	address := startTarget(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, plainAnswer)
	})
	var c Client
	for range 3 {
		assert.Equal(t, exchange(t, &c, address), "hello")
		time.Sleep(20 * time.Millisecond)
	}
}

func TestMaxIdleTimeSkipsOldIdleConnections(t *testing.T) {
	address := startTarget(t, alwaysAnswer(plainAnswer))
	var c Client
	for range 2 {
		r := newRequest(address)
		r.MaxIdleTime = 10 * time.Millisecond
		a, err := c.Send(context.Background(), r)
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, a), "hello")
		a.Close()
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, c.Dialed(), int64(2))
}

// The caller hangs up while the target works. The target must notice it by the closed
// connection and stop; otherwise engines would go on generating an answer that nobody reads.
func TestContextCancellationClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startTarget(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	left := errors.New("the caller left")
	ctx, cancel := context.WithCancelCause(context.Background())
	var c Client
	a, err := c.Send(ctx, newRequest(address))
	assert.NilError(t, err)
	cancel(left)
	_, err = io.ReadAll(a)
	assert.Assert(t, err != nil)
	a.Close()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection to the target wasn't closed")
	}
}

func TestKeepAliveHeaderLimitsIdleTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "timeout=5": 4 * time.Second, "timeout=5, max=100": 4 * time.Second, "max=3": 0, "timeout=x": 0,
		"timeout=1": 250 * time.Millisecond, "timeout=60": 4 * time.Second, "timeout=0": 0,
	} {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		h.Set("Keep-Alive", value)
		assert.Equal(t, idleTime(&h), want, value)
	}
}

// Guards against connections that are kept for too long because their target spells Keep-Alive otherwise.
func TestKeepAliveIsReadInAnySpelling(t *testing.T) {
	for _, name := range []string{"keep-alive", "KEEP-ALIVE", "Keep-alive"} {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		h.Set(name, "timeout=2")
		assert.Equal(t, idleTime(&h), time.Second, name)
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n")
	f.Add("\x00\x01garbage\r\n\r\n")
	f.Fuzz(func(t *testing.T, answer string) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			_, _ = io.WriteString(server, answer)
		}()
		a := &Answer{
			client: &Client{}, address: "x", conn: wrapConn(client), written: make(chan struct{}), stopCtxWatch: func() bool { return true },
			ctxEnded: func() bool { return false },
		}
		close(a.written)
		if err := a.readHeader(&Request{Method: "GET"}); err != nil {
			return
		}
		n, err := io.Copy(io.Discard, io.LimitReader(a, 1<<20))
		if err == nil && a.Length >= 0 && n < 1<<20 && n != int64(a.Length) && a.Status != 204 && a.Status != 304 {
			t.Fatalf("body reported as complete after %d of %d bytes", n, a.Length)
		}
	})
}

// Guards against a request being sent to a target that has declined it while the connection was made.
func TestRequestThatIsNoLongerAllowedIsNotSent(t *testing.T) {
	var received atomic.Int64
	address := startTarget(t, func(conn net.Conn) {
		for r := bufio.NewReader(conn); readRequest(r) != nil; _, _ = io.WriteString(conn, plainAnswer) {
			received.Add(1)
		}
	})
	client := &Client{}
	for _, kept := range []bool{false, true} {
		allowed := false
		r := newRequest(address)
		r.Allowed = func() bool { return allowed }
		_, err := client.Send(context.Background(), r)
		assert.Assert(t, errors.Is(err, ErrNotAllowed) && NotSent(err), "%v", err)
		allowed = true
		answer, err := client.Send(context.Background(), r)
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, answer), "hello")
		answer.Close()
		assert.Equal(t, client.HasIdle(address, 0), true, "kept %v", kept)
	}
	assert.Equal(t, received.Load(), int64(2))
}
