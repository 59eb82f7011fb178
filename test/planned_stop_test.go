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

// longTokens is the number of tokens of a stream that takes about three seconds.
const longTokens = 2500

// longStreams are streams that run while a target or an entry VM is stopped.
type longStreams struct {
	wait    sync.WaitGroup
	results []streamResult
}

func startStreams(name string, n int, addresses ...string) *longStreams {
	s := &longStreams{results: make([]streamResult, n)}
	for i := range n {
		s.wait.Go(func() {
			s.results[i] = stream(context.Background(), addresses[i%len(addresses)], fmt.Sprintf("%s%d", name, i), longTokens, nil)
		})
	}
	return s
}

// checkWhole waits for the streams and checks that each is complete.
func (s *longStreams) checkWhole(t *testing.T, name string) {
	t.Helper()
	s.wait.Wait()
	for i, got := range s.results {
		assert.NilError(t, got.err)
		assert.Assert(t, got.problem == nil, "stream %d: %v", i, got.problem)
		assert.Equal(t, got.text, wholeText(fmt.Sprintf("%s%d", name, i), longTokens))
	}
}

// inFlight returns the number of requests that run at a target.
func (c *cluster) inFlight(target string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Target == target && !e.Finished && !e.Cancelled {
			n++
		}
	}
	return n
}

// Two engines are to be replaced at the same time. The stops are announced at two entry VMs while the
// engines serve streams that last for seconds. The operators wait until nothing runs at the engines
// and switch their VMs off. No stream may be cut or started again elsewhere, and no request may fail.
// The engines must get no new requests, which would be cut when their VMs are switched off.
func TestPlannedStopOfTwoTargetsCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{editFleet: useOneZone})
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
		both.Go(func() { announceStop(t, c.entries[i].address, newStop(fmt.Sprintf("S%d", i), target), 0) })
	}
	both.Wait()
	announced := time.Now()
	for _, target := range stopping {
		waitFor(t, "nothing to run at "+target, func() bool { return c.inFlight(target) == 0 })
		c.setFault(fault.TargetScope(target), fault.Fault{Down: true})
	}
	t.Logf("both engines idle %d ms after the announcement", time.Since(began).Milliseconds())
	l.waitServed(50, c.addresses()...)
	l.stopAndCheck(t)
	streams.checkWhole(t, "T")
	for _, target := range stopping {
		for from, last := range l.lastStartByEntry(target) {
			assert.Assert(t, last.Before(announced), "%s sent a request to %s %s after the announcement", from, target, last.Sub(announced))
		}
	}
	ran := c.enginesPerLongRequest()
	assert.Equal(t, len(ran), 12)
	for request, n := range ran {
		assert.Equal(t, n, 1, "stream %s ran at %d engines", request, n)
	}
}

// enginesPerLongRequest counts the engines at which each request with a long text ran.
func (c *cluster) enginesPerLongRequest() map[string]int {
	ran := map[string]int{}
	for _, e := range c.executions() {
		if e.Pool == "llm" && e.CompletionTokens > longTokens/10 {
			request, _, _ := strings.Cut(e.RequestID, "/")
			ran[request]++
		}
	}
	return ran
}

// bookRepeatedly sends bookings one after another until the context ends, reports those that fail, and
// returns the idempotency keys that it used.
func bookRepeatedly(ctx context.Context, c *cluster, address, name string, report func(string)) (keys []string) {
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", name, i)
		got := sendNow(address, bookingRequest(key))
		if ctx.Err() != nil && got.err != nil {
			return keys // sent after the planned end of the VM
		}
		if fault := replyError(got, ""); fault != "" {
			report(key + ": " + fault)
		}
		keys = append(keys, key)
	}
	return keys
}

// checkRanOnce checks that each booking ran exactly once.
func (c *cluster) checkRanOnce(t *testing.T, keys []string) {
	t.Helper()
	ran := map[string]int{}
	for _, e := range c.executions() {
		ran[e.IdempotencyKey]++
	}
	for _, key := range keys {
		assert.Equal(t, ran[key], 1, "booking %s ran %d times", key, ran[key])
	}
}

// An entry VM gets SIGTERM while it serves long streams and bookings. Callers keep its address for up
// to a second, and may have got it from a VM that learnt of the shutdown half a second late. All their
// requests must be served, and the process must end with exit code 0.
func TestPlannedStopOfEntryVMCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	stopping := c.entries[0]
	streams := startStreams("E", 6, stopping.address)
	waitFor(t, "all streams to be at engines", func() bool { return c.running("llm") == 6 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var failures failureList
	var callers sync.WaitGroup
	var keys []string
	callers.Go(func() { keys = bookRepeatedly(ctx, c, stopping.address, "B", failures.add) })
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	callers.Go(func() { sendOnKeptConnections(ctx, kept, stopping.address, failures.add) })
	waitFor(t, "bookings", func() bool { return c.finishedCount("booking") > 10 })

	signalledAt := time.Now()
	stopping.signal(t, syscall.SIGTERM)
	for _, e := range c.entries[1:] {
		waitFor(t, "the other entry VMs to stop listing the VM", func() bool { return !listsEntry(e.address, stopping.address) })
	}
	t.Logf("no longer listed to callers after %d ms", time.Since(signalledAt).Milliseconds())
	held := time.Second + 500*time.Millisecond // callers keep an address for 1 s, and may get it 0.5 s late
	waitFor(t, "the callers' address to expire", func() bool { return time.Since(signalledAt) > held })
	cancel()
	callers.Wait()
	assert.Equal(t, stopping.waitExit(t, waitTimeout), 0)
	t.Logf("ended after %d ms", time.Since(signalledAt).Milliseconds())
	streams.checkWhole(t, "E")
	failures.checkEmpty(t)
	assert.Assert(t, len(keys) > 10)
	c.checkRanOnce(t, keys)
}

// sendOnKeptConnections sends requests with a client that reuses connections, until the context ends.
func sendOnKeptConnections(ctx context.Context, kept *http.Client, address string, report func(string)) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("A%d", i)
		if fault := replyError(sendBy(kept, pipelineRequest(ref, 4).build(address)), wholeText(ref, 4)); fault != "" && ctx.Err() == nil {
			report(ref + ": " + fault)
		}
	}
}

// finishedCount returns the number of finished executions of a pool.
func (c *cluster) finishedCount(pool string) int {
	n := 0
	for _, e := range c.executions() {
		if e.Pool == pool && e.Finished {
			n++
		}
	}
	return n
}

// listsEntry reports whether an entry VM lists an address to callers.
func listsEntry(asked, address string) bool {
	for _, e := range queryEntries(asked).Entries {
		if e.Address == address {
			return true
		}
	}
	return false
}

// queryEntries asks an entry VM for the list of entry VMs; it is empty on failure.
func queryEntries(address string) entry.Entries {
	got := sendNow(address, request{method: http.MethodGet, path: "/v1/entries"})
	var all entry.Entries
	if got.err != nil || json.Unmarshal(got.body, &all) != nil {
		return entry.Entries{}
	}
	return all
}

// entryCache is a caller's list of entry VMs, which it keeps for as long as it is allowed to.
type entryCache struct {
	mu         sync.Mutex // guards the fields below
	cached     []string
	validUntil time.Time
}

// shuffled returns the cached addresses in random order, after it has refreshed an expired list.
func (g *entryCache) shuffled() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().After(g.validUntil) {
		g.refresh()
	}
	list := append([]string(nil), g.cached...)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// refresh asks the known entry VMs for a new list until one answers.
func (g *entryCache) refresh() {
	asked := time.Now()
	for _, address := range g.cached {
		all := queryEntries(address)
		if len(all.Entries) == 0 {
			continue
		}
		g.cached = nil
		for _, e := range all.Entries {
			g.cached = append(g.cached, e.Address)
		}
		g.validUntil = asked.Add(time.Duration(all.KeepMS) * time.Millisecond)
		return
	}
}

// All entry VMs are replaced, two at a time, under steady load. Callers ask which VMs to use and keep the
// answer for as long as they are allowed to. No request may fail or be lost.
func TestRollingReplacementCutsNothing(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{entries: 4})
	c.waitLinked()
	first := &entryCache{cached: c.addresses()}
	l := startLoad(c, 2, first.shuffled)
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
		t.Logf("two VMs ended after %d ms and are replaced after %d ms", gone.Milliseconds(), time.Since(began).Milliseconds())
		streams.checkWhole(t, "R")
		l.waitServed(20, c.addresses()...)
	}
	l.stopAndCheck(t)
	t.Logf("%d requests, none failed", l.sent)
}

// An entry VM gets SIGTERM while it serves a request, and answers it during the shutdown. The answer must
// say that the connection closes: otherwise the caller sends its next request on the connection, which may
// be closed without that request being read.
func TestAnswerDuringShutdownClosesItsConnection(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterOptions{})
	c.waitLinked()
	stopping := c.entries[0]
	responses := make(chan *http.Response, 1)
	kept := &http.Client{Transport: &http.Transport{}}
	go func() {
		defer close(responses)
		response, err := kept.Do(pipelineRequest("T", longTokens/4).build(stopping.address))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if assert.Check(t, err == nil, "%v", err) {
			responses <- response
		}
	}()
	waitFor(t, "the request to be at an engine", func() bool { return c.running("llm") == 1 })
	stopping.signal(t, syscall.SIGTERM)
	response := <-responses
	assert.Assert(t, response != nil)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
}
