package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

const (
	defaultSeed = 2
	// defaultFaultDuration is how long faults are injected; VANILLAGATE_LONG sets another duration.
	defaultFaultDuration = 14 * time.Second
	// callerTries is how often a caller sends a request, each time to another entry VM and with the
	// same key.
	callerTries = 6
	callerPause = 150 * time.Millisecond
)

// longRun is a deployment under load and faults, and what its callers were told.
type longRun struct {
	c        *cluster
	t        *testing.T
	failures failureList

	// mu guards the entry VMs of c, which faults replace, and the fields below.
	mu      sync.Mutex
	booked  []string // bookings that a caller was told were done
	unknown []string // bookings of which no caller knows the outcome
	notRun  []string // bookings whose last answer said that they did not run
	served  atomic.Int64
	gaveUp  atomic.Int64
}

func testSeed(t *testing.T) uint64 {
	text := os.Getenv("VANILLAGATE_SEED")
	if text == "" {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

func longRunDuration(t *testing.T) time.Duration {
	text := os.Getenv("VANILLAGATE_LONG")
	if text == "" {
		return defaultFaultDuration
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// Injects random faults, two or three at a time, under load: entry VMs are killed, paused, stopped and
// replaced; the table service goes down, loses answers or stops responding; targets are slow, drop their
// streams, lose answers or go down. Meanwhile operators change contracts and announce a stop. Callers
// retry at other entry VMs with the same key. Requests may be slow or fail, but no answer may be
// incomplete or belong to another request, no booking may run twice, and none that ran may be reported
// as not run. Every accepted change must be in force at the end, and must never have disappeared.
func TestLongSeededRun(t *testing.T) {
	seed := testSeed(t)
	t.Logf("VANILLAGATE_SEED=%d", seed)
	c := startCluster(t, clusterOptions{entries: 4})
	c.waitLinked()
	r := &longRun{c: c, t: t}
	watch := watchRevisions(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() { r.sendPipelines(ctx, fmt.Sprintf("P%d", i)) })
		callers.Go(func() { r.sendStreams(ctx, fmt.Sprintf("S%d", i)) })
		callers.Go(func() { r.sendBookings(ctx, fmt.Sprintf("B%d", i)) })
	}
	accepted := r.changeContracts(ctx, &callers)
	random := rand.New(rand.NewPCG(seed, seed))
	until := time.Now().Add(longRunDuration(t))
	rounds := 0
	stopping, stoppedAt := c.targets("llm")[random.IntN(4)], time.Time{}
	for ; time.Now().Before(until); rounds++ {
		if rounds == 2 {
			callers.Go(func() { stoppedAt = r.announceUntilAccepted(stopping) })
		}
		r.injectFaults(random)
	}
	faulty := time.Since(until.Add(-longRunDuration(t)))
	cancel()
	callers.Wait()
	ended := time.Since(until.Add(-longRunDuration(t)))
	r.check(watch, <-accepted)
	r.checkStopped(stopping, stoppedAt)
	t.Logf("faults until %s, callers until %s, checked until %s", faulty, ended, time.Since(until.Add(-longRunDuration(t))))
	t.Logf("%d rounds of faults, %d requests served, %d given up by their callers, %d bookings done, %d of unknown outcome, %d not run",
		rounds, r.served.Load(), r.gaveUp.Load(), len(r.booked), len(r.unknown), len(r.notRun))
	if t.Failed() {
		t.Logf("to reproduce, set VANILLAGATE_SEED=%d", seed)
	}
}

// faultEvent is a fault and how it ends. Replacements end after all other faults: a VM that shuts down
// while the table service doesn't respond keeps trying to record the outcomes of its requests, as it
// should.
type faultEvent struct {
	name     string
	begin    func() (end func())
	replaces bool
}

// injectFaults injects two or three faults at once, for a random time, and waits until requests are
// served again.
func (r *longRun) injectFaults(random *rand.Rand) {
	all := r.faultEvents(random)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var ends []func()
	for _, event := range all[:2+random.IntN(2)] {
		r.t.Logf("%s", event.name)
		end := event.begin()
		if event.replaces {
			ends = append(ends, end)
		} else {
			ends = append([]func(){end}, ends...)
		}
	}
	lasting := time.Duration(400+random.IntN(1200)) * time.Millisecond
	began, before := time.Now(), r.served.Load()
	waitFor(r.t, "the faults to have lasted", func() bool { return time.Since(began) > lasting })
	for _, end := range ends {
		end()
	}
	waitFor(r.t, "requests to be served again", func() bool { return r.served.Load() > before+20 })
}

func (r *longRun) faultEvents(random *rand.Rand) []faultEvent {
	c := r.c
	i, j := random.IntN(len(c.entries)), random.IntN(len(c.entries))
	engine := c.targets("llm")[random.IntN(4)]
	service := c.targets("booking")[random.IntN(3)]
	faulty := func(name, scope string, f fault.Fault) faultEvent {
		return faultEvent{name: name, begin: func() func() {
			c.setFault(scope, f)
			return func() { c.setFault(scope, fault.Fault{}) }
		}}
	}
	tableFault := func(f relay.Faults) func() func() {
		return func() func() {
			c.tableRelay.SetFaults(f)
			return func() { c.tableRelay.SetFaults(relay.Faults{}); c.tableRelay.ResetConnections() }
		}
	}
	return []faultEvent{
		{"an entry VM is killed and replaced", func() func() { return r.replace(i, func(e *entryVM) { e.kill(r.t) }) }, true},
		{"an entry VM is stopped as planned and replaced", func() func() {
			return r.replace(j, func(e *entryVM) { e.signal(r.t, syscall.SIGTERM) })
		}, true},
		{"an entry VM is paused", func() func() {
			e := r.entry(i)
			_ = e.cmd.Process.Signal(syscall.SIGSTOP) // the process may have ended already
			return func() { _ = e.cmd.Process.Signal(syscall.SIGCONT) }
		}, false},
		{"the table service stops responding", tableFault(relay.Faults{FreezeToCaller: true}), false},
		{"the table service loses its answers", tableFault(relay.Faults{LoseAnswer: true}), false},
		faulty("the table service is down", fault.ScopeTable, fault.Fault{Down: true}),
		faulty("the table service loses some answers", fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.3}),
		faulty("an engine is slow", fault.TargetScope(engine), fault.Fault{StraggleFactor: 8}),
		faulty("an engine drops its streams", fault.TargetScope(engine), fault.Fault{DropStreamAfterTokens: 7}),
		faulty("an engine goes down", fault.TargetScope(engine), fault.Fault{Down: true}),
		faulty("a service's target loses answers", fault.TargetScope(service), fault.Fault{LoseAnswerShare: 0.5}),
		faulty("a service's target goes down", fault.TargetScope(service), fault.Fault{Down: true}),
		faulty("rerankers answer with wrong identities", fault.PoolScope("reranker"), fault.Fault{WrongIdentityShare: 0.2}),
		faulty("the VM list is down", fault.ScopeVMList, fault.Fault{Down: true}),
	}
}

func (r *longRun) entry(i int) *entryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.c.entries[i]
}

// replace ends an entry VM with the given function, unless it has ended already. The function that it
// returns starts another one in its place.
func (r *longRun) replace(i int, end func(*entryVM)) func() {
	e := r.entry(i)
	select {
	case <-e.done:
	default:
		end(e)
	}
	return func() {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		code := e.waitExit(r.t, waitTimeout)
		if code != 0 && e.cmd.ProcessState.Exited() {
			r.failures.add(fmt.Sprintf("%s ended with exit code %d", e.name, code))
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.c.entries[i] == e {
			r.c.restart(e)
		}
	}
}

// pickEntry returns the address of an entry VM for the n-th try.
func (r *longRun) pickEntry(n int) string {
	return r.entry((rand.IntN(len(r.c.entries)) + n) % len(r.c.entries)).address
}

// sendWithRetries sends a request until final accepts the reply, at most callerTries times.
func (r *longRun) sendWithRetries(req request, final func(reply) bool) (got reply, done bool) {
	for n := range callerTries {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		got = send(ctx, r.pickEntry(n), req)
		cancel()
		if final(got) {
			return got, true
		}
		time.Sleep(callerPause)
	}
	return got, false
}

// succeeded reports whether the reply has status 200.
func succeeded(got reply) bool { return got.err == nil && got.status == http.StatusOK }

// sendPipelines sends pipeline requests one after another until the context ends, and checks the answers.
func (r *longRun) sendPipelines(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("%s-%d", name, i)
		got, done := r.sendWithRetries(pipelineRequest(ref, 24), succeeded)
		if !done {
			r.gaveUp.Add(1)
			continue
		}
		r.served.Add(1)
		if wrong := replyError(got, wholeText(ref, 24)); wrong != "" {
			r.failures.add(ref + ": " + wrong)
		}
	}
}

// sendStreams checks that each stream is complete or ends in an error; the text received before the error
// must be a prefix of the answer.
func (r *longRun) sendStreams(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("%s-%d", name, i)
		want := wholeText(ref, 60)
		within, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		got := stream(within, r.pickEntry(i), ref, 60, nil)
		cancel()
		switch {
		case got.err == nil && got.problem == nil && got.text != want:
			r.failures.add(fmt.Sprintf("%s: ended without an error, but the text is %q", ref, got.text))
		case len(got.text) > len(want) || got.text != want[:len(got.text)]:
			r.failures.add(fmt.Sprintf("%s: text of another request or repeated text: %q", ref, got.text))
		case got.err == nil && got.problem == nil:
			r.served.Add(1)
		default:
			r.gaveUp.Add(1)
			time.Sleep(callerPause)
		}
	}
}

// sendBookings sends bookings, each with its own key. The last reply for a key is checked against the
// number of times that targets ran the booking.
func (r *longRun) sendBookings(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		booking := bookingRequest(key)
		booking.timeout = 1500 * time.Millisecond
		got, done := r.sendWithRetries(booking, succeeded)
		r.mu.Lock()
		switch {
		case done:
			r.booked = append(r.booked, key)
			r.served.Add(1)
		case got.problem != nil && got.problem.Execution == problem.NotRun:
			r.notRun = append(r.notRun, key)
		default:
			r.unknown = append(r.unknown, key)
		}
		r.mu.Unlock()
	}
}

// changeContracts changes one contract after the other until the context ends. The channel then gets the
// revisions of the accepted changes by contract name.
func (r *longRun) changeContracts(ctx context.Context, wait *sync.WaitGroup) <-chan map[string]config.Revision {
	result := make(chan map[string]config.Revision, 1)
	wait.Go(func() {
		accepted := map[string]config.Revision{}
		for i := 0; ctx.Err() == nil; i++ {
			name := fmt.Sprintf("long-%d", i)
			got := changeItem(r.pickEntry(i), "day shift", "change-"+name, "contracts/"+name, config.Contract{Customer: name, Share: 7}, 0)
			if got.err == nil && got.status == http.StatusOK {
				accepted[name] = got.accepted(r.t)
			}
			time.Sleep(callerPause)
		}
		result <- accepted
	})
	return result
}

// announceUntilAccepted announces the stop of a target at one entry VM after the other until one accepts
// it, and returns the time of acceptance.
func (r *longRun) announceUntilAccepted(target string) time.Time {
	for n := 0; ; n++ {
		got := callAdminAPI(r.pickEntry(n), http.MethodPut, "stops/long", newStop("long", target), map[string]string{"If-Match": "0", "Change-Id": "stop-long"})
		if got.err == nil && (got.status == http.StatusOK || got.status == http.StatusAccepted) {
			return time.Now()
		}
		time.Sleep(callerPause)
	}
}

// checkStopped checks that the target got no new requests from maxPropagationDelay after the announcement
// on, and that the stop is still in force.
func (r *longRun) checkStopped(target string, at time.Time) {
	late, before := 0, 0
	for _, e := range r.c.executions() {
		switch started := time.UnixMicro(e.StartedUnixUS); {
		case e.Target != target:
		case started.After(at.Add(maxPropagationDelay)):
			late++
			r.t.Logf("%s started %s after the announcement", e.RequestID, started.Sub(at))
		default:
			before++
		}
	}
	assert.Equal(r.t, late, 0, "new requests at a stopped target")
	assert.Assert(r.t, before > 0)
	for _, address := range r.c.addresses() {
		assert.Assert(r.t, stopInForce(address, "long"), "%s doesn't have the stop in force", address)
	}
}

// check verifies the results once all faults have ended and all VMs are ready.
func (r *longRun) check(watch *revisionWatch, accepted map[string]config.Revision) {
	t, c := r.t, r.c
	for _, e := range c.entries {
		c.waitReady(e)
	}
	c.waitLinked()
	last := config.Revision(0)
	for _, revision := range accepted {
		last = max(last, revision)
	}
	timeUntilInForce(t, time.Now(), last, c.addresses()...)
	for _, address := range c.addresses() {
		state := stateAt(address)
		for name, revision := range accepted {
			if state.LastChanges[config.ItemKey(config.KindContract, name)].Revision != revision {
				t.Errorf("%s: accepted change of %s at revision %d is not in force", address, name, revision)
			}
		}
	}
	watch.assertNoRegression(t)
	r.failures.checkEmpty(t)
	ran := map[string]int{}
	for _, e := range c.executions() {
		if e.IdempotencyKey != "" {
			ran[e.IdempotencyKey]++
		}
	}
	for key, n := range ran {
		if n > 1 {
			t.Errorf("booking %s ran %d times", key, n)
		}
	}
	for _, key := range r.booked {
		if ran[key] != 1 {
			t.Errorf("booking %s was answered as done and ran %d times", key, ran[key])
		}
	}
	for _, key := range r.notRun {
		if ran[key] != 0 {
			t.Errorf("booking %s was reported as not run and ran %d times", key, ran[key])
		}
	}
	assert.Assert(t, len(r.booked) > 20 && len(accepted) > 5, "too few successes for a meaningful result: %d bookings, %d changes", len(r.booked), len(accepted))
}
