package test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/entry"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
)

// longTokens makes a stream of some three seconds.
const longTokens = 2500

// longStreams are streams that run while something is stopped.
type longStreams struct {
	wait sync.WaitGroup
	got  []streamResult
}

func startStreams(name string, n int, addresses ...string) *longStreams {
	s := &longStreams{got: make([]streamResult, n)}
	for i := range n {
		s.wait.Go(func() {
			s.got[i] = stream(context.Background(), addresses[i%len(addresses)], fmt.Sprintf("%s%d", name, i), longTokens, nil)
		})
	}
	return s
}

// whole waits for the streams and checks that each is whole.
func (s *longStreams) whole(t *testing.T, name string) {
	t.Helper()
	s.wait.Wait()
	for i, got := range s.got {
		assert.NilError(t, got.err)
		assert.Assert(t, got.problem == nil, "stream %d: %v", i, got.problem)
		assert.Equal(t, got.text, wholeText(fmt.Sprintf("%s%d", name, i), longTokens))
	}
}

// inFlight counts what runs at a target.
func (c *cluster) inFlight(target string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Target == target && !e.Finished && !e.Cancelled {
			n++
		}
	}
	return n
}

// Two engines are to be replaced at the same time, announced at two entry VMs,
// while each works on streams that go on for seconds. The operators wait until
// nothing runs there any more and switch the VMs off. No user may notice: no
// stream is cut or begun again elsewhere, and no request fails. New work there
// could be cut when the VMs go, so there must be none.
func TestPlannedStopOfTwoTargetsCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{editFleet: inOneZone})
	c.waitLinked()
	streams := startStreams("T", 12, c.addresses()...)
	waitFor(t, "all streams to be at engines", func() bool { return c.running("llm") == 12 })
	var stopping []string
	for _, target := range c.targets("llm") {
		if c.inFlight(target) > 0 && len(stopping) < 2 {
			stopping = append(stopping, target)
		}
	}
	assert.Equal(t, len(stopping), 2)
	l := startLoad(c, 2, nil)
	l.waitServed(10, c.addresses()...)
	began := time.Now()
	var both sync.WaitGroup
	for i, target := range stopping {
		both.Go(func() { announceStop(t, c.entries[i].address, stopOf(fmt.Sprintf("S%d", i), target), 0) })
	}
	both.Wait()
	announced := time.Now()
	for _, target := range stopping {
		waitFor(t, "nothing to run at "+target, func() bool { return c.inFlight(target) == 0 })
		c.setFault(fault.TargetScope(target), fault.Fault{Down: true})
	}
	t.Logf("both engines free %d ms after the announcement", time.Since(began).Milliseconds())
	l.waitServed(50, c.addresses()...)
	l.stopAndCheck(t)
	streams.whole(t, "T")
	for _, target := range stopping {
		for from, last := range l.lastStart(target) {
			assert.Assert(t, last.Before(announced), "%s sent work to %s %s after the announcement", from, target, last.Sub(announced))
		}
	}
	ran := c.longRuns()
	assert.Equal(t, len(ran), 12)
	for request, n := range ran {
		assert.Equal(t, n, 1, "stream %s ran at %d engines", request, n)
	}
}

// longRuns counts the engines that each request with a long text ran at.
func (c *cluster) longRuns() map[string]int {
	ran := map[string]int{}
	for _, e := range c.executions() {
		if e.Pool == "llm" && e.CompletionTokens > longTokens/10 {
			request, _, _ := strings.Cut(e.RequestID, "/")
			ran[request]++
		}
	}
	return ran
}

// book sends bookings one after another until the context ends; each must be
// answered and run exactly once.
func book(ctx context.Context, c *cluster, address, name string, wrong func(string)) (keys []string) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		got := sendNow(address, bookingRequest(key))
		if ctx.Err() != nil && got.err != nil {
			return keys // sent when the VM was gone, as planned
		}
		if fault := replyError(got, ""); fault != "" {
			wrong(key + ": " + fault)
		}
		keys = append(keys, key)
	}
	return keys
}

// ranOnce checks that each booking ran exactly once.
func (c *cluster) ranOnce(t *testing.T, keys []string) {
	t.Helper()
	ran := map[string]int{}
	for _, e := range c.executions() {
		ran[e.IdempotencyKey]++
	}
	for _, key := range keys {
		assert.Equal(t, ran[key], 1, "booking %s ran %d times", key, ran[key])
	}
}

// An entry VM is told to leave while it serves long streams and bookings.
// Callers hold its address for a second, and one asked a VM that heard of the
// leave half a second late. All of them must be served as ever, and the
// program ends by itself with exit code 0.
func TestPlannedStopOfEntryVMCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	leaving := c.entries[0]
	streams := startStreams("E", 6, leaving.address)
	waitFor(t, "all streams to be at engines", func() bool { return c.running("llm") == 6 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wrong failureList
	var callers sync.WaitGroup
	var keys []string
	callers.Go(func() { keys = book(ctx, c, leaving.address, "B", wrong.add) })
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	callers.Go(func() { askOn(ctx, kept, leaving.address, wrong.add) })
	waitFor(t, "bookings", func() bool { return c.finished("booking") > 10 })

	told := time.Now()
	leaving.signal(t, syscall.SIGTERM)
	for _, e := range c.entries[1:] {
		waitFor(t, "callers to be told of others only", func() bool { return !names(e.address, leaving.address) })
	}
	t.Logf("no longer named to callers after %d ms", time.Since(told).Milliseconds())
	held := time.Second + 500*time.Millisecond // kept for 1 s, told 0.5 s late
	waitFor(t, "the address to have run out", func() bool { return time.Since(told) > held })
	cancel()
	callers.Wait()
	assert.Equal(t, leaving.waitExit(t, waitTimeout), 0)
	t.Logf("left after %d ms", time.Since(told).Milliseconds())
	streams.whole(t, "E")
	wrong.checkEmpty(t)
	assert.Assert(t, len(keys) > 10)
	c.ranOnce(t, keys)
}

// askOn asks on kept connections until the context ends.
func askOn(ctx context.Context, kept *http.Client, address string, wrong func(string)) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("A%d", i)
		if fault := replyError(sendBy(kept, pipelineRequest(ref, 4).build(address)), wholeText(ref, 4)); fault != "" && ctx.Err() == nil {
			wrong(ref + ": " + fault)
		}
	}
}

func (c *cluster) finished(pool string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Pool == pool && e.Finished {
			n++
		}
	}
	return n
}

// names says whether one entry VM tells callers of an address.
func names(asked, address string) bool {
	for _, e := range queryEntries(asked).Entries {
		if e.Address == address {
			return true
		}
	}
	return false
}

func queryEntries(address string) entry.Entries {
	got := sendNow(address, request{method: http.MethodGet, path: "/v1/entries"})
	var all entry.Entries
	if got.err != nil || json.Unmarshal(got.body, &all) != nil {
		return entry.Entries{}
	}
	return all
}

// guide is a caller's own list of addresses, kept as long as it may be.
type guide struct {
	mu    sync.Mutex // guards the rest
	known []string
	until time.Time
}

// next gives the addresses in the order to use them.
func (g *guide) next() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().After(g.until) {
		g.renew()
	}
	list := append([]string(nil), g.known...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (g *guide) renew() {
	asked := time.Now()
	for _, address := range g.known {
		all := queryEntries(address)
		if len(all.Entries) == 0 {
			continue
		}
		g.known = nil
		for _, e := range all.Entries {
			g.known = append(g.known, e.Address)
		}
		g.until = asked.Add(time.Duration(all.KeepMS) * time.Millisecond)
		return
	}
}

// All entry VMs are replaced, two at a time, while callers send on and on.
// They ask which VMs to use and keep the answer for as long as they may. Not
// one request may fail, and none be lost.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 4})
	c.waitLinked()
	first := &guide{known: c.addresses()}
	l := startLoad(c, 2, first.next)
	l.waitServed(20, c.addresses()...)
	for _, pair := range [][]*entryVM{{c.entries[0], c.entries[1]}, {c.entries[2], c.entries[3]}} {
		streams := startStreams("R", 4, pair[0].address, pair[1].address)
		began := time.Now()
		for _, e := range pair {
			e.signal(t, syscall.SIGTERM)
		}
		for _, e := range pair {
			assert.Equal(t, e.waitExit(t, waitTimeout), 0)
		}
		gone := time.Since(began)
		for _, e := range pair {
			c.waitReady(c.restart(e))
		}
		t.Logf("two VMs left after %d ms and are replaced after %d ms", gone.Milliseconds(), time.Since(began).Milliseconds())
		streams.whole(t, "R")
		l.waitServed(20, c.addresses()...)
	}
	l.stopAndCheck(t)
	t.Logf("%d requests, none failed", l.sent)
}

// A request is on its way when its entry VM is stopped; its answer comes while the
// VM leaves. The answer has to say that the connection closes: a caller that isn't
// told sends its next request on it, and may find it closed with that request unread.
func TestAnAnswerThatComesDuringALeaveSaysThatItsConnectionCloses(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	leaving := c.entries[0]
	answers := make(chan *http.Response, 1)
	kept := &http.Client{Transport: &http.Transport{}}
	go func() {
		defer close(answers)
		answer, err := kept.Do(pipelineRequest("T", longTokens/4).build(leaving.address))
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		if assert.Check(t, err == nil, "%v", err) {
			answers <- answer
		}
	}()
	waitFor(t, "the request to be at an engine", func() bool { return c.running("llm") == 1 })
	leaving.signal(t, syscall.SIGTERM)
	answer := <-answers
	assert.Assert(t, answer != nil)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Assert(t, answer.Close)
}
