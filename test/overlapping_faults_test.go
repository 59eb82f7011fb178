package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

var (
	faultSeed     = flag.Uint64("together.seed", 1, "seed of the overlapping faults")
	faultDuration = flag.Duration("together.for", 10*time.Second, "how long overlapping faults are injected")
)

// bookingHistory is all attempts of a caller under one key.
type bookingHistory struct {
	key      string
	attempts []bookingAttempt
}

// bookingAttempt is one attempt of a caller and its reply.
type bookingAttempt struct {
	reply
	address string
	start   time.Time
}

// String formats the attempts for failure messages.
func (b bookingHistory) String() string {
	var lines strings.Builder
	for i, s := range b.attempts {
		fmt.Fprintf(&lines, "\n%s try %d of %s at %s for %s: status %d %s %v", s.start.Format("05.000"), i+1, b.key, s.address, s.took, s.status, s.body, s.err)
	}
	return lines.String()
}

// submitBookings submits bookings one after another, each up to five times
// until its outcome is final. Each attempt goes to a random entry VM, and some
// disconnect before the answer.
func submitBookings(addresses []string, seed uint64, stop <-chan struct{}) []bookingHistory {
	random := rand.New(rand.NewPCG(seed, seed))
	var all []bookingHistory
	for {
		select {
		case <-stop:
			return all
		default:
		}
		b := bookingHistory{key: newKey()}
		for range 5 {
			r := bookingRequestWithTimeout(b.key, time.Duration(200+random.IntN(1200))*time.Millisecond)
			callerTimeout := time.Duration(100+random.IntN(2000)) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			address, start := addresses[random.IntN(len(addresses))], time.Now()
			got := send(ctx, address, r)
			cancel()
			b.attempts = append(b.attempts, bookingAttempt{got, address, start})
			if isFinal(got) {
				break
			}
		}
		all = append(all, b)
	}
}

func isFinal(got reply) bool {
	if got.err != nil {
		return false
	}
	return got.status == http.StatusOK || got.problem != nil && got.problem.Execution != problem.Unknown
}

// requestStreams sends pipeline requests as streams and collects the wrong
// answers.
func requestStreams(addresses []string, seed uint64, stop <-chan struct{}) (answered int, wrong []string) {
	random := rand.New(rand.NewPCG(seed, seed))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return answered, wrong
		default:
		}
		address, ref := addresses[random.IntN(len(addresses))], fmt.Sprintf("T%d-%d", seed, i)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		s := stream(ctx, address, ref, 12, nil)
		cancel()
		whole := s.err == nil && s.problem == nil
		if whole && s.text != wholeText(ref, 12) || !strings.HasPrefix(wholeText(ref, 12), s.text) {
			wrong = append(wrong, fmt.Sprintf("%s got %q", ref, s.text))
		}
		if whole {
			answered++
		}
	}
}

// injectedFault is a fault with the functions that start and stop it.
type injectedFault struct {
	name  string
	start func()
	stop  func()
}

// possibleFaults lists the faults that may be injected at any moment, alone,
// together or repeatedly.
func (c *cluster) possibleFaults(tableRelays []*relay.Relay) []injectedFault {
	var list []injectedFault
	add := func(name string, start, stop func()) { list = append(list, injectedFault{name, start, stop}) }
	for i := range c.entries {
		add(fmt.Sprintf("freeze %d", i),
			func() { c.entries[i].freeze(c.t) }, func() { c.entries[i].signal(c.t, syscall.SIGCONT) })
		add(fmt.Sprintf("kill %d", i),
			func() { c.entries[i].kill(c.t) }, func() { c.restart(c.entries[i]) })
		for _, f := range []relay.Faults{
			{FreezeToCaller: true, FreezeToTarget: true, RefuseConnections: true}, {FreezeToCaller: true}, {LoseAnswer: true},
		} {
			add(fmt.Sprintf("table of %d, %+v", i, f),
				func() { tableRelays[i].SetFaults(f); tableRelays[i].ResetConnections() }, func() { tableRelays[i].SetFaults(relay.Faults{}) })
		}
	}
	scopes := []struct {
		scope  string
		faults []fault.Fault
	}{
		{fault.ScopeTable, []fault.Fault{{Refuse: true}, {LoseAnswerShare: 0.5}, {DelayMS: 300}}},
		{bookingScope, []fault.Fault{{LoseAnswerShare: 0.5}, {WrongIdentityShare: 0.4}, {StraggleFactor: 60}, {Refuse: true}, {Down: true}}},
		{engineScope, []fault.Fault{{DropStreamAfterTokens: 5}, {WrongIdentityShare: 0.3}, {StraggleFactor: 10}}},
		{fault.PoolScope("encoder"), []fault.Fault{{WrongIdentityShare: 0.3}, {LoseAnswerShare: 0.3}}},
		{fault.PoolScope("retriever"), []fault.Fault{{WrongIdentityShare: 0.3}, {StraggleFactor: 30}}},
	}
	for _, s := range scopes {
		for _, f := range s.faults {
			add(fmt.Sprintf("%s, %+v", s.scope, f),
				func() { c.setFault(s.scope, f) }, func() { c.setFault(s.scope, fault.Fault{}) })
		}
	}
	return list
}

// subject is the component that the fault affects; a component has one fault at
// a time.
func (t injectedFault) subject() string {
	what, _, _ := strings.Cut(t.name, ",")
	return strings.NewReplacer("freeze", "VM", "kill", "VM").Replace(what)
}

// Faults overlap and repeat at moments that a seed decides: entry VMs freeze,
// die and lose the table, which is down, slow or loses answers, and targets
// close connections, are slow and swap answers. Meanwhile callers send bookings
// and pipeline requests, disconnect early and retry elsewhere. In the end,
// every reply must agree with the targets' executions, for each key and each
// answer.
func TestOverlappingFaults(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 4})
	var tableRelays []*relay.Relay
	var addresses []string
	for i := range c.entries {
		_, r := c.addTableRelay(c.entries[i])
		tableRelays = append(tableRelays, r)
		addresses = append(addresses, c.entries[i].address)
	}
	c.waitEntriesKnown()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var bookings []bookingHistory
	var wrong []string
	answered := 0
	for i := range 8 {
		callers.Go(func() {
			got := submitBookings(addresses, *faultSeed+uint64(i), stop)
			mu.Lock()
			defer mu.Unlock()
			bookings = append(bookings, got...)
		})
	}
	for i := range 4 {
		callers.Go(func() {
			n, bad := requestStreams(addresses, *faultSeed+uint64(i), stop)
			mu.Lock()
			defer mu.Unlock()
			answered += n
			wrong = append(wrong, bad...)
		})
	}
	c.injectFaults(c.possibleFaults(tableRelays))
	close(stop)
	callers.Wait()
	// Frozen and delayed calls must end before executions are counted.
	waitFor(t, "the last calls to end", c.bookingsEnded)
	assert.Equal(t, len(wrong), 0, "seed %d: %v", *faultSeed, wrong)
	c.checkBookings(bookings)
	t.Logf("seed %d: %d bookings, %d pipeline answers", *faultSeed, len(bookings), answered)
	assert.Assert(t, answered > 0)
}

// injectFaults injects random faults, up to four at a time, and stops them all
// at the end.
func (c *cluster) injectFaults(all []injectedFault) {
	c.t.Helper()
	random := rand.New(rand.NewPCG(*faultSeed, 0))
	var active []injectedFault
	for until := time.Now().Add(*faultDuration); time.Now().Before(until); {
		next := all[random.IntN(len(all))]
		sameSubject := func(t injectedFault) bool { return t.subject() == next.subject() }
		if len(active) < 4 && !slices.ContainsFunc(active, sameSubject) {
			c.t.Logf("%s on: %s", time.Now().Format("05.000"), next.name)
			next.start()
			active = append(active, next)
		}
		<-time.After(time.Duration(50+random.IntN(400)) * time.Millisecond)
		for len(active) > 0 && random.IntN(2) == 0 {
			c.t.Logf("%s off: %s", time.Now().Format("05.000"), active[0].name)
			active[0].stop()
			active = active[1:]
		}
	}
	for _, t := range active {
		t.stop()
	}
}

// bookingsEnded reports whether no target is running a booking: one that has
// ended is finished or has used engine time.
func (c *cluster) bookingsEnded() bool {
	for _, e := range c.executions() {
		if e.Pool == "booking" && !e.Finished && e.EngineUS == 0 {
			return false
		}
	}
	return true
}

// checkBookings compares all replies under each key with the executions that
// the targets have recorded in the end.
func (c *cluster) checkBookings(bookings []bookingHistory) {
	c.t.Helper()
	ran := map[string]int{}
	for _, e := range c.executions() {
		ran[e.IdempotencyKey]++
	}
	tally := map[problem.Execution]int{}
	for _, b := range bookings {
		assert.Assert(c.t, ran[b.key] <= 1, "seed %d: %s ran %d times:%s", *faultSeed, b.key, ran[b.key], b)
		for i, got := range b.attempts {
			switch {
			case got.err != nil:
				tally["no answer"]++
			case got.status == http.StatusOK:
				tally["answered"]++
				assert.Equal(c.t, ran[b.key], 1, "seed %d: %s was answered", *faultSeed, b.key)
				assert.Assert(c.t, strings.Contains(string(got.body), `"[ref:`+b.key+`]"`), "%s got %s", b.key, got.body)
			default:
				assert.Assert(c.t, got.problem != nil, "%s got %s", b.key, got.body)
				tally[got.problem.Execution]++
				if got.problem.Execution == problem.NotRun {
					assert.Equal(c.t, ran[b.key], 0, "seed %d: %s was told not_run at try %d:%s", *faultSeed, b.key, i+1, b)
				}
				if got.problem.Execution == problem.Ran {
					assert.Equal(c.t, ran[b.key], 1, "seed %d: %s was told ran:%s", *faultSeed, b.key, b)
				}
			}
		}
	}
	c.t.Logf("replies: %v", tally)
}
