package test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	answerSoakVMs = 4
	// answerRate is how many callers begin per second.
	answerRate = 40
	// answerTargets is the number of targets of each service, of which at least half serve at any time.
	answerTargets = 8
	// answerEvents and answerParts are the events of a stream and the parts of a plain answer, answerPause apart.
	answerEvents = 16
	answerParts  = 8
	answerPause  = 40 * time.Millisecond
	// slowTaleFactor makes slow streams take 2 s.
	slowTaleFactor = 3
	// largePart makes plain answers larger than what a VM reads whole before it passes it on.
	largePart = 40 << 10
	// answerLimit is how long a caller waits for an answer.
	answerLimit = 7 * time.Second
	// settleTime is how long after a target's fault requests aren't judged by whether they are served.
	settleTime = time.Second
)

// The services of the soak.
const (
	tellers = "tellers" // stream
	clerks  = "clerks"  // answer plainly
)

// answerKind is a kind of request, and its route.
type answerKind string

const (
	resumableStream answerKind = "tale"
	singleStream    answerKind = "once"
	repeatablePlain answerKind = "look"
	singlePlain     answerKind = "order"
)

// answerSoak is a run in which callers read the ends of answers off the wire while VMs and targets die.
type answerSoak struct {
	t        *testing.T
	edges    *edgeSite
	vms      *disturber
	randomMu sync.Mutex // guards random
	random   *rand.Rand
	// cutsHeads means that some answers are cut in their heads.
	cutsHeads atomic.Bool
	lastID    atomic.Int64

	mu sync.Mutex // guards the fields below
	// live are the targets that serve, by service; all has every start.
	live map[string][]*standin.Target
	all  []*standin.Target
	// troubles are the spans in which targets fail, by service.
	troubles map[string][]*span
	// kills are the times at which all VMs were killed, lost the ages at them of resumable streams that never went on.
	kills []time.Time
	lost  []time.Duration
	// refused are the attempts whose callers were told that they hadn't run, single those that may run once.
	refused, single map[string]bool
	violations      []string
	// ends counts answers by kind and end. served counts the attempts to get an answer outside disturbances, takenUp the
	// streams that were taken up there, unserved the answers to the other attempts.
	ends            map[string]int
	served, takenUp attemptCount
	unserved        map[string]int
}

func newAnswerSoak(t *testing.T, seed uint64) *answerSoak {
	s := &answerSoak{
		t: t, edges: startEdgeSite(t, answerSoakVMs), random: rand.New(rand.NewPCG(seed, 65)), live: map[string][]*standin.Target{},
		troubles: map[string][]*span{}, refused: map[string]bool{}, single: map[string]bool{}, ends: map[string]int{}, unserved: map[string]int{},
	}
	s.vms = newDisturber(s.edges, 700*time.Millisecond)
	s.vms.strict = true
	s.edges.site.Publish(func(config map[string]any) {
		config["services"] = append(
			config["services"].([]any),
			map[string]any{
				"name": tellers, "max-connections": 400, "health-check-path": "/health",
				"engine": map[string]any{"slot-count": 16, "kv-cache-tokens": 500000},
			},
			map[string]any{"name": clerks, "max-connections": 400, "health-check-path": "/health"},
		)
		config["routes"] = append(
			config["routes"].([]any),
			answerRoute(resumableStream, "streaming", tellers, 2), answerRoute(singleStream, "streaming", tellers, 1),
			answerRoute(repeatablePlain, "idempotent", clerks, 2), answerRoute(singlePlain, "non_idempotent", clerks, 1),
		)
	})
	for n := range answerTargets {
		assert.NilError(t, s.startTarget(tellers, fmt.Sprint("v", 1+n%2), "127.0.0.1:0"))
		assert.NilError(t, s.startTarget(clerks, "v1", "127.0.0.1:0"))
	}
	time.Sleep(time.Second)
	return s
}

func answerRoute(name answerKind, kind, service string, attempts int) map[string]any {
	route := map[string]any{
		"name": string(name), "host": standin.Host, "prefix": "/" + string(name) + "/", "kind": kind, "timeout-ms": 6000,
		"target-latency-ms": 1500, "priority": 0, "service": service, "attempts": attempts,
	}
	if kind == "streaming" {
		route["target-gap-ms"] = 300
	}
	if name == resumableStream {
		route["resumable"] = true
	}
	return route
}

func (s *answerSoak) pick(n int) int {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return s.random.IntN(n)
}

func (s *answerSoak) upTo(d time.Duration) time.Duration { return time.Duration(s.pick(int(d))) }

// startTarget starts a target under a new ID.
func (s *answerSoak) startTarget(service, version, address string) error {
	target := &standin.Target{
		ID: fmt.Sprintf("i-%s-%d", service, s.lastID.Add(1)), Service: service, Zone: "zone-a", Slots: 16, EventInterval: answerPause,
		SlowFactor: slowTaleFactor, Version: version, ChooseFraming: framingByID, ChecksWait: true, CutHead: s.cutHead,
	}
	if service == tellers {
		target.Events, target.NamesVersion = answerEvents, true
	} else {
		target.Parts = func(r *http.Request) (n, size int) { return answerParts, partSize(r.URL.Path) }
	}
	if err := target.Start(address); err != nil {
		return err
	}
	s.t.Cleanup(target.Stop)
	s.edges.site.Store.Put("servers", target.ID, target.Entry("ready", time.Now().UnixMilli()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[service] = append(s.live[service], target)
	s.all = append(s.all, target)
	return nil
}

func partSize(path string) int {
	if strings.HasSuffix(path, "/large") {
		return largePart
	}
	return 0
}

// framingByID chooses an answer's framing by the request's ID. Half of the answers have none.
func framingByID(r *http.Request) standin.Framing {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(r.Header.Get("X-Attempt-Id")))
	return []standin.Framing{standin.Length, standin.Chunked, standin.Unframed, standin.Unframed}[hash.Sum32()%4]
}

func (s *answerSoak) cutHead(*http.Request) *standin.HeadCut {
	if !s.cutsHeads.Load() || s.pick(4) > 0 {
		return nil
	}
	return &standin.HeadCut{Share: float64(s.pick(1000)) / 1000, Reset: s.pick(2) == 0}
}

// takeTarget takes a target out of those that serve; nil if too few do.
func (s *answerSoak) takeTarget(service string) *standin.Target {
	n := s.pick(answerTargets)
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.live[service]
	if len(list) <= answerTargets/2 {
		return nil
	}
	target := list[n%len(list)]
	if slices.IndexFunc(list, func(other *standin.Target) bool { return other != target && other.Version == target.Version }) < 0 {
		return nil
	}
	s.live[service] = slices.DeleteFunc(slices.Clone(list), func(other *standin.Target) bool { return other == target })
	return target
}

// crashTarget crashes a target. Another one is at its address at once or later; the old entry may stay for longer.
func (s *answerSoak) crashTarget(service string) {
	target := s.takeTarget(service)
	if target == nil {
		return
	}
	defer s.trouble(service)()
	target.Crash(standin.CrashOrder(s.pick(int(standin.CrashOrders))), s.upTo(5*time.Millisecond))
	if s.pick(2) == 0 {
		time.Sleep(s.upTo(1200 * time.Millisecond))
	}
	removed := s.pick(2) == 0
	if removed {
		s.edges.site.Store.Delete("servers", target.ID)
	}
	if s.startTarget(service, target.Version, target.Address()) != nil { // another process may have taken the port
		assert.Check(s.t, s.startTarget(service, target.Version, "127.0.0.1:0"))
	}
	if !removed {
		time.Sleep(s.upTo(time.Second))
		s.edges.site.Store.Delete("servers", target.ID)
	}
}

// trouble begins a span in which targets of services fail and returns the function that ends it.
func (s *answerSoak) trouble(services ...string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	during := &span{from: time.Now()}
	for _, service := range services {
		s.troubles[service] = append(s.troubles[service], during)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		during.to = time.Now()
	}
}

// oddEntry is an entry that no target would write.
func (s *answerSoak) oddEntry() []byte {
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slot-count":%s,"state":"ready","cold-left-ms":0,"call-seq":1,"born":1%s}`,
			clerks, address, slots, more)
	}
	const free = "127.0.0.1:9"
	s.mu.Lock()
	sound := s.live[clerks][0].Address()
	s.mu.Unlock()
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	return []byte([]string{
		entry(free, "8", `,"more":`+nested), nested, entry(free, "1e400", ""), entry("127.0.0.1:70000", "8", ""),
		entry(sound, "8", ""), entry(free, "-1", "")[:60], "null",
	}[s.pick(7)])
}

// runOddEntries puts odd entries into the list of targets, and removes them.
func (s *answerSoak) runOddEntries(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(s.upTo(time.Second))
		id := fmt.Sprint("i-odd-", n)
		s.edges.site.Store.Put("servers", id, s.oddEntry())
		time.Sleep(s.upTo(2 * time.Second))
		s.edges.site.Store.Delete("servers", id)
	}
}

// runTargetFaults has targets crash, several at a time, and cut the heads of answers.
func (s *answerSoak) runTargetFaults(end time.Time) {
	var faults sync.WaitGroup
	for time.Now().Before(end) {
		service := []string{tellers, clerks}[s.pick(2)]
		for range 1 + s.pick(3) {
			faults.Go(func() { s.crashTarget(service) })
		}
		if s.pick(3) == 0 {
			ended := s.trouble(tellers, clerks)
			s.cutsHeads.Store(true)
			time.Sleep(s.upTo(500 * time.Millisecond))
			s.cutsHeads.Store(false)
			ended()
		}
		time.Sleep(s.pause())
	}
	faults.Wait()
}

// runVMFaults disturbs VMs in rounds, one after the other, two at a time and, in every other round, all. After each
// round they are undisturbed for long enough that requests are judged.
func (s *answerSoak) runVMFaults(end time.Time) {
	kinds := []disturbance{killed, stopped, frozen, frozenThenKilled}
	for n := s.pick(2); time.Now().Before(end); n++ {
		for range 1 + s.pick(2) {
			var faults sync.WaitGroup
			first := s.pick(answerSoakVMs)
			for i := range 1 + s.pick(2) {
				kind := kinds[s.pick(len(kinds))]
				faults.Go(func() { s.vms.disturb((first+i)%answerSoakVMs, kind) })
			}
			faults.Wait()
			time.Sleep(s.upTo(500 * time.Millisecond))
		}
		if n%2 == 0 {
			s.mu.Lock()
			s.kills = append(s.kills, time.Now())
			s.mu.Unlock()
			s.vms.killAll(nil)
		}
		time.Sleep(undisturbedTime + 1500*time.Millisecond + s.upTo(time.Second))
	}
}

// pause is the time until the next fault of a target: short, or long enough that requests are judged.
func (s *answerSoak) pause() time.Duration {
	if s.pick(2) == 0 {
		return s.upTo(500 * time.Millisecond)
	}
	return settleTime + s.upTo(2*time.Second)
}

// session is a caller, who keeps a connection where it can.
type session struct {
	*answerSoak
	name    string
	http10  bool
	closes  bool
	vm      int
	caller  *rawCaller
	attempt int
}

// newSession draws a caller.
func (s *answerSoak) newSession(n int) *session {
	return &session{answerSoak: s, name: fmt.Sprint("caller-", n), http10: s.pick(3) == 0, closes: s.pick(2) == 0, caller: &rawCaller{}}
}

// send makes an attempt at the VM of the open connection, or another one. It returns the attempt's ID, and whether the
// attempt counts.
func (c *session) send(kind answerKind, path string, headers []string, leave func(string) bool) (a rawAnswer, id string, counted bool) {
	for {
		if c.caller.conn == nil {
			c.vm = c.vms.firstRunning(func() int { return c.pick(answerSoakVMs) })
			c.caller.address = c.edges.vms[c.vm].RequestAddress()
		}
		c.attempt++
		id = fmt.Sprintf("%s-%d", c.name, c.attempt)
		if kind == singleStream || kind == singlePlain {
			c.mu.Lock()
			c.single[id] = true
			c.mu.Unlock()
		}
		sent := time.Now()
		request := rawRequest{path: "/" + string(kind) + "/" + path, id: id, body: c.name, http10: c.http10, close: c.closes, headers: headers, leave: leave}
		answer, reused := c.caller.send(request, answerLimit)
		if reused && answer.end == noAnswer { // the VM has closed a kept connection
			continue
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ends[fmt.Sprintf("%s: %d, %s", kind, answer.status, answer.end)]++
		if isPromise(answer.status) {
			c.refused[id] = true
		}
		if answer.end == malformedFraming {
			c.violations = append(c.violations, fmt.Sprintf("%s: malformed framing", id))
		}
		service := clerks
		if kind == resumableStream || kind == singleStream {
			service = tellers
		}
		return answer, id, c.isCounted(c.vm, service, sent, time.Now())
	}
}

// isCounted reports whether a VM and all targets of a service were undisturbed. The caller holds mu.
func (s *answerSoak) isCounted(vm int, service string, from, to time.Time) bool {
	return s.vms.inTouch(vm, from) && s.vms.inTouch(vm, to) && !disturbedIn(s.troubles[service], from.Add(-settleTime), to)
}

func (c *session) violate(id string, a rawAnswer, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf("%s, %v after a fault of VM %d, HTTP/1.0 %v, %s ended by %s: %s",
		time.Now().Format("05.000"), c.vms.sinceFault(c.vm), c.vm, c.http10, id, a.end, fmt.Sprintf(format, args...)))
}

// noteServed counts an attempt that counts.
func (c *session) noteServed(kind answerKind, a rawAnswer, succeeded bool) {
	if !succeeded {
		c.noteUnserved(kind, a)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served.add(succeeded)
}

func (c *session) noteUnserved(kind answerKind, a rawAnswer) {
	text, _, _ := strings.Cut(a.body, ",")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unserved[fmt.Sprintf("%s: %d, %s, %.60s", kind, a.status, a.end, text)]++
}

// askPlain asks for a plain answer.
func (c *session) askPlain(kind answerKind) {
	path := []string{"short", "short", "large"}[c.pick(3)]
	a, id, counted := c.send(kind, path, nil, nil)
	whole := a.status == http.StatusOK && a.end.looksComplete()
	want := standin.AnswerInParts(id, answerParts, partSize("/"+path))
	switch {
	case whole && a.body != want:
		c.violate(id, a, "%s %s has %d of %d bytes", kind, path, len(a.body), len(want))
	case a.status == http.StatusOK && !strings.HasPrefix(want, a.body):
		c.violate(id, a, "%s %s has other bytes than its answer", kind, path)
	}
	if counted {
		c.noteServed(kind, a, whole)
	}
}

// tale is a stream as its caller has it.
type tale struct {
	events   int
	first    string // the attempt that brought the first event
	began    time.Time
	versions map[string]bool
	path     string
	// takenUp means that it was taken up outside disturbances, wentOn that it went on then.
	takenUp, wentOn bool
}

// askStream reads a stream. If it may be resumed, the caller sometimes leaves, and takes it up until it is whole.
func (c *session) askStream(kind answerKind) {
	got := &tale{versions: map[string]bool{}, path: []string{"x", strings.TrimPrefix(standin.SlowPath, "/")}[c.pick(2)]}
	attempts := 1
	if kind == resumableStream {
		attempts = maxAttempts
	}
	for n := 0; n < attempts; n++ {
		until := answerEvents + 1
		if kind == resumableStream && c.pick(4) == 0 && got.events < answerEvents {
			until = got.events + 1 + c.pick(answerEvents-got.events)
		}
		if c.readStream(kind, got, until) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	after := slices.IndexFunc(c.kills, func(kill time.Time) bool { return kill.After(got.began) })
	if kind == resumableStream && got.events > 0 && got.events < answerEvents && after >= 0 {
		c.lost = append(c.lost, c.kills[after].Sub(got.began))
	}
	if got.takenUp {
		c.takenUp.add(got.wentOn)
	}
	if len(got.versions) > 1 {
		c.violations = append(c.violations, fmt.Sprintf("%s has events of %v", got.first, got.versions))
	}
}

// readStream asks for the rest of a stream, leaves when it has the given number of events, and reports whether the
// stream is over for the caller.
func (c *session) readStream(kind answerKind, got *tale, until int) bool {
	had, sent := got.events, time.Now()
	var headers []string
	if had > 0 {
		headers = []string{"Last-Event-Id: " + strconv.Itoa(had), "Resumes: " + got.first}
	}
	a, id, counted := c.send(kind, got.path, headers, func(body string) bool { return had+strings.Count(body, "\n\n") >= until })
	if a.status != http.StatusOK {
		c.noteStream(kind, got, had, a, counted, false)
		seconds, _ := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		time.Sleep(max(time.Duration(seconds*float64(time.Second)), c.upTo(1200*time.Millisecond)))
		return kind != resumableStream
	}
	if had == 0 {
		got.began = sent
	}
	rest := c.readEvents(got, id, a)
	switch {
	case a.end.looksComplete() && (got.events < answerEvents || rest != ""):
		c.violate(id, a, "%s ends as complete after %d of %d events and %q, it had %d", kind, got.events, answerEvents, rest, had)
		return true
	case got.events == had && had == answerEvents: // it had all, and learns now that there are no more
		c.noteStream(kind, got, had, a, counted, a.end.looksComplete())
		return a.end.looksComplete()
	}
	c.noteStream(kind, got, had, a, counted, got.events > had && (a.end.looksComplete() || a.end == callerLeft))
	return a.end.looksComplete()
}

func (c *session) noteStream(kind answerKind, got *tale, had int, a rawAnswer, counted, succeeded bool) {
	switch {
	case !counted:
	case had == 0:
		c.noteServed(kind, a, succeeded)
	default:
		got.takenUp, got.wentOn = true, got.wentOn || succeeded
		if !succeeded {
			c.noteUnserved(kind+" taken up", a)
		}
	}
}

// readEvents adds the events of an answer to a stream and returns what follows the last one.
func (c *session) readEvents(got *tale, id string, a rawAnswer) string {
	list := strings.Split(a.body, "\n\n")
	for _, text := range list[:len(list)-1] {
		number, version, found := strings.Cut(text, "\ndata: ")
		if !found || number != fmt.Sprint("id: ", got.events+1) || strings.Contains(version, "\n") || got.events == answerEvents {
			c.violate(id, a, "%q after event %d", text, got.events)
			return ""
		}
		got.events++
		got.versions[version] = true
		if got.first == "" {
			got.first = id
		}
	}
	return list[len(list)-1]
}

// run makes requests, up to three for each caller.
func (c *session) run() {
	defer c.caller.disconnect()
	for range 1 + c.pick(3) {
		switch kind := []answerKind{resumableStream, resumableStream, singleStream, repeatablePlain, singlePlain}[c.pick(5)]; kind {
		case resumableStream, singleStream:
			c.askStream(kind)
		case repeatablePlain, singlePlain:
			c.askPlain(kind)
		}
	}
}

// run plays the faults while callers come.
func (s *answerSoak) run(d time.Duration) {
	var faults, callers sync.WaitGroup
	end := time.Now().Add(d)
	for _, play := range []func(time.Time){s.runVMFaults, s.runTargetFaults, s.runOddEntries} {
		faults.Go(func() { play(end) })
	}
	for n := 0; time.Now().Before(end); n++ {
		callers.Go(s.newSession(n).run)
		time.Sleep(time.Second / answerRate)
	}
	callers.Wait()
	faults.Wait()
	s.vms.checkAllRun()
}

// addRuns compares what callers were told with what ran at the targets.
func (s *answerSoak) addRuns() {
	runs := map[string]int{}
	for _, target := range s.all {
		for _, r := range target.ReceivedRequests() {
			if r.Ran {
				runs[r.ID]++
			}
		}
	}
	for id, n := range runs {
		if s.refused[id] {
			s.violations = append(s.violations, id+" ran, and its caller was told that it hadn't")
		}
		if n > 1 && s.single[id] {
			s.violations = append(s.violations, fmt.Sprintf("%s ran %d times", id, n))
		}
	}
}

// saveLogs writes the logs of the processes of a failed run into the directory that VANILLAGATE_KEEP names.
func (s *answerSoak) saveLogs(seed uint64) {
	folder := os.Getenv("VANILLAGATE_KEEP")
	if folder == "" || !s.t.Failed() {
		return
	}
	for _, run := range s.edges.processes {
		path := filepath.Join(folder, fmt.Sprintf("ends-%d-%s-%d.log", seed, run.name, run.cmd.Process.Pid))
		assert.Check(s.t, os.WriteFile(path, []byte(run.logs()), 0o600))
	}
}

// Guards against answers that look complete and aren't, and streams with gaps or of two versions, while VMs and targets die.
func TestPlatformAnswersEndAsWhatTheyAre(t *testing.T) {
	t.Parallel()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newAnswerSoak(t, seed)
			t.Cleanup(func() { s.saveLogs(seed) })
			s.run(2 * plannedDurationOf(t))
			s.addRuns()
			t.Logf("seed %d: %d of %d requests served, %d of %d streams taken up, others %v, ages of lost streams at kills of all VMs %v; ends %v",
				seed, s.served.succeeded, s.served.tried, s.takenUp.succeeded, s.takenUp.tried, s.unserved, s.lost, s.ends)
			for _, violation := range s.violations {
				t.Error(violation)
			}
			assert.Check(t, s.served.tried >= 20)
			assert.Check(t, s.served.share() >= 0.9, "%d of %d requests served: %v", s.served.succeeded, s.served.tried, s.unserved)
			assert.Check(t, s.takenUp.share() >= s.served.share()/2 || s.takenUp.tried == 0, "%d of %d streams taken up", s.takenUp.succeeded, s.takenUp.tried)
		})
	}
}
