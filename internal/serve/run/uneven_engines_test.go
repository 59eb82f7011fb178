package run

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// unevenLoad describes processes that send prompts to model engines, and their load.
type unevenLoad struct {
	processes, engines int
	// One of fastOf engines is fast.
	fastOf int
	// load is the number of requests a second for each engine.
	load   float64
	length time.Duration
	// stated means that engines state their pace, calm that there is no contention.
	stated, calm bool
}

// unevenPool simulates an unevenLoad. The engines, each of which reads one prompt after the other, and the
// requests are those of a deployment with uneven engines.
type unevenPool struct {
	unevenLoad
	disabled  bool // paces are left out
	executors []*Executor

	mu        sync.Mutex // guards the fields below
	models    map[string]*modelEngine
	random    *rand.Rand
	kinds     map[string][]time.Duration // times to the first event
	slowShort int                        // short prompts at slow engines
}

// modelEngine is a simulated engine.
type modelEngine struct {
	constant, contention float64
	busyUntil            time.Time
	running              int
	read                 map[string]bool // shared parts
}

func (m *modelEngine) pace() float64 { return m.constant * m.contention }

// nominalTime is the time that an idle engine of nominal speed reads a prompt.
func nominalTime(tokens int) float64 {
	x := float64(tokens)
	return (x/92 + 0.35*x*x/2/1e6) / 1000
}

// contentionPeriod is how often it is redrawn which machines are contended.
const contentionPeriod = 600 * time.Millisecond

func (p *unevenPool) start(seed uint64) {
	now := time.Now()
	p.random = rand.New(rand.NewPCG(seed, 1))
	p.models, p.kinds = map[string]*modelEngine{}, map[string][]time.Duration{}
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	var entries []pool.Entry
	for i := range p.engines {
		id := fmt.Sprint("e-", i)
		constant := 1.2
		if i%p.fastOf == 0 {
			constant = 0.55
		}
		p.models[id] = &modelEngine{constant: constant, contention: 1, read: map[string]bool{}}
		entries = append(entries, pool.Entry{
			ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Slots: 32, State: pool.Ready, Revision: 1, Born: 7,
		})
	}
	for i := range p.processes {
		table := pool.New(zap.NewNop())
		table.Reset(entries, 1, now)
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{Slots: 32}}}})
		tracker := engines.New(zap.NewNop(), cluster.Add(fmt.Sprint("vm-", i), "a"))
		if p.disabled {
			tracker.DisablePace()
		}
		p.executors = append(p.executors, &Executor{
			Log: zap.NewNop(), Plans: plans, Table: table, Budget: quota.New(quota.Rule{}, now), Engines: tracker,
		})
	}
}

// run plays the load.
func (p *unevenPool) run(seed uint64) {
	p.start(seed)
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Now()
	var running sync.WaitGroup
	running.Go(func() {
		for ; time.Since(start) < p.length; time.Sleep(contentionPeriod) {
			p.redraw()
		}
	})
	running.Go(func() {
		for ; time.Since(start) < p.length; time.Sleep(time.Second) {
			for _, e := range p.executors {
				e.Engines.Sweep(time.Now())
			}
		}
	})
	for n := 0; time.Since(start) < p.length; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / (p.load * float64(p.engines)) * float64(time.Second)))
		e := p.executors[random.IntN(len(p.executors))]
		kind, prompt := p.drawPrompt(random, n)
		counted := time.Since(start) > 2500*time.Millisecond // paces are known by then
		running.Go(func() { p.request(e, kind, prompt, counted) })
	}
	running.Wait()
}

func (p *unevenPool) redraw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.engines {
		m := p.models[fmt.Sprint("e-", i)]
		m.contention = 1
		if !p.calm && p.random.Float64() < 0.15 {
			m.contention = 2.5
		}
	}
}

func (p *unevenPool) drawPrompt(random *rand.Rand, n int) (kind string, prompt place.Prompt) {
	kind, shared, own := "tag", 0, 2368
	switch draw := random.Float64(); {
	case draw < 0.28:
		kind, shared = "long", 5382
		own = int(min(math.Exp(8.35+0.95*random.NormFloat64()), 54_600))
	case draw < 0.65:
		kind, own = "question", 826
	}
	parts := []place.Part{{ID: fmt.Sprint("own-", n), Tokens: own}}
	if shared > 0 {
		parts = slices.Insert(parts, 0, place.Part{ID: fmt.Sprint("shared-", random.IntN(2*p.engines)), Tokens: shared})
	}
	return kind, place.Prompt{Input: shared + own, Parts: parts}
}

func (p *unevenPool) request(e *Executor, kind string, prompt place.Prompt, counted bool) {
	route := &plan.Route{Kind: plan.Stream, Objective: 1400 * time.Millisecond}
	j := &job{
		Executor: e, ctx: context.Background(), service: "s", route: route, tried: map[string]bool{},
		req: &Request{Arrived: time.Now().Add(-700 * time.Millisecond), Prompt: prompt},
	}
	asked := time.Now()
	target := j.choose()
	j.sentAt, j.sends = time.Now(), 1
	call := e.Table.Begin(target, prompt.Input, j.sentAt)
	m, wait := p.admit(target.ID, kind, prompt, counted)
	time.Sleep(wait)
	p.mu.Lock()
	report := pool.Report{Running: m.running, Slots: 32, At: time.Now()}
	if p.stated {
		report.Percent = int(100*m.pace() + 0.5)
	}
	if counted {
		p.kinds[kind] = append(p.kinds[kind], time.Since(asked))
	}
	p.mu.Unlock()
	call.ResponseStarted()
	target.SetReport(report)
	j.engineAnswer = engineAnswer{target: target, percent: report.Percent}
	j.recordPrefill(time.Since(j.sentAt))
	j.observeFirstEvent(200, time.Since(j.sentAt))
	time.Sleep(500 * time.Millisecond)
	call.End(pool.Answered, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	m.running--
}

// admit adds a prompt to an engine and returns the time to its first event.
func (p *unevenPool) admit(id, kind string, prompt place.Prompt, counted bool) (*modelEngine, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[id]
	tokens := prompt.Input
	if key := prompt.AffinityKey(); key != "" {
		if m.read[key] {
			tokens = prompt.UnsharedTokens()
		}
		m.read[key] = true
	}
	now := time.Now()
	if m.busyUntil.Before(now) {
		m.busyUntil = now
	}
	m.busyUntil = m.busyUntil.Add(seconds(m.pace() * nominalTime(tokens)))
	m.running++
	if counted && kind != "long" && m.constant > 1 {
		p.slowShort++
	}
	return m, m.busyUntil.Sub(now) + 60*time.Millisecond
}

// late returns the share of a kind's first events that took longer than half of the objective.
func (p *unevenPool) late(kind string) float64 {
	inTime := slices.DeleteFunc(slices.Clone(p.kinds[kind]), func(took time.Duration) bool { return took > 700*time.Millisecond })
	return 1 - float64(len(inTime))/float64(len(p.kinds[kind]))
}

func (p *unevenPool) mean(kind string) time.Duration {
	var sum time.Duration
	for _, took := range p.kinds[kind] {
		sum += took
	}
	return sum / time.Duration(max(len(p.kinds[kind]), 1))
}

// Engines differ by constant factors and by contention. If all count as alike, slow ones get long prompts,
// which are late, since the stages have taken half of the objective of 1.4 s. Short prompts must not
// lose by what long ones gain, and must not leave the slow engines idle. Long prompts must not queue at
// the few fast engines that all processes prefer.
func TestLongPromptsGoToFastEngines(t *testing.T) {
	for _, c := range []struct {
		unevenLoad
		late float64 // share of late long prompts with paces, relative to that without them
	}{
		{unevenLoad{processes: 4, engines: 10, fastOf: 4, load: 12, length: 20 * time.Second, stated: true}, 0.8},
		{unevenLoad{processes: 30, engines: 90, fastOf: 4, load: 8, length: 8 * time.Second, stated: true}, 0.8},
		{unevenLoad{processes: 30, engines: 90, fastOf: 22, load: 8, length: 8 * time.Second, stated: true}, 1.2},
		{unevenLoad{processes: 30, engines: 90, fastOf: 4, load: 11, length: 8 * time.Second, calm: true}, 1.5},
		{unevenLoad{processes: 40, engines: 1000, fastOf: 4, load: 4.7, length: 4 * time.Second, stated: true}, 0.9},
	} {
		name := fmt.Sprintf("%d engines, 1 fast of %d, stated %v", c.engines, c.fastOf, c.stated)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without, with := &unevenPool{unevenLoad: c.unevenLoad, disabled: true}, &unevenPool{unevenLoad: c.unevenLoad}
			for _, p := range []*unevenPool{without, with} {
				synctest.Test(t, func(*testing.T) { p.run(1) })
			}
			for _, kind := range []string{"long", "question", "tag"} {
				t.Logf("%s: of %d %s prompts %.4f late without paces, %.4f with; first event after %v, %v", name, len(with.kinds[kind]), kind,
					without.late(kind), with.late(kind), without.mean(kind).Round(time.Millisecond), with.mean(kind).Round(time.Millisecond))
				assert.Check(t, with.late(kind) <= without.late(kind)+0.005, "%s, %s", name, kind)
				assert.Check(t, with.mean(kind) < without.mean(kind)*102/100, "%s, %s", name, kind)
			}
			assert.Check(t, with.late("long") < c.late*without.late("long"), name)
			assert.Check(t, with.slowShort*10 > without.slowShort*8, "%s: %d short prompts at slow engines, %d before", name, with.slowShort, without.slowShort)
		})
	}
}
