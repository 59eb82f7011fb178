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

// maxLag is how far the loop may lag behind simulated time. Beyond it the loop
// restarts from the current time, so that it doesn't run a burst of steps after
// a pause of the process.
const maxLag = 50 * time.Millisecond

// defaultMaxTokens is the usual default of max_tokens in completion APIs.
const defaultMaxTokens = 16

// Errors of Submit; the request was not accepted.
var (
	ErrQueueFull = errors.New("engine: queue is full")
	ErrLoading   = errors.New("engine: another model is being loaded")
)

// Engine emulates one model engine. Create it with New and start its loop with
// Run.
type Engine struct {
	costs          Costs
	initial        Serving // loaded when the process starts
	straggleFactor func() float64
	weights        *WeightStore
	changing       chan struct{} // holds an element while a model or adapter change is applied
	wake           chan struct{}
	load           *history.DelayedValue[targetapi.LoadReport]

	mu       sync.Mutex // guards all fields below; e.load's own lock is taken inside it
	batch    batch
	events   eventFeed
	rng      *rand.Rand
	arrivals uint64
	serving  Serving
	loading  bool
}

// Config configures an Engine.
type Config struct {
	Costs   Costs
	Serving Serving
	Seed    uint64
	// StraggleFactor returns the factor by which the work is currently slowed
	// down. It is called before each step.
	StraggleFactor func() float64
	// Weights is shared by the engines of a deployment.
	Weights *WeightStore
}

// Serving describes what an engine has loaded, and its role.
type Serving struct {
	Model    string
	Version  string
	Role     string
	Adapters []string
}

// New creates an engine.
func New(c Config) *Engine {
	costs := c.Costs.WithDefaults()
	loadDelay := millis(costs.LoadLagMS)
	e := &Engine{
		costs:          costs,
		initial:        c.Serving,
		straggleFactor: c.StraggleFactor,
		weights:        c.Weights,
		changing:       make(chan struct{}, 1),
		wake:           make(chan struct{}, 1),
		load:           history.New(loadDelay, loadDelay/8, targetapi.LoadReport{}),
		rng:            rand.New(rand.NewPCG(c.Seed, 1)),
		serving:        c.Serving,
	}
	e.events = eventFeed{lag: millis(costs.CacheEventLagMS), dropShare: costs.CacheEventDropShare, rng: e.rng}
	e.batch = batch{costs: costs, cache: newPrefixCache(costs.CacheBlocks), onCache: e.recordCacheChange}
	return e
}

// recordCacheChange appends a cache change to the events. The caller holds e.mu.
func (e *Engine) recordCacheChange(stored, removed []uint64) {
	now := time.Now()
	e.events.add(now, targetapi.BlockStored, stored)
	e.events.add(now, targetapi.BlockRemoved, removed)
}

// Submit enqueues a completion request.
func (e *Engine) Submit(r targetapi.CompletionRequest) (*Sequence, error) {
	s := &Sequence{
		prompt:   r.Prompt,
		hashes:   blockHashes(r.Prompt),
		priority: r.Priority,
		maxWords: r.MaxTokens,
		text:     newContinuation(r.Prompt),
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
	e.updateLoad()
	signal(e.wake)
	return s, nil
}

// Cancel cancels a sequence and frees its place. It does nothing if the
// sequence has ended.
func (e *Engine) Cancel(s *Sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.status != InProgress {
		return
	}
	s.status = Cancelled
	e.batch.remove(s)
	e.updateLoad()
}

// Crash aborts all sequences. Like a restarted process, the engine then has an
// empty cache and serves its initial model: later changes of model, role and
// adapters are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.batch.clear() {
		s.status = Aborted
		signal(s.notify)
	}
	e.serving = e.initial
	e.serving.Adapters = slices.Clone(e.initial.Adapters)
	e.clearCache()
	e.updateLoad()
}

// clearCache empties the cache and records it as an event. The caller holds
// e.mu.
func (e *Engine) clearCache() {
	e.batch.cache.clear()
	e.events.add(time.Now(), targetapi.AllBlocksCleared, nil)
}

// Progress is a snapshot of the state of a sequence.
type Progress struct {
	Produced int
	Status   Status
	CostUS   int64
	Usage    targetapi.Usage
}

// Progress returns the current state of a sequence.
func (e *Engine) Progress(s *Sequence) Progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Progress{
		Produced: s.produced,
		Status:   s.status,
		CostUS:   int64(s.costUS),
		Usage: targetapi.Usage{
			PromptTokens:     s.promptTokens,
			CompletionTokens: s.produced,
			CachedTokens:     s.cachedTokens,
		},
	}
}

// Changed delivers an element when there is new progress: a further word if
// the sequence is streamed, or its end.
func (s *Sequence) Changed() <-chan struct{} { return s.notify }

// Version returns the version of the model that the sequence runs on.
func (s *Sequence) Version() string { return s.version }

// Text returns the text of the generated words from index from up to, but not
// including, index to.
func (s *Sequence) Text(from, to int) string { return s.text.text(from, to) }

// Load returns the load report with the configured delay.
func (e *Engine) Load() targetapi.LoadReport { return e.load.Delayed(time.Now()) }

// Events returns the visible cache events whose sequence number is greater than
// after.
func (e *Engine) Events(after uint64) targetapi.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events.after(time.Now(), after)
}

// updateLoad computes a new load report. The caller holds e.mu; the lock of
// e.load is taken inside it.
func (e *Engine) updateLoad() {
	var r targetapi.LoadReport
	running, waiting := len(e.batch.running), len(e.batch.waiting)
	r.Utilization = float64(running+waiting) / float64(e.batch.costs.MaxBatch)
	r.Named.Running = float64(running)
	r.Named.Waiting = float64(waiting)
	r.Named.CacheUsage = e.batch.cache.usage()
	e.load.Set(time.Now(), r)
}

// Run processes sequences until the context ends. One loop with one timer
// serves all sequences of the engine.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for ctx.Err() == nil {
		duration := e.startStep()
		if duration == 0 {
			e.waitForWork(ctx)
			due = time.Now()
			continue
		}
		due = due.Add(duration)
		sleepUntil(ctx, timer, due)
		if lag := time.Since(due); lag > maxLag {
			due = time.Now()
		}
		e.completeStep()
	}
}

func (e *Engine) waitForWork(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.wake:
	}
}

// sleepUntil returns immediately if due has passed. Timers are coarser than
// short steps; the mean duration is right nevertheless, because the caller
// computes each due time from the previous one, not from the current time.
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

// startStep begins a step and returns its duration; zero if there is no work.
func (e *Engine) startStep() time.Duration {
	factor := e.straggleFactor()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.idle() {
		return 0
	}
	if j := e.batch.costs.JitterShare; j > 0 {
		factor *= 1 + j*(2*e.rng.Float64()-1)
	}
	duration := e.batch.step(factor)
	e.updateLoad()
	return duration
}

// completeStep ends a step and makes its words visible.
func (e *Engine) completeStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.finishStep()
	for _, s := range e.batch.running {
		if s.stream && s.produced > 0 {
			signal(s.notify)
		}
	}
	for _, s := range e.batch.removeCompleted() {
		signal(s.notify)
	}
	e.updateLoad()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
