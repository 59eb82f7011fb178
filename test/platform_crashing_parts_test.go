package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/run"
	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	crashSoakVMs = 6
	// soakPromptEvents and soakPromptInterval make a stream take half a second.
	soakPromptEvents   = 20
	soakPromptInterval = 25 * time.Millisecond
	// crashesOfPart and crashesOfContent are the crashes after which requests with a part, or a content, must no
	// longer reach engines after the contact time; lateAllowed is how many still may.
	crashesOfPart    = 5
	crashesOfContent = 3
	lateAllowed      = 3
	// minSoundPrompts is the number of sound requests from which their share is judged.
	minSoundPrompts = 20
	// calmPromptTime is how long only sound requests are sent, and nothing fails.
	calmPromptTime = 5 * time.Second
	// copiedPartTokens makes shared parts long enough to be copied between engines.
	copiedPartTokens = 2000
)

// crashSoak is a run in which some parts of prompts, and some contents, crash engines, while VMs and engines
// fail for other reasons.
type crashSoak struct {
	t      *testing.T
	seed   uint64
	edges  *edgeSite
	vms    *disturber
	pool   *standin.EnginePool
	random *rand.Rand // used by the goroutine that plans only
	// statesPace means that engines state a percent, copies that they copy shared parts of prompts.
	statesPace, copies bool
	// deadlyParts are the parts that crash engines; alikeBody is a body that does, "" for none.
	deadlyParts []string
	alikeBody   string
	// firstParts are shared by all requests, and pathOf has the route of each.
	firstParts []string
	calmUntil  time.Time

	mu      sync.Mutex     // guards the fields below
	sentVia map[string]int // VM by attempt
	sound   []soakPrompt
}

// soakPrompt is the outcome of a sound request.
type soakPrompt struct {
	sent      time.Time
	first     string
	counted   bool // its VM was undisturbed
	whole     bool
	convicted bool
}

func newCrashSoak(t *testing.T, seed uint64) *crashSoak {
	s := &crashSoak{
		t: t, seed: seed, edges: startEdgeSite(t, crashSoakVMs), random: rand.New(rand.NewPCG(seed, 53)), sentVia: map[string]int{},
	}
	s.vms = newDisturber(s.edges, 4*time.Second)
	// Draws of a second stream, so that what the seed plays is otherwise the same as without them.
	later := rand.New(rand.NewPCG(seed, 63))
	s.statesPace, s.copies = later.IntN(2) == 0, later.IntN(2) == 0
	for n := range s.random.IntN(3) { // none in a third of the runs
		s.deadlyParts = append(s.deadlyParts, fmt.Sprintf("dead%d", n))
	}
	if s.random.IntN(3) == 0 {
		s.alikeBody = "always the same"
	}
	s.firstParts = []string{"f0", "f1"}[:1+s.random.IntN(2)]
	s.publishRoutes()
	template := &standin.Target{
		Service: "writers", Zone: "zone-a", Slots: 16, Events: soakPromptEvents, EventInterval: soakPromptInterval, Unframed: s.random.IntN(4) == 0,
	}
	if s.statesPace {
		template.Percent = drawPercent(later)
	}
	pool, err := standin.StartEnginePool(s.edges.site.Store, "127.0.0.1", 24, template, s.crashes)
	assert.NilError(t, err)
	t.Cleanup(pool.Stop)
	s.pool = pool
	time.Sleep(time.Second)
	return s
}

// drawPercent returns a function that draws the percent for an answer. It may be called concurrently.
func drawPercent(random *rand.Rand) func() int {
	var mu sync.Mutex
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return []int{55, 120, 137, 300}[random.IntN(4)]
	}
}

// publishRoutes adds a route for each first part.
func (s *crashSoak) publishRoutes() {
	engine := map[string]any{"slot-count": 16, "kv-cache-tokens": 500000}
	if s.copies {
		engine["kv-token-bytes"], engine["link-mbps"] = 35_136, 1_100_000
	}
	s.edges.site.Publish(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{
			"name": "writers", "max-connections": 400, "engine": engine,
		})
		for i, part := range s.firstParts {
			config["routes"] = append(config["routes"].([]any), map[string]any{
				"name": part, "host": standin.Host, "prefix": "/" + part + "/", "kind": "streaming", "timeout-ms": 6000, "target-latency-ms": 1500,
				"target-gap-ms": 300, "priority": 0, "service": "writers", "attempts": 1 + (i+int(s.seed))%3, "resumable": i == 0, "session-affinity": true,
			})
		}
	})
}

// crashes reports whether a request crashes its engine. A content is recognized by a part of its own.
func (s *crashSoak) crashes(r *http.Request) bool {
	return slices.ContainsFunc(standin.PromptParts(r.Header), func(part string) bool {
		return part == "alike" || slices.Contains(s.deadlyParts, part)
	})
}

// promptSeries sends requests at a rate for a time.
func (s *crashSoak) promptSeries(name string, rate float64, d time.Duration, sound bool, body string, parts func(n int) []string) {
	var sending sync.WaitGroup
	start := time.Now()
	for n := 0; ; n++ {
		due := time.Duration(float64(n) / rate * float64(time.Second))
		if due > d {
			break
		}
		time.Sleep(time.Until(start.Add(due)))
		sending.Go(func() { s.send(fmt.Sprintf("%s-%d", name, n), sound, body, parts(n)) })
	}
	sending.Wait()
}

// send sends one request. A caller that can't connect tries another VM.
func (s *crashSoak) send(id string, sound bool, body string, parts []string) {
	for try := range 3 {
		attempt := fmt.Sprintf("%s-%d", id, try)
		vm := s.pickVM(id, try)
		sent := time.Now()
		s.mu.Lock()
		s.sentVia[attempt] = vm
		s.mu.Unlock()
		prompt := standin.Prompt{ID: attempt, Path: "/" + s.routeOf(parts) + "/x", Key: standin.TeamKey, Body: body, Parts: append(slices.Clone(parts), "own"+id)}
		if s.copies {
			prompt.PartTokens = copiedPartTokens
		}
		got := prompt.Send(context.Background(), s.edges.vms[vm].RequestAddress(), soakPromptEvents)
		if sound && try == 0 {
			s.record(vm, sent, parts[0], got)
		}
		if got.Status != 0 || sound {
			return
		}
	}
}

// routeOf returns the route of a prompt: that of its first part, or the first one.
func (s *crashSoak) routeOf(parts []string) string {
	if slices.Contains(s.firstParts, parts[0]) {
		return parts[0]
	}
	return s.firstParts[0]
}

func (s *crashSoak) record(vm int, sent time.Time, first string, got standin.PromptOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sound = append(s.sound, soakPrompt{
		sent: sent, first: first, whole: got.Whole, convicted: strings.Contains(got.Body, string(run.CrashesTargets)),
		counted: s.vms.inTouch(vm, sent) && s.vms.inTouch(vm, time.Now()),
	})
}

// pickVM returns a VM that isn't stopped.
func (s *crashSoak) pickVM(id string, try int) int {
	n := len(id) + int(id[len(id)-1]) + try - 1
	return s.vms.firstRunning(func() int {
		n++
		return n % crashSoakVMs
	})
}

// runFaults plays faults of VMs and engines until the time is over.
func (s *crashSoak) runFaults(d time.Duration) {
	restarts, engines, all := s.random.IntN(2) == 0, s.random.IntN(2) == 0, s.random.IntN(3) == 0
	kinds := []disturbance{disturbance(s.random.IntN(3)), disturbance(s.random.IntN(3)), disturbance(s.random.IntN(3))}
	together := 1 + s.random.IntN(12)
	pause := time.Duration(500+s.random.IntN(3000)) * time.Millisecond
	s.t.Logf("seed %d: parts %v, same content %v, first parts %v, VMs disturbed %v, all at once %v, engines crash %v, %d each %v",
		s.seed, s.deadlyParts, s.alikeBody != "", s.firstParts, restarts, all, engines, together, pause)
	end := time.Now().Add(d)
	var faults sync.WaitGroup
	faults.Go(func() {
		for vm := 0; restarts && time.Now().Before(end); vm++ {
			s.vms.disturb(vm%crashSoakVMs, kinds[vm%len(kinds)])
			time.Sleep(pause / 2)
		}
		if all {
			s.restartAll()
		}
	})
	faults.Go(func() {
		for engines && time.Now().Before(end) {
			s.pool.CrashSome(together)
			time.Sleep(pause)
		}
	})
	faults.Wait()
}

// restartAll kills all VMs at once and starts them again.
func (s *crashSoak) restartAll() {
	var each sync.WaitGroup
	for vm := range crashSoakVMs {
		each.Go(func() { s.vms.disturb(vm, killed) })
	}
	each.Wait()
}

// run plays the loads and the faults.
func (s *crashSoak) run(d time.Duration) {
	soundRate := []float64{2, 10, 40}[s.random.IntN(3)]
	deadlyRate := []float64{1, 3, 8}[s.random.IntN(3)]
	length, position := 2+s.random.IntN(8), s.random.IntN(10)
	pause := time.Duration(s.random.IntN(5)) * time.Second
	s.calmUntil = time.Now().Add(calmPromptTime)
	var loads sync.WaitGroup
	loads.Go(func() {
		s.promptSeries("sound", soundRate, calmPromptTime+d+undisturbedTime*4, true, "", func(n int) []string {
			return []string{s.firstParts[n%len(s.firstParts)], fmt.Sprintf("c%d", n%30), fmt.Sprintf("e%d", n%7)}
		})
	})
	time.Sleep(calmPromptTime)
	deadly := func(d time.Duration, name string) {
		for i, dead := range s.deadlyParts {
			loads.Go(func() {
				s.promptSeries(fmt.Sprint(name, i), deadlyRate, d, false, "", func(n int) []string {
					list := []string{s.firstParts[n%len(s.firstParts)]}
					for k := range length - 1 {
						list = append(list, fmt.Sprintf("c%d", (n+k)%30))
					}
					return slices.Insert(list, position%(len(list)+1), dead)
				})
			})
		}
	}
	deadly(d, "deadly")
	if s.alikeBody != "" {
		loads.Go(func() {
			s.promptSeries("alike", 2, d, false, s.alikeBody, func(int) []string { return []string{s.firstParts[0], "c1", "alike"} })
		})
	}
	s.runFaults(d)
	time.Sleep(pause)
	deadly(undisturbedTime*4, "again")
	loads.Wait()
}

// late counts the requests with a part that reached engines too late, sent by VMs in touch.
func (s *crashSoak) late(part string, crash int) int {
	times := s.pool.CrashesWith(part)
	if len(times) < crash {
		return 0
	}
	n := 0
	for _, a := range s.pool.ArrivalsAfter(part, times[crash-1].Add(undisturbedTime)) {
		s.mu.Lock()
		vm := s.sentVia[a.ID]
		s.mu.Unlock()
		if s.vms.inTouch(vm, a.At) {
			n++
		}
	}
	return n
}

// soundShare returns the share of whole answers among the counted requests sent in a span.
func (s *crashSoak) soundShare(first string, from, to time.Time) (share float64, sent, convicted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := 0
	for _, p := range s.sound {
		if p.first != first || !p.counted || p.sent.Before(from) || p.sent.After(to) {
			continue
		}
		sent++
		if p.whole {
			whole++
		}
		if p.convicted {
			convicted++
		}
	}
	return float64(whole) / float64(max(sent, 1)), sent, convicted
}

// check checks that deadly requests are stopped in time and sound ones are served.
func (s *crashSoak) check() {
	for _, part := range s.deadlyParts {
		n := s.late(part, crashesOfPart)
		s.t.Logf("seed %d: part %s: %d engines crashed, %d requests late", s.seed, part, len(s.pool.CrashesWith(part)), n)
		assert.Check(s.t, n <= lateAllowed, "seed %d: %d requests with part %s late", s.seed, n, part)
	}
	all := s.pool.ArrivalsAfter(s.firstParts[0], time.Time{})
	copied := slices.DeleteFunc(slices.Clone(all), func(a standin.PromptArrival) bool { return a.Source == "" })
	s.t.Logf("seed %d: engines state paces %v, copy parts %v: %d of %d requests named a source", s.seed, s.statesPace, s.copies, len(copied), len(all))
	n := s.late("alike", crashesOfContent)
	assert.Check(s.t, n <= lateAllowed, "seed %d: %d requests with the same content late", s.seed, n)
	for _, first := range s.firstParts {
		calm, calmSent, _ := s.soundShare(first, time.Time{}, s.calmUntil)
		share, sent, convicted := s.soundShare(first, s.calmUntil.Add(2*undisturbedTime), time.Now())
		s.t.Logf("seed %d: sound requests with %s whole: %.2f of %d, before %.2f of %d; %d convicted", s.seed, first, share, sent, calm, calmSent, convicted)
		assert.Check(s.t, convicted <= sent/50, "seed %d: %d of %d sound requests with %s are refused", s.seed, convicted, sent, first)
		if sent >= minSoundPrompts && calmSent >= minSoundPrompts/4 {
			assert.Check(s.t, share >= calm/2, "seed %d: %.2f of %d sound requests with %s whole, before %.2f", s.seed, share, sent, first, calm)
		}
	}
}

// Guards against deadly parts and contents that aren't stopped, and sound ones that are, beside other failures.
func TestPlatformPartsThatCrashEnginesAreStopped(t *testing.T) {
	t.Parallel()
	for _, seed := range plannedSeeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newCrashSoak(t, seed)
			s.run(plannedDurationOf(t))
			s.check()
		})
	}
}
