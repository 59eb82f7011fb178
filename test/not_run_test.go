package test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

const limitedKey = "key-of-a-customer-with-limits"

// withLimitedKey makes a request one of the customer with limits.
func withLimitedKey(r request) request {
	r.headers = map[string]string{"Authorization": "Bearer " + limitedKey}
	return r
}

// withFirstAttempt declares that the caller never submitted the key before.
func withFirstAttempt(r request) request {
	r.headers = map[string]string{"Retry-Attempt": "0"}
	return r
}

// assertExecution asserts the execution state that a caller was told for a key,
// and that it agrees with the targets' executions.
func (c *cluster) assertExecution(what, key string, got reply, want problem.Execution) {
	c.t.Helper()
	c.checkExecution(what, key, got)
	assert.NilError(c.t, got.err, what)
	assert.Assert(c.t, got.problem != nil, "%s: status %d: %s", what, got.status, got.body)
	assert.Equal(c.t, got.problem.Execution, want, "%s: %s", what, got.body)
}

// A caller got no answer from one entry VM and asks another with the same key,
// which refuses because the customer is over its limit. The refused request
// itself ran nothing, but "not_run" would make the caller book again, with
// another key, what the first VM has run or is about to run.
func TestLimitRefusalReportsExecutionOfKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	first, tableRelay := c.addTableRelay(c.entries[0])
	c.waitEntriesKnown()
	limited := config.Contract{Customer: "upland", KeyHashes: []string{hashOf(limitedKey)}}
	revision := c.putItem(c.entries[1].address, "contracts/upland", limited, 0)
	c.waitInForce(revision)

	ran, finished := newKey(), withLimitedKey(bookingRequest(newKey()))
	finished.key = ran
	for _, e := range []*entryVM{first, c.entries[2]} { // the second reads the outcome
		assert.Equal(t, sendNow(e.address, finished).status, http.StatusOK)
	}
	c.setFault(bookingScope, fault.Fault{StraggleFactor: 2000})
	running := withLimitedKey(bookingRequestWithTimeout(newKey(), 6*time.Second))
	answer := sendAsync(first.address, running)
	waitFor(t, "the booking to run", func() bool { return c.executionsWithKey(running.key) == 1 })
	// The claim of the third booking is still on its way to the table.
	tableRelay.SetFaults(relay.Faults{FreezeToTarget: true})
	claiming := withLimitedKey(bookingRequestWithTimeout(newKey(), 6*time.Second))
	claimed := sendAsync(first.address, claiming)

	limited.RequestsPerSecond, limited.Burst = 0.001, 1
	limit := c.putItem(c.entries[1].address, "contracts/upland", limited, revision)
	waitFor(t, "the limit to be in force", func() bool { return revisionAt(c.entries[1].address) >= limit })
	read := withLimitedKey(request{method: http.MethodGet, path: "/v1/services/booking/look", timeout: 300 * time.Millisecond})
	waitFor(t, "the limit to be reached", func() bool {
		return sendNow(c.entries[1].address, read).status == http.StatusTooManyRequests
	})
	at := c.entries[1].address
	refused := func(r request) reply {
		got := sendNow(at, r)
		assert.Equal(t, got.status, http.StatusTooManyRequests, "%s", got.body)
		return got
	}
	c.assertExecution("the key ran", ran, refused(finished), problem.Ran)
	c.assertExecution("the key is running", running.key, refused(running), problem.Unknown)
	atClaim := refused(claiming)
	c.assertExecution("the key is being claimed", claiming.key, atClaim, problem.Unknown)
	fresh := withLimitedKey(bookingRequest(newKey()))
	c.assertExecution("nobody has the key", fresh.key, refused(fresh), problem.NotRun)

	tableRelay.SetFaults(relay.Faults{})
	c.setFault(bookingScope, fault.Fault{})
	<-answer
	<-claimed
	c.checkExecution("reply while the key was being claimed", claiming.key, atClaim)
}

// The table service is down, so no booking can be claimed and each is refused.
// Only the entry VM that accepted an earlier submission knows its outcome, if
// it still runs. "not_run" for a key whose call a dead VM has sent would make
// the caller book again.
func TestRefusalDuringTableOutageReportsExecutionOfKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitEntriesKnown()
	sentByLiveVM, sentByDeadVM := bookingRequest(newKey()), bookingRequest(newKey())
	c.setFault(bookingScope, fault.Fault{LoseAnswerShare: 1})
	assert.Equal(t, sendNow(c.entries[1].address, sentByLiveVM).problem.Execution, problem.Unknown)
	assert.Equal(t, sendNow(c.entries[0].address, sentByDeadVM).problem.Execution, problem.Unknown)
	c.setFault(bookingScope, fault.Fault{})
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	at := c.entries[2].address
	refused := func(r request) reply {
		r.timeout = 300 * time.Millisecond
		got := sendNow(at, r)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
		return got
	}
	c.assertExecution("a live VM sent the key", sentByLiveVM.key, refused(sentByLiveVM), problem.Unknown)
	c.entries[0].kill(t)
	until := time.Now().Add(7 * time.Second)
	for seen := 3; seen == 3 || time.Now().Before(until); seen = len(c.entriesAt(at)) {
		c.assertExecution("a VM that died sent the key", sentByDeadVM.key, refused(sentByDeadVM), problem.Unknown)
	}
	fresh := bookingRequest(newKey())
	c.assertExecution("the caller declares a first attempt", fresh.key, refused(withFirstAttempt(fresh)), problem.NotRun)
}

// The table service is down. While all entry VMs are alive, they know between
// them that none sent the key, and may tell the caller so. A frozen VM can't be
// asked, and then the outcome is unknown.
func TestNotRunDuringTableOutageNeedsAllPeers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{flags: []string{"--retry-window", "2s"}})
	c.waitEntriesKnown()
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	execution := func() problem.Execution {
		r := bookingRequestWithTimeout(newKey(), 300*time.Millisecond)
		got := sendNow(c.entries[2].address, r)
		c.checkExecution("the table is down", r.key, got)
		return got.problem.Execution
	}
	waitFor(t, "not_run to be certain", func() bool { return execution() == problem.NotRun })
	c.entries[0].freeze(t)
	assert.Equal(t, execution(), problem.Unknown)
	c.entries[0].signal(t, syscall.SIGCONT)
	waitFor(t, "not_run to be certain again", func() bool { return execution() == problem.NotRun })
}

// A caller that is told "not_run" may send the same request elsewhere without
// risk. Here nothing ran: no target accepts connections, or each refuses before
// it begins.
func TestNotRunIsReportedWhenNothingRan(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	c.waitEntriesKnown()
	at := c.entries[0].address
	for name, f := range map[string]fault.Fault{"no connection": {Down: true}, "refused": {Refuse: true}} {
		for _, pool := range []string{"booking", "encoder"} {
			c.setFault(fault.PoolScope(pool), f)
		}
		r := bookingRequest(newKey())
		c.assertExecution(name, r.key, sendNow(at, r), problem.NotRun)
		c.assertPipelineExecution(name, sendNow(at, pipelineRequest("Q", 4)), problem.NotRun)
		for _, pool := range []string{"booking", "encoder"} {
			c.setFault(fault.PoolScope(pool), fault.Fault{})
		}
		// The claim was released, so the key is free.
		waitFor(t, "the same key to be served", func() bool { return sendNow(at, r).status == http.StatusOK })
		waitFor(t, "the pipeline to be served", func() bool { return sendNow(at, pipelineRequest("Q", 4)).status == http.StatusOK })
	}
	late := pipelineRequest("Q", 4)
	late.timeout = time.Millisecond
	c.assertPipelineExecution("no time", sendNow(at, late), problem.NotRun)
}

// The target took the request and its connection broke: the request ran in full
// or in part. Callers must not be told "not_run".
func TestNotRunIsNotReportedAfterExecution(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	at := c.entries[0].address
	c.setFault(bookingScope, fault.Fault{LoseAnswerShare: 1})
	r := bookingRequest(newKey())
	c.assertExecution("booking lost its answer", r.key, sendNow(at, r), problem.Unknown)
	c.setFault(fault.PoolScope("encoder"), fault.Fault{LoseAnswerShare: 1})
	c.assertPipelineExecution("the first stage lost its answers", sendNow(at, pipelineRequest("Q", 4)), problem.Unknown)
	c.setFault(fault.PoolScope("encoder"), fault.Fault{})
	c.setFault(fault.PoolScope("llm"), fault.Fault{Down: true})
	waitFor(t, "the encoders to be used again", func() bool {
		got := sendNow(at, pipelineRequest("Q", 4))
		assert.Assert(t, got.problem != nil, "%s", got.body)
		return got.problem.Execution == problem.Ran
	})
	c.assertPipelineExecution("the last stage has no targets", sendNow(at, pipelineRequest("Q", 4)), problem.Ran)
}

// assertPipelineExecution asserts the execution state that a caller was told
// for a pipeline request, and that it agrees with the targets' executions under
// the request ID.
func (c *cluster) assertPipelineExecution(what string, got reply, want problem.Execution) {
	c.t.Helper()
	assert.NilError(c.t, got.err, what)
	assert.Assert(c.t, got.problem != nil, "%s: %s", what, got.body)
	assert.Equal(c.t, got.problem.Execution, want, "%s: %s", what, got.body)
	ran := 0
	for _, e := range c.executions() {
		if strings.HasPrefix(e.RequestID, got.problem.RequestID+"/") {
			ran++
		}
	}
	if want == problem.NotRun {
		assert.Equal(c.t, ran, 0, what)
	}
	if want == problem.Ran {
		assert.Assert(c.t, ran > 0, what)
	}
}

// An entry VM is frozen with a booking unread in its socket. The caller
// disconnects and, just after the VM resumes, is told by another VM that nobody
// has the key. The booking that the first VM then reads must not run, as its
// caller is gone.
func TestBookingAbandonedBeforeItWasReadDoesNotRun(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	c.waitEntriesKnown()
	first := c.entries[0]
	first.freeze(t)
	r := bookingRequestWithTimeout(newKey(), 20*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, send(ctx, first.address, r).err != nil)
	first.signal(t, syscall.SIGCONT)
	waitFor(t, "the booking to be read", func() bool {
		return strings.Contains(first.logs(), "The caller left") || c.executionsWithKey(r.key) > 0
	})
	assert.Equal(t, c.executionsWithKey(r.key), 0)
	r.timeout = time.Millisecond
	c.assertExecution("nobody has the key", r.key, sendNow(c.entries[1].address, r), problem.NotRun)
}

// startClusterWithFrozenTable starts two entry VMs. What the first sends to the table service
// is held up by the returned relay.
func startClusterWithFrozenTable(t *testing.T) (*cluster, *entryVM, *relay.Relay) {
	t.Helper()
	c := startCluster(t, clusterOptions{entries: 2})
	first, tableRelay := c.addTableRelay(c.entries[0])
	c.waitEntriesKnown()
	tableRelay.SetFaults(relay.Faults{FreezeToTarget: true})
	return c, first, tableRelay
}

// Guards against a booking that runs after its caller has left, because its claim took long.
func TestBookingAbandonedWhileItIsClaimedDoesNotRun(t *testing.T) {
	t.Parallel()
	c, first, tableRelay := startClusterWithFrozenTable(t)
	r := bookingRequestWithTimeout(newKey(), 20*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	assert.Assert(t, send(ctx, first.address, r).err != nil)
	tableRelay.SetFaults(relay.Faults{})
	waitFor(t, "the booking to be claimed", func() bool {
		return strings.Contains(first.logs(), "The caller left") || c.executionsWithKey(r.key) > 0
	})
	assert.Equal(t, c.executionsWithKey(r.key), 0)
}

// An entry VM has a booking in flight when another VM is replaced and asked for
// the same key at once. The new process doesn't know its peers yet, and must
// not take that for their answer that nobody has the key.
func TestReplacedVMDoesNotReportNotRunBeforeItKnowsItsPeers(t *testing.T) {
	t.Parallel()
	c, first, tableRelay := startClusterWithFrozenTable(t)
	r := bookingRequestWithTimeout(newKey(), 10*time.Second)
	claimed := sendAsync(first.address, r)
	c.entries[1].kill(t)
	second := c.restart(c.entries[1])
	shortRequest := r
	shortRequest.timeout = time.Millisecond // too short for anything but a refusal
	var replies []reply
	waitFor(t, "20 problems from the replaced VM", func() bool {
		got := sendNow(second.address, shortRequest)
		if got.problem != nil {
			replies = append(replies, got)
		}
		return len(replies) >= 20
	})
	tableRelay.SetFaults(relay.Faults{})
	<-claimed
	for _, got := range replies {
		c.checkExecution("the replaced VM", r.key, got)
	}
}
