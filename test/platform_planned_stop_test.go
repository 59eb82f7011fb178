package test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// onceRoutes is the number of routes whose requests may run once at most: a request of route
	// /once-n/ takes n seconds.
	onceRoutes = 7
	// stagedPrefix begins the names of the routes to the same targets whose requests wait for a stage first. A stage
	// call takes stageCall.
	stagedPrefix = "staged-"
	stageCall    = 1200 * time.Millisecond
	// sentEarly is how long after SIGTERM a request is sent at the latest that may be cut in the
	// last sixth of the grace period.
	sentEarly = 3 * time.Second
	// stageTargets is the number of targets of the stage.
	stageTargets = 4
	// stopRequests is the number of requests of each kind in a planned stop.
	stopRequests = 40
)

// plannedStop is a VM that is stopped as the platform does it: SIGTERM, and SIGKILL after its
// grace period. Callers send requests of all lengths until then.
type plannedStop struct {
	*shutdownRun
	grace time.Duration
}

// runPlannedStop runs a planned stop once for each seed and checks its requests. before, unless
// nil, runs right before SIGTERM.
func runPlannedStop(t *testing.T, grace time.Duration, before func(s *plannedStop)) {
	t.Helper()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := &plannedStop{shutdownRun: newShutdownRun(t, seed), grace: grace}
			s.addOnceRoutes()
			s.startCallers()
			time.Sleep(time.Second)
			if before != nil {
				before(s)
			}
			p := s.processes[0]
			p.signal(t, syscall.SIGTERM)
			s.stopSentAt = time.Now()
			close(s.stopSent)
			select {
			case <-p.done:
			case <-time.After(grace):
				t.Errorf("still running %s after SIGTERM", grace)
				_ = p.cmd.Process.Kill() // fails if it has ended meanwhile
			}
			s.callers.Wait()
			s.check(t)
		})
	}
}

// addOnceRoutes starts the targets of requests that may run once at most, publishes their routes
// and waits until they are served.
func (s *plannedStop) addOnceRoutes() {
	s.t.Helper()
	for n := 1; n <= onceRoutes; n++ {
		target := &standin.Target{
			ID: fmt.Sprintf("i-once-%d", n), Service: fmt.Sprintf("once-%d", n), Zone: "zone-a", Slots: 300, WorkTime: time.Duration(n) * time.Second,
		}
		assert.NilError(s.t, target.Start("127.0.0.1:0"))
		s.site.Desks = append(s.site.Desks, target)
		s.site.Store.Put("servers", target.ID, target.Entry("ready", 1))
	}
	for i := range stageTargets {
		stage := &standin.StageTarget{ID: fmt.Sprintf("i-slow-stage-%d", i), Service: "slow-stage", Zone: "zone-a", CallTime: stageCall, ItemTime: time.Millisecond}
		assert.NilError(s.t, stage.Start("127.0.0.1:0"))
		s.t.Cleanup(stage.Stop)
		s.site.Store.Put("servers", stage.ID, stage.Entry("ready", 1))
	}
	s.site.Publish(func(config map[string]any) {
		addTailRoutes(config, 15*time.Second)
		config["services"] = append(config["services"].([]any), map[string]any{"name": "slow-stage", "max-connections": 100, "pieces": map[string]any{
			"slot-count": 1, "queue": 4, "batch": 4, "call-ms": stageCall.Milliseconds(), "item-ms": 1, "headroom-mb": 100, "handle-s": 20, "link-mbps": 1000,
		}})
		for n := 1; n <= onceRoutes; n++ {
			name := fmt.Sprintf("once-%d", n)
			config["services"] = append(config["services"].([]any), map[string]any{"name": name, "max-connections": 300})
			for prefix, stages := range map[string][]any{"": {}, stagedPrefix: {map[string]any{"service": "slow-stage", "after": []int{}, "size-bytes": 1000}}} {
				config["routes"] = append(config["routes"].([]any), map[string]any{
					"name": prefix + name, "host": standin.Host, "prefix": "/" + prefix + name + "/", "kind": "non_idempotent", "timeout-ms": 20000,
					"target-latency-ms": 10000, "priority": 0, "service": name, "attempts": 1, "stages": stages,
				})
			}
		}
	})
	waitFor(s.t, "the VM to serve the new routes", func() bool {
		c := s.dial()
		defer c.close()
		return s.sendRequest(c, "first", "/once-1/x").complete
	})
}

// randomPath returns a path to a stream or to a request that may run once at most.
func (s *plannedStop) randomPath() string {
	n := 1 + s.rng.IntN(tailRoutes)
	if s.rng.IntN(2) == 0 {
		return fmt.Sprintf("/tail-%d/x", n)
	}
	if s.rng.IntN(3) == 0 {
		return fmt.Sprintf("/%sonce-%d/x", stagedPrefix, n)
	}
	return fmt.Sprintf("/once-%d/x", n)
}

// startCallers starts callers that connect anew, keep connections, send slowly, pipeline requests
// or speak HTTP/1.0, some with requests that wait for a stage, at random times from SIGTERM to the end of the grace period.
func (s *plannedStop) startCallers() {
	const inBody, inHeaders = 5, 60
	for range stopRequests {
		s.dialAndSend(1, s.randomPath(), 0, s.grace)
		s.dialAndSend(1, s.randomPath(), 0, listenAfterStop)
		s.reuseConnections(1, s.randomPath(), 0, s.grace)
		for kind, heldBack := range map[string]int{"body": inBody, "headers": inHeaders} {
			path, pause := s.randomPath(), randomDuration(s.rng, 0, s.grace)
			s.goAfterStop(randomDuration(s.rng, 0, listenAfterStop), func() {
				c := s.dial()
				s.sendSlowly(c, kind, path, heldBack, pause)
				c.close()
			})
		}
		first, second := s.randomPath(), s.randomPath()
		s.goAfterStop(randomDuration(s.rng, 0, listenAfterStop), func() { s.pipeline(first, second) })
		path := s.randomPath()
		s.goAfterStop(randomDuration(s.rng, 0, listenAfterStop), func() { s.sendHTTP10(path) })
	}
}

// pipeline sends two requests at once on a new connection.
func (s *plannedStop) pipeline(first, second string) {
	c := s.dial()
	if c == nil {
		return
	}
	defer c.close()
	id, request := s.newRequest("first-of-two", first)
	nextID, next := s.newRequest("second-of-two", second)
	_, err := io.WriteString(c, request+next)
	s.readAndRecord(c, callResult{kind: "first-of-two", id: id, err: err})
	s.readAndRecord(c, callResult{kind: "second-of-two", id: nextID, err: err})
}

// sendHTTP10 sends a request with HTTP/1.0 on a new connection.
func (s *plannedStop) sendHTTP10(path string) {
	c := s.dial()
	if c == nil {
		return
	}
	defer c.close()
	id := fmt.Sprintf("http10-%d", s.lastID.Add(1))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nContent-Length: 4\r\n\r\nbody",
		path, standin.Host, id, standin.TeamKey)
	s.readAndRecord(c, callResult{kind: "http10", id: id, err: err})
}

// ranAtOnceTarget returns the requests that reached a target and may run once at most, by ID, with their URIs.
func (s *plannedStop) ranAtOnceTarget() map[string]string {
	ran := map[string]string{}
	for _, target := range s.site.Desks {
		if !strings.HasPrefix(target.Service, "once-") {
			continue
		}
		for _, seen := range target.ReceivedRequests() {
			ran[seen.ID] = seen.URI
		}
	}
	return ran
}

// check checks that each request that a target ran was answered completely, or cut as allowed: with a
// final answer, or in a stream that was sent early and still ran in the last sixth of the grace
// period; and that no request ran whose caller was told that it hadn't.
func (s *plannedStop) check(t *testing.T) {
	t.Helper()
	ran, once := s.ranAtTarget(), s.ranAtOnceTarget()
	staged := 0
	for _, uri := range once {
		if strings.HasPrefix(uri, "/"+stagedPrefix) {
			staged++
		}
	}
	counts := map[string]int{}
	passedOn, lost, lostOnce, falseRefusals := 0, 0, 0, 0
	for _, c := range s.calls {
		if c.kind == "warm" || !ran[c.id] {
			if c.kind != "warm" {
				counts[fmt.Sprintf("not passed on, status %d", c.status)]++
			}
			continue
		}
		after := c.sentAt.Sub(s.stopSentAt)
		if after > 0 {
			passedOn++
		}
		allowed := after <= sentEarly && c.endedAt.Sub(s.stopSentAt) >= s.grace*5/6
		counts[fmt.Sprintf("passed on, status %d, complete=%v, sent early=%v", c.status, c.complete, after <= sentEarly)]++
		switch {
		case c.status == http.StatusServiceUnavailable:
			falseRefusals++
			t.Logf("refused, and ran: %v", c)
		case c.status == 0, c.status == http.StatusOK && !c.complete && !allowed, c.status == http.StatusGatewayTimeout && !allowed:
			lost++
			if once[c.id] != "" {
				lostOnce++
			}
			t.Logf("cut %s after SIGTERM, sent %s after it: %v", c.endedAt.Sub(s.stopSentAt), after, c)
		}
	}
	t.Log(counts, "after a stage:", staged)
	assert.Check(t, staged > 0, "no request was passed on after a stage")
	assert.Check(t, passedOn >= stopRequests, "too few requests were passed on for a meaningful result: %d", passedOn)
	assert.Check(t, lost == 0, "%d requests that a target ran were cut, %d of them may run once at most", lost, lostOnce)
	assert.Check(t, falseRefusals == 0, "%d requests ran that were refused", falseRefusals)
}

// Guards against requests that are passed on to a target during a planned stop and get no complete answer.
func TestPlatformPlannedStopCutsNoLateRequest(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{5 * time.Second, initialGrace * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			runPlannedStop(t, grace, func(s *plannedStop) {
				s.setGrace(grace)
				time.Sleep(settingsReadDelay)
			})
		})
	}
}

// Guards against a stop by a longer grace period than the settings file has, at whose end requests are cut.
func TestPlatformPlannedStopFollowsTheSettingsFile(t *testing.T) {
	t.Parallel()
	const shorter = 5 * time.Second
	for name, signalled := range map[string]bool{"signalled": true, "not signalled": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runPlannedStop(t, shorter, func(s *plannedStop) {
				s.setGrace(shorter)
				if signalled {
					s.processes[0].signal(t, syscall.SIGHUP)
				}
			})
		})
	}
}

var graceSetting = regexp.MustCompile(`(?m)^grace-period-s = .*$`)

// setGrace replaces the VM's settings file by one with another grace period.
func (s *plannedStop) setGrace(grace time.Duration) {
	s.t.Helper()
	path := s.vms[0].Settings
	text, err := os.ReadFile(path)
	assert.NilError(s.t, err)
	text = graceSetting.ReplaceAll(text, fmt.Appendf(nil, "grace-period-s = %v", grace.Seconds()))
	assert.NilError(s.t, os.WriteFile(path+".new", text, 0o600))
	assert.NilError(s.t, os.Rename(path+".new", path))
}
