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

// asLimited makes a request one of the customer with limits.
func asLimited(r request) request {
	r.headers = map[string]string{"Authorization": "Bearer " + limitedKey}
	return r
}

// firstTime says that the caller never submitted the key before.
func firstTime(r request) request {
	r.headers = map[string]string{"Retry-Attempt": "0"}
	return r
}

// told asserts what a caller was told of a key, and that it is true.
func (c *cluster) told(what, key string, got reply, want problem.Execution) {
	c.t.Helper()
	c.checkTrue(what, key, got)
	assert.NilError(c.t, got.err, what)
	assert.Assert(c.t, got.problem != nil, "%s: status %d: %s", what, got.status, got.body)
	assert.Equal(c.t, got.problem.Execution, want, "%s: %s", what, got.body)
}

// A caller got no answer from one entry VM and asks another under the same key,
// which refuses: the customer is over its limit. The refusal itself ran
// nothing, but "not_run" would have the caller book anew, under another key,
// what the first VM has run, or is about to run.
func TestRefusalByLimitTellsTheTruthOfTheKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	first, own := c.giveOwnTable(c.entries[0])
	c.waitEntries()
	limited := config.Contract{Customer: "upland", KeyHashes: []string{hashOf(limitedKey)}}
	revision := c.put(c.entries[1].address, "contracts/upland", limited, 0)
	c.waitInForce(revision)

	ran, finished := newKey(), asLimited(confirm(newKey()))
	finished.key = ran
	for _, e := range []*entryVM{first, c.entries[2]} { // the second reads the outcome
		assert.Equal(t, sendNow(e.address, finished).status, http.StatusOK)
	}
	c.setFault(bookingPool, fault.Fault{StraggleFactor: 2000})
	running := asLimited(quickConfirm(newKey(), 6*time.Second))
	answer := background(first.address, running)
	waitFor(t, "the booking to run", func() bool { return c.ranWithKey(running.key) == 1 })
	// The third one's claim is on its way to the table.
	own.SetFaults(relay.Faults{FreezeToTarget: true})
	claiming := asLimited(quickConfirm(newKey(), 6*time.Second))
	claimed := background(first.address, claiming)

	limited.RequestsPerSecond, limited.Burst = 0.001, 1
	limit := c.put(c.entries[1].address, "contracts/upland", limited, revision)
	waitFor(t, "the limit to be in force", func() bool { return revisionAt(c.entries[1].address) >= limit })
	look := asLimited(request{method: http.MethodGet, path: "/v1/services/booking/look", timeout: 300 * time.Millisecond})
	waitFor(t, "the limit to be reached", func() bool {
		return sendNow(c.entries[1].address, look).status == http.StatusTooManyRequests
	})
	at := c.entries[1].address
	refused := func(r request) reply {
		got := sendNow(at, r)
		assert.Equal(t, got.status, http.StatusTooManyRequests, "%s", got.body)
		return got
	}
	c.told("the key ran", ran, refused(finished), problem.Ran)
	c.told("the key is running", running.key, refused(running), problem.Unknown)
	atClaim := refused(claiming)
	c.told("the key is being claimed", claiming.key, atClaim, problem.Unknown)
	fresh := asLimited(confirm(newKey()))
	c.told("nobody has the key", fresh.key, refused(fresh), problem.NotRun)

	own.SetFaults(relay.Faults{})
	c.setFault(bookingPool, fault.Fault{})
	<-answer
	<-claimed
	c.checkTrue("what was told while the key was claimed", claiming.key, atClaim)
}

// The table service is down, so no booking can be claimed and each is refused.
// What an earlier submission did is known to the entry VM that took it, if that
// still lives. "not_run" for a key that a dead VM had run would have the caller
// book again.
func TestRefusalWhileTheTableIsDownTellsTheTruthOfTheKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitEntries()
	byLiving, byDead := confirm(newKey()), confirm(newKey())
	c.setFault(bookingPool, fault.Fault{LoseAnswerShare: 1})
	assert.Equal(t, sendNow(c.entries[1].address, byLiving).problem.Execution, problem.Unknown)
	assert.Equal(t, sendNow(c.entries[0].address, byDead).problem.Execution, problem.Unknown)
	c.setFault(bookingPool, fault.Fault{})
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	at := c.entries[2].address
	refused := func(r request) reply {
		r.timeout = 300 * time.Millisecond
		got := sendNow(at, r)
		assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
		return got
	}
	c.told("a living VM sent the key", byLiving.key, refused(byLiving), problem.Unknown)
	c.entries[0].kill(t)
	until := time.Now().Add(7 * time.Second)
	for seen := 3; seen == 3 || time.Now().Before(until); seen = len(c.entriesAt(at)) {
		c.told("a VM that died sent the key", byDead.key, refused(byDead), problem.Unknown)
	}
	fresh := confirm(newKey())
	c.told("the caller says it is its first time", fresh.key, refused(firstTime(fresh)), problem.NotRun)
}

// The table service is down and all entry VMs live: together they know that
// nobody sent the key, and the caller may be told so. A VM that stands still
// can't be asked, and then nobody knows.
func TestEntryVMsTogetherKnowThatNobodySentAKey(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{flags: []string{"--retry-window", "2s"}})
	c.waitEntries()
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	execution := func() problem.Execution {
		r := quickConfirm(newKey(), 300*time.Millisecond)
		got := sendNow(c.entries[2].address, r)
		c.checkTrue("the table is down", r.key, got)
		return got.problem.Execution
	}
	waitFor(t, "not_run to be certain", func() bool { return execution() == problem.NotRun })
	c.entries[0].freeze(t)
	assert.Equal(t, execution(), problem.Unknown)
	c.entries[0].signal(t, syscall.SIGCONT)
	waitFor(t, "not_run to be certain again", func() bool { return execution() == problem.NotRun })
}

// Whatever fails around a service or a pipeline, a caller that is told "not_run"
// may ask for the same elsewhere without a second thought. Here nothing ran: no
// target takes connections, or each says no before it begins.
func TestNotRunWhereNothingRan(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	c.waitEntries()
	at := c.entries[0].address
	for name, f := range map[string]fault.Fault{"no connection": {Down: true}, "refused": {Refuse: true}} {
		for _, pool := range []string{"booking", "encoder"} {
			c.setFault(fault.PoolScope(pool), f)
		}
		r := confirm(newKey())
		c.told(name, r.key, sendNow(at, r), problem.NotRun)
		c.pipelineTold(name, sendNow(at, pipelineRequest("Q", 4)), problem.NotRun)
		for _, pool := range []string{"booking", "encoder"} {
			c.setFault(fault.PoolScope(pool), fault.Fault{})
		}
		// The claim was given up, so the key is free.
		waitFor(t, "the same key to be served", func() bool { return sendNow(at, r).status == http.StatusOK })
		waitFor(t, "the pipeline to be served", func() bool { return sendNow(at, pipelineRequest("Q", 4)).status == http.StatusOK })
	}
	late := pipelineRequest("Q", 4)
	late.timeout = time.Millisecond
	c.pipelineTold("no time", sendNow(at, late), problem.NotRun)
}

// The target took the request and its connection broke: it ran, or ran in part.
// Callers must not be told "not_run".
func TestNotRunIsNotSaidWhereSomethingRan(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	at := c.entries[0].address
	c.setFault(bookingPool, fault.Fault{LoseAnswerShare: 1})
	r := confirm(newKey())
	c.told("booking lost its answer", r.key, sendNow(at, r), problem.Unknown)
	c.setFault(fault.PoolScope("encoder"), fault.Fault{LoseAnswerShare: 1})
	c.pipelineTold("the first stage lost its answers", sendNow(at, pipelineRequest("Q", 4)), problem.Unknown)
	c.setFault(fault.PoolScope("encoder"), fault.Fault{})
	c.setFault(fault.PoolScope("llm"), fault.Fault{Down: true})
	waitFor(t, "the encoders to be used again", func() bool {
		got := sendNow(at, pipelineRequest("Q", 4))
		assert.Assert(t, got.problem != nil, "%s", got.body)
		return got.problem.Execution == problem.Ran
	})
	c.pipelineTold("the last stage has no targets", sendNow(at, pipelineRequest("Q", 4)), problem.Ran)
}

// pipelineTold asserts what was told of a pipeline's request, and holds it
// against the executions that the targets counted under its identity.
func (c *cluster) pipelineTold(what string, got reply, want problem.Execution) {
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

// An entry VM stands still with a booking unread in its socket. The caller
// gives up and is told elsewhere, a moment after the VM wakes, that nobody has
// the key. What the VM then reads must not run: nobody stands behind it.
func TestBookingThatItsCallerGaveUpUnreadDoesNotRun(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	c.waitEntries()
	first := c.entries[0]
	first.freeze(t)
	r := quickConfirm(newKey(), 20*time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Assert(t, send(ctx, first.address, r).err != nil)
	first.signal(t, syscall.SIGCONT)
	waitFor(t, "the booking to be read", func() bool {
		return strings.Contains(first.logs(), "The caller left") || c.ranWithKey(r.key) > 0
	})
	assert.Equal(t, c.ranWithKey(r.key), 0)
	r.timeout = time.Millisecond
	c.told("nobody has the key", r.key, sendNow(c.entries[1].address, r), problem.NotRun)
}

// A VM has a booking under way when another is replaced and asked for the same
// key at once. The new process doesn't know its peers yet, and must not take
// that for their saying no.
func TestReplacedVMDoesNotSayNotRunBeforeItKnowsItsPeers(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	first, own := c.giveOwnTable(c.entries[0])
	c.waitEntries()
	own.SetFaults(relay.Faults{FreezeToTarget: true})
	r := quickConfirm(newKey(), 10*time.Second)
	claimed := background(first.address, r)
	c.entries[1].kill(t)
	second := c.restart(c.entries[1])
	hurried := r
	hurried.timeout = time.Millisecond // too short for anything but a refusal
	var told []reply
	waitFor(t, "the replaced VM to tell something", func() bool {
		got := sendNow(second.address, hurried)
		if got.problem != nil {
			told = append(told, got)
		}
		return len(told) >= 20
	})
	own.SetFaults(relay.Faults{})
	<-claimed
	for _, got := range told {
		c.checkTrue("the replaced VM", r.key, got)
	}
}
