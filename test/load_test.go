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

// loadGenerator sends requests at every entry VM of a cluster for as long as it runs:
// pipelines as JSON, and calls of the plain service that may run again.
type loadGenerator struct {
	c      *cluster
	cancel context.CancelFunc
	wait   sync.WaitGroup

	wrong failureList

	mu   sync.Mutex // guards the rest
	sent int
	byID map[string]string // request to the entry VM that served it
	per  map[string]int    // served by each entry VM
}

// pace is the pause of one sender between two requests.
const pace = 5 * time.Millisecond

// startLoad begins with some senders for each entry VM. Each goes to one VM,
// or where choose is given to what it says.
func startLoad(c *cluster, senders int, choose func() []string) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{c: c, cancel: cancel, byID: map[string]string{}, per: map[string]int{}}
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
			l.note(address, sendNow(address, lookupRequest(ref)), ref, "")
		} else {
			l.note(address, sendNow(address, pipelineRequest(ref, 8)), ref, wholeText(ref, 8))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pace):
		}
	}
}

// lookupRequest reads at the plain service, which may run any number of times.
func lookupRequest(ref string) request {
	return request{method: http.MethodGet, path: "/v1/services/booking/halls?ref=" + ref}
}

func (l *loadGenerator) note(address string, got reply, ref, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	fault := replyError(got, want)
	if fault != "" {
		l.wrong.add(fmt.Sprintf("%s at %s: %s", ref, address, fault))
		return
	}
	l.per[address]++
	l.byID[got.requestID] = address
}

// replyError says what is wrong with an answer; empty for nothing.
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

// served counts the requests that one entry VM served so far.
func (l *loadGenerator) served(address string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.per[address]
}

// waitServed waits until each of the entry VMs has served so many more.
func (l *loadGenerator) waitServed(more int, addresses ...string) {
	l.c.t.Helper()
	until := map[string]int{}
	for _, a := range addresses {
		until[a] = l.served(a) + more
	}
	waitFor(l.c.t, fmt.Sprintf("%d more requests at each of %v", more, addresses), func() bool {
		for a, n := range until {
			if l.served(a) < n {
				return false
			}
		}
		return true
	})
}

// failureList is what users would complain of.
type failureList struct {
	mu   sync.Mutex // guards list
	list []string
}

func (c *failureList) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, what)
}

// checkEmpty fails where there are any, and shows the first of them.
func (c *failureList) checkEmpty(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, len(c.list), 0, "%d complaints: %s", len(c.list), strings.Join(c.list[:min(3, len(c.list))], "\n"))
}

func (l *loadGenerator) stop() {
	l.cancel()
	l.wait.Wait()
}

// stopAndCheck ends the load and checks that every request was answered rightly.
func (l *loadGenerator) stopAndCheck(t *testing.T) {
	t.Helper()
	l.stop()
	l.wrong.checkEmpty(t)
}

// lastStart is when the last new request that an entry VM sent to a target
// began there, for each entry VM.
func (l *loadGenerator) lastStart(target string) map[string]time.Time {
	l.c.t.Helper()
	all := l.c.executions()
	l.mu.Lock()
	defer l.mu.Unlock()
	last := map[string]time.Time{}
	for _, e := range all {
		id, _, _ := strings.Cut(e.RequestID, "/")
		from, known := l.byID[id]
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
