package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	// trickleInterval is the time between two parts of a slow endless answer.
	trickleInterval = 50 * time.Millisecond
	// maxSocketBytes is what the sockets of a loopback connection may hold beside what is read.
	maxSocketBytes = 12 << 20
	// maxFaultTime is how long it may take to give up an endless answer: the longest bound on time, and
	// a margin for a busy machine.
	maxFaultTime = 6 * time.Second
)

// endless is an answer without end: its begin, and what follows it again and again.
type endless struct {
	begin, repeat string
	// slow answers repeat after trickleInterval.
	slow bool
}

// faultyTargets answer the first request that they get with an endless answer and all others with a
// sound one.
type faultyTargets struct {
	fault    endless
	sound    string
	requests atomic.Int32
	// written counts the bytes of the endless answer; ended is closed when its connection is.
	written atomic.Int64
	ended   chan struct{}
}

func (f *faultyTargets) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if f.requests.Add(1) > 1 {
		_, _ = io.WriteString(conn, f.sound)
		return
	}
	defer close(f.ended)
	text, repeat := f.fault.begin, f.fault.repeat
	for !f.fault.slow && len(repeat) < 4096 {
		repeat += f.fault.repeat
	}
	for {
		n, err := io.WriteString(conn, text)
		if f.written.Add(int64(n)); err != nil {
			return
		}
		text = repeat
		if f.fault.slow {
			time.Sleep(trickleInterval)
		}
	}
}

// exceededParts records the parts of answers that exceeded their bounds.
type exceededParts struct {
	mu   sync.Mutex // guards list
	list []upstream.Part
}

func (e *exceededParts) add(_, _ string, err *upstream.BoundError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, err.Part)
}

func (e *exceededParts) get() []upstream.Part {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

// newFaultyExecutor returns an executor with two targets at real connections.
func newFaultyExecutor(t *testing.T, f *faultyTargets, kind plan.Kind, resumable bool) (*Executor, *exceededParts) {
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
			go f.serve(conn)
		}
	}()
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
	}
	rule := quota.Rule{Reserve: 50, Window: 10 * time.Second}
	e := newRetryingExecutor(rule, 2, dial, kind)
	e.Budget = quota.New(rule, time.Now().Add(-rule.Window)) // a new one grants no retries at first
	p := *e.Plans.Current()
	p.Version++
	p.Routes[0].Resumable = resumable
	e.Plans.Apply(&p)
	parts := &exceededParts{}
	e.Client.OnExceeded = parts.add
	return e, parts
}

func runFaulty(e *Executor) (reply *Reply, body string, err error) {
	reply = e.Run(context.Background(), &Request{ID: "id", Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: time.Now()})
	if reply.Answer == nil {
		return reply, "", nil
	}
	defer func() { _ = reply.Answer.Body.Close() }()
	var text strings.Builder
	_, err = io.Copy(&text, io.LimitReader(reply.Answer.Body, 64<<20))
	return reply, text.String(), err
}

const (
	soundEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func soundAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)
}

// endlessHeads are endless whatever is requested, before any body.
var endlessHeads = map[string]endless{
	"no HTTP":         {repeat: "x"},
	"empty lines":     {repeat: "\r\n"},
	"head line":       {begin: "HTTP/1.1 200 OK\r\nX: ", repeat: "x"},
	"head":            {begin: "HTTP/1.1 200 OK\r\n", repeat: "X: x\r\n"},
	"interim answers": {repeat: "HTTP/1.1 102 Processing\r\n\r\n"},
	"interim head":    {begin: "HTTP/1.1 102 Processing\r\n", repeat: "X: x\r\n"},
}

// endlessErrors are answers that are no success.
var endlessErrors = map[string]endless{
	"404 until the end of the connection": {begin: "HTTP/1.1 404 No\r\n\r\n", repeat: "x"},
	"404 in chunks":                       {begin: "HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "1\r\nx\r\n"},
	"404 with a length":                   {begin: "HTTP/1.1 404 No\r\nContent-Length: 200000\r\n\r\n", repeat: "x", slow: true},
	"404 with a large length":             {begin: "HTTP/1.1 404 No\r\nContent-Length: 9000000000\r\n\r\n", repeat: "x"},
	"404 with a chunk size without end":   {begin: "HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: "0"},
	"302":                                 {begin: "HTTP/1.1 302 Found\r\n\r\n", repeat: "x"},
	"500":                                 {begin: "HTTP/1.1 500 No\r\n\r\n", repeat: "x"},
	"503 that says not run":               {begin: "HTTP/1.1 503 Busy\r\n\r\n", repeat: "x"},
}

// endlessStreams are successes of engines whose bytes are no events.
var endlessStreams = map[string]endless{
	"line":                 {begin: streamHead, repeat: "x"},
	"empty lines":          {begin: streamHead, repeat: "\n"},
	"lines":                {begin: streamHead, repeat: "xyz\n"},
	"unknown events":       {begin: streamHead, repeat: "xyz\n\n"},
	"zeros in chunks":      {begin: chunkedHead, repeat: "3\r\n\x00\x00\x00\r\n"},
	"comments":             {begin: streamHead, repeat: ": x\n\n"},
	"comment":              {begin: streamHead, repeat: ":"},
	"events without data":  {begin: streamHead, repeat: "event: ping\n\n"},
	"event":                {begin: streamHead + "data: ", repeat: "x"},
	"lines of an event":    {begin: streamHead, repeat: "data: x\n"},
	"trailer":              {begin: chunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n", repeat: "X: y\r\n"},
	"trailer line":         {begin: chunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n", repeat: "X"},
	"line after an event":  {begin: streamHead + "id: 1\ndata: a\n\n", repeat: "x"},
	"pings after an event": {begin: streamHead + "id: 1\ndata: a\n\n", repeat: ":\n\n"},
}

// forEachSpeed runs a test for fast and slow endless answers.
func forEachSpeed(t *testing.T, faults map[string]endless, test func(t *testing.T, fault endless)) {
	t.Helper()
	for name, fault := range faults {
		for _, slow := range []bool{false, true} {
			if fault.slow && !slow {
				continue
			}
			fault := fault
			fault.slow = slow
			t.Run(fmt.Sprintf("%s, slow %v", name, slow), func(t *testing.T) {
				t.Parallel()
				test(t, fault)
			})
		}
	}
}

// checkEnded checks that the endless answer was cut in time.
func (f *faultyTargets) checkEnded(t *testing.T, start time.Time) {
	t.Helper()
	select {
	case <-f.ended:
	case <-time.After(maxFaultTime - time.Since(start)):
		t.Fatalf("the endless answer isn't cut after %v and %d bytes", time.Since(start), f.written.Load())
	}
	assert.Assert(t, f.written.Load() < maxBytesWithoutEvent+maxSocketBytes, "%d bytes", f.written.Load())
}

// Guards against endless bytes of a target keeping a request that may run at another target from it.
func TestEndlessAnswersAreRetriedElsewhere(t *testing.T) {
	t.Parallel()
	check := func(kind plan.Kind, body string) func(*testing.T, endless) {
		return func(t *testing.T, fault endless) {
			f := &faultyTargets{fault: fault, sound: soundAnswer(body), ended: make(chan struct{})}
			e, _ := newFaultyExecutor(t, f, kind, true)
			start := time.Now()
			reply, got, err := runFaulty(e)
			assert.NilError(t, err)
			assert.Equal(t, reply.Status, 200, "%s", reply.Reason)
			assert.Assert(t, strings.HasSuffix(got, body), "%q", got)
			assert.Assert(t, !strings.Contains(got, "x"), "the caller has bytes of the endless answer")
			assert.Equal(t, f.requests.Load(), int32(2))
			f.checkEnded(t, start)
		}
	}
	for _, faults := range []map[string]endless{endlessHeads, endlessErrors} {
		forEachSpeed(t, faults, check(plan.Idempotent, "sound"))
		forEachSpeed(t, faults, check(plan.Stream, soundEvents))
	}
}

// Guards against an endless answer to a request that must not run twice being repeated, or passing as a
// complete answer.
func TestEndlessAnswersOfRequestsThatRunOnceAreNoAnswers(t *testing.T) {
	t.Parallel()
	for _, faults := range []map[string]endless{endlessHeads, endlessErrors} {
		forEachSpeed(t, faults, func(t *testing.T, fault endless) {
			f := &faultyTargets{fault: fault, sound: soundAnswer("sound"), ended: make(chan struct{})}
			e, _ := newFaultyExecutor(t, f, plan.NonIdempotent, false)
			start := time.Now()
			reply, got, err := runFaulty(e)
			assert.NilError(t, err)
			if strings.Contains(fault.begin, "503") { // the target says that it didn't run the request
				assert.Equal(t, got, "sound")
			} else {
				assert.Equal(t, reply.Status, 502)
				assert.Equal(t, reply.Reason, LostAnswer)
				assert.Equal(t, f.requests.Load(), int32(1))
			}
			f.checkEnded(t, start)
		})
	}
}

// Guards against a stream whose bytes are no events reaching the caller without end, or ending as complete.
func TestEndlessStreamsEndAsTruncated(t *testing.T) {
	t.Parallel()
	forEachSpeed(t, endlessStreams, func(t *testing.T, fault endless) {
		f := &faultyTargets{fault: fault, sound: soundAnswer(soundEvents), ended: make(chan struct{})}
		e, parts := newFaultyExecutor(t, f, plan.Stream, false)
		start := time.Now()
		reply, got, err := runFaulty(e)
		assert.Equal(t, reply.Status, 200)
		assert.ErrorContains(t, err, "exceeded the bound")
		assert.Assert(t, len(got) <= maxBytesWithoutEvent+readSize, "%d bytes reached the caller", len(got))
		assert.Equal(t, f.requests.Load(), int32(1))
		assert.Equal(t, len(parts.get()), 1, "%v", parts.get())
		f.checkEnded(t, start)
	})
}

// Guards against a resumable stream that ends where its engine began to send bytes that are no events.
func TestEndlessStreamsAreResumedElsewhere(t *testing.T) {
	t.Parallel()
	forEachSpeed(t, endlessStreams, func(t *testing.T, fault endless) {
		f := &faultyTargets{fault: fault, sound: soundAnswer(soundEvents), ended: make(chan struct{})}
		e, _ := newFaultyExecutor(t, f, plan.Stream, true)
		start := time.Now()
		_, got, err := runFaulty(e)
		f.checkEnded(t, start)
		if !fault.slow && slices.Contains([]string{"data: x\n", ":", "x"}, fault.repeat) && len(got) > maxHeldBytes {
			assert.ErrorContains(t, err, "exceeded the bound", "the caller has a part of an event, which nothing can follow")
			return
		}
		assert.NilError(t, err)
		var events string
		for line := range strings.Lines(strings.ReplaceAll(got, "event: ping\n", "")) {
			if !strings.HasPrefix(line, ":") && (line != "\n" || strings.HasSuffix(events, "data: a\n") || strings.HasSuffix(events, "data: b\n")) {
				events += line
			}
		}
		assert.Equal(t, events, soundEvents)
	})
}

// Guards against bytes behind a complete answer delaying it, or being taken for the next one.
func TestBytesAfterACompleteAnswerAreNotRead(t *testing.T) {
	t.Parallel()
	for name, begin := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks": chunkedHead + "5\r\nhello\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 204 None\r\n\r\n",
	} {
		forEachSpeed(t, map[string]endless{name: {begin: begin, repeat: "x"}}, func(t *testing.T, fault endless) {
			f := &faultyTargets{fault: fault, sound: soundAnswer("sound"), ended: make(chan struct{})}
			e, _ := newFaultyExecutor(t, f, plan.NonIdempotent, false)
			start := time.Now()
			_, got, err := runFaulty(e)
			assert.NilError(t, err)
			assert.Assert(t, got == "hello" || name == "empty" && got == "", "%q", got)
			assert.Assert(t, time.Since(start) < time.Second)
			time.Sleep(4 * trickleInterval) // until slow bytes arrive
			_, got, err = runFaulty(e)
			assert.NilError(t, err)
			assert.Equal(t, got, "sound")
			for !isClosed(f.ended) && time.Since(start) < maxFaultTime {
				e.Client.Prune(time.Now()) // as every second in a process
				time.Sleep(trickleInterval)
			}
			f.checkEnded(t, start)
		})
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against bounds on what is sound: large successes, long streams with pings, large events, and
// interim answers before an answer.
func TestSoundAnswersPassUnchanged(t *testing.T) {
	t.Parallel()
	var events strings.Builder
	for i := range 200_000 {
		_, _ = fmt.Fprintf(&events, ": ping\n\nevent: ping\n\nid: %d\nevent: token\ndata: {\"text\": \"some words\"}\n\n", i)
	}
	large := strings.Repeat("0123456789abcdef", 2<<20) // 32 MB
	for name, tc := range map[string]struct {
		kind plan.Kind
		head string
		body string
	}{
		"large success":            {plan.Idempotent, "HTTP/1.1 200 OK\r\n", large},
		"large success, run once":  {plan.NonIdempotent, "HTTP/1.1 200 OK\r\n", large},
		"large opaque stream":      {plan.Stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n", large},
		"long stream":              {plan.Stream, "HTTP/1.1 200 OK\r\n", events.String()},
		"large events":             {plan.Stream, "HTTP/1.1 200 OK\r\n", strings.Repeat("data: "+large[:2<<20]+"\n\n", 4)},
		"events without fields":    {plan.Stream, "HTTP/1.1 200 OK\r\n", "xyz\n\nid: 1\ndata: a\n\nxyz\n\n: ping\n\nxyz\n\n"},
		"answer after interim":     {plan.Idempotent, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 8) + "HTTP/1.1 200 OK\r\n", "answer"},
		"error of a common size":   {plan.NonIdempotent, "HTTP/1.1 404 No\r\n", large[:200<<10]},
		"error with trailer lines": {plan.NonIdempotent, "HTTP/1.1 404 No\r\n", "error"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := tc.head + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nX-T: 1\r\n\r\n", len(tc.body), tc.body)
			f := &faultyTargets{sound: answer}
			f.requests.Store(1) // no request gets an endless answer
			e, parts := newFaultyExecutor(t, f, tc.kind, false)
			_, got, err := runFaulty(e)
			assert.NilError(t, err)
			assert.Assert(t, got == tc.body, "%d bytes instead of %d", len(got), len(tc.body))
			assert.Equal(t, len(parts.get()), 0, "%v", parts.get())
		})
	}
}

// Guards against bounds that can't be left out for measurements.
func TestResponseBoundsCanBeLeftOut(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 8<<20)
	for _, status := range []string{"200 OK", "404 No"} {
		f := &faultyTargets{sound: fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s\n\n", status, len(body)+2, body)}
		f.requests.Store(1)
		e, parts := newFaultyExecutor(t, f, plan.Stream, false)
		e.LeaveOut, e.Client.Unbounded = leaveout.Of(leaveout.ResponseBounds), true
		_, got, err := runFaulty(e)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body)+2)
		assert.Equal(t, len(parts.get()), 0)
	}
}
