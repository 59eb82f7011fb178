package test

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/dynamo"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/query/status"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/fleet"
)

// bookingScope is the fault scope of the non-idempotent service.
var bookingScope = fault.PoolScope("booking")

// sendAsync sends a request in the background and delivers its reply.
func sendAsync(address string, r request) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- sendNow(address, r) }()
	return answer
}

// sendAtOnce sends a request to several entry VMs at the same moment, as a
// caller may that lost its connection.
func sendAtOnce(r request, at ...*entryVM) []reply {
	got := make([]reply, len(at))
	var all sync.WaitGroup
	for i, e := range at {
		all.Go(func() { got[i] = sendNow(e.address, r) })
	}
	all.Wait()
	return got
}

// lastKey numbers the idempotency keys, so that no two cases share one.
var lastKey atomic.Int64

func newKey() string { return fmt.Sprintf("K%d", lastKey.Add(1)) }

// bookingRequestWithTimeout is a booking with a request timeout.
func bookingRequestWithTimeout(key string, timeout time.Duration) request {
	r := bookingRequest(key)
	r.timeout = timeout
	return r
}

// checkExecution compares what a caller was told about a key with the
// executions that the targets have recorded for it so far.
func (c *cluster) checkExecution(what, key string, got reply) {
	c.t.Helper()
	ran := c.executionsWithKey(key)
	assert.Assert(c.t, ran <= 1, "%s: %s ran %d times", what, key, ran)
	if got.err != nil {
		return // no reply to check
	}
	if got.status == http.StatusOK {
		assert.Equal(c.t, ran, 1, "%s: %s was answered", what, key)
		return
	}
	assert.Assert(c.t, got.problem != nil, "%s: status %d: %s", what, got.status, got.body)
	execution := got.problem.Execution
	switch execution {
	case problem.NotRun:
		assert.Equal(c.t, ran, 0, "%s: %s was told not_run: %s", what, key, got.body)
	case problem.Ran:
		assert.Equal(c.t, ran, 1, "%s: %s was told ran: %s", what, key, got.body)
	default:
		assert.Equal(c.t, execution, problem.Unknown, "%s: %s", what, got.body)
	}
}

// claimExists reports whether the table has a claim for the key. It reads the
// store directly, not through a relay.
func (c *cluster) claimExists(key string) bool {
	table := dynamo.New(backing.StoreConfig{
		URL: "http://" + c.fleetFile.Table, Region: "local", AccessKey: "test", SecretKey: "test",
		HTTP: backing.DefaultHTTPConfig(),
	})
	row, err := table.Get(c.t.Context(), backing.Key{Partition: "claim/" + customer, Sort: key})
	return err == nil && row != nil
}

// finishedWithKey reports whether a target has run the call to its end.
func (c *cluster) finishedWithKey(key string) bool {
	for _, e := range c.executions() {
		if e.IdempotencyKey == key && e.Finished {
			return true
		}
	}
	return false
}

// addTableRelay restarts an entry VM with a relay of its own to the table.
func (c *cluster) addTableRelay(e *entryVM) (*entryVM, *relay.Relay) {
	c.t.Helper()
	tableRelay := c.startRelay(c.fleetFile.Table)
	e.kill(c.t)
	at := slices.Index(e.args, "--table-url")
	e.args = slices.Clone(e.args)
	e.args[at+1] = "http://" + tableRelay.Address()
	e = c.restart(e)
	c.waitReady(e)
	return e, tableRelay
}

// waitEntriesKnown waits until each entry VM lists all entry VMs.
func (c *cluster) waitEntriesKnown() {
	c.t.Helper()
	for _, e := range c.entries {
		waitFor(c.t, "all entry VMs to be listed at "+e.address, func() bool {
			return len(c.entriesAt(e.address)) == len(c.entries)
		})
	}
}

// freeze stops a process and waits until it has stopped: SIGSTOP takes a moment,
// in which the process would still handle input.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	waitFor(t, p.name+" to be stopped", func() bool { return allThreadsStopped(p.cmd.Process.Pid) })
}

// allThreadsStopped reports whether all threads of a process are stopped. They stop one after
// the other, and one that still runs may read a request.
func allThreadsStopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil || !strings.Contains(string(stat), ") T ") {
			return false
		}
	}
	return true
}

// vmFailure is a failure of an entry VM and how to recover from it.
type vmFailure struct {
	name    string
	fail    func(c *cluster, e *entryVM, tableRelay *relay.Relay)
	recover func(c *cluster, e *entryVM, tableRelay *relay.Relay) *entryVM
}

var vmFailures = []vmFailure{
	{
		"kill",
		func(c *cluster, e *entryVM, _ *relay.Relay) { e.kill(c.t) },
		func(c *cluster, e *entryVM, tableRelay *relay.Relay) *entryVM {
			tableRelay.SetFaults(relay.Faults{})
			e = c.restart(e)
			c.waitReady(e)
			return e
		},
	},
	{
		// The table's answer reaches the VM while it is frozen: when it
		// resumes, its deadline has passed and its claim has been granted.
		"freeze past the deadline",
		func(c *cluster, e *entryVM, tableRelay *relay.Relay) {
			e.freeze(c.t)
			tableRelay.SetFaults(relay.Faults{})
		},
		func(c *cluster, e *entryVM, _ *relay.Relay) *entryVM {
			e.signal(c.t, syscall.SIGCONT)
			return e
		},
	},
	{
		"cut from the table",
		func(_ *cluster, _ *entryVM, tableRelay *relay.Relay) {
			tableRelay.SetFaults(relay.Faults{RefuseConnections: true, FreezeToCaller: true, FreezeToTarget: true})
			tableRelay.ResetConnections()
		},
		func(_ *cluster, e *entryVM, tableRelay *relay.Relay) *entryVM {
			tableRelay.SetFaults(relay.Faults{})
			return e
		},
	},
}

// bookingStep is a step of a booking at which its entry VM fails.
type bookingStep struct {
	name string
	// slow delays bookings at the step; reached reports that one is there.
	slow       func(c *cluster, tableRelay *relay.Relay)
	reached    func(c *cluster, tableRelay *relay.Relay, key string) bool
	executions int // executions before the failure
}

var bookingSteps = []bookingStep{
	{
		"between claim and dispatch",
		func(_ *cluster, tableRelay *relay.Relay) { tableRelay.SetFaults(relay.Faults{FreezeToCaller: true}) },
		func(c *cluster, _ *relay.Relay, key string) bool { return c.claimExists(key) },
		0,
	},
	{
		"between dispatch and answer",
		func(c *cluster, _ *relay.Relay) { c.setFault(bookingScope, fault.Fault{StraggleFactor: 150}) },
		func(c *cluster, _ *relay.Relay, key string) bool { return c.executionsWithKey(key) > 0 },
		1,
	},
	{
		"between answer and outcome",
		func(c *cluster, _ *relay.Relay) { c.setFault(bookingScope, fault.Fault{StraggleFactor: 30}) },
		func(c *cluster, tableRelay *relay.Relay, key string) bool {
			if c.executionsWithKey(key) == 0 {
				return false
			}
			tableRelay.SetFaults(relay.Faults{FreezeToTarget: true})
			return c.finishedWithKey(key)
		},
		1,
	},
}

// The entry VM that accepted a booking fails during one of its steps: it is
// killed, freezes until long after the deadline, or loses its connection to the
// table service. The caller gets no answer and asks two other entry VMs at once
// with the same key. If the claim weren't written before the call is sent, or
// were taken over from a silent holder, the booking would run twice and the
// hall would be paid for twice.
func TestBookingRunsAtMostOnceWhenItsEntryVMFails(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing checked %v", fencing), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 3, editFleet: bookingChecksFencing(fencing)})
			first, tableRelay := c.addTableRelay(c.entries[0])
			for _, step := range bookingSteps {
				for _, failure := range vmFailures {
					first = c.failDuringBooking(step, failure, first, tableRelay)
				}
			}
		})
	}
}

func (c *cluster) failDuringBooking(step bookingStep, failure vmFailure, first *entryVM, tableRelay *relay.Relay) *entryVM {
	c.t.Helper()
	what := step.name + ", " + failure.name
	key := newKey()
	r := bookingRequestWithTimeout(key, 500*time.Millisecond)
	deadline := time.Now().Add(r.timeout)
	step.slow(c, tableRelay)
	firstReply := sendAsync(first.address, r)
	waitFor(c.t, "a booking "+what, func() bool { return step.reached(c, tableRelay, key) })
	failure.fail(c, first, tableRelay)
	c.setFault(bookingScope, fault.Fault{})
	for _, got := range sendAtOnce(r, c.entries[1], c.entries[2]) {
		c.checkExecution(what+", another entry VM", key, got)
	}
	assert.Equal(c.t, c.executionsWithKey(key), step.executions, what)
	waitFor(c.t, "the deadline to pass", func() bool { return time.Now().After(deadline) })
	first = failure.recover(c, first, tableRelay)
	c.checkExecution(what+", the first entry VM", key, <-firstReply)
	r.timeout = 300 * time.Millisecond
	for _, got := range sendAtOnce(r, c.entries...) {
		c.checkExecution(what+", after the recovery", key, got)
	}
	return first
}

func bookingChecksFencing(checks bool) func(*fleet.File) {
	return func(f *fleet.File) {
		for i := range f.Pools {
			if f.Pools[i].Pool == "booking" {
				f.Pools[i].ChecksFencing = checks
			}
		}
	}
}

// An entry VM has a booking run and dies before it records the outcome. The
// caller asks another VM with a long timeout. After 30 seconds the dead holder
// counts as silent, and a pool whose targets check fencing tokens would accept
// a second call with a newer token. As the booking has run, the caller must be
// told "unknown" instead.
func TestClaimOfSilentHolderIsNotTakenOver(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, editFleet: bookingChecksFencing(true)})
	key := newKey()
	c.setFault(bookingScope, fault.Fault{StraggleFactor: 150})
	sendAsync(c.entries[0].address, bookingRequest(key))
	waitFor(t, "the booking to run", func() bool { return c.executionsWithKey(key) > 0 })
	c.entries[0].kill(t)
	c.setFault(bookingScope, fault.Fault{})
	got := sendNow(c.entries[1].address, bookingRequestWithTimeout(key, silentHolderTimeout+3*time.Second))
	assert.NilError(t, got.err)
	assert.Equal(t, c.executionsWithKey(key), 1)
	assert.Equal(t, got.problem.Execution, problem.Unknown, "%s", got.body)
}

// silentHolderTimeout is the time after which a claim's holder counts as
// silent.
const silentHolderTimeout = 30 * time.Second

// The table service writes a claim or an outcome and its answer is lost, so the
// entry VM can't tell whether it holds the claim. It must neither abandon a
// booking that nobody else may run, nor run one that another VM may be running.
func TestBookingRunsAtMostOnceWhenTableAnswersAreLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.setFault(fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.5})
	answered := 0
	for range 8 {
		key := newKey()
		for _, got := range sendAtOnce(bookingRequestWithTimeout(key, 2*time.Second), c.entries...) {
			c.checkExecution("answers of the table are lost", key, got)
			if got.status == http.StatusOK {
				answered++
			}
		}
	}
	assert.Assert(t, answered > 0)
	c.setFault(fault.ScopeTable, fault.Fault{})

	// The relay drops every answer, but the claim is written.
	key := newKey()
	c.tableRelay.SetFaults(relay.Faults{LoseAnswer: true})
	got := sendNow(c.entries[0].address, bookingRequestWithTimeout(key, 300*time.Millisecond))
	c.checkExecution("all answers are lost", key, got)
	assert.Equal(t, c.executionsWithKey(key), 0)
	assert.Assert(t, c.claimExists(key))
	c.tableRelay.SetFaults(relay.Faults{})
	// The unused claim is released, so the key isn't blocked.
	waitFor(t, "the booking to be made in the end", func() bool {
		return sendNow(c.entries[1].address, bookingRequestWithTimeout(key, 500*time.Millisecond)).status == http.StatusOK
	})
	assert.Equal(t, c.executionsWithKey(key), 1)
}

// The table service is down for all attempts. No claim can be written, so no
// call may be sent, however often and at whichever VM the caller asks.
func TestNothingRunsWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	key := newKey()
	r := bookingRequestWithTimeout(key, 300*time.Millisecond)
	for range 3 {
		for _, got := range sendAtOnce(r, c.entries...) {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
			c.checkExecution("the table is down", key, got)
		}
	}
	assert.Equal(t, c.executionsWithKey(key), 0)
	c.setFault(fault.ScopeTable, fault.Fault{})
	waitFor(t, "the booking to be made once the table is back", func() bool {
		return sendNow(c.entries[0].address, r).status == http.StatusOK
	})
	assert.Equal(t, c.executionsWithKey(key), 1)
}

// The target runs the call and closes the connection without an answer. HTTP
// libraries resend such a call on their own, in particular on a reused
// connection, where they take the close for an idle timeout: the booking would
// run twice.
func TestCallWithLostTargetAnswerRunsOnceForEveryMethod(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	for _, reused := range []bool{false, true} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
			what := fmt.Sprintf("%s, reused connections %v", method, reused)
			if reused {
				c.openConnections()
			}
			c.setFault(bookingScope, fault.Fault{LoseAnswerShare: 1})
			key := newKey()
			r := request{method: method, path: "/v1/services/booking/once/hall", key: key}
			got := sendNow(c.entries[0].address, r)
			c.checkExecution(what, key, got)
			assert.Equal(t, c.executionsWithKey(key), 1, what)
			assert.Equal(t, got.problem.Execution, problem.Unknown, "%s: %s", what, got.body)
			c.setFault(bookingScope, fault.Fault{})
			r.timeout = 200 * time.Millisecond
			c.checkExecution(what+", retried", key, sendNow(c.entries[1].address, r))
			assert.Equal(t, c.executionsWithKey(key), 1, what)
		}
	}
	// An idempotent call is retried, but only by this system: each attempt has
	// its own request ID.
	c.openConnections()
	c.setFault(bookingScope, fault.Fault{LoseAnswerShare: 1})
	sendNow(c.entries[0].address, request{method: http.MethodGet, path: "/v1/services/booking/look"})
	seen := map[string]bool{}
	for _, e := range c.executions() {
		assert.Assert(t, !seen[e.RequestID], "%s %s was sent twice under %s", e.Method, e.Path, e.RequestID)
		seen[e.RequestID] = true
	}
}

// openConnections makes the first entry VM keep connections to all targets of
// the service.
func (c *cluster) openConnections() {
	c.t.Helper()
	r := request{method: http.MethodGet, path: "/v1/services/booking/look"}
	var all sync.WaitGroup
	for range 12 {
		all.Go(func() { sendNow(c.entries[0].address, r) })
	}
	all.Wait()
}

// A caller encodes the path of an idempotent call so that decoding it a second
// time gives the path of a booking. If it were forwarded in its decoded form,
// it would reach the target as a booking without a key, and would be retried
// after a lost answer.
func TestEncodedPathCannotReachANonIdempotentRoute(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	c.setFault(bookingScope, fault.Fault{LoseAnswerShare: 1})
	for _, path := range []string{"look/%252e%252e/once/hall", "look%252f%252e%252e%252fonce/hall", "%252e/once/hall", "look/%2e%2e/once/hall"} {
		sendNow(c.entries[0].address, request{method: http.MethodGet, path: "/v1/services/booking/" + path})
	}
	for _, e := range c.executions() {
		assert.Assert(t, !strings.HasPrefix(e.Path, "/booking/once"), "%s ran as %s", e.RequestID, e.Path)
	}
}

// The entry VM that sent a booking dies before it has recorded the outcome. The
// caller asks another VM with a long timeout. That VM can never learn the
// outcome, so it must answer soon instead of keeping the caller waiting until
// its deadline.
func TestUnknownOutcomeIsReportedSoonAfterHolderDies(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitEntriesKnown()
	c.setFault(bookingScope, fault.Fault{DelayMS: 60_000})
	key := newKey()
	sendAsync(c.entries[0].address, bookingRequestWithTimeout(key, time.Minute))
	waitFor(t, "the claim to be written", func() bool { return c.claimExists(key) })
	c.entries[0].kill(t)
	waitFor(t, "the other VMs to notice the failure", func() bool {
		return len(c.entriesAt(c.entries[1].address)) == 2 && len(processRevisions(c.entries[1].address)) > 0 &&
			!slices.ContainsFunc(c.status(c.entries[1].address).VMs, func(vm status.VM) bool {
				return vm.CallerAddress == c.entries[0].address && !vm.Silent()
			})
	})
	waitFor(t, "an answer long before the deadline", func() bool {
		got := sendNow(c.entries[1].address, bookingRequestWithTimeout(key, 40*time.Second))
		return got.took < 10*time.Second && got.problem != nil && got.problem.Execution == problem.Unknown
	})
}
