// Package stagepool emulates encoders, retrievers and rerankers. Its server with
// limited concurrency and a queue is also used by package service.
package stagepool

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/settings"
	"github.com/vanillagate/vanillagate/internal/standin/bounds"
	"github.com/vanillagate/vanillagate/internal/standin/history"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Costs configures the capacity of a target that is not an engine, and the time
// that its work takes. WithDefaults replaces zero values by the defaults named
// at each field.
type Costs struct {
	// BaseUS is the fixed duration of a call in microseconds. Default: 2000.
	BaseUS int `json:"base_us"`
	// PerItemUS is the time in microseconds that each item (a word, a
	// document) adds. Default: 0.
	PerItemUS int `json:"per_item_us"`
	// JitterShare is the largest random deviation of the duration, as a share
	// of it; the random generator is seeded. Default: 0.
	JitterShare float64 `json:"jitter_share"`
	// Concurrency is the maximum number of running calls. Default: 8.
	Concurrency int `json:"concurrency"`
	// MaxQueue is the maximum number of waiting calls; further calls are
	// answered with 429. Default: 256.
	MaxQueue int `json:"max_queue"`
	// LoadLagMS is the delay of the load reports in milliseconds. Default: 200;
	// negative: no delay.
	LoadLagMS int `json:"load_lag_ms"`
}

// Check reports invalid values to the checker; field is the prefix of the
// names of the settings.
func (c Costs) Check(checker *settings.Checker, field string) {
	bounds.CheckCount(checker, field+"base_us", c.BaseUS)
	bounds.CheckCount(checker, field+"per_item_us", c.PerItemUS)
	bounds.CheckCount(checker, field+"concurrency", c.Concurrency)
	bounds.CheckCount(checker, field+"max_queue", c.MaxQueue)
	bounds.CheckShare(checker, field+"jitter_share", c.JitterShare)
}

// WithDefaults returns a copy in which defaults replace zero values.
func (c Costs) WithDefaults() Costs {
	bounds.OrDefault(&c.BaseUS, 2000)
	bounds.OrDefault(&c.Concurrency, 8)
	bounds.OrDefault(&c.MaxQueue, 256)
	bounds.OrDefault(&c.LoadLagMS, 200)
	return c
}

// ErrQueueFull means that the call was not accepted.
var ErrQueueFull = errors.New("stagepool: queue is full")

// Server limits the number of concurrent calls; further calls wait in order of
// arrival. Create it with NewServer.
type Server struct {
	costs          Costs
	straggleFactor func() float64
	slots          chan struct{}
	load           *history.DelayedValue[targetapi.LoadReport]

	mu      sync.Mutex // guards all fields below
	rng     *rand.Rand
	running int
	waiting int
}

// NewServer creates a server. stragglerFactor is called for each call and returns
// the factor by which its work is slowed down.
func NewServer(costs Costs, seed uint64, straggleFactor func() float64) *Server {
	costs = costs.WithDefaults()
	loadDelay := max(0, time.Duration(costs.LoadLagMS)*time.Millisecond)
	return &Server{
		costs:          costs,
		straggleFactor: straggleFactor,
		slots:          make(chan struct{}, costs.Concurrency),
		load:           history.New(loadDelay, loadDelay/8, targetapi.LoadReport{}),
		rng:            rand.New(rand.NewPCG(seed, 2)),
	}
}

// Acquire waits for a slot. If it succeeds, the caller must call Release.
func (s *Server) Acquire(ctx context.Context) error {
	if !s.tryEnqueue() {
		return ErrQueueFull
	}
	select {
	case <-ctx.Done():
		s.adjustCounts(0, -1)
		return ctx.Err()
	case s.slots <- struct{}{}:
		s.adjustCounts(1, -1)
		return nil
	}
}

// Release frees the slot.
func (s *Server) Release() {
	<-s.slots
	s.adjustCounts(-1, 0)
}

// SimulateWork sleeps for the duration of a call with the given number of items,
// and returns the time spent. It returns early when the context ends.
func (s *Server) SimulateWork(ctx context.Context, items int) (time.Duration, error) {
	cost := s.cost(items)
	start := time.Now()
	timer := time.NewTimer(cost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return min(cost, time.Since(start)), ctx.Err()
	case <-timer.C:
		return cost, nil
	}
}

// Load returns the load report with the configured delay.
func (s *Server) Load() targetapi.LoadReport { return s.load.Delayed(time.Now()) }

func (s *Server) cost(items int) time.Duration {
	us := float64(s.costs.BaseUS+s.costs.PerItemUS*items) * s.straggleFactor()
	s.mu.Lock()
	defer s.mu.Unlock()
	us *= 1 + s.costs.JitterShare*(2*s.rng.Float64()-1)
	return time.Duration(us * float64(time.Microsecond))
}

func (s *Server) tryEnqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.costs.MaxQueue {
		return false
	}
	s.waiting++
	s.updateLoad()
	return true
}

func (s *Server) adjustCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.updateLoad()
}

// updateLoad computes a new load report. The caller holds s.mu; the lock of
// s.load is taken inside it.
func (s *Server) updateLoad() {
	var r targetapi.LoadReport
	r.Utilization = float64(s.running+s.waiting) / float64(s.costs.Concurrency)
	r.Named.Running = float64(s.running)
	r.Named.Waiting = float64(s.waiting)
	s.load.Set(time.Now(), r)
}
