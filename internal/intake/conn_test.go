package intake

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/connlimit"
)

const (
	testBodyLimit = 100_000
	testHeadLimit = 20_000
)

// server is an HTTP server on a Listener. It records the requests that it serves.
type server struct {
	address     string
	memory      *Memory
	connections *connlimit.Limiter
	mu          sync.Mutex // guards served
	served      []string
}

func startServer(t *testing.T, memory int64, connections int) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: listener.Addr().String(), memory: NewMemory(memory), connections: connlimit.New(connections)}
	http := &fasthttp.Server{
		ReduceMemoryUsage: true, ReadBufferSize: testHeadLimit, ReadTimeout: 5 * time.Second,
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
			TakeBody(h)
			return fasthttp.RequestConfig{}
		},
		Handler: Handler(func() int { return testBodyLimit }, s.serve, reject), ErrorHandler: reject,
	}
	go func() {
		_ = http.Serve(&Listener{
			Listener: listener, Memory: s.memory, Connections: s.connections, Log: zap.NewNop(),
			HeadLimit: func() int { return testHeadLimit }, HeadTime: func() time.Duration { return 2 * time.Second },
		})
	}()
	t.Cleanup(func() { _ = http.Shutdown() })
	return s
}

func (s *server) serve(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.served = append(s.served, fmt.Sprintf("%s %s %x", ctx.Method(), ctx.RequestURI(), ctx.Request.Body()))
	s.mu.Unlock()
	ctx.SetBodyString(fmt.Sprint(len(ctx.Request.Body())))
}

func reject(ctx *fasthttp.RequestCtx, err error) {
	status := 400
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = 413
	case errors.Is(err, ErrHeadTooLarge):
		status = 431
	case errors.Is(err, ErrNoMemory):
		status = 503
	}
	ctx.SetStatusCode(status)
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn
}

// waitUnused waits until all memory has been released, which follows the answers.
func (s *server) waitUnused(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); s.memory.Stats().Used != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%+v", s.memory.Stats())
	}
}

// waitUsed waits until about as many bytes are held, give or take a head.
func (s *server) waitUsed(t *testing.T, bytes int64) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); max(s.memory.Stats().Used-bytes, bytes-s.memory.Stats().Used) > 100; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%+v", s.memory.Stats())
	}
}

// ask sends a text and returns the status of the answer; 0 if there is none.
func (s *server) ask(t *testing.T, text string) int {
	t.Helper()
	conn := s.dial(t)
	_, _ = io.WriteString(conn, text) // the answer tells
	return status(conn)
}

func status(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

func sized(path string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, n, strings.Repeat("b", n))
}

func withHead(lines ...string) string {
	return "POST /x HTTP/1.1\r\nHost: h\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func TestStatuses(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"no body":                        {"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", 200},
		"empty lines before the request": {"\r\n\r\n" + sized("/x", 3), 200},
		"lines without carriage returns": {"POST /x HTTP/1.1\nHost: h\nContent-Length: 2\n\nab", 400},
		"largest body":                   {sized("/x", testBodyLimit), 200},
		"body over the limit":            {sized("/x", testBodyLimit+1), 413},
		"chunks over the limit":          {withHead("Transfer-Encoding: chunked") + strings.Repeat("2710\r\n"+strings.Repeat("c", 10_000)+"\r\n", 12), 413},
		"trailer and extension":          {withHead("Transfer-Encoding: chunked") + "2;x=y\r\nab\r\n0\r\nT: v\r\n\r\n", 200},
		"size with leading zeros":        {withHead("Transfer-Encoding: chunked") + "0002\r\nab\r\n0\r\n\r\n", 200},
		"malformed chunk":                {withHead("Transfer-Encoding: chunked") + "x\r\nab\r\n", 400},
		"chunk without its end":          {withHead("Transfer-Encoding: chunked") + "2\r\nabc\r\n0\r\n\r\n", 400},
		"trailer without end":            {withHead("Transfer-Encoding: chunked") + "0\r\n" + strings.Repeat("T: v\r\n", 20), 400},
		"two lengths":                    {withHead("Content-Length: 1", "Content-Length: 1") + "a", 400},
		"length and chunks":              {withHead("Content-Length: 1", "Transfer-Encoding: chunked") + "0\r\n\r\n", 400},
		"folded line":                    {withHead("Content-Length: 1", " 2") + "a", 400},
		"largest head":                   {withHead("N: " + strings.Repeat("n", testHeadLimit-100)), 200},
		"head over the limit":            {withHead("N: " + strings.Repeat("n", testHeadLimit)), 431},
		"head without end":               {"GET /x HTTP/1.1\r\nN: " + strings.Repeat("n", testHeadLimit), 431},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, s.ask(t, tc.text), tc.want) })
	}
	s.waitUnused(t)
}

// Guards against requests that are divided differently when they arrive in other pieces.
func TestPipelinedRequestsInAnyPieces(t *testing.T) {
	texts := sized("/1", 5) + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n" +
		"POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n3;e\r\nGET\r\n0\r\nT: v\r\n\r\n" +
		sized("/4", 6000) + sized("/5", 0) + "\r\n" + sized("/6", 1)
	var want []string
	for seed := range uint64(40) {
		s := startServer(t, 1<<20, 100)
		conn, random := s.dial(t), rand.New(rand.NewPCG(seed, 1))
		for rest := texts; rest != ""; {
			n := min(len(rest), 1+random.IntN(1+random.IntN(200)*int(seed)))
			if seed == 0 {
				n = len(rest)
			}
			_, err := io.WriteString(conn, rest[:n])
			assert.NilError(t, err)
			rest = rest[n:]
		}
		reader := bufio.NewReader(conn)
		for range 6 {
			resp, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err, "seed %d", seed)
			assert.Equal(t, resp.StatusCode, 200)
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		if seed == 0 {
			want = s.served
			assert.Equal(t, want[2], fmt.Sprintf("POST /3 %x", "\r\n\r\nGET"))
		}
		assert.DeepEqual(t, s.served, want)
	}
}

// Guards against a caller that waits for leave to send its body, and gets none.
func TestCallerIsToldToContinue(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	conn := s.dial(t)
	_, err := io.WriteString(conn, withHead("Expect: 100-continue", "Content-Length: 2"))
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, "100 Continue"))
	_, _ = reader.ReadString('\n')
	_, err = io.WriteString(conn, "ab")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// Guards against memory that is taken for what is only announced.
func TestAnnouncedBodiesHoldNoMemory(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	for _, begin := range []string{
		withHead("Content-Length: 99000"), withHead("Content-Length: 99000") + "b",
		withHead("Transfer-Encoding: chunked") + "ffff\r\nb",
	} {
		_, err := io.WriteString(s.dial(t), begin)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, s.memory.Stats().Peak, int64(0))
}

// Guards against stalled bodies that keep their memory, and with it other callers out.
func TestStalledBodyGivesWay(t *testing.T) {
	s := startServer(t, 300_000, 100)
	stalled := s.dial(t)
	_, err := stalled.Write([]byte(sized("/stalled", testBodyLimit))[:testBodyLimit])
	assert.NilError(t, err)
	time.Sleep(minEvictionAge + 100*time.Millisecond)
	held := s.memory.Stats().Used
	second := s.dial(t)
	_, err = second.Write([]byte(sized("/second", testBodyLimit))[:testBodyLimit])
	assert.NilError(t, err)
	s.waitUsed(t, 2*held) // a body that arrives beside the next one needs more memory than that
	assert.Equal(t, s.ask(t, sized("/sound", testBodyLimit)), 200)
	assert.Equal(t, status(stalled), 503)
	_, err = second.Write(bytes.Repeat([]byte("b"), 200))
	assert.NilError(t, err)
	assert.Equal(t, status(second), 200)
	s.waitUnused(t)
}

// Guards against a refusal that its caller, still sending, loses to a reset of the connection.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	conn := s.dial(t)
	_, err := io.WriteString(conn, withHead("Content-Length: 500000")+strings.Repeat("b", 1000))
	assert.NilError(t, err)
	for range 10 {
		time.Sleep(5 * time.Millisecond)
		_, err = conn.Write(make([]byte, 10_000))
		assert.NilError(t, err)
	}
	assert.Equal(t, status(conn), 413)
}

// Guards against heads that arrive a byte at a time and hold their connections for good.
func TestHeadMustArriveInTime(t *testing.T) {
	s := startServer(t, 1<<20, 100)
	conn := s.dial(t)
	began := time.Now()
	for time.Since(began) < 4*time.Second {
		if _, err := io.WriteString(conn, "G"); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the connection is still open")
}

// Guards against connections without requests that keep new ones out.
func TestNewConnectionReplacesASilentOne(t *testing.T) {
	s := startServer(t, 1<<20, 2)
	first, second := s.dial(t), s.dial(t)
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, s.ask(t, sized("/x", 1)), 200)
	_, err := first.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = io.WriteString(second, sized("/y", 1))
	assert.NilError(t, err)
	assert.Equal(t, status(second), 200)
}

// Guards against an answer whose bytes wait for the next ones.
func TestBytesOfAStreamedAnswerArriveAtOnce(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	place, _ := connlimit.New(1).Admit(near)
	go func() {
		_, _ = (&Conn{Conn: near, place: place}).ReadFrom(io.MultiReader(strings.NewReader("event"), blockedReader{}))
	}()
	got := make([]byte, 5)
	_, err := io.ReadFull(far, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "event")
}

type blockedReader struct{}

func (blockedReader) Read([]byte) (int, error) { select {} }

func FuzzBodyLength(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		var h fasthttp.RequestHeader
		if h.Read(bufio.NewReader(strings.NewReader(raw))) != nil {
			return
		}
		length, err := bodyLength(&h)
		if err == nil && length != h.ContentLength() {
			t.Fatalf("length %d, fasthttp has %d", length, h.ContentLength())
		}
	})
}
