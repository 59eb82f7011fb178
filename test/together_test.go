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
	togetherSeed = flag.Uint64("together.seed", 1, "seed of the faults that come together")
	togetherFor  = flag.Duration("together.for", 10*time.Second, "how long they come")
)

// booked is all that a caller did and heard under one key.
type booked struct {
	key  string
	told []said
}

// said is one try of a caller and what it heard.
type said struct {
	reply
	at    string
	since time.Time
}

// String is the history of a key, for those who look into a failure.
func (b booked) String() string {
	var lines strings.Builder
	for i, s := range b.told {
		fmt.Fprintf(&lines, "\n%s try %d of %s at %s for %s: status %d %s %v", s.since.Format("05.000"), i+1, b.key, s.at, s.took, s.status, s.body, s.err)
	}
	return lines.String()
}

// booker submits bookings one after the other, each until it hears something
// final: at any entry VM, sometimes leaving before the answer.
func booker(addresses []string, seed uint64, stop <-chan struct{}) []booked {
	dice := rand.New(rand.NewPCG(seed, seed))
	var all []booked
	for {
		select {
		case <-stop:
			return all
		default:
		}
		b := booked{key: newKey()}
		for range 5 {
			r := quickConfirm(b.key, time.Duration(200+dice.IntN(1200))*time.Millisecond)
			patient := time.Duration(100+dice.IntN(2000)) * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), patient)
			at, since := addresses[dice.IntN(len(addresses))], time.Now()
			got := send(ctx, at, r)
			cancel()
			b.told = append(b.told, said{got, at, since})
			if final(got) {
				break
			}
		}
		all = append(all, b)
	}
}

func final(got reply) bool {
	if got.err != nil {
		return false
	}
	return got.status == http.StatusOK || got.problem != nil && got.problem.Execution != problem.Unknown
}

// asker sends pipeline requests and keeps what was wrong about an answer.
func asker(addresses []string, seed uint64, stop <-chan struct{}) (answered int, wrong []string) {
	dice := rand.New(rand.NewPCG(seed, seed))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return answered, wrong
		default:
		}
		at, ref := addresses[dice.IntN(len(addresses))], fmt.Sprintf("T%d-%d", seed, i)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		s := stream(ctx, at, ref, 12, nil)
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

// trouble is one fault and its end.
type trouble struct {
	name string
	on   func()
	off  func()
}

// troubles are what may come at any moment, alone, together or twice.
func (c *cluster) troubles(own []*relay.Relay) []trouble {
	var list []trouble
	add := func(name string, on, off func()) { list = append(list, trouble{name, on, off}) }
	for i := range c.entries {
		add(fmt.Sprintf("freeze %d", i),
			func() { c.entries[i].freeze(c.t) }, func() { c.entries[i].signal(c.t, syscall.SIGCONT) })
		add(fmt.Sprintf("kill %d", i),
			func() { c.entries[i].kill(c.t) }, func() { c.restart(c.entries[i]) })
		for _, f := range []relay.Faults{
			{FreezeToCaller: true, FreezeToTarget: true, RefuseConnections: true}, {FreezeToCaller: true}, {LoseAnswer: true},
		} {
			add(fmt.Sprintf("table of %d, %+v", i, f),
				func() { own[i].SetFaults(f); own[i].ResetConnections() }, func() { own[i].SetFaults(relay.Faults{}) })
		}
	}
	scopes := []struct {
		scope  string
		faults []fault.Fault
	}{
		{fault.ScopeTable, []fault.Fault{{Refuse: true}, {LoseAnswerShare: 0.5}, {DelayMS: 300}}},
		{bookingPool, []fault.Fault{{LoseAnswerShare: 0.5}, {WrongIdentityShare: 0.4}, {StraggleFactor: 60}, {Refuse: true}, {Down: true}}},
		{enginePool, []fault.Fault{{DropStreamAfterTokens: 5}, {WrongIdentityShare: 0.3}, {StraggleFactor: 10}}},
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

// subject is what a trouble befalls; one at a time may befall it.
func (t trouble) subject() string {
	what, _, _ := strings.Cut(t.name, ",")
	return strings.NewReplacer("freeze", "VM", "kill", "VM").Replace(what)
}

// Faults come together and twice, for a while, at moments that a seed decides:
// entry VMs freeze, die and lose sight of the table, which is down, slow or
// loses answers, and targets hang up, lag and mix up their callers. Meanwhile
// callers book and ask, leave early and try again elsewhere. What they were
// told must be true in the end: of each key, and of each answer.
func TestFaultsTogetherAndTwice(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 4})
	var own []*relay.Relay
	var addresses []string
	for i := range c.entries {
		_, r := c.giveOwnTable(c.entries[i])
		own = append(own, r)
		addresses = append(addresses, c.entries[i].address)
	}
	c.waitEntries()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var bookings []booked
	var wrong []string
	answered := 0
	for i := range 8 {
		callers.Go(func() {
			got := booker(addresses, *togetherSeed+uint64(i), stop)
			mu.Lock()
			defer mu.Unlock()
			bookings = append(bookings, got...)
		})
	}
	for i := range 4 {
		callers.Go(func() {
			n, bad := asker(addresses, *togetherSeed+uint64(i), stop)
			mu.Lock()
			defer mu.Unlock()
			answered += n
			wrong = append(wrong, bad...)
		})
	}
	c.makeTrouble(c.troubles(own))
	close(stop)
	callers.Wait()
	// Whatever was frozen or delayed comes to its end before the count.
	waitFor(t, "the last calls to end", c.allEnded)
	assert.Equal(t, len(wrong), 0, "seed %d: %v", *togetherSeed, wrong)
	c.checkBookings(bookings)
	t.Logf("seed %d: %d bookings, %d pipeline answers", *togetherSeed, len(bookings), answered)
	assert.Assert(t, answered > 0)
}

// makeTrouble has up to four troubles at a time, and ends them all.
func (c *cluster) makeTrouble(all []trouble) {
	c.t.Helper()
	dice := rand.New(rand.NewPCG(*togetherSeed, 0))
	var active []trouble
	for until := time.Now().Add(*togetherFor); time.Now().Before(until); {
		next := all[dice.IntN(len(all))]
		beside := func(t trouble) bool { return t.subject() == next.subject() }
		if len(active) < 4 && !slices.ContainsFunc(active, beside) {
			c.t.Logf("%s on: %s", time.Now().Format("05.000"), next.name)
			next.on()
			active = append(active, next)
		}
		<-time.After(time.Duration(50+dice.IntN(400)) * time.Millisecond)
		for len(active) > 0 && dice.IntN(2) == 0 {
			c.t.Logf("%s off: %s", time.Now().Format("05.000"), active[0].name)
			active[0].off()
			active = active[1:]
		}
	}
	for _, t := range active {
		t.off()
	}
}

// allEnded says that no target works on a booking any more: one that ended has
// finished, or has cost something.
func (c *cluster) allEnded() bool {
	for _, e := range c.executions() {
		if e.Pool == "booking" && !e.Finished && e.EngineUS == 0 {
			return false
		}
	}
	return true
}

// checkBookings holds all that was told of each key against the targets' count
// in the end.
func (c *cluster) checkBookings(bookings []booked) {
	c.t.Helper()
	ran := map[string]int{}
	for _, e := range c.executions() {
		ran[e.IdempotencyKey]++
	}
	tally := map[problem.Execution]int{}
	for _, b := range bookings {
		assert.Assert(c.t, ran[b.key] <= 1, "seed %d: %s ran %d times:%s", *togetherSeed, b.key, ran[b.key], b)
		for i, got := range b.told {
			switch {
			case got.err != nil:
				tally["no answer"]++
			case got.status == http.StatusOK:
				tally["answered"]++
				assert.Equal(c.t, ran[b.key], 1, "seed %d: %s was answered", *togetherSeed, b.key)
				assert.Assert(c.t, strings.Contains(string(got.body), `"[ref:`+b.key+`]"`), "%s got %s", b.key, got.body)
			default:
				assert.Assert(c.t, got.problem != nil, "%s got %s", b.key, got.body)
				tally[got.problem.Execution]++
				if got.problem.Execution == problem.NotRun {
					assert.Equal(c.t, ran[b.key], 0, "seed %d: %s was told not_run at try %d:%s", *togetherSeed, b.key, i+1, b)
				}
				if got.problem.Execution == problem.Ran {
					assert.Equal(c.t, ran[b.key], 1, "seed %d: %s was told ran:%s", *togetherSeed, b.key, b)
				}
			}
		}
	}
	c.t.Logf("told: %v", tally)
}
