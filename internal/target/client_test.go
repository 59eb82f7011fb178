package target

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// server counts the calls and connections that it receives.
type server struct {
	*httptest.Server
	calls, connections atomic.Int64
}

func startServer(t *testing.T, handle func(w http.ResponseWriter, r *http.Request)) *server {
	t.Helper()
	s := &server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		handle(w, r)
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			s.connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *server) call(attempt int) Call {
	return Call{
		Address: strings.TrimPrefix(s.URL, "http://"), Method: "POST", Path: "/x",
		Identity: Identity{Request: "r", Stage: "s", Attempt: attempt},
	}
}

// A target answers each call with the answer to the one before. Such an answer
// must not be used and the connection must be closed, as every later call on it
// would get the answer to the one before.
func TestConnectionIsClosedAfterAnswerWithWrongIdentity(t *testing.T) {
	var mu sync.Mutex
	last := "r/s/0"
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set(targetapi.HeaderRequestID, last)
		last = r.Header.Get(targetapi.HeaderRequestID)
	})
	client := NewClient(1 << 20)
	for i := range 3 {
		_, err := client.Do(t.Context(), s.call(i+1))
		var f *Failure
		assert.Assert(t, errors.As(err, &f))
		assert.Equal(t, f.Kind, FailedIdentity)
		assert.Equal(t, f.Execution, problem.Unknown)
	}
	assert.Equal(t, s.connections.Load(), int64(3))
}

// A target sends two answers to one call. The second must not be read as the
// answer to the next call.
func TestExtraAnswerOnKeptConnectionIsNotRead(t *testing.T) {
	extra := make(chan struct{}, 1)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.NilError(t, err)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + targetapi.HeaderRequestID + ": " + r.Header.Get(targetapi.HeaderRequestID) + "\r\n\r\n1"
		_, _ = conn.Write([]byte(answer))
		_, _ = conn.Write([]byte(strings.Replace(answer, "r/s/1", "r/s/2", 1)))
		extra <- struct{}{}
	})
	client := NewClient(1 << 20)
	for i := range 2 {
		_, err := client.Do(t.Context(), s.call(i+1))
		assert.NilError(t, err)
		<-extra
	}
	assert.Equal(t, s.calls.Load(), int64(2))
}

// A process was suspended between its claim and sending the call, and its
// context does not yet report that the deadline has passed. Nothing may be
// sent.
func TestCallIsNotSentAfterDeadlineByEitherClock(t *testing.T) {
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(targetapi.HeaderRequestID, r.Header.Get(targetapi.HeaderRequestID))
	})
	now := time.Now()
	tests := []struct {
		name     string
		deadline time.Time
		before   time.Time
		sent     bool
	}{
		{"in time", now.Add(time.Minute), now.Add(time.Minute), true},
		{"no limit besides the deadline", now.Add(time.Minute), time.Time{}, true},
		{"deadline passed", now.Add(-time.Second), time.Time{}, false},
		{"deadline passed by the wall clock alone", now.Round(0).Add(-time.Second), time.Time{}, false},
		{"limit passed", now.Add(time.Minute), now.Add(-time.Second), false},
		{"limit passed by the wall clock alone", now.Add(time.Minute), now.Round(0).Add(-time.Second), false},
	}
	for i, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			before := s.calls.Load()
			call := s.call(i)
			call.SendBefore = tc.before
			_, err := NewClient(1<<20).Do(lateContext{t.Context(), tc.deadline}, call)
			assert.Equal(t, s.calls.Load()-before, map[bool]int64{true: 1}[tc.sent])
			if tc.sent {
				assert.NilError(t, err)
				return
			}
			var f *Failure
			assert.Assert(t, errors.As(err, &f))
			assert.Equal(t, f.Kind, FailedTimeout)
			assert.Equal(t, f.Execution, problem.NotRun)
		})
	}
}

// lateContext is a context that does not yet report that its deadline has
// passed.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (s lateContext) Deadline() (time.Time, bool) { return s.deadline, true }

func TestConfirmsNotRun(t *testing.T) {
	tests := []struct {
		name   string
		answer Answer
		want   bool
	}{
		{"the target's own 503", Answer{Status: 503, HasIdentity: true}, true},
		{"the target's own 429", Answer{Status: 429, HasIdentity: true}, true},
		{"a proxy's 503", Answer{Status: 503, ContentType: "text/html"}, false},
		{"a proxy's 502", Answer{Status: 502}, false},
		{"a problem that says so", Answer{Status: 503, ContentType: problem.ContentType, Body: []byte(`{"execution":"not_run"}`)}, true},
		{"a problem that says otherwise", Answer{Status: 503, HasIdentity: true, ContentType: problem.ContentType, Body: []byte(`{"execution":"unknown"}`)}, false},
		{"the target's own 500", Answer{Status: 500, HasIdentity: true}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.answer.ConfirmsNotRun(), tc.want) })
	}
}

// Guards against giving up a withdrawn call before it shows whether its target survives.
func TestWithdrawnCallIsReadUntilItsTargetEndsIt(t *testing.T) {
	const shutdownTime = 100 * time.Millisecond
	left := make(chan time.Time, 1)
	started := make(chan struct{})
	s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		left <- time.Now()
		time.Sleep(shutdownTime)
		panic(http.ErrAbortHandler)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-started
		cancel(ErrWithdrawn)
	}()
	_, err := NewClient(1<<20).Do(ctx, s.call(1))
	ended := time.Now()
	assert.Assert(t, err != nil)
	took := ended.Sub(<-left)
	assert.Assert(t, took >= shutdownTime, "ended %s after the target was told", took)
}
