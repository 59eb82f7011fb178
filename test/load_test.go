package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/entry"
)

// loadGenerator sends requests to every entry VM of a cluster until it is stopped: pipeline requests, and calls
// of the plain service that are safe to repeat.
type loadGenerator struct {
	c      *cluster
	cancel context.CancelFunc
	wait   sync.WaitGroup

	failures failureList

	mu             sync.Mutex // guards the fields below
	sent           int
	entryByRequest map[string]string // request ID to the address of the entry VM that served it
	servedByEntry  map[string]int    // number of requests that each entry VM served
}

// sendPause is the pause of a sender between two requests.
const sendPause = 5 * time.Millisecond

// startLoad starts some senders for each entry VM. Each sends to its entry VM or, if choose is given, to the
// first address that choose returns.
func startLoad(c *cluster, senders int, choose func() []string) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{c: c, cancel: cancel, entryByRequest: map[string]string{}, servedByEntry: map[string]int{}}
	for i, e := range c.entries {
		for j := range senders {
			addresses := func() []string { return []string{e.address} }
			if choose != nil {
				addresses = choose
			}
			l.wait.Go(func() { l.send(ctx, fmt.Sprintf("L%d-%d", i, j), addresses) })
		}
	}
	c.t.Cleanup(l.stop)
	return l
}

func (l *loadGenerator) send(ctx context.Context, name string, addresses func() []string) {
	for i := 0; ctx.Err() == nil; i++ {
		ref := fmt.Sprintf("%s-%d", name, i)
		address := addresses()[0]
		if i%3 == 2 {
			l.record(address, sendNow(address, lookupRequest(ref)), ref, "")
		} else {
			l.record(address, sendNow(address, pipelineRequest(ref, 8)), ref, wholeText(ref, 8))
		}
		select {
		case <-ctx.Done():
		case <-time.After(sendPause):
		}
	}
}

// lookupRequest reads from the plain service, which is safe to repeat.
func lookupRequest(ref string) request {
	return request{method: http.MethodGet, path: "/v1/services/booking/halls?ref=" + ref}
}

func (l *loadGenerator) record(address string, got reply, ref, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	fault := replyError(got, want)
	if fault != "" {
		l.failures.add(fmt.Sprintf("%s at %s: %s", ref, address, fault))
		return
	}
	l.servedByEntry[address]++
	l.entryByRequest[got.requestID] = address
}

// replyError describes what is wrong with a reply, or returns "" if nothing is. An empty want accepts any body.
func replyError(got reply, want string) string {
	switch {
	case got.err != nil:
		return got.err.Error()
	case got.status != http.StatusOK:
		return fmt.Sprintf("status %d: %s", got.status, got.body)
	case want == "":
		return ""
	}
	var a entry.PipelineAnswer
	if err := json.Unmarshal(got.body, &a); err != nil {
		return err.Error()
	}
	if a.Output != want {
		return fmt.Sprintf("got %q, want %q", a.Output, want)
	}
	return ""
}

// served returns the number of requests that an entry VM has served so far.
func (l *loadGenerator) served(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedByEntry[address]
}

// waitServed waits until each of the entry VMs has served so many more requests.
func (l *loadGenerator) waitServed(more int, addresses ...string) {
	l.c.t.Helper()
	wanted := map[string]int{}
	for _, a := range addresses {
		wanted[a] = l.served(a) + more
	}
	waitFor(l.c.t, fmt.Sprintf("%d more requests at each of %v", more, addresses), func() bool {
		for a, n := range wanted {
			if l.served(a) < n {
				return false
			}
		}
		return true
	})
}

// failureList collects what callers find wrong with their answers.
type failureList struct {
	mu   sync.Mutex // guards list
	list []string
}

func (c *failureList) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, what)
}

// checkEmpty fails the test if there are any failures, and shows the first three.
func (c *failureList) checkEmpty(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, len(c.list), 0, "%d failures: %s", len(c.list), strings.Join(c.list[:min(3, len(c.list))], "\n"))
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.wait.Wait()
}

// stopAndCheck stops the load and checks that every request got the correct answer.
func (l *loadGenerator) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop()
	l.failures.checkEmpty(t)
}

// lastStartByEntry returns, for each entry VM, when the last request that it sent to a target started there.
func (l *loadGenerator) lastStartByEntry(target string) map[string]time.Time {
	l.c.t.Helper()
	all := l.c.executions()
	l.mu.Lock()
	defer l.mu.Unlock()
	last := map[string]time.Time{}
	for _, e := range all {
		id, _, _ := strings.Cut(e.RequestID, "/")
		from, known := l.entryByRequest[id]
		at := time.UnixMicro(e.StartedUnixUS)
		if e.Target == target && known && at.After(last[from]) {
			last[from] = at
		}
	}
	return last
}

func (c *cluster) addresses() []string {
	var all []string
	for _, e := range c.entries {
		all = append(all, e.address)
	}
	return all
}
