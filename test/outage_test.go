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

// failedCalls counts the calls at targets of a stage that failed, by what the
// entry VMs say themselves.
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

// ranIn counts the executions of a pool.
func (c *cluster) ranIn(pool string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Pool == pool {
			n++
		}
	}
	return n
}

// outage is how a whole pool fails, and how calls at it are counted.
type outage struct {
	name, pool string
	fault      fault.Fault
	calls      func(c *cluster) int
	request    func(n int64) request
}

func quote(n int64) request { return pipelineRequest(fmt.Sprint("o", n), 4) }

func ranAt(pool string) func(*cluster) int { return func(c *cluster) int { return c.ranIn(pool) } }

func failedAt(stage string) func(*cluster) int {
	return func(c *cluster) int { return c.failedCalls(stage) }
}

var outages = []outage{
	{"a stage loses its answers", "reranker", fault.Fault{LoseAnswerShare: 1}, ranAt("reranker"), quote},
	{"a stage refuses", "reranker", fault.Fault{Refuse: true}, failedAt("rerank"), quote},
	{"all engines lose their answers", "llm", fault.Fault{LoseAnswerShare: 1}, ranAt("llm"), quote},
	{"all engines refuse", "llm", fault.Fault{Refuse: true}, failedAt("generate"), quote},
	{"a service loses its answers", "booking", fault.Fault{LoseAnswerShare: 1}, ranAt("booking"), func(n int64) request { return lookupRequest(fmt.Sprint("o", n)) }},
	{"a service refuses", "booking", fault.Fault{Refuse: true}, failedAt("booking"), func(n int64) request { return lookupRequest(fmt.Sprint("o", n)) }},
}

const (
	outageRate   = 30 // requests a second at each entry VM
	outageLength = 6 * time.Second
)

// loadFactor is how many calls the targets of a failed pool get for each
// request of the callers that can have come so far.
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

// All targets of a pool fail. Every request that is tried again makes the load
// on them larger, by up to four times, and keeps them from coming back. Retries
// must come out of a budget that all that fail share. The baseline shows what
// it is without.
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
