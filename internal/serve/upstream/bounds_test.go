package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against interim answers that go on without end, quickly or slowly, and against a wait after a
// single one being taken for that.
func TestInterimAnswerBounds(t *testing.T) {
	for name, tc := range map[string]struct {
		times    []time.Duration
		exceeded bool
	}{
		"one":            {times: []time.Duration{time.Hour}},
		"two":            {times: []time.Duration{time.Hour, time.Hour + time.Second}},
		"many at once":   {times: make([]time.Duration, maxInterimAnswers+1), exceeded: true},
		"as many as may": {times: make([]time.Duration, maxInterimAnswers)},
		"slowly":         {times: []time.Duration{0, 4 * time.Second, 8 * time.Second, 12 * time.Second}, exceeded: true},
	} {
		var i interimAnswers
		start, exceeded := time.Now(), false
		for _, after := range tc.times {
			exceeded = i.add(start.Add(after))
		}
		assert.Equal(t, exceeded, tc.exceeded, name)
	}
}

// Guards against a short body that is given up at its bound, and a longer one that is read further.
func TestBoundIsExceededFromOneByteMore(t *testing.T) {
	b := Bound{Part: ErrorBody, Bytes: 10}
	for _, tc := range []struct {
		read, announced int
		exceeded        bool
	}{{10, -1, false}, {11, -1, true}, {0, 10, false}, {0, 11, true}} {
		assert.Equal(t, b.exceededBy(tc.read, tc.announced), tc.exceeded, "%+v", tc)
	}
}

// Guards against endless answers to earlier requests that delay the request until its deadline.
func TestEndlessEarlierAnswerIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, interval := range []time.Duration{0, 20 * time.Millisecond} {
		address := startTarget(t, func(conn net.Conn) {
			readRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt: id-0\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := io.WriteString(conn, "5\r\nhello\r\n"); err != nil {
					return
				}
				time.Sleep(interval)
			}
		})
		var got *BoundError
		c := Client{OnExceeded: func(target, at string, err *BoundError) {
			assert.Equal(t, target, "t-1")
			assert.Equal(t, at, address)
			got = err
		}}
		start := time.Now()
		r := newRequest(address)
		r.Target = "t-1"
		_, err := c.Send(context.Background(), r)
		var exceeded *BoundError
		assert.Assert(t, errors.As(err, &exceeded) && !NotSent(err), "%v", err)
		assert.Equal(t, exceeded.Part, EarlierAnswer)
		assert.Equal(t, exceeded, got)
		assert.Equal(t, exceeded.TimedOut, interval > 0)
		assert.Assert(t, time.Since(start) < 3*PartTime)
	}
}

// Guards against the bound on a head's time counting while a target still works on the request.
func TestSlowTargetHasTimeUntilItsHead(t *testing.T) {
	t.Parallel()
	address := startTarget(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		time.Sleep(PartTime + 200*time.Millisecond)
		_, _ = io.WriteString(conn, plainAnswer)
	})
	var c Client
	assert.Equal(t, exchange(t, &c, address), "hello")
}

// Guards against a body that was cut by a reset passing as a complete one that is empty.
func TestResetBeforeABoundedBodyIsAnError(t *testing.T) {
	t.Parallel()
	address := startTarget(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 404 No\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	var c Client
	a, err := c.Send(context.Background(), newRequest(address))
	assert.NilError(t, err)
	defer a.Close()
	var body strings.Builder
	assert.Assert(t, a.ReadBounded(&body, ErrorBodyBound) != nil)
}

// Guards against a refusal that falls silent behind its head and holds the request until its deadline.
func TestSilentRefusalIsGivenUp(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	address := startTarget(t, func(conn net.Conn) {
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\n\r\n")
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	var c Client
	a, err := c.Send(context.Background(), newRequest(address))
	assert.NilError(t, err)
	start := time.Now()
	var exceeded *BoundError
	assert.Assert(t, errors.As(a.ReadBounded(io.Discard, RefusalBodyBound), &exceeded))
	assert.Assert(t, exceeded.TimedOut && time.Since(start) < PartTime)
	a.Close()
	<-closed
}
