package test

import (
	"fmt"
	"net/http"
	"os"
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

// bookingPool is the scope of the faults of the non-idempotent service.
var bookingPool = fault.PoolScope("booking")

// background sends a request that the test doesn't wait for yet.
func background(address string, r request) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- sendNow(address, r) }()
	return answer
}

// sendAtOnce asks several entry VMs at the same moment, as a caller does that
// lost its connection and is in a hurry.
func sendAtOnce(r request, at ...*entryVM) []reply {
	got := make([]reply, len(at))
	var all sync.WaitGroup
	for i, e := range at {
		all.Go(func() { got[i] = sendNow(e.address, r) })
	}
	all.Wait()
	return got
}

// lastKey numbers the keys, so that no two cases share one.
var lastKey atomic.Int64

func newKey() string { return fmt.Sprintf("K%d", lastKey.Add(1)) }

// quickConfirm is a booking whose caller waits only a moment.
func quickConfirm(key string, timeout time.Duration) request {
	r := confirm(key)
	r.timeout = timeout
	return r
}

// checkTrue holds what a caller was told of a key against what the targets
// themselves counted for it, now.
func (c *cluster) checkTrue(what, key string, got reply) {
	c.t.Helper()
	ran := c.ranWithKey(key)
	assert.Assert(c.t, ran <= 1, "%s: %s ran %d times", what, key, ran)
	if got.err != nil {
		return // nothing was told
	}
	if got.status == http.StatusOK {
		assert.Equal(c.t, ran, 1, "%s: %s was answered", what, key)
		return
	}
	assert.Assert(c.t, got.problem != nil, "%s: status %d: %s", what, got.status, got.body)
	told := got.problem.Execution
	switch told {
	case problem.NotRun:
		assert.Equal(c.t, ran, 0, "%s: %s was told not_run: %s", what, key, got.body)
	case problem.Ran:
		assert.Equal(c.t, ran, 1, "%s: %s was told ran: %s", what, key, got.body)
	default:
		assert.Equal(c.t, told, problem.Unknown, "%s: %s", what, got.body)
	}
}

// claimStands says whether the table has a claim of the key. It asks the store
// itself, not by way of a relay.
func (c *cluster) claimStands(key string) bool {
	table := dynamo.New(backing.StoreConfig{
		URL: "http://" + c.fleetFile.Table, Region: "local", AccessKey: "test", SecretKey: "test",
		HTTP: backing.DefaultHTTPConfig(),
	})
	row, err := table.Get(c.t.Context(), backing.Key{Partition: "claim/" + customer, Sort: key})
	return err == nil && row != nil
}

// finishedWithKey says that a target has run the call to its end.
func (c *cluster) finishedWithKey(key string) bool {
	for _, e := range c.executions() {
		if e.IdempotencyKey == key && e.Finished {
			return true
		}
	}
	return false
}

// giveOwnTable puts a relay of its own between one entry VM and the table.
func (c *cluster) giveOwnTable(e *entryVM) (*entryVM, *relay.Relay) {
	c.t.Helper()
	own := c.startRelay(c.fleetFile.Table)
	e.kill(c.t)
	at := slices.Index(e.args, "--table-url")
	e.args = slices.Clone(e.args)
	e.args[at+1] = "http://" + own.Address()
	e = c.restart(e)
	c.waitReady(e)
	return e, own
}

// waitEntries waits until each entry VM sees all the others.
func (c *cluster) waitEntries() {
	c.t.Helper()
	for _, e := range c.entries {
		waitFor(c.t, "all entry VMs to be seen at "+e.address, func() bool {
			return len(c.entriesAt(e.address)) == len(c.entries)
		})
	}
}

// freeze stops a program and waits until all of it stands still: the signal
// takes a moment, in which it would still use what it gets.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	waitFor(t, p.name+" to stand still", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		return err == nil && strings.Contains(string(stat), ") T ")
	})
}

// A failure of an entry VM, and what it takes to go on after it.
type vmFailure struct {
	name  string
	fail  func(c *cluster, e *entryVM, own *relay.Relay)
	after func(c *cluster, e *entryVM, own *relay.Relay) *entryVM
}

var vmFailures = []vmFailure{
	{
		"kill",
		func(c *cluster, e *entryVM, _ *relay.Relay) { e.kill(c.t) },
		func(c *cluster, e *entryVM, own *relay.Relay) *entryVM {
			own.SetFaults(relay.Faults{})
			e = c.restart(e)
			c.waitReady(e)
			return e
		},
	},
	{
		// What the table answers reaches the VM while it is frozen: when it
		// wakes, its deadline is over and the claim is in its hands.
		"freeze past the deadline",
		func(c *cluster, e *entryVM, own *relay.Relay) {
			e.freeze(c.t)
			own.SetFaults(relay.Faults{})
		},
		func(c *cluster, e *entryVM, _ *relay.Relay) *entryVM {
			e.signal(c.t, syscall.SIGCONT)
			return e
		},
	},
	{
		"cut from the table",
		func(_ *cluster, _ *entryVM, own *relay.Relay) {
			own.SetFaults(relay.Faults{RefuseConnections: true, FreezeToCaller: true, FreezeToTarget: true})
			own.ResetConnections()
		},
		func(_ *cluster, e *entryVM, own *relay.Relay) *entryVM {
			own.SetFaults(relay.Faults{})
			return e
		},
	},
}

// A step of a booking at which its entry VM fails.
type bookingStep struct {
	name string
	// slow keeps bookings at the step; reached says that one is there.
	slow    func(c *cluster, own *relay.Relay)
	reached func(c *cluster, own *relay.Relay, key string) bool
	ran     int // executions before the failure
}

var bookingSteps = []bookingStep{
	{
		"between claim and dispatch",
		func(_ *cluster, own *relay.Relay) { own.SetFaults(relay.Faults{FreezeToCaller: true}) },
		func(c *cluster, _ *relay.Relay, key string) bool { return c.claimStands(key) },
		0,
	},
	{
		"between dispatch and answer",
		func(c *cluster, _ *relay.Relay) { c.setFault(bookingPool, fault.Fault{StraggleFactor: 150}) },
		func(c *cluster, _ *relay.Relay, key string) bool { return c.ranWithKey(key) > 0 },
		1,
	},
	{
		"between answer and outcome",
		func(c *cluster, _ *relay.Relay) { c.setFault(bookingPool, fault.Fault{StraggleFactor: 30}) },
		func(c *cluster, own *relay.Relay, key string) bool {
			if c.ranWithKey(key) == 0 {
				return false
			}
			own.SetFaults(relay.Faults{FreezeToTarget: true})
			return c.finishedWithKey(key)
		},
		1,
	},
}

// The entry VM that took a booking fails at some step of it: it is killed,
// stands still until long after the deadline, or is cut off from the table
// service. The caller gets no answer and asks two other entry VMs at once under
// the same key. Were the claim not written before the sending, or were it taken
// from a silent holder, the booking would be made twice, and the hall would be
// paid for twice.
func TestBookingRunsAtMostOnceWhenItsEntryVMFails(t *testing.T) {
	t.Parallel()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing checked %v", fencing), func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterOptions{entries: 3, editFleet: bookingChecksFencing(fencing)})
			first, own := c.giveOwnTable(c.entries[0])
			for _, step := range bookingSteps {
				for _, failure := range vmFailures {
					first = c.failDuringBooking(step, failure, first, own)
				}
			}
		})
	}
}

func (c *cluster) failDuringBooking(step bookingStep, failure vmFailure, first *entryVM, own *relay.Relay) *entryVM {
	c.t.Helper()
	what := step.name + ", " + failure.name
	key := newKey()
	r := quickConfirm(key, 500*time.Millisecond)
	deadline := time.Now().Add(r.timeout)
	step.slow(c, own)
	lost := background(first.address, r)
	waitFor(c.t, "a booking "+what, func() bool { return step.reached(c, own, key) })
	failure.fail(c, first, own)
	c.setFault(bookingPool, fault.Fault{})
	for _, got := range sendAtOnce(r, c.entries[1], c.entries[2]) {
		c.checkTrue(what+", another entry VM", key, got)
	}
	assert.Equal(c.t, c.ranWithKey(key), step.ran, what)
	waitFor(c.t, "the deadline to pass", func() bool { return time.Now().After(deadline) })
	first = failure.after(c, first, own)
	c.checkTrue(what+", the first entry VM", key, <-lost)
	r.timeout = 300 * time.Millisecond
	for _, got := range sendAtOnce(r, c.entries...) {
		c.checkTrue(what+", when it is over", key, got)
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

// A VM takes a booking, has it run, and dies before the outcome is recorded.
// The caller asks another VM and is ready to wait. After half a minute the dead
// holder counts as silent; a pool whose targets check fencing tokens would take
// a second call under a newer token. The caller is told "unknown" instead, for
// the booking was made.
func TestSilentHolderIsNeverTakenOver(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2, editFleet: bookingChecksFencing(true)})
	key := newKey()
	c.setFault(bookingPool, fault.Fault{StraggleFactor: 150})
	background(c.entries[0].address, confirm(key))
	waitFor(t, "the booking to run", func() bool { return c.ranWithKey(key) > 0 })
	c.entries[0].kill(t)
	c.setFault(bookingPool, fault.Fault{})
	got := sendNow(c.entries[1].address, quickConfirm(key, silentTerm+3*time.Second))
	assert.NilError(t, got.err)
	assert.Equal(t, c.ranWithKey(key), 1)
	assert.Equal(t, got.problem.Execution, problem.Unknown, "%s", got.body)
}

// silentTerm is after how long a holder counts as silent.
const silentTerm = 30 * time.Second

// The table service writes a claim, or an outcome, and its answer is lost on
// the way. The entry VM can't tell whether it holds the claim. It must neither
// give up a booking that nobody else may run, nor run it beside somebody.
func TestBookingRunsAtMostOnceWhenAnswersOfTheTableAreLost(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.setFault(fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.5})
	answered := 0
	for range 8 {
		key := newKey()
		for _, got := range sendAtOnce(quickConfirm(key, 2*time.Second), c.entries...) {
			c.checkTrue("answers of the table are lost", key, got)
			if got.status == http.StatusOK {
				answered++
			}
		}
	}
	assert.Assert(t, answered > 0)
	c.setFault(fault.ScopeTable, fault.Fault{})

	// Each and every answer is lost, at the relay: the claim takes effect.
	key := newKey()
	c.tableRelay.SetFaults(relay.Faults{LoseAnswer: true})
	got := sendNow(c.entries[0].address, quickConfirm(key, 300*time.Millisecond))
	c.checkTrue("all answers are lost", key, got)
	assert.Equal(t, c.ranWithKey(key), 0)
	assert.Assert(t, c.claimStands(key))
	c.tableRelay.SetFaults(relay.Faults{})
	// The claim that nobody used is given up, so the key is not blocked.
	waitFor(t, "the booking to be made in the end", func() bool {
		return sendNow(c.entries[1].address, quickConfirm(key, 500*time.Millisecond)).status == http.StatusOK
	})
	assert.Equal(t, c.ranWithKey(key), 1)
}

// The table service is down from before the first try to after the last. No
// claim can be made, so nothing may be sent, however often the caller asks and
// wherever.
func TestNothingRunsWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.setFault(fault.ScopeTable, fault.Fault{Refuse: true})
	key := newKey()
	r := quickConfirm(key, 300*time.Millisecond)
	for range 3 {
		for _, got := range sendAtOnce(r, c.entries...) {
			assert.Equal(t, got.status, http.StatusServiceUnavailable, "%s", got.body)
			c.checkTrue("the table is down", key, got)
		}
	}
	assert.Equal(t, c.ranWithKey(key), 0)
	c.setFault(fault.ScopeTable, fault.Fault{})
	waitFor(t, "the booking to be made once the table is back", func() bool {
		return sendNow(c.entries[0].address, r).status == http.StatusOK
	})
	assert.Equal(t, c.ranWithKey(key), 1)
}

// The target runs the call and closes the connection without an answer. HTTP
// libraries send such a call again by themselves, on a kept connection above
// all, where they take the close for an old one: the booking would run twice.
func TestLostAnswerOfATargetRunsOnceWithEveryMethod(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 2})
	for _, kept := range []bool{false, true} {
		for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet} {
			what := fmt.Sprintf("%s, kept connections %v", method, kept)
			if kept {
				c.openConnections()
			}
			c.setFault(bookingPool, fault.Fault{LoseAnswerShare: 1})
			key := newKey()
			r := request{method: method, path: "/v1/services/booking/once/hall", key: key}
			got := sendNow(c.entries[0].address, r)
			c.checkTrue(what, key, got)
			assert.Equal(t, c.ranWithKey(key), 1, what)
			assert.Equal(t, got.problem.Execution, problem.Unknown, "%s: %s", what, got.body)
			c.setFault(bookingPool, fault.Fault{})
			r.timeout = 200 * time.Millisecond
			c.checkTrue(what+", again", key, sendNow(c.entries[1].address, r))
			assert.Equal(t, c.ranWithKey(key), 1, what)
		}
	}
	// An idempotent call is sent again, by this system only: each time under an
	// identity of its own.
	c.openConnections()
	c.setFault(bookingPool, fault.Fault{LoseAnswerShare: 1})
	sendNow(c.entries[0].address, request{method: http.MethodGet, path: "/v1/services/booking/look"})
	seen := map[string]bool{}
	for _, e := range c.executions() {
		assert.Assert(t, !seen[e.RequestID], "%s %s was sent twice under %s", e.Method, e.Path, e.RequestID)
		seen[e.RequestID] = true
	}
}

// openConnections has the first entry VM keep connections to all targets of the
// service.
func (c *cluster) openConnections() {
	c.t.Helper()
	r := request{method: http.MethodGet, path: "/v1/services/booking/look"}
	var all sync.WaitGroup
	for range 12 {
		all.Go(func() { sendNow(c.entries[0].address, r) })
	}
	all.Wait()
}

// A caller writes the path of a call that may be sent again so that, decoded
// once more, it is that of a booking. Sent on as it was decoded, it would reach
// the target as a booking without a key, and would be sent again after a lost
// answer.
func TestPathCannotPassABookingOffAsARead(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 1})
	c.setFault(bookingPool, fault.Fault{LoseAnswerShare: 1})
	for _, path := range []string{"look/%252e%252e/once/hall", "look%252f%252e%252e%252fonce/hall", "%252e/once/hall", "look/%2e%2e/once/hall"} {
		sendNow(c.entries[0].address, request{method: http.MethodGet, path: "/v1/services/booking/" + path})
	}
	for _, e := range c.executions() {
		assert.Assert(t, !strings.HasPrefix(e.Path, "/booking/once"), "%s ran as %s", e.RequestID, e.Path)
	}
}

// The entry VM that sent a booking dies before it has recorded the outcome. Its
// caller asks at another VM, with plenty of time. Nobody will ever know the
// outcome there, and a caller that is kept waiting until its deadline to hear so
// waits for nothing.
func TestDeadHoldersCallerIsToldAtOnce(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitEntries()
	c.setFault(bookingPool, fault.Fault{DelayMS: 60_000})
	key := newKey()
	background(c.entries[0].address, quickConfirm(key, time.Minute))
	waitFor(t, "the claim to stand", func() bool { return c.claimStands(key) })
	c.entries[0].kill(t)
	waitFor(t, "the other VMs to know of the death", func() bool {
		return len(c.entriesAt(c.entries[1].address)) == 2 && len(standings(c.entries[1].address)) > 0 &&
			!slices.ContainsFunc(c.status(c.entries[1].address).VMs, func(vm status.VM) bool {
				return vm.CallerAddress == c.entries[0].address && !vm.Silent()
			})
	})
	waitFor(t, "an answer long before the deadline", func() bool {
		got := sendNow(c.entries[1].address, quickConfirm(key, 40*time.Second))
		return got.took < 10*time.Second && got.problem != nil && got.problem.Execution == problem.Unknown
	})
}
