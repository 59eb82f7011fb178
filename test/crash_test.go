package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

const crashMarker = "[crash]"

// crashingRequest is a request that crashes each engine that runs it.
func crashingRequest(ref, key string) request {
	return request{
		path:    "/v1/pipelines/quote",
		body:    fmt.Sprintf(`{"input":"poison %s [ref:%s]","max_tokens":8}`, crashMarker, ref),
		key:     key,
		timeout: 20 * time.Second,
	}
}

// engineCrashes counts the crashes of engines so far.
func (c *cluster) engineCrashes() int {
	c.t.Helper()
	resp, err := client.Get("http://" + c.controlAddress + "/summary")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var pools map[string]count.PoolSummary
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&pools))
	return pools["llm"].Crashes
}

// assertCrashRefusal checks the final answer to a crashing request: it names
// the cause and doesn't ask for a retry.
func assertCrashRefusal(t *testing.T, got reply) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, "%s", got.body)
	assert.Equal(t, got.problem.Title, "Request crashes its targets")
	assert.Equal(t, got.problem.RetryAfterMS, int64(0))
}

// A customer sends a request that crashes whichever engine runs it. Retried on
// one engine after another, it would bring down the pool and fail all other
// requests there. The sender must get a final answer after two crashes, and all
// other requests must be answered, a little later.
func TestCrashingRequestCostsTwoTargets(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	c.setFault(fault.PoolScope("llm"), fault.Fault{CrashMarker: crashMarker, RestartMS: 4000})
	const each = 6
	others := make([]reply, each*len(c.entries))
	streams := make([]streamResult, len(c.entries))
	var running sync.WaitGroup
	for i, e := range c.entries {
		for j := range each {
			r := pipelineRequest(fmt.Sprintf("I%d-%d", i, j), 400)
			r.timeout = 20 * time.Second
			running.Go(func() { others[i*each+j] = sendNow(e.address, r) })
		}
		running.Go(func() { streams[i] = stream(context.Background(), e.address, fmt.Sprintf("S%d", i), 400, nil) })
	}
	waitFor(t, "the other requests to be at the engines", func() bool {
		return c.running("llm") == len(others)+len(streams)
	})
	refused := sendNow(c.entries[0].address, crashingRequest("P", "key-1"))
	assertCrashRefusal(t, refused)
	assert.Equal(t, refused.problem.Execution, problem.Unknown)
	assert.Assert(t, refused.took < 3*time.Second, "the final answer took %s", refused.took)
	running.Wait()
	for i, got := range others {
		assert.Equal(t, got.output(t), wholeText(fmt.Sprintf("I%d-%d", i/each, i%each), 400))
	}
	for i, got := range streams {
		assert.NilError(t, got.err)
		assert.Assert(t, got.problem == nil, "%v", got.problem)
		assert.Equal(t, got.text, wholeText(fmt.Sprintf("S%d", i), 400))
	}
	assert.Equal(t, c.engineCrashes(), 2)
	slowest := time.Duration(0)
	for _, got := range others {
		slowest = max(slowest, got.took)
	}
	t.Logf("final answer after %s, slowest of %d other requests %s", refused.took, len(others), slowest)

	// The sender tries again elsewhere, under a new key.
	for i, e := range c.entries {
		again := sendNow(e.address, crashingRequest("P", fmt.Sprintf("key-%d", i+2)))
		assertCrashRefusal(t, again)
		assert.Equal(t, again.problem.Execution, problem.NotRun)
		assert.Assert(t, again.took < 500*time.Millisecond, "recognized after %s", again.took)
	}
	assert.Equal(t, c.engineCrashes(), 2)
}

// running counts the executions of a pool that have not ended.
func (c *cluster) running(pool string) int {
	c.t.Helper()
	n := 0
	for _, e := range c.executions() {
		if e.Pool == pool && !e.Finished && !e.Cancelled {
			n++
		}
	}
	return n
}

// A caller sends the same crashing request to two entry VMs at once, and it
// takes a while until it crashes its engine. Both copies are at engines before
// either VM knows of a crash, and each VM alone sees one engine die. If each VM
// retried on its own, the pool would lose four engines.
func TestCrashingRequestAtTwoEntryVMsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	f := fault.Fault{CrashMarker: crashMarker, RestartMS: 2000}
	for round := range 4 {
		// Rounds differ in how long the engine runs before it crashes.
		f.DelayMS = 100 * round
		c.setFault(fault.PoolScope("llm"), f)
		before := c.engineCrashes()
		ref := fmt.Sprintf("P%d", round)
		got := make([]reply, 2)
		var both sync.WaitGroup
		for i := range got {
			both.Go(func() {
				time.Sleep(time.Duration(round*i) * 30 * time.Millisecond) // stagger the senders
				got[i] = sendNow(c.entries[i].address, crashingRequest(ref, fmt.Sprintf("%s-%d", ref, i)))
			})
		}
		both.Wait()
		for _, g := range got {
			assertCrashRefusal(t, g)
			assert.Assert(t, g.took < 4*time.Second, "the final answer took %s", g.took)
		}
		assertCrashRefusal(t, sendNow(c.entries[2].address, crashingRequest(ref, ref+"-again")))
		lost := c.engineCrashes() - before
		t.Logf("engine dies after %d ms: %d engines lost, answers after %s and %s", f.DelayMS, lost, got[0].took, got[1].took)
		assert.Assert(t, lost <= 2, "%d engines lost in round %d", lost, round)
		waitFor(t, "all engines to run again", func() bool { return c.enginesUp() == 4 })
	}
}

// enginesUp counts the engines that answer health checks.
func (c *cluster) enginesUp() int {
	up := 0
	for _, address := range c.targets("llm") {
		if httpOK("http://" + address + "/health") {
			up++
		}
	}
	return up
}

// An engine goes down once, for an unrelated reason, while it runs a request.
// The request must be answered, and must be served like any other when it is
// sent again, also through other entry VMs.
func TestRequestOnCrashedEngineIsRetriedAndCleared(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	got := make(chan reply)
	r := pipelineRequest("Q", 600)
	r.timeout = 20 * time.Second
	go func() { got <- sendNow(c.entries[0].address, r) }()
	victim := ""
	waitFor(t, "the request to be at an engine", func() bool {
		for _, e := range c.executions() {
			if e.Pool == "llm" {
				victim = e.Target
			}
		}
		return victim != ""
	})
	c.setFault(fault.TargetScope(victim), fault.Fault{Down: true})
	first := <-got
	assert.Equal(t, first.output(t), wholeText("Q", 600))
	for _, e := range c.entries {
		assert.Equal(t, sendNow(e.address, r).output(t), wholeText("Q", 600))
	}
}

// Guards against a document that crashes engine after engine because no two requests with it are alike.
func TestDocumentThatCrashesEnginesIsStopped(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	ask := func(vm, n int, ref string) reply {
		r := pipelineRequest(ref, 8)
		r.body = fmt.Sprintf(`{"input":"question %d [ref:%s]","max_tokens":8}`, n, ref)
		r.timeout = 10 * time.Second
		return sendNow(c.entries[vm].address, r)
	}
	for n := range 6 {
		assert.Equal(t, ask(n%len(c.entries), n, "Q").output(t), wholeText("Q", 8))
	}
	c.setFault(fault.PoolScope("llm"), fault.Fault{CrashMarker: "doc 1 for [ref:P]", RestartMS: 1000})
	var fifth time.Time
	before := 0
	for n := range 16 {
		ask(n%len(c.entries), n, "P")
		time.Sleep(500 * time.Millisecond)
		if fifth.IsZero() && c.engineCrashes() >= 5 {
			fifth = time.Now()
		}
		if fifth.IsZero() || time.Since(fifth) < 3*time.Second {
			before = c.engineCrashes()
		}
	}
	assert.Assert(t, !fifth.IsZero())
	after := c.engineCrashes() - before
	t.Logf("%d engines crashed, %d of them late", before+after, after)
	assert.Assert(t, after <= 3, "%d engines crashed late", after)
	refused, crashed := 0, c.engineCrashes()
	for n := range 12 {
		got := ask(n%len(c.entries), 100+n, "P")
		if got.status == http.StatusUnprocessableEntity {
			assertCrashRefusal(t, got)
			refused++
			continue
		}
		assert.Equal(t, got.output(t), wholeText("P", 8)) // the document isn't among those chosen for it
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, c.engineCrashes(), crashed)
	for i := range c.entries {
		assert.Equal(t, ask(i, 100+i, "Q").output(t), wholeText("Q", 8))
	}
}
