package test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/relay"
	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// applyBound is the platform's config-apply-ms: the time within which an acknowledged
	// configuration is in force on every VM.
	applyBound = 2 * time.Second
	// undisturbedTime is the platform's contact-ms: bounds hold for a VM that has been
	// undisturbed for this long.
	undisturbedTime = 3 * time.Second
	// relayedVMs is the number of VMs of a relayedSite.
	relayedVMs = 9
)

// relayedSite is an edgeSite with relays between the VMs and the store, and between the VMs.
type relayedSite struct {
	*edgeSite
	// store and peers have a relay for each VM: to the store, and from other VMs.
	store []*relay.Relay
	peers []*relay.Relay
	// version is the number of the last route and key that were added.
	version int
	checks  sync.WaitGroup
}

// newRelayedSite creates a site and starts no processes on it.
func newRelayedSite(t *testing.T) *relayedSite {
	t.Helper()
	s := &relayedSite{edgeSite: newEdgeSite(t, relayedVMs)}
	for _, vm := range s.vms {
		toStore, err := relay.Listen("127.0.0.1:0", s.site.Store.Address())
		assert.NilError(t, err)
		t.Cleanup(toStore.Close)
		text, err := os.ReadFile(vm.Settings)
		assert.NilError(t, err)
		text = []byte(strings.ReplaceAll(string(text), s.site.Store.Address(), toStore.Address()))
		assert.NilError(t, os.WriteFile(vm.Settings, text, 0o600))
		fromPeers, err := relay.Listen(vm.PeerAddress(), peerListenAddress(vm))
		assert.NilError(t, err)
		t.Cleanup(fromPeers.Close)
		s.store, s.peers = append(s.store, toStore), append(s.peers, fromPeers)
	}
	return s
}

func peerListenAddress(vm standin.VM) string { return vm.IP + ":8629" }

// startRelayedSite creates a site with a running process on each VM.
func startRelayedSite(t *testing.T) *relayedSite {
	t.Helper()
	s := newRelayedSite(t)
	for i := range s.vms {
		s.startBehindRelay(i)
	}
	for i := range s.vms {
		s.waitReady(i)
	}
	time.Sleep(undisturbedTime)
	return s
}

func (s *relayedSite) startBehindRelay(i int) {
	s.startPrepared(i, func(cmd *exec.Cmd) { cmd.Args = append(cmd.Args, "--peer-listen="+peerListenAddress(s.vms[i])) })
}

// keptVersions is how many of the last added routes and keys a configuration has: so many that
// none is dropped before it has been asked for.
const keptVersions = 6

func addedPath(version int) string { return fmt.Sprintf("/added-%d/", version) }

func addedKey(version int) string { return fmt.Sprintf("added-key-%d", version) }

// publishNext adds a route and a key and drops the oldest added ones. It returns the number of
// the new ones and the time of the store's acknowledgement.
func (s *relayedSite) publishNext() (version int, at time.Time) {
	s.version++
	s.site.Publish(func(config map[string]any) {
		keys := []string{standin.TeamKey}
		for v := max(1, s.version-keptVersions+1); v <= s.version; v++ {
			keys = append(keys, addedKey(v))
			config["routes"] = append(config["routes"].([]any), map[string]any{
				"name": fmt.Sprintf("added-%d", v), "host": standin.Host, "prefix": addedPath(v), "kind": "idempotent", "timeout-ms": 2000,
				"target-latency-ms": 300, "priority": 1, "service": "desk", "attempts": 2,
			})
		}
		config["tenants"] = []any{map[string]any{"name": "team", "api-keys": keys}}
	})
	return s.version, time.Now()
}

// checkInForce asks each VM, right after the given time, whether a version is in force: whether
// it serves the route and the key that were added, and refuses those that were dropped. skip, if
// not nil, reports which VMs aren't judged.
func (s *relayedSite) checkInForce(version int, after time.Time, skip func(vm int) bool) {
	s.checks.Go(func() {
		time.Sleep(time.Until(after) + time.Millisecond)
		var vms sync.WaitGroup
		for vm := range s.vms {
			if skip == nil || !skip(vm) {
				vms.Go(func() { s.checkVM(vm, version, after) })
			}
		}
		vms.Wait()
	})
}

// checkVM asks a VM for all at the same time: an answer that takes long must not delay the next
// question until a later version holds.
func (s *relayedSite) checkVM(vm, version int, after time.Time) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { s.checkStatus(vm, version, after, addedPath(version), addedKey(version), http.StatusOK) })
	if dropped := version - keptVersions; dropped > 0 {
		checks.Go(func() { s.checkStatus(vm, version, after, addedPath(dropped), standin.TeamKey, http.StatusNotFound) })
		checks.Go(func() {
			s.checkStatus(vm, version, after, addedPath(version), addedKey(dropped), http.StatusUnauthorized)
		})
	}
}

// checkStatus asks a VM for a path. An answer that is neither success nor a refusal by the
// configuration doesn't show which configuration is in force, and is ignored.
func (s *relayedSite) checkStatus(vm, version int, after time.Time, path, key string, want int) {
	sent := time.Since(after)
	got := askVM(s.vms[vm], path+"x", key)
	if got != want && (got == http.StatusOK || got == http.StatusNotFound || got == http.StatusUnauthorized) {
		s.t.Errorf("version %d: VM %d answers %d on %s with %s, want %d (sent %s after the bound)", version, vm, got, path, key, want, sent)
	}
}

// askVM sends a request to a VM and returns the status; 0 for no answer.
func askVM(vm standin.VM, path, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+vm.RequestAddress()+path, nil)
	if err != nil {
		return 0
	}
	request.Host = standin.Host
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	client := http.Client{Timeout: applyBound, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
