package test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// openStreams is how many streams of each version of HTTP run when their VM is killed.
	openStreams   = 4
	openEvents    = 40
	openInterval  = 50 * time.Millisecond
	openKillAfter = 700 * time.Millisecond
)

// startUnframedEngines adds engines whose answers end with their connections, and a route to them.
func startUnframedEngines(t *testing.T, e *edgeSite, n int) {
	t.Helper()
	e.site.Publish(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{
			"name": "closers", "max-connections": 200, "engine": map[string]any{"slot-count": 16, "kv-cache-tokens": 500000},
		})
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": "close", "host": standin.Host, "prefix": "/close/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1500,
			"target-gap-ms": 300, "priority": 0, "service": "closers", "attempts": 1,
		})
	})
	for i := range n {
		engine := &standin.Target{
			ID: fmt.Sprintf("i-closer-%d", i), Service: "closers", Zone: "zone-a", Slots: 16, Events: openEvents, EventInterval: openInterval, Unframed: true,
		}
		assert.NilError(t, engine.Start("127.0.0.1:0"))
		t.Cleanup(engine.Stop)
		e.site.Store.Put("servers", engine.ID, engine.Entry("ready", 1))
	}
	time.Sleep(time.Second) // until the VMs know the route and the engines
}

// readStream asks for a stream with a version of HTTP, and returns the number of its events and the error with which it
// has ended.
func readStream(address, version, id string) (events int, err error) {
	if version == "1.1" {
		return readStreamByClient(address, id)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /close/x HTTP/1.0\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", standin.Host, standin.TeamKey, id)
	if err != nil {
		return 0, err
	}
	answer, err := io.ReadAll(conn)
	return strings.Count(string(answer), "data: "), err
}

func readStreamByClient(address, id string) (events int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/close/x", strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	req.Host = standin.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Api-Key", standin.TeamKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return strings.Count(string(body), "data: "), err
}

// Guards against streams of engines without framing that end as complete when their VM's process is killed.
func TestStreamsOfAKilledVMNeverLookComplete(t *testing.T) {
	t.Parallel()
	e := startEdgeSite(t, 2)
	startUnframedEngines(t, e, 2)
	var (
		wg           sync.WaitGroup
		mu           sync.Mutex
		whole, begun [2]int
	)
	for vm := range 2 {
		for n := range openStreams {
			for _, version := range []string{"1.0", "1.1"} {
				wg.Go(func() {
					events, err := readStream(e.vms[vm].RequestAddress(), version, fmt.Sprintf("id-%d-%d-%s", vm, n, version))
					mu.Lock()
					defer mu.Unlock()
					assert.Check(t, err != nil || events == openEvents, "VM %d, HTTP/%s: ends as complete after event %d", vm, version, events)
					if events > 0 {
						begun[vm]++
					}
					if err == nil && events == openEvents {
						whole[vm]++
					}
				})
			}
		}
	}
	time.Sleep(openKillAfter)
	e.processes[0].kill(t)
	wg.Wait()
	assert.Equal(t, begun, [2]int{2 * openStreams, 2 * openStreams})
	assert.Equal(t, whole, [2]int{0, 2 * openStreams})
}
