package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

// The process briefly has no file descriptor left for another connection. If
// that error ended the listener, the VM would shut down or refuse callers for
// good.
func TestListenerSurvivesDescriptorExhaustion(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{
		log: zap.NewNop(), listener: listentest.NewFailingListener(listener, 3),
	}
	s.buildHTTPServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") })
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + listener.Addr().String())
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.NilError(t, s.closePort(context.Background()))
	assert.NilError(t, <-ended)
}

// Callers reuse keep-alive connections right before the port closes. Requests
// that arrived by then must be answered, because their callers can't know that
// nobody read them.
func TestRequestsReceivedBeforeCloseAreAnswered(t *testing.T) {
	const callers = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{log: zap.NewNop(), listener: listener}
	s.buildHTTPServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") })
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	kept := listentest.DialReused(t, listener.Addr().String(), callers)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	assert.NilError(t, s.closePort(ctx))
	for _, caller := range kept {
		caller.ReadResponse(t)
	}
	assert.NilError(t, <-ended)
}

// Guards against a caller, still sending at the shutdown, that gets no answer or one against a retry.
func TestRequestStillBeingSentIsAnsweredAfterTheReadTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &Server{log: zap.NewNop(), listener: listener}
	s.buildHTTPServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") })
	s.http.ReadTimeout = 500 * time.Millisecond
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until it is read
	assert.NilError(t, s.closePort(context.Background()))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestTimeout)
	assert.NilError(t, <-ended)
}
