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
	// defaultLong is how long faults go on; VANILLAGATE_LONG sets another time.
	defaultLong = 14 * time.Second
	// callerTries is how often a caller sends one request, each time to another
	// entry VM and with the same key.
	callerTries = 6
	callerPause = 150 * time.Millisecond
)

// longRun is a deployment under load and faults.
type longRun struct {
	c     *cluster
	t     *testing.T
	wrong failureList

	// mu guards the entry VMs, which faults replace, and the rest below.
	mu     sync.Mutex
	keys   []string // bookings that a caller was told of as done
	unsure []string // bookings that no caller knows of
	notRun []string // bookings of which the last word was that they did not run
	served atomic.Int64
	gaveUp atomic.Int64
}

func seedOf(t *testing.T) uint64 {
	text := os.Getenv("VANILLAGATE_SEED")
	if text == "" {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(t, err)
	return seed
}

func longOf(t *testing.T) time.Duration {
	text := os.Getenv("VANILLAGATE_LONG")
	if text == "" {
		return defaultLong
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// A bad quarter of an hour, made short: entry VMs are killed, frozen and
// replaced, the table service goes down, loses answers and falls silent,
// targets straggle, drop their streams and lose answers, engines die, and
// operators go on changing contracts and announcing stops. Two or three of
// these come together. Callers try again at other entry VMs under the same
// key. A user may wait or be told that something failed; never may an answer
// be another's or short, a booking run twice, or one that ran be called not
// run. What was accepted must be in force at the end, and never have been
// gone.
func TestLongSeededRun(t *testing.T) {
	seed := seedOf(t)
	t.Logf("VANILLAGATE_SEED=%d", seed)
	c := startCluster(t, clusterOptions{entries: 4})
	c.waitLinked()
	r := &longRun{c: c, t: t}
	watch := watchRevisions(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() { r.ask(ctx, fmt.Sprintf("P%d", i)) })
		callers.Go(func() { r.streamOn(ctx, fmt.Sprintf("S%d", i)) })
		callers.Go(func() { r.bookOn(ctx, fmt.Sprintf("B%d", i)) })
	}
	accepted := r.operateOn(ctx, &callers)
	random := rand.New(rand.NewPCG(seed, seed))
	until := time.Now().Add(longOf(t))
	rounds := 0
	stopping, stoppedAt := c.targets("llm")[random.IntN(4)], time.Time{}
	for ; time.Now().Before(until); rounds++ {
		if rounds == 2 {
			callers.Go(func() { stoppedAt = r.announce(stopping) })
		}
		r.faultsTogether(random)
	}
	faulty := time.Since(until.Add(-longOf(t)))
	cancel()
	callers.Wait()
	ended := time.Since(until.Add(-longOf(t)))
	r.check(watch, <-accepted)
	r.checkStopped(stopping, stoppedAt)
	t.Logf("faults until %s, callers until %s, checked until %s", faulty, ended, time.Since(until.Add(-longOf(t))))
	t.Logf("%d rounds of faults, %d requests served, %d given up by their callers, %d bookings done, %d of unknown outcome, %d not run",
		rounds, r.served.Load(), r.gaveUp.Load(), len(r.keys), len(r.unsure), len(r.notRun))
	if t.Failed() {
		t.Logf("again with VANILLAGATE_SEED=%d", seed)
	}
}

// happening is a fault and how it ends. Replacements are waited for after the
// other faults have ended: a VM that leaves while the table service is silent
// goes on trying to record the outcomes that it owes, as it should.
type happening struct {
	name     string
	begin    func() (end func())
	replaces bool
}

// faultsTogether lets two or three things happen at once, for a while.
func (r *longRun) faultsTogether(random *rand.Rand) {
	all := r.happenings(random)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	var ends []func()
	for _, h := range all[:2+random.IntN(2)] {
		r.t.Logf("%s", h.name)
		end := h.begin()
		if h.replaces {
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

func (r *longRun) happenings(random *rand.Rand) []happening {
	c := r.c
	i, j := random.IntN(len(c.entries)), random.IntN(len(c.entries))
	engine := c.targets("llm")[random.IntN(4)]
	service := c.targets("booking")[random.IntN(3)]
	faulty := func(name, scope string, f fault.Fault) happening {
		return happening{name: name, begin: func() func() {
			c.setFault(scope, f)
			return func() { c.setFault(scope, fault.Fault{}) }
		}}
	}
	silent := func(f relay.Faults) func() func() {
		return func() func() {
			c.tableRelay.SetFaults(f)
			return func() { c.tableRelay.SetFaults(relay.Faults{}); c.tableRelay.ResetConnections() }
		}
	}
	return []happening{
		{"an entry VM is killed and replaced", func() func() { return r.replace(i, func(e *entryVM) { e.kill(r.t) }) }, true},
		{"an entry VM is stopped as planned and replaced", func() func() {
			return r.replace(j, func(e *entryVM) { e.signal(r.t, syscall.SIGTERM) })
		}, true},
		{"an entry VM stands still", func() func() {
			e := r.entry(i)
			_ = e.cmd.Process.Signal(syscall.SIGSTOP) // it may have ended already
			return func() { _ = e.cmd.Process.Signal(syscall.SIGCONT) }
		}, false},
		{"the table service falls silent", silent(relay.Faults{FreezeToCaller: true}), false},
		{"the table service loses its answers", silent(relay.Faults{LoseAnswer: true}), false},
		faulty("the table service is down", fault.ScopeTable, fault.Fault{Down: true}),
		faulty("the table service loses some answers", fault.ScopeTable, fault.Fault{LoseAnswerShare: 0.3}),
		faulty("an engine straggles", fault.TargetScope(engine), fault.Fault{StraggleFactor: 8}),
		faulty("an engine drops its streams", fault.TargetScope(engine), fault.Fault{DropStreamAfterTokens: 7}),
		faulty("an engine dies", fault.TargetScope(engine), fault.Fault{Down: true}),
		faulty("a service's target loses answers", fault.TargetScope(service), fault.Fault{LoseAnswerShare: 0.5}),
		faulty("a service's target dies", fault.TargetScope(service), fault.Fault{Down: true}),
		faulty("answers of rerankers are mixed up", fault.PoolScope("reranker"), fault.Fault{WrongIdentityShare: 0.2}),
		faulty("the VM list is down", fault.ScopeVMList, fault.Fault{Down: true}),
	}
}

func (r *longRun) entry(i int) *entryVM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.c.entries[i]
}

// replace ends a VM in some way; at the end another runs in its place.
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
			r.wrong.add(fmt.Sprintf("%s ended with exit code %d", e.name, code))
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.c.entries[i] == e {
			r.c.restart(e)
		}
	}
}

// somewhere picks an entry VM for the n-th try.
func (r *longRun) somewhere(n int) string {
	return r.entry((rand.IntN(len(r.c.entries)) + n) % len(r.c.entries)).address
}

// try sends a request until it gets a final answer.
func (r *longRun) try(req request, final func(reply) bool) (got reply, done bool) {
	for n := range callerTries {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		got = send(ctx, r.somewhere(n), req)
		cancel()
		if final(got) {
			return got, true
		}
		time.Sleep(callerPause)
	}
	return got, false
}

func succeeded(got reply) bool { return got.err == nil && got.status == http.StatusOK }

func (r *longRun) ask(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("%s-%d", name, i)
		got, done := r.try(pipelineRequest(ref, 24), succeeded)
		if !done {
			r.gaveUp.Add(1)
			continue
		}
		r.served.Add(1)
		if wrong := replyError(got, wholeText(ref, 24)); wrong != "" {
			r.wrong.add(ref + ": " + wrong)
		}
	}
}

// streamOn checks that each stream is whole or ends in an error that says so;
// what came until then must be the beginning of the answer.
func (r *longRun) streamOn(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("%s-%d", name, i)
		want := wholeText(ref, 60)
		within, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		got := stream(within, r.somewhere(i), ref, 60, nil)
		cancel()
		switch {
		case got.err == nil && got.problem == nil && got.text != want:
			r.wrong.add(fmt.Sprintf("%s: ended as if whole with %q", ref, got.text))
		case len(got.text) > len(want) || got.text != want[:len(got.text)]:
			r.wrong.add(fmt.Sprintf("%s: text of another or doubled: %q", ref, got.text))
		case got.err == nil && got.problem == nil:
			r.served.Add(1)
		default:
			r.gaveUp.Add(1)
			time.Sleep(callerPause)
		}
	}
}

// bookOn books under a key of its own each time. What it is told last of the
// key is checked against the targets' own count.
func (r *longRun) bookOn(ctx context.Context, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		booking := bookingRequest(key)
		booking.timeout = 1500 * time.Millisecond
		got, done := r.try(booking, succeeded)
		r.mu.Lock()
		switch {
		case done:
			r.keys = append(r.keys, key)
			r.served.Add(1)
		case got.problem != nil && got.problem.Execution == problem.NotRun:
			r.notRun = append(r.notRun, key)
		default:
			r.unsure = append(r.unsure, key)
		}
		r.mu.Unlock()
	}
}

// operateOn goes on changing contracts and gives what was accepted.
func (r *longRun) operateOn(ctx context.Context, wait *sync.WaitGroup) <-chan map[string]config.Revision {
	result := make(chan map[string]config.Revision, 1)
	wait.Go(func() {
		accepted := map[string]config.Revision{}
		for i := 0; ctx.Err() == nil; i++ {
			name := fmt.Sprintf("long-%d", i)
			got := changeItem(r.somewhere(i), "day shift", "change-"+name, "contracts/"+name, config.Contract{Customer: name, Share: 7}, 0)
			if got.err == nil && got.status == http.StatusOK {
				accepted[name] = got.accepted(r.t)
			}
			time.Sleep(callerPause)
		}
		result <- accepted
	})
	return result
}

// announce has a stop of a target announced at whatever entry VM takes it in,
// and gives when it did.
func (r *longRun) announce(target string) time.Time {
	for n := 0; ; n++ {
		got := callAdminAPI(r.somewhere(n), http.MethodPut, "stops/long", stopOf("long", target), map[string]string{"If-Match": "0", "Change-Id": "stop-long"})
		if got.err == nil && (got.status == http.StatusOK || got.status == http.StatusAccepted) {
			return time.Now()
		}
		time.Sleep(callerPause)
	}
}

// checkStopped checks that the stop was heeded soon and all the time after.
func (r *longRun) checkStopped(target string, at time.Time) {
	late, before := 0, 0
	for _, e := range r.c.executions() {
		switch started := time.UnixMicro(e.StartedUnixUS); {
		case e.Target != target:
		case started.After(at.Add(maxPropagationDelay)):
			late++
			r.t.Logf("%s began %s after the announcement", e.RequestID, started.Sub(at))
		default:
			before++
		}
	}
	assert.Equal(r.t, late, 0, "new work at a stopped target")
	assert.Assert(r.t, before > 0)
	for _, address := range r.c.addresses() {
		assert.Assert(r.t, stopInForce(address, "long"), "%s lost the stop", address)
	}
}

// check is the reckoning, after all is well again.
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
	r.wrong.checkEmpty(t)
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
	for _, key := range r.keys {
		if ran[key] != 1 {
			t.Errorf("booking %s was answered as done and ran %d times", key, ran[key])
		}
	}
	for _, key := range r.notRun {
		if ran[key] != 0 {
			t.Errorf("booking %s was called not run and ran %d times", key, ran[key])
		}
	}
	assert.Assert(t, len(r.keys) > 20 && len(accepted) > 5, "too little went well to say anything: %d bookings, %d changes", len(r.keys), len(accepted))
}
