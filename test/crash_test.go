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

// poison is a request that brings down each engine that runs it.
func poison(ref, key string) request {
	return request{
		path:    "/v1/pipelines/quote",
		body:    fmt.Sprintf(`{"input":"poison %s [ref:%s]","max_tokens":8}`, crashMarker, ref),
		key:     key,
		timeout: 20 * time.Second,
	}
}

// crashes counts the deaths of engines so far.
func (c *cluster) crashes() int {
	c.t.Helper()
	resp, err := client.Get("http://" + c.controlAddress + "/summary")
	assert.NilError(c.t, err)
	defer func() { _ = resp.Body.Close() }()
	var pools map[string]count.PoolSummary
	assert.NilError(c.t, json.NewDecoder(resp.Body).Decode(&pools))
	return pools["llm"].Crashes
}

// wantConviction checks a final answer: it says what happened and doesn't ask
// for another try.
func wantConviction(t *testing.T, got reply) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusUnprocessableEntity, "%s", got.body)
	assert.Equal(t, got.problem.Title, "Request crashes its targets")
	assert.Equal(t, got.problem.RetryAfterMS, int64(0))
}

// A customer sends a request that makes an engine crash, whichever engine runs
// it. Sent on and on from one engine to the next it would bring down the pool,
// and with it the requests of everybody who was served there. The sender is to
// get a final answer, and all others theirs, a little later.
func TestCrashingRequestCostsTwoTargets(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	c.setFault(fault.PoolScope("llm"), fault.Fault{CrashMarker: crashMarker, RestartMS: 4000})
	const each = 6
	innocent := make([]reply, each*len(c.entries))
	streams := make([]streamed, len(c.entries))
	var running sync.WaitGroup
	for i, e := range c.entries {
		for j := range each {
			r := pipelineRequest(fmt.Sprintf("I%d-%d", i, j), 400)
			r.timeout = 20 * time.Second
			running.Go(func() { innocent[i*each+j] = sendNow(e.address, r) })
		}
		running.Go(func() { streams[i] = stream(context.Background(), e.address, fmt.Sprintf("S%d", i), 400, nil) })
	}
	waitFor(t, "the innocent requests to be at the engines", func() bool {
		return c.running("llm") == len(innocent)+len(streams)
	})
	guilty := sendNow(c.entries[0].address, poison("P", "key-1"))
	wantConviction(t, guilty)
	assert.Equal(t, guilty.problem.Execution, problem.Unknown)
	assert.Assert(t, guilty.took < 3*time.Second, "the final answer took %s", guilty.took)
	running.Wait()
	for i, got := range innocent {
		assert.Equal(t, got.output(t), wholeText(fmt.Sprintf("I%d-%d", i/each, i%each), 400))
	}
	for i, got := range streams {
		assert.NilError(t, got.err)
		assert.Assert(t, got.problem == nil, "%v", got.problem)
		assert.Equal(t, got.text, wholeText(fmt.Sprintf("S%d", i), 400))
	}
	assert.Equal(t, c.crashes(), 2)
	slowest := time.Duration(0)
	for _, got := range innocent {
		slowest = max(slowest, got.took)
	}
	t.Logf("final answer after %s, slowest of %d innocent requests %s", guilty.took, len(innocent), slowest)

	// The sender tries again elsewhere, under a new key.
	for i, e := range c.entries {
		again := sendNow(e.address, poison("P", fmt.Sprintf("key-%d", i+2)))
		wantConviction(t, again)
		assert.Equal(t, again.problem.Execution, problem.NotRun)
		assert.Assert(t, again.took < 500*time.Millisecond, "recognized after %s", again.took)
	}
	assert.Equal(t, c.crashes(), 2)
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

// An impatient sender has the request at two entry VMs at the same moment, and
// it takes a while until it brings its engine down. Both copies are at engines
// before anybody knows of it; each entry VM alone sees one engine die. Were
// each to try again, the pool would lose four.
func TestCrashingRequestAtTwoEntryVMsAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	f := fault.Fault{CrashMarker: crashMarker, RestartMS: 2000}
	for round := range 4 {
		// Rounds differ in how long the engine lives.
		f.DelayMS = 100 * round
		c.setFault(fault.PoolScope("llm"), f)
		before := c.crashes()
		ref := fmt.Sprintf("P%d", round)
		got := make([]reply, 2)
		var both sync.WaitGroup
		for i := range got {
			both.Go(func() {
				time.Sleep(time.Duration(round*i) * 30 * time.Millisecond) // the senders are not in step
				got[i] = sendNow(c.entries[i].address, poison(ref, fmt.Sprintf("%s-%d", ref, i)))
			})
		}
		both.Wait()
		for _, g := range got {
			wantConviction(t, g)
			assert.Assert(t, g.took < 4*time.Second, "the final answer took %s", g.took)
		}
		wantConviction(t, sendNow(c.entries[2].address, poison(ref, ref+"-again")))
		lost := c.crashes() - before
		t.Logf("engine dies after %d ms: %d engines lost, answers after %s and %s", f.DelayMS, lost, got[0].took, got[1].took)
		assert.Assert(t, lost <= 2, "%d engines lost in round %d", lost, round)
		waitFor(t, "all engines to run again", func() bool { return c.enginesUp() == 4 })
	}
}

// enginesUp counts the engines that answer.
func (c *cluster) enginesUp() int {
	up := 0
	for _, address := range c.targets("llm") {
		if httpOK("http://" + address + "/health") {
			up++
		}
	}
	return up
}

// An engine dies for a reason of its own, once, while it runs a request. The
// request is innocent and gets its answer; sent again, also elsewhere, it is
// served like any other.
func TestInnocentRequestUnderACrashIsCleared(t *testing.T) {
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
