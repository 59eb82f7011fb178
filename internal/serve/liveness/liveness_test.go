package liveness

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	okAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	otherAnswer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
)

// servers counts the servers. Each has a loopback address of its own, so that no other one takes its port after stop.
var servers atomic.Int64

// server serves each connection with a function that gets the requests on it.
func server(t *testing.T, serve func(net.Conn, *bufio.Reader)) (address string, stop func()) {
	t.Helper()
	n := servers.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", n>>8, n&0xff))
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	stop = func() { _ = listener.Close() }
	t.Cleanup(stop)
	return listener.Addr().String(), stop
}

// answering serves all requests with the same answer.
func answering(answer string) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

func question(address string) *Question {
	return &Question{
		Process: Process{ID: "i-1", Address: address}, SentAt: time.Now(), KnownUntil: time.Now(),
		Request: upstream.Request{Address: address, Host: address, Method: "GET", URI: "/"},
		From:    func(h *fasthttp.ResponseHeader) bool { return h.StatusCode() != fasthttp.StatusMisdirectedRequest },
	}
}

func closing(net.Conn, *bufio.Reader) {}

func closingAfterRequest(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) }

func closingInHeader(c net.Conn, _ *bufio.Reader) { _, _ = io.WriteString(c, "HTTP/1.1 200") }

// Guards against a process that dies while it is asked, and passes as one at its connection limit.
func TestProcessThatDiesWhileItIsAsked(t *testing.T) {
	t.Parallel()
	for _, serve := range []func(net.Conn, *bufio.Reader){closing, closingAfterRequest, closingInHeader} {
		for _, connectOnly := range []bool{false, true} {
			ready := make(chan struct{})
			var stop func()
			address, closePort := server(t, func(c net.Conn, r *bufio.Reader) {
				<-ready
				if !connectOnly {
					serve(c, r)
				}
				_ = c.Close()
				stop() // the port closes after the connection
			})
			stop = closePort
			close(ready)
			q := question(address)
			q.ConnectOnly = connectOnly
			got := (&Checker{}).Check(t.Context(), &upstream.Client{}, q)
			assert.Equal(t, got, Closed)
			assert.Assert(t, !got.Runs())
		}
	}
}

// Guards against a successor at the address that passes as a process at its connection limit.
func TestSuccessorOfAProcessThatClosesConnections(t *testing.T) {
	t.Parallel()
	var connections atomic.Int64
	address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
		if connections.Add(1) > 1 {
			answering(otherAnswer)(c, r)
		}
	})
	assert.Equal(t, (&Checker{}).Check(t.Context(), &upstream.Client{}, question(address)), Replaced)
}

func TestVerdicts(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		serve   func(net.Conn, *bufio.Reader)
		verdict Verdict
		runs    bool
	}{
		"answer":                     {answering(okAnswer), Alive, true},
		"failure":                    {answering("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), Alive, true},
		"answer without framing":     {answering("HTTP/1.1 200 OK\r\n\r\nendless"), Alive, true},
		"another process":            {answering(otherAnswer), Replaced, false},
		"closed without an answer":   {closing, Accepting, true},
		"closed after the request":   {closingAfterRequest, Accepting, true},
		"half a header, then closed": {closingInHeader, Accepting, true},
		"silent": {func(_ net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = r.ReadByte() // until the check ends
		}, Silent, false},
		"answer after a wait": {func(c net.Conn, r *bufio.Reader) {
			time.Sleep(2 * Bound)
			answering(okAnswer)(c, r)
		}, Alive, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address, _ := server(t, tc.serve)
			got := (&Checker{}).Check(t.Context(), &upstream.Client{}, question(address))
			assert.Equal(t, got, tc.verdict)
			assert.Equal(t, got.Runs(), tc.runs)
		})
	}
}

// Guards against whole answers that count as cut because their target is too busy for a check.
func TestSilentProcessThatKeepsAnotherConnectionOpenRuns(t *testing.T) {
	t.Parallel()
	var connections atomic.Int64
	address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
		if connections.Add(1) == 1 {
			answering(okAnswer)(c, r)
		}
		_, _ = io.Copy(io.Discard, r) // until the check ends
	})
	client := &upstream.Client{}
	q := question(address)
	q.Request.Target = q.ID
	answer, err := client.Send(t.Context(), &q.Request)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, answer)
	answer.Close()
	got := (&Checker{}).Check(t.Context(), client, q)
	assert.Equal(t, got, Connected)
	assert.Assert(t, got.Runs())
}

// Guards against whole answers that count as cut because their target is too busy for a check, and successors that pass.
func TestConnectionsInUseShowThatASilentProcessRuns(t *testing.T) {
	t.Parallel()
	for verdict, openedAfter := range map[Verdict]bool{Connected: false, Silent: true} {
		address, _ := server(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }) // until the caller ends
		client, q := &upstream.Client{}, question(address)
		if openedAfter {
			q.KnownUntil = time.Now()
		}
		sent := make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		request := q.Request
		request.OnSent = func() { close(sent) }
		var group errgroup.Group
		group.Go(func() error {
			_, _ = client.Send(ctx, &request) // ends with ctx
			return nil
		})
		<-sent
		if !openedAfter {
			q.KnownUntil = time.Now()
		}
		assert.Equal(t, (&Checker{}).Check(t.Context(), client, q), verdict)
		cancel()
		assert.NilError(t, group.Wait())
		assert.Assert(t, !client.HasOpenFrom(address, time.Now(), time.Time{}))
	}
}

// Guards against a successor that is silent and passes as the process because it answered or refused a request before.
func TestConnectionOfASuccessorDoesNotShowThatTheProcessRuns(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct{ asked, answer string }{
		"it refused a request to the process": {"i-1", otherAnswer}, "it answered one of its own": {"i-2", okAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var connections atomic.Int64
			address, _ := server(t, func(c net.Conn, r *bufio.Reader) {
				if connections.Add(1) == 1 {
					answering(tc.answer)(c, r)
				}
				_, _ = io.Copy(io.Discard, r) // until the check ends
			})
			client := &upstream.Client{}
			q := question(address)
			request := q.Request
			request.Target = tc.asked
			answer, err := client.Send(t.Context(), &request)
			assert.NilError(t, err)
			_, _ = io.Copy(io.Discard, answer)
			answer.Close()
			got := (&Checker{}).Check(t.Context(), client, q)
			assert.Equal(t, got, Silent)
			assert.Assert(t, !got.Runs())
		})
	}
}

func TestVerdictWithoutConnection(t *testing.T) {
	t.Parallel()
	address, stop := server(t, answering(okAnswer))
	stop()
	got := (&Checker{}).Check(t.Context(), &upstream.Client{}, question(address))
	assert.Equal(t, got, Closed)
	assert.Assert(t, !got.Runs())

	stalled := &upstream.Client{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	started := time.Now()
	got = (&Checker{}).Check(t.Context(), stalled, question(address))
	assert.Equal(t, got, Unreachable)
	assert.Assert(t, !got.Runs())
	assert.Assert(t, time.Since(started) >= Bound)
}

// Guards against requests to processes that take few or none.
func TestProcessThatIsNotAskedHasToKeepAConnectionOpen(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	open := func(_ net.Conn, r *bufio.Reader) {
		if _, err := r.ReadByte(); err == nil {
			asked.Add(1)
		}
	}
	for _, tc := range []struct {
		serve   func(net.Conn, *bufio.Reader)
		stopped bool
		verdict Verdict
		runs    bool
	}{{open, false, Accepting, true}, {closing, false, Accepting, true}, {open, true, Closed, false}} {
		address, stop := server(t, tc.serve)
		if tc.stopped {
			stop()
		}
		q := question(address)
		q.ConnectOnly = true
		got := (&Checker{}).Check(t.Context(), &upstream.Client{}, q)
		assert.Equal(t, got, tc.verdict)
		assert.Equal(t, got.Runs(), tc.runs)
	}
	assert.Equal(t, asked.Load(), int64(0))
}

func TestRequestThatHasEndedIsNotChecked(t *testing.T) {
	t.Parallel()
	var dialed atomic.Int64
	client := &upstream.Client{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		dialed.Add(1)
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, (&Checker{}).Check(ctx, client, question("127.0.0.1:1")), Unchecked)
	assert.Equal(t, dialed.Load(), int64(0))

	ctx, cancel = context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	started := time.Now()
	assert.Equal(t, (&Checker{}).Check(ctx, client, question("127.0.0.1:1")), Unchecked)
	assert.Assert(t, time.Since(started) < Bound)
}

// Guards against a connection that is opened for a check alone.
func TestConnectionOfACheckIsKept(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"length": okAnswer, "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		address, _ := server(t, answering(answer))
		client := &upstream.Client{}
		assert.Equal(t, (&Checker{}).Check(t.Context(), client, question(address)), Alive)
		for deadline := time.Now().Add(time.Second); !client.HasIdle(address, 0) && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		assert.Assert(t, client.HasIdle(address, 0), name)
	}
}

// Guards against a check for each of the answers that end together.
func TestCheckServesAllThatAskBeforeItsRequest(t *testing.T) {
	t.Parallel()
	const askers = 20
	address, _ := server(t, answering(okAnswer))
	asked := make(chan struct{})
	client := &upstream.Client{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-asked
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
	checker := &Checker{}
	var group errgroup.Group
	var joined atomic.Int64
	for range askers {
		check := checker.join(client, question(address))
		group.Go(func() error {
			<-check.done
			joined.Add(1)
			return nil
		})
	}
	close(asked)
	assert.NilError(t, group.Wait())
	assert.Equal(t, joined.Load(), int64(askers))
	assert.Equal(t, client.Dialed(), int64(1))
	assert.Equal(t, checker.Check(t.Context(), client, question(address)), Alive)
	assert.Equal(t, client.Dialed(), int64(2))
}

// Guards against an answer that counts as cut because its target takes no further connections.
func TestTargetThatTakesNoNewConnectionIsAskedOnAKeptOne(t *testing.T) {
	t.Parallel()
	address, stop := server(t, answering(okAnswer))
	client := &upstream.Client{}
	answer, err := client.Send(t.Context(), &question(address).Request)
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, answer)
	answer.Close()
	stop()
	assert.Equal(t, (&Checker{}).Check(t.Context(), client, question(address)), Alive)
}
