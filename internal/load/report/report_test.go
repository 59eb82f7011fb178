package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/caller"
	"github.com/vanillagate/vanillagate/internal/load/check"
	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/problem"
)

func TestPercentiles(t *testing.T) {
	var all []time.Duration
	for i := range 1000 {
		all = append(all, time.Duration(i+1)*time.Millisecond)
	}
	got := Percentiles(all)
	assert.Equal(t, got.Count, int64(1000))
	for _, c := range []struct{ got, want float64 }{{got.P50, 500}, {got.P95, 950}, {got.P99, 990}, {got.Max, 1000}} {
		assert.Assert(t, c.got > c.want*0.998 && c.got < c.want*1.002, "%v, want %v", c.got, c.want)
	}
	assert.Equal(t, Percentiles(nil), Latency{})
	assert.Assert(t, Percentiles([]time.Duration{time.Hour, -1}).Max > 0)
}

var scheduled = time.Unix(1_000_000, 0)

func resultOf(key string, at, latency time.Duration, outcome caller.Outcome) caller.Result {
	r := caller.Result{ScheduledOffset: at, Latency: latency, Outcome: outcome}
	r.Call = caller.Call{Customer: "c-" + key[:1], IdempotencyKey: key, Timeout: time.Second, Scheduled: scheduled.Add(at)}
	if outcome == caller.Answered {
		r.Finding = check.Complete
	}
	return r
}

func results() []caller.Result {
	refused := resultOf("b2", 3*time.Second, time.Millisecond, caller.Refused)
	refused.Status, refused.Execution = 429, problem.NotRun
	poison := resultOf("b3", 3*time.Second, time.Minute, caller.Lost)
	poison.Call.Poison = true
	return []caller.Result{
		resultOf("a1", 0, 100*time.Millisecond, caller.Answered),
		resultOf("a2", time.Second, 2*time.Second, caller.Answered),
		resultOf("b1", 2*time.Second, 3*time.Second, caller.Lost),
		refused, poison,
	}
}

func TestSummarize(t *testing.T) {
	executions := []control.Execution{
		{IdempotencyKey: "a1", Pool: "llm", EngineUS: 300, Customer: "c-a", Finished: true, Path: "/v1/completions", PromptTokens: 40, CachedTokens: 10},
		{IdempotencyKey: "a2", Pool: "enc", EngineUS: 100, Customer: "c-a"},
	}
	s := Summarize(results(), executions)
	assert.Equal(t, s.ResultLine(), "attainment=0.2500 requests=4 answered=2 lost=1 doubled=0 crossed=0")
	assert.Equal(t, s.Cost, 400.0)
	assert.Equal(t, s.ByPool["llm"], int64(300))
	assert.Equal(t, s.UnfinishedUS, int64(100))
	assert.Equal(t, s.CachedShare, 0.25)
	assert.Equal(t, s.Poison, 1)
	assert.Equal(t, len(s.ByCustomer), 2)
	assert.Equal(t, s.ByCustomer[0].Attainment, 0.5)
	assert.Equal(t, s.ByCustomer[0].Executions, 2)
	assert.Equal(t, s.Errors["refused 429 not_run"], 1)
	assert.Assert(t, s.Latency.Max < 3100, "poison requests must be excluded from the latency")
}

func TestTimelineGroupsByScheduledTime(t *testing.T) {
	points := Timeline(results(), 4*time.Second)
	sent, inTime := 0, 0
	for _, p := range points {
		sent += p.Requests
		inTime += p.InTime
	}
	assert.Equal(t, sent, 4)
	assert.Equal(t, inTime, 1)
	assert.Equal(t, points[5].Requests, 1)
	assert.Equal(t, points[5].Second, 1.1)
	assert.Equal(t, len(Timeline(nil, time.Second)), 0)
}

func TestCSVHasOneRowForEachRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "new", "r.csv")
	assert.NilError(t, WriteCSV(file, results()))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	assert.Equal(t, len(lines), 1+len(results()))
	assert.Assert(t, strings.Contains(lines[4], "refused") && strings.Contains(lines[4], "429"), lines[4])
}

func TestChartsAreSVG(t *testing.T) {
	bars, err := Bars("t", "y", BarChart{Labels: []string{"x1", "x2"}, Groups: []Series{{Name: "p", Y: []float64{1, 2}}}})
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(bars, "<svg"))
	lines, err := Lines("t", "x", "y", []Series{{Name: "p", X: []float64{1, 2}, Y: []float64{0, 1}}, {Name: "none"}})
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(lines, "<svg"))
}
