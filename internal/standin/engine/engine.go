package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/standin/bounds"
	"github.com/vanillagate/vanillagate/internal/standin/history"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const cacheBlockBytes = targetapi.CacheBlockBytes

// maxBehind is how far the loop may lag behind simulated time before it gives
// up catching up: after a pause of the process it must not run in a burst.
const maxBehind = 50 * time.Millisecond

// defaultMaxTokens is the usual default of the completions call.
const defaultMaxTokens = 16

// Errors of Submit; the request was not taken in.
var (
	ErrQueueFull = errors.New("engine: queue is full")
	ErrLoading   = errors.New("engine: another model is being loaded")
)

// Engine emulates one engine. Use New, and Run it.
type Engine struct {
	costs    Costs
	first    Serving // what a new process serves
	straggle func() float64
	weights  *WeightStore
	orders   chan struct{} // holds an element while an order is carried out
	wake     chan struct{}
	load     *history.DelayedValue[targetapi.LoadReport]

	mu       sync.Mutex // guards all below; a leaf
	batch    batch
	feed     feed
	dice     *rand.Rand
	arrivals uint64
	serving  Serving
	loading  bool
}

// Config says what an engine is.
type Config struct {
	Costs   Costs
	Serving Serving
	Seed    uint64
	// StraggleFactor is the factor by which work is stretched now; it is asked for
	// before each step.
	StraggleFactor func() float64
	// Weights is shared by the engines of a deployment.
	Weights *WeightStore
}

// Serving is what an engine has loaded.
type Serving struct {
	Model    string
	Version  string
	Role     string
	Adapters []string
}

// New builds an engine.
func New(c Config) *Engine {
	costs := c.Costs.WithDefaults()
	lag := millis(costs.LoadLagMS)
	e := &Engine{
		costs:    costs,
		first:    c.Serving,
		straggle: c.StraggleFactor,
		weights:  c.Weights,
		orders:   make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		load:     history.New(lag, lag/8, targetapi.LoadReport{}),
		dice:     rand.New(rand.NewPCG(c.Seed, 1)),
		serving:  c.Serving,
	}
	e.feed = feed{lag: millis(costs.CacheEventLagMS), dropShare: costs.CacheEventDropShare, dice: e.dice}
	e.batch = batch{costs: costs, cache: newPrefixCache(costs.CacheBlocks), onCache: e.noteCache}
	return e
}

// noteCache is called with e.mu held.
func (e *Engine) noteCache(stored, removed []uint64) {
	now := time.Now()
	e.feed.add(now, targetapi.BlockStored, stored)
	e.feed.add(now, targetapi.BlockRemoved, removed)
}

// Submit takes a completion in.
func (e *Engine) Submit(r targetapi.CompletionRequest) (*Sequence, error) {
	s := &Sequence{
		prompt:   r.Prompt,
		hashes:   blockHashes(r.Prompt),
		priority: r.Priority,
		maxWords: r.MaxTokens,
		text:     continuationOf(r.Prompt),
		stream:   r.Stream,
		notify:   make(chan struct{}, 1),
	}
	bounds.OrDefault(&s.maxWords, defaultMaxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loading {
		return nil, ErrLoading
	}
	if len(e.batch.waiting) >= e.batch.costs.MaxQueue {
		return nil, ErrQueueFull
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.version = e.serving.Version
	e.batch.enqueue(s)
	e.noteLoad()
	poke(e.wake)
	return s, nil
}

// Cancel gives a sequence up and frees its place. It does nothing to one that
// has ended.
func (e *Engine) Cancel(s *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.end != InProgress {
		return
	}
	s.end = Cancelled
	e.batch.remove(s)
	e.noteLoad()
}

// Crash aborts everything. Like a new process the engine has an empty cache
// and serves what it served at first: orders must be given again.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.batch.clear() {
		s.end = Aborted
		poke(s.notify)
	}
	e.serving = e.first
	e.serving.Adapters = slices.Clone(e.first.Adapters)
	e.clearCache()
	e.noteLoad()
}

// clearCache is called with e.mu held.
func (e *Engine) clearCache() {
	e.batch.cache.clear()
	e.feed.add(time.Now(), targetapi.AllBlocksCleared, nil)
}

// Progress is how far a sequence has come.
type Progress struct {
	Produced int
	Status   Status
	CostUS   int64
	Usage    targetapi.Usage
}

// Progress tells how far a sequence has come.
func (e *Engine) Progress(s *Sequence) Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Progress{
		Produced: s.produced,
		Status:   s.end,
		CostUS:   int64(s.costUS),
		Usage: targetapi.Usage{
			PromptTokens:     s.promptTokens,
			CompletionTokens: s.produced,
			CachedTokens:     s.cachedTokens,
		},
	}
}

// Changed has an element when there is something new to see: a word on a
// stream, or the end.
func (s *Sequence) Changed() <-chan struct{} { return s.notify }

// Version is the version of the model that the sequence runs on.
func (s *Sequence) Version() string { return s.version }

// Text is what was generated from one word up to another.
func (s *Sequence) Text(from, to int) string { return s.text.text(from, to) }

// Load is the report as it is seen now, with its lag.
func (e *Engine) Load() targetapi.LoadReport { return e.load.Delayed(time.Now()) }

// Events lists the cache events that may be seen now.
func (e *Engine) Events(after uint64) targetapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.feed.after(time.Now(), after)
}

// noteLoad is called with e.mu held. The history's lock is taken inside it.
func (e *Engine) noteLoad() {
	var r targetapi.LoadReport
	running, waiting := len(e.batch.running), len(e.batch.waiting)
	r.Utilization = float64(running+waiting) / float64(e.batch.costs.MaxBatch)
	r.Named.Running = float64(running)
	r.Named.Waiting = float64(waiting)
	r.Named.CacheUsage = e.batch.cache.usage()
	e.load.Set(time.Now(), r)
}

// Run works until the context ends. One loop with one timer serves all
// sequences of the engine.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for ctx.Err() == nil {
		took := e.plan()
		if took == 0 {
			e.waitForWork(ctx)
			due = time.Now()
			continue
		}
		due = due.Add(took)
		sleepUntil(ctx, timer, due)
		if behind := time.Since(due); behind > maxBehind {
			due = time.Now()
		}
		e.deliver()
	}
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// sleepUntil returns at once when due is past. Timers are coarser than short
// steps; since due is reckoned from the last due time, not from now, the mean
// is right all the same.
func sleepUntil(ctx context.Context, timer *time.Timer, due time.Time) {
	wait := time.Until(due)
	if wait <= 0 {
		return
	}
	timer.Reset(wait)
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// plan begins a step and says how long it takes; zero when there is no work.
func (e *Engine) plan() time.Duration {
	stretch := e.straggle()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.idle() {
		return 0
	}
	if j := e.batch.costs.JitterShare; j > 0 {
		stretch *= 1 + j*(2*e.dice.Float64()-1)
	}
	took := e.batch.step(stretch)
	e.noteLoad()
	return took
}

// deliver ends a step: its words can be seen now.
func (e *Engine) deliver() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.finishStep()
	for _, s := range e.batch.running {
		if s.stream && s.produced > 0 {
			poke(s.notify)
		}
	}
	for _, s := range e.batch.sweep() {
		poke(s.notify)
	}
	e.noteLoad()
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
