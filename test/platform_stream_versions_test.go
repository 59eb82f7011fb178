package test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	versionSoakVMs = 6
	// versionedRate is how many streams begin per second.
	versionedRate   = 30
	versionedEvents = 20
	eventInterval   = 25 * time.Millisecond
	// slowStreamFactor makes slow streams take 2 s.
	slowStreamFactor = 4
	// enginesPerVersion is more than the two for which a version counts as served.
	enginesPerVersion = 3
	// engineSlots has the engines of one version serve all streams.
	engineSlots = 32
	// maxAttempts limits how often a caller takes one stream up.
	maxAttempts = 8
	// waitAfterKill is how long after a kill of all VMs callers pause between attempts, if they aren't told to.
	waitAfterKill = 4 * time.Second
	// faultsPerKill is the number of faults of VMs of which the last one kills all.
	faultsPerKill = 4
)

// streamSoak is a run in which callers take streams up while VMs and engines of several versions are
// killed and replaced.
type streamSoak struct {
	t     *testing.T
	edges *edgeSite
	vms   *disturber
	// replacing is held while an engine is replaced, and during kills beside which none are; before mu.
	replacing sync.Mutex
	// randomMu guards random.
	randomMu sync.Mutex
	random   *rand.Rand
	// killKinds draws what happens beside kills of all VMs.
	killKinds *rand.Rand
	// joins draws the faults of VMs beside which a version joins, joined counts them.
	joins  *rand.Rand
	joined int
	// service is the service of the engines, prefix that of its route.
	service, prefix string

	mu sync.Mutex // guards the fields below
	// engines are those that serve, by version; lastEngine numbers them.
	engines    map[string][]*standin.Target
	lastEngine int
	// begun and takenUp count the attempts to begin a stream and to take one up, as far as they are counted. rejoined
	// counts the streams that were under way when all VMs were killed and whose version served on. mixed has the
	// streams that hold events of several versions.
	begun, takenUp, rejoined attemptCount
	mixed                    []string
	// failed has the counted attempts that brought no event.
	failed []string
	// kills counts the kills of all VMs, lastKill is when the last one began.
	kills    int
	lastKill time.Time
}

type attemptCount struct{ tried, succeeded int }

func (c *attemptCount) add(succeeded bool) {
	c.tried++
	if succeeded {
		c.succeeded++
	}
}

func (c attemptCount) share() float64 { return float64(c.succeeded) / float64(max(c.tried, 1)) }

func newStreamSoak(t *testing.T, seed uint64) *streamSoak {
	s := newStreamSite(startEdgeSite(t, versionSoakVMs), seed)
	for _, version := range []string{"v1", "v2"} {
		for range enginesPerVersion {
			s.startEngine(version)
		}
	}
	time.Sleep(time.Second)
	return s
}

// newStreamSite adds a route for streams that may be resumed, and no engines.
func newStreamSite(edges *edgeSite, seed uint64) *streamSoak {
	s := &streamSoak{
		t: edges.t, edges: edges, random: rand.New(rand.NewPCG(seed, 50)), engines: map[string][]*standin.Target{},
		service: "writers", prefix: "/write", joins: rand.New(rand.NewPCG(seed, 69)),
	}
	s.vms = newDisturber(s.edges, 700*time.Millisecond)
	s.killKinds = rand.New(rand.NewPCG(seed, 65))
	s.edges.site.Publish(func(config map[string]any) {
		addStreamRoute(config, s.service, s.prefix)
		for n := 1; n <= maxJoins; n++ {
			service, prefix := joinedService(n)
			addStreamRoute(config, service, prefix)
		}
	})
	return s
}

// addStreamRoute adds a service and its route for streams that may be resumed.
func addStreamRoute(config map[string]any, service, prefix string) {
	config["services"] = append(config["services"].([]any), map[string]any{
		"name": service, "max-connections": 200, "engine": map[string]any{"slot-count": engineSlots, "kv-cache-tokens": 500000},
	})
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": strings.Trim(prefix, "/"), "host": standin.Host, "prefix": prefix + "/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1500,
		"target-gap-ms": 300, "priority": 0, "service": service, "attempts": 2, "resumable": true,
	})
}

func (s *streamSoak) pick(n int) int {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return s.random.IntN(n)
}

func (s *streamSoak) startEngine(version string) {
	s.mu.Lock()
	s.lastEngine++
	engine := &standin.Target{
		ID: fmt.Sprintf("i-%s-%d", s.service, s.lastEngine), Service: s.service, Zone: "zone-a", Slots: engineSlots, Events: versionedEvents, EventInterval: eventInterval,
		SlowFactor: slowStreamFactor, Version: version, NamesVersion: true,
	}
	s.mu.Unlock()
	assert.Check(s.t, engine.Start("127.0.0.1:0"))
	s.t.Cleanup(engine.Stop)
	s.edges.site.Store.Put("servers", engine.ID, engine.Entry("ready", 1))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines[version] = append(s.engines[version], engine)
}

// removeEngine takes the oldest engine of a version out of the list of those that serve.
func (s *streamSoak) removeEngine(version string) *standin.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.engines[version]
	if len(list) == 0 {
		return nil
	}
	s.engines[version] = list[1:]
	return list[0]
}

// crashEngine stops an engine abruptly; another one of its version starts later.
func (s *streamSoak) crashEngine(version string) {
	s.replacing.Lock()
	defer s.replacing.Unlock()
	if engine := s.removeEngine(version); engine != nil {
		engine.Stop()
		time.Sleep(500 * time.Millisecond)
		s.edges.site.Store.Delete("servers", engine.ID)
		time.Sleep(500 * time.Millisecond)
		s.startEngine(version)
	}
}

// replaceEngines replaces the engines of a version by those of another, one after the other.
func (s *streamSoak) replaceEngines(from, to string) {
	for range enginesPerVersion {
		s.replacing.Lock()
		s.startEngine(to)
		s.replacing.Unlock()
		time.Sleep(300 * time.Millisecond)
		s.replacing.Lock()
		engine := s.removeEngine(from)
		s.replacing.Unlock()
		if engine == nil { // its version has left during a kill
			continue
		}
		s.edges.site.Store.Put("servers", engine.ID, engine.Entry("draining", 1))
		time.AfterFunc(2*time.Second, func() {
			s.edges.site.Store.Delete("servers", engine.ID)
			engine.Stop()
		})
	}
}

// pickVM returns a VM that isn't stopped.
func (s *streamSoak) pickVM() int {
	return s.vms.firstRunning(func() int { return s.pick(len(s.edges.vms)) })
}

// isCounted reports whether an attempt at a VM counts: the VM hasn't been disturbed lately, and two engines of the
// stream's version, if it has begun, serve.
func (s *streamSoak) isCounted(vm int, version string, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms.inTouch(vm, at) && (version == "" || s.isServed(version))
}

// isServed reports whether two engines of a version serve. The caller holds mu.
func (s *streamSoak) isServed(version string) bool { return len(s.engines[version]) >= 2 }

// soakStream is one stream as its caller has it.
type soakStream struct {
	name     string
	path     string // empty for /x
	events   int
	first    string // the attempt that brought the first event
	versions map[string]bool
	version  string
	// last is how the last attempt ended.
	last string
	// killed means that all VMs were killed under the stream, and that its version has served since.
	killed bool
}

// runCaller begins a stream and takes it up, sometimes after leaving, until it is whole.
func (s *streamSoak) runCaller(name string) {
	c := &soakStream{name: name, path: []string{"/x", standin.SlowPath}[s.pick(2)], versions: map[string]bool{}}
	for n := 0; n < maxAttempts && c.events < versionedEvents; n++ {
		until := versionedEvents
		if s.pick(3) == 0 {
			until = min(c.events+1+s.pick(8), versionedEvents)
		}
		time.Sleep(s.countedAttempt(c, s.pickVM(), fmt.Sprintf("%s-%d", name, n), until))
	}
	s.finish(c)
}

// countedAttempt is attempt, and counts whether it succeeds if the VM is in touch.
func (s *streamSoak) countedAttempt(c *soakStream, vm int, id string, until int) time.Duration {
	had, started := c.events, time.Now()
	counted := s.isCounted(vm, c.version, started)
	pause := s.attempt(c, vm, id, until)
	pause = s.noteKill(c, had, started, pause)
	if counted && s.isCounted(vm, c.version, time.Now()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if c.events == had {
			s.failed = append(s.failed, fmt.Sprintf("%s at VM %d after event %d of %s: %s", id, vm, had, c.version, c.last))
		}
		if had == 0 {
			s.begun.add(c.events > 0)
		} else {
			s.takenUp.add(c.events > had)
		}
	}
	return pause
}

// finish adds what a stream holds in the end.
func (s *streamSoak) finish(c *soakStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.killed {
		s.rejoined.add(false)
	}
	if len(c.versions) > 1 {
		s.mixed = append(s.mixed, fmt.Sprint(c.name, " has ", c.versions))
	}
}

// noteKill notes, after an attempt, whether all VMs were killed during it, and whether a stream under which they were
// has gone on. It returns the time until the next attempt, given that which the answer asked for.
func (s *streamSoak) noteKill(c *soakStream, had int, started time.Time, pause time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.killed && c.events > had {
		s.rejoined.add(true)
		c.killed = false
	}
	if c.events > 0 && c.events < versionedEvents && s.lastKill.After(started) {
		c.killed = true
	}
	c.killed = c.killed && s.isServed(c.version)
	if c.events > 0 && time.Since(s.lastKill) < waitAfterKill {
		return max(pause, time.Duration(100+s.pick(700))*time.Millisecond)
	}
	return pause
}

// attempt asks a VM for the rest of a stream and leaves when it has the given number of events. It returns the time
// until the next attempt.
func (s *streamSoak) attempt(c *soakStream, vm int, id string, until int) time.Duration {
	ctx, leave := context.WithTimeout(context.Background(), 5*time.Second)
	defer leave()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.edges.vms[vm].RequestAddress()+s.prefix+cmp.Or(c.path, "/x"), strings.NewReader(c.name))
	assert.Check(s.t, err)
	req.Host = standin.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Api-Key", standin.TeamKey)
	if c.events > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.events))
		req.Header.Set("Resumes", c.first)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.last = err.Error()
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	c.last = resp.Status
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		refusal, _ := io.ReadAll(resp.Body)
		c.last += " " + string(refusal)
		return time.Duration(seconds * float64(time.Second))
	}
	s.read(c, resp.Body, id, until)
	return 0
}

// read reads events until the caller has the given number, or the stream ends.
func (s *streamSoak) read(c *soakStream, body io.Reader, id string, until int) {
	lines := bufio.NewScanner(body)
	for c.events < until && lines.Scan() {
		if event, found := strings.CutPrefix(lines.Text(), "id: "); found {
			assert.Check(s.t, event == strconv.Itoa(c.events+1), "%s: event %s after %d", c.name, event, c.events)
		}
		version, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		c.events++
		c.versions[version] = true
		if c.first == "" {
			c.first, c.version = id, version
		}
	}
}

// killKind is what happens to versions beside a kill of all VMs.
type killKind int

const (
	versionsStay killKind = iota
	versionsChange
	// versionsLeaveBefore and versionsLeaveMeanwhile have all versions but one leave just before, or while VMs are down.
	versionsLeaveBefore
	versionsLeaveMeanwhile
	// killKinds is the number of kinds.
	killKinds
)

// playKill kills all VMs at once.
func (s *streamSoak) playKill() {
	kind := killKind(s.killKinds.IntN(int(killKinds)))
	if kind != versionsChange {
		s.replacing.Lock()
		defer s.replacing.Unlock()
	}
	if kind == versionsLeaveBefore {
		s.keepOneVersion()
	}
	s.mu.Lock()
	s.kills++
	s.lastKill = time.Now()
	s.mu.Unlock()
	s.vms.killAll(func() {
		if kind == versionsLeaveMeanwhile {
			s.keepOneVersion()
		}
	})
	time.Sleep(undisturbedTime + time.Second)
}

// keepOneVersion removes the engines of all versions but one.
func (s *streamSoak) keepOneVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := ""
	for version := range s.engines {
		if s.isServed(version) && (kept == "" || s.pick(2) == 0) {
			kept = version
		}
	}
	if kept == "" {
		return
	}
	for version, engines := range s.engines {
		if version == kept {
			continue
		}
		for _, engine := range engines {
			s.edges.site.Store.Delete("servers", engine.ID)
			time.AfterFunc(2*time.Second, engine.Stop)
		}
		delete(s.engines, version)
	}
}

// run plays the faults while streams begin.
func (s *streamSoak) run(d time.Duration) {
	var faults, streams sync.WaitGroup
	end := time.Now().Add(d)
	faults.Go(func() {
		for vm, n := 0, 1; time.Now().Before(end); vm, n = (vm+1+s.pick(3))%versionSoakVMs, n+1 {
			if n%faultsPerKill == 0 {
				s.playKill()
				s.playJoin()
			}
			s.vms.disturb(vm, disturbance(s.pick(int(disturbanceCount))))
			time.Sleep(time.Duration(s.pick(300)) * time.Millisecond)
		}
	})
	faults.Go(func() {
		for next := 1; time.Now().Before(end); next++ {
			time.Sleep(time.Duration(s.pick(500)) * time.Millisecond)
			s.crashEngine(fmt.Sprint("v", next+s.pick(2)))
			s.replaceEngines(fmt.Sprint("v", next), fmt.Sprint("v", next+2))
		}
	})
	for n := 0; time.Now().Before(end); n++ {
		streams.Go(func() { s.runCaller(fmt.Sprint("stream-", n)) })
		time.Sleep(time.Second / versionedRate)
	}
	streams.Wait()
	faults.Wait()
}

// Guards against streams that change their version, or are refused, while VMs and engines come and go.
func TestPlatformStreamsKeepTheirVersion(t *testing.T) {
	t.Parallel()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newStreamSoak(t, seed)
			s.run(2 * plannedDurationOf(t))
			t.Logf("%d versions joined beside faults, counted attempts that failed: %q", s.joined, s.failed)
			t.Logf("%d of %d streams began, %d of %d went on, %d of %d after %d kills of all VMs",
				s.begun.succeeded, s.begun.tried, s.takenUp.succeeded, s.takenUp.tried, s.rejoined.succeeded, s.rejoined.tried, s.kills)
			assert.Check(t, len(s.mixed) == 0, "%v", s.mixed)
			assert.Check(t, s.kills > 0)
			assert.Check(t, s.rejoined.share() >= s.begun.share()/2 || s.rejoined.tried == 0, "%d of %d streams went on after a kill", s.rejoined.succeeded, s.rejoined.tried)
			assert.Assert(t, s.takenUp.tried >= 12)
			assert.Assert(t, s.takenUp.share() >= s.begun.share()/2)
		})
	}
}
