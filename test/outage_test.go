package test

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// failedCalls returns the number of failed calls at the targets of a stage, from the metrics of the entry
// VMs.
func (c *cluster) failedCalls(stage string) int {
	c.t.Helper()
	line := regexp.MustCompile(`vanillagate_target_failures_total\{stage="` + stage + `"\} (\d+)`)
	total := 0
	for _, e := range c.entries {
		resp, err := client.Get("http://" + e.address + "/metrics")
		assert.NilError(c.t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		assert.NilError(c.t, err)
		if found := line.FindSubmatch(body); found != nil {
			n, err := strconv.Atoi(string(found[1]))
			assert.NilError(c.t, err)
			total += n
		}
	}
	return total
}

// executionsIn returns the number of executions in a pool.
func (c *cluster) executionsIn(pool string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Pool == pool {
			n++
		}
	}
	return n
}

// outage describes how a whole pool fails, and how the calls at its targets are counted.
type outage struct {
	name, pool string
	fault      fault.Fault
	calls      func(c *cluster) int
	request    func(n int64) request
}

func quoteRequest(n int64) request { return pipelineRequest(fmt.Sprint("o", n), 4) }

func countExecutions(pool string) func(*cluster) int {
	return func(c *cluster) int { return c.executionsIn(pool) }
}

func countFailedCalls(stage string) func(*cluster) int {
	return func(c *cluster) int { return c.failedCalls(stage) }
}

var outages = []outage{
	{"a stage loses its answers", "reranker", fault.Fault{LoseAnswerShare: 1}, countExecutions("reranker"), quoteRequest},
	{"a stage refuses", "reranker", fault.Fault{Refuse: true}, countFailedCalls("rerank"), quoteRequest},
	{"all engines lose their answers", "llm", fault.Fault{LoseAnswerShare: 1}, countExecutions("llm"), quoteRequest},
	{"all engines refuse", "llm", fault.Fault{Refuse: true}, countFailedCalls("generate"), quoteRequest},
	{"a service loses its answers", "booking", fault.Fault{LoseAnswerShare: 1}, countExecutions("booking"), func(n int64) request { return lookupRequest(fmt.Sprint("o", n)) }},
	{"a service refuses", "booking", fault.Fault{Refuse: true}, countFailedCalls("booking"), func(n int64) request { return lookupRequest(fmt.Sprint("o", n)) }},
}

const (
	outageRate   = 30 // requests per second at each entry VM
	outageLength = 6 * time.Second
)

// loadFactor returns the number of calls at the targets of a failed pool per request that callers sent during
// the outage.
func loadFactor(t *testing.T, o outage, policy string) float64 {
	t.Helper()
	c := startCluster(t, clusterOptions{flags: []string{"--policy", policy}})
	d := &rateLoad{units: 1, request: o.request}
	startRateLoad(c, d, []float64{outageRate, outageRate, outageRate}, func(place int) string { return c.entries[place].address })
	waitFor(t, "answers before the outage", func() bool { return len(d.admittedBetween(time.Now().Add(-forever), 2*forever)) > 100 })
	c.setFault(fault.PoolScope(o.pool), o.fault)
	sent, calls := d.sent.Load(), o.calls(c)
	<-time.After(outageLength)
	d.stop()
	sent, calls = d.sent.Load()-sent, o.calls(c)-calls
	factor := float64(calls) / float64(sent)
	t.Logf("OUTAGE | %s | %s | %d requests | %d calls | %.2f |", o.name, policy, sent, calls, factor)
	return factor
}

// All targets of a pool fail. Every retry adds to their load, which can grow up to fourfold and keep them from
// recovering. Therefore all failing requests must share one retry budget. The run without a budget shows that
// the test would notice.
func TestRetriesDoNotMultiplyAnOutage(t *testing.T) {
	t.Parallel()
	for _, o := range outages {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, loadFactor(t, o, "present") <= 1.2)
			assert.Assert(t, loadFactor(t, o, "retry-without-budget") > 1.2)
		})
	}
}

// forever is longer than any test.
const forever = 24 * time.Hour
