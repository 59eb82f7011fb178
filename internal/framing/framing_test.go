package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// read reads an answer that ends with its connection after raw.
func read(t *testing.T, method, raw string) (*Body, string, error) {
	t.Helper()
	conn := bufio.NewReader(strings.NewReader(raw))
	var h fasthttp.ResponseHeader
	assert.NilError(t, h.Read(conn))
	body := NewBody(conn, &h, method)
	data, err := io.ReadAll(body)
	return body, string(data), err
}

func TestBody(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, tc := range map[string]struct {
		method, raw, body string
		kind              Kind
		complete          bool
	}{
		"length":              {"GET", status + "Content-Length: 5\r\n\r\nhello", "hello", Length, true},
		"length, cut":         {"GET", status + "Content-Length: 5\r\n\r\nhell", "hell", Length, false},
		"no bytes":            {"GET", status + "Content-Length: 0\r\n\r\n", "", Length, true},
		"chunks":              {"GET", status + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", Chunks, true},
		"chunks, cut":         {"GET", status + "Transfer-Encoding: chunked\r\n\r\n5\r\nhell", "hell", Chunks, false},
		"chunks, no last one": {"GET", status + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "hello", Chunks, false},
		"chunks, no end":      {"GET", status + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "hello", Chunks, false},
		"connection":          {"GET", status + "\r\nhello", "hello", Connection, true},
		"connection, kept":    {"GET", status + "Connection: keep-alive\r\n\r\nhello", "hello", Connection, true},
		"HTTP/1.0":            {"GET", "HTTP/1.0 200 OK\r\n\r\nhello", "hello", Connection, true},
		"HTTP/1.0, kept":      {"GET", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nhello", "hello", Connection, true},
		"HEAD":                {"HEAD", status + "Content-Length: 5\r\n\r\n", "", Length, true},
		"no content":          {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "", Length, true},
	} {
		t.Run(name, func(t *testing.T) {
			body, data, err := read(t, tc.method, tc.raw)
			assert.Equal(t, data, tc.body)
			assert.Equal(t, body.Kind, tc.kind)
			assert.Equal(t, body.Complete(), tc.complete)
			assert.Equal(t, err == nil, tc.complete, "%v", err)
		})
	}
}

func TestTrailer(t *testing.T) {
	conn := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"))
	var h fasthttp.ResponseHeader
	assert.NilError(t, h.Read(conn))
	var lines []string
	body := NewBody(conn, &h, "GET")
	body.OnTrailer = func(line string) { lines = append(lines, line) }
	_, err := io.ReadAll(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, lines, []string{"A: 1", "B: 2"})
}

// unframedAnswer returns the answer that a caller gets to a request with this body.
func unframedAnswer(t *testing.T, body io.Reader) (*http.Response, string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Own", "v")
		AnswerUnframed(ctx, io.NopCloser(body))
	}}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	t.Cleanup(func() { _ = listener.Close() })
	resp, err := http.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func TestAnswerUnframed(t *testing.T) {
	for _, body := range []string{"", "hello", strings.Repeat("0123456789", 10_000)} {
		resp, data, err := unframedAnswer(t, strings.NewReader(body))
		assert.NilError(t, err)
		assert.Equal(t, data, body)
		assert.Equal(t, resp.ContentLength, int64(-1))
		assert.Equal(t, len(resp.TransferEncoding), 0)
		assert.Assert(t, resp.Close)
		assert.Equal(t, resp.Header.Get("X-Own"), "v")
	}
}

// Guards against a body that breaks off and ends like a complete one.
func TestBrokenUnframedAnswerIsReset(t *testing.T) {
	broken := io.MultiReader(strings.NewReader("hel"), iotest.ErrReader(errors.New("broke")))
	_, _, err := unframedAnswer(t, broken)
	assert.Assert(t, err != nil)
}

// recordedListener records what happens to the connections that it accepts.
type recordedListener struct {
	net.Listener
	steps chan string
}

func (l *recordedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{TCPConn: conn.(*net.TCPConn), steps: l.steps}, nil
}

type recordedConn struct {
	*net.TCPConn
	steps chan string
}

func (c *recordedConn) SetLinger(seconds int) error {
	c.steps <- fmt.Sprint("linger ", seconds)
	return c.TCPConn.SetLinger(seconds)
}

func (c *recordedConn) Write(p []byte) (int, error) {
	c.steps <- "write"
	return c.TCPConn.Write(p)
}

func (c *recordedConn) Close() error {
	c.steps <- "close"
	return c.TCPConn.Close()
}

// Guards against the death of this process in the middle of an answer that callers take for its end.
func TestUnframedAnswerIsResetUntilItIsComplete(t *testing.T) {
	for _, tc := range map[string]struct {
		body io.Reader
		want []string
	}{
		"whole":  {strings.NewReader("hello"), []string{"linger 0", "write", "write", "linger -1", "close"}},
		"broken": {iotest.ErrReader(errors.New("broke")), []string{"linger 0", "write", "close"}},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		steps := make(chan string, 16)
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { AnswerUnframed(ctx, io.NopCloser(tc.body)) }}
		go func() { _ = server.Serve(&recordedListener{Listener: listener, steps: steps}) }() // ends with the listener
		t.Cleanup(func() { _ = listener.Close() })
		resp, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		var got []string
		for len(got) == 0 || got[len(got)-1] != "close" {
			got = append(got, <-steps)
		}
		assert.DeepEqual(t, got, tc.want)
	}
}
