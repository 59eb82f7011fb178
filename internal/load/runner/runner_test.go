package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/caller"
)

// startSlowEntry starts a server that answers service calls after a pause and
// lists itself as the only entry VM. It records the maximum number of concurrent
// calls.
func startSlowEntry(t *testing.T, pause time.Duration, maxInFlight *atomic.Int64) string {
	t.Helper()
	var server *httptest.Server
	var inFlight atomic.Int64
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			own := strings.TrimPrefix(server.URL, "http://")
			_ = json.NewEncoder(w).Encode(caller.EntriesAnswer{Entries: []caller.Entry{{Address: own}}, TTLMS: 60_000})
			return
		}
		maxInFlight.Store(max(maxInFlight.Load(), inFlight.Add(1)))
		defer inFlight.Add(-1)
		time.Sleep(pause)
		_, _ = w.Write([]byte(r.URL.Path))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newPlan(count int, every time.Duration) []PlannedCall {
	var plan []PlannedCall
	for i := range count {
		plan = append(plan, PlannedCall{At: time.Duration(i) * every, Call: caller.Call{
			Kind: caller.KindService, Service: "s", Method: http.MethodGet, Path: "/[ref:r]", Ref: "r", Timeout: 5 * time.Second,
		}})
	}
	return plan
}

// Calls arrive faster than the system answers. A load tool that waited for answers
// would send fewer calls and measure too low a latency, while real callers don't
// wait for each other.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{startSlowEntry(t, 200*time.Millisecond, &atOnce)})
	defer entry.Close()
	var progress Progress
	results := Run(context.Background(), []*caller.Caller{entry}, newPlan(20, 5*time.Millisecond), time.Now(), &progress)
	assert.Equal(t, len(results), 20)
	for _, r := range results {
		assert.Equal(t, r.Outcome, caller.Answered, r.Detail)
	}
	assert.Assert(t, atOnce.Load() >= 10, "in flight: %d", atOnce.Load())
	assert.Equal(t, progress.Completed.Load(), int64(20))
}

// The load tool sends a call late. The delay must be part of the latency.
func TestLatencyIncludesSendDelay(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{startSlowEntry(t, 0, &atOnce)})
	defer entry.Close()
	late := time.Now().Add(-time.Second)
	results := Run(context.Background(), []*caller.Caller{entry}, newPlan(1, 0), late, &Progress{})
	assert.Assert(t, results[0].Latency >= time.Second)
	assert.Assert(t, results[0].SendDelay >= time.Second)
}

func TestCancelledRunSendsNoFurtherCalls(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{startSlowEntry(t, 0, &atOnce)})
	defer entry.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	results := Run(ctx, []*caller.Caller{entry}, newPlan(3, time.Hour), time.Now(), &Progress{})
	assert.Equal(t, len(results), 0)
}
