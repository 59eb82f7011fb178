package test

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// Guards against requests that waited at a VM that stood still and are served by revoked keys and removed routes.
func TestPlatformVMThatStoodStillServesByTheConfigurationInForce(t *testing.T) {
	t.Parallel()
	const perKind, revokedKey = 12, "revoked-key"
	e := newEdgeSite(t, 3)
	setKeys := func(added string, keys ...string) {
		e.site.Publish(func(config map[string]any) {
			config["tenants"] = []any{map[string]any{"name": "team", "api-keys": keys}}
			config["routes"] = append(config["routes"].([]any), map[string]any{
				"name": "added", "host": standin.Host, "prefix": added, "kind": "idempotent", "timeout-ms": 4000,
				"target-latency-ms": 300, "priority": 1, "service": "desk", "attempts": 2,
			})
		})
	}
	setKeys("/before/", standin.TeamKey, revokedKey)
	e.startAll()
	time.Sleep(3500 * time.Millisecond) // until all processes know each other
	assert.Equal(t, askVM(e.vms[0], "/before/x", revokedKey), http.StatusOK)

	var mu sync.Mutex // guards statuses
	statuses := map[string]map[int]int{}
	var callers sync.WaitGroup
	e.processes[0].signal(t, syscall.SIGSTOP)
	setKeys("/after/", standin.TeamKey)
	time.Sleep(1500 * time.Millisecond)
	for _, q := range []struct{ kind, path, key string }{
		{"revoked key", "/ask/x", revokedKey}, {"removed route", "/before/x", standin.TeamKey}, {"added route", "/after/x", standin.TeamKey},
	} {
		statuses[q.kind] = map[int]int{}
		for range perKind {
			callers.Go(func() {
				status := askVM(e.vms[0], q.path, q.key)
				mu.Lock()
				defer mu.Unlock()
				statuses[q.kind][status]++
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	e.processes[0].signal(t, syscall.SIGCONT)
	callers.Wait()
	t.Logf("%v", statuses)
	assert.DeepEqual(t, statuses, map[string]map[int]int{
		"revoked key": {http.StatusUnauthorized: perKind}, "removed route": {http.StatusNotFound: perKind}, "added route": {http.StatusOK: perKind},
	})
}
