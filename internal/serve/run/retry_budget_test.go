package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// plainCodec sends a request's ID and takes every 503 as a refusal.
type plainCodec struct{}

func (plainCodec) RequestHeader(r *Request, _ AttemptInfo) []upstream.Header {
	return []upstream.Header{{Name: "Id", Value: r.ID}}
}

func (plainCodec) ForwardHeader(*Request, time.Duration) []upstream.Header { return nil }

// LivenessRequest returns none: the targets count every request as a run.
func (plainCodec) LivenessRequest(string, *plan.Service) (string, []upstream.Header) { return "", nil }

func (plainCodec) ReadBorn(io.Reader) int64 { return 0 }

func (plainCodec) ReadAnswer(h *fasthttp.ResponseHeader) AnswerInfo {
	return AnswerInfo{NotRun: h.StatusCode() == fasthttp.StatusServiceUnavailable, Signed: true}
}

// refusingTargets refuse every request. All connections but the first of each request are delayed.
type refusingTargets struct {
	// connectTime is how long, in nanoseconds, a connection takes that isn't the first of its request.
	connectTime atomic.Int64
	mu          sync.Mutex // guards what follows
	// arrivals has the times at which each request arrived.
	arrivals map[string][]time.Time
	// early targets answer before they have read the body.
	early bool
}

// dial connects to a target.
func (r *refusingTargets) dial(ctx context.Context, _ string) (net.Conn, error) {
	if ctx.Value(dialsKey{}).(*atomic.Int32).Add(1) > 1 {
		time.Sleep(time.Duration(r.connectTime.Load()))
	}
	ours, theirs := net.Pipe()
	go r.serve(theirs)
	return ours, nil
}

// dialsKey is the context key of the number of a request's connections.
type dialsKey struct{}

func (r *refusingTargets) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	r.mu.Lock()
	id := request.Header.Get("Id")
	r.arrivals[id] = append(r.arrivals[id], time.Now())
	r.mu.Unlock()
	if !r.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// Guards against retries that count when they are decided and not when they reach a target.
func TestRetriesWithSlowConnectionsStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rule := quota.Rule{Reserve: 20, Window: 10 * time.Second}
		targets := &refusingTargets{arrivals: map[string][]time.Time{}}
		targets.connectTime.Store(int64(9 * time.Second))
		e := newRetryingExecutor(rule, 4, targets.dial, plan.Idempotent)
		time.Sleep(3 * time.Second)
		var running sync.WaitGroup
		for i := range 60 {
			if i == 30 {
				time.Sleep(11500 * time.Millisecond)
				targets.connectTime.Store(0)
			}
			ctx := context.WithValue(context.Background(), dialsKey{}, &atomic.Int32{})
			running.Go(func() {
				e.Run(ctx, &Request{ID: fmt.Sprint("id-", i), Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: time.Now()})
			})
		}
		running.Wait()
		var retries []time.Time
		for _, times := range targets.arrivals {
			retries = append(retries, times[1:]...)
		}
		assert.Assert(t, len(retries) > 0)
		for _, from := range retries {
			within := 0
			for _, at := range retries {
				if !at.Before(from) && at.Sub(from) < rule.Window {
					within++
				}
			}
			assert.Assert(t, float64(within) <= rule.Reserve, "%d retries arrived in a window, %.0f allowed", within, rule.Reserve)
		}
	})
}

// Guards against retries that never count because their target rejects them before it has read their body.
func TestRetriesRejectedBeforeTheirBodyIsReadStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rule := quota.Rule{Reserve: 20, Window: 10 * time.Second}
		targets := &refusingTargets{arrivals: map[string][]time.Time{}, early: true}
		e := newRetryingExecutor(rule, 4, targets.dial, plan.Idempotent)
		time.Sleep(3 * time.Second)
		for i := range 60 {
			ctx := context.WithValue(context.Background(), dialsKey{}, &atomic.Int32{})
			e.Run(ctx, &Request{
				ID: fmt.Sprint("id-", i), Host: "h", Path: "/x", URI: "/x", Method: "POST", Body: make([]byte, 64<<10), Arrived: time.Now(),
			})
		}
		retries := 0
		for _, times := range targets.arrivals {
			retries += len(times) - 1
		}
		assert.Assert(t, retries > 0)
		assert.Assert(t, float64(retries) <= rule.Reserve, "%d retries arrived in a window, %.0f allowed", retries, rule.Reserve)
	})
}

// newRetryingExecutor returns an executor of a service whose requests may be retried.
func newRetryingExecutor(rule quota.Rule, targets int, dial conns.DialFunc, kind plan.Kind) *Executor {
	now := time.Now()
	table := pool.New(zap.NewNop())
	var entries []pool.Entry
	for i := range targets {
		entries = append(entries, pool.Entry{ID: fmt.Sprint("t-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Slots: 8, State: pool.Ready, Revision: 1})
	}
	table.Reset(entries, 1, now)
	plans := &plan.Holder{}
	plans.Apply(&plan.Plan{
		Version: 1, Services: []plan.Service{{Name: "s"}},
		Routes: []plan.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: true, Attempts: 10, Timeout: time.Minute, Public: true, Split: []plan.Share{{Service: "s", Weight: 1}},
		}},
	})
	return &Executor{
		Log: zap.NewNop(), Plans: plans, Table: table, Codec: plainCodec{}, Budget: quota.New(rule, now),
		Client: &upstream.Client{Dial: dial},
	}
}

// cutTarget answers each request with a stream that it cuts inside its second event.
type cutTarget struct{ arrivals atomic.Int32 }

func (c *cutTarget) dial(context.Context, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
			return
		}
		c.arrivals.Add(1)
		_, _ = io.WriteString(theirs, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: a\n\nid: 2\ndat")
	}()
	return ours, nil
}

// Guards against a stream that is resumed again and again without being sent, until its deadline.
func TestStreamThatNoTargetResumesEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &cutTarget{}
		e := newRetryingExecutor(quota.Rule{Reserve: 50, Window: 10 * time.Second}, 2, target.dial, plan.Stream)
		time.Sleep(3 * time.Second)
		start := time.Now()
		reply := e.Run(context.Background(), &Request{ID: "id", Host: "h", Path: "/x", URI: "/x", Method: "GET", Arrived: start})
		_, err := io.ReadAll(reply.Answer.Body)
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(start) < time.Second, "ended after %v", time.Since(start))
		assert.Equal(t, target.arrivals.Load(), int32(2), "each target is tried once")
		assert.Equal(t, e.Budget.RetriesSpent("s", time.Now()), 1)
	})
}
