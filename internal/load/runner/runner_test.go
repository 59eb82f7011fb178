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

// slowEntry answers each service call after a pause, and itself as the only
// entry VM.
func slowEntry(t *testing.T, pause time.Duration, atOnce *atomic.Int64) string {
	t.Helper()
	var server *httptest.Server
	var running atomic.Int64
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/entries" {
			own := strings.TrimPrefix(server.URL, "http://")
			_ = json.NewEncoder(w).Encode(caller.EntriesAnswer{Entries: []caller.Entry{{Address: own}}, TTLMS: 60_000})
			return
		}
		atOnce.Store(max(atOnce.Load(), running.Add(1)))
		defer running.Add(-1)
		time.Sleep(pause)
		_, _ = w.Write([]byte(r.URL.Path))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func planOf(count int, every time.Duration) []PlannedCall {
	var plan []PlannedCall
	for i := range count {
		plan = append(plan, PlannedCall{At: time.Duration(i) * every, Call: caller.Call{
			Kind: caller.KindService, Service: "s", Method: http.MethodGet, Path: "/[ref:r]", Ref: "r", Timeout: 5 * time.Second,
		}})
	}
	return plan
}

// The system is slower than the arrivals. A tool that waited for each answer
// would send less and show a good latency; people keep coming all the same.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{slowEntry(t, 200*time.Millisecond, &atOnce)})
	defer entry.Close()
	var progress Progress
	results := Run(context.Background(), []*caller.Caller{entry}, planOf(20, 5*time.Millisecond), time.Now(), &progress)
	assert.Equal(t, len(results), 20)
	for _, r := range results {
		assert.Equal(t, r.Outcome, caller.Answered, r.Detail)
	}
	assert.Assert(t, atOnce.Load() >= 10, "at once: %d", atOnce.Load())
	assert.Equal(t, progress.Completed.Load(), int64(20))
}

// The load tool itself stood still. What its requests waited for is part of
// their latency.
func TestLatencyCountsFromTheSchedule(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{slowEntry(t, 0, &atOnce)})
	defer entry.Close()
	late := time.Now().Add(-time.Second)
	results := Run(context.Background(), []*caller.Caller{entry}, planOf(1, 0), late, &Progress{})
	assert.Assert(t, results[0].Latency >= time.Second)
	assert.Assert(t, results[0].SendDelay >= time.Second)
}

func TestCancelledRunLeavesTheRestOut(t *testing.T) {
	var atOnce atomic.Int64
	entry := caller.New([]string{slowEntry(t, 0, &atOnce)})
	defer entry.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	results := Run(ctx, []*caller.Caller{entry}, planOf(3, time.Hour), time.Now(), &Progress{})
	assert.Equal(t, len(results), 0)
}
