// Package stagepool emulates encoders, retrievers and rerankers, and gives
// plain services the same bounded server with its queue.
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

// Costs says what work takes at a target that is no engine. Zero values are
// replaced by the defaults that are named beside each field.
type Costs struct {
	// BaseUS is the fixed part of a call in microseconds; 2000.
	BaseUS int `json:"base_us"`
	// PerItemUS is what each item (a word, a document) adds; 0.
	PerItemUS int `json:"per_item_us"`
	// JitterShare varies the time by up to this share, seeded; 0.
	JitterShare float64 `json:"jitter_share"`
	// Concurrency is how many calls run at once; 8.
	Concurrency int `json:"concurrency"`
	// MaxQueue is how many wait at most; the next gets 429; 256.
	MaxQueue int `json:"max_queue"`
	// LoadLagMS is how old the load reports are; 200. Negative means no lag.
	LoadLagMS int `json:"load_lag_ms"`
}

// Check rejects values that no server can have. Field is put before each name.
func (c Costs) Check(checker *settings.Checker, field string) {
	bounds.CheckCount(checker, field+"base_us", c.BaseUS)
	bounds.CheckCount(checker, field+"per_item_us", c.PerItemUS)
	bounds.CheckCount(checker, field+"concurrency", c.Concurrency)
	bounds.CheckCount(checker, field+"max_queue", c.MaxQueue)
	bounds.CheckShare(checker, field+"jitter_share", c.JitterShare)
}

// WithDefaults fills in what was left out.
func (c Costs) WithDefaults() Costs {
	bounds.OrDefault(&c.BaseUS, 2000)
	bounds.OrDefault(&c.Concurrency, 8)
	bounds.OrDefault(&c.MaxQueue, 256)
	bounds.OrDefault(&c.LoadLagMS, 200)
	return c
}

// ErrQueueFull means that the call was not taken in.
var ErrQueueFull = errors.New("stagepool: queue is full")

// Server runs a bounded number of calls at once; the others wait in order of
// arrival. Use NewServer.
type Server struct {
	costs    Costs
	straggle func() float64
	places   chan struct{}
	load     *history.DelayedValue[targetapi.LoadReport]

	mu      sync.Mutex // guards all below
	dice    *rand.Rand
	running int
	waiting int
}

// NewServer builds a server. The straggle factor is asked for at each call.
func NewServer(costs Costs, seed uint64, straggle func() float64) *Server {
	costs = costs.WithDefaults()
	lag := max(0, time.Duration(costs.LoadLagMS)*time.Millisecond)
	return &Server{
		costs:    costs,
		straggle: straggle,
		places:   make(chan struct{}, costs.Concurrency),
		load:     history.New(lag, lag/8, targetapi.LoadReport{}),
		dice:     rand.New(rand.NewPCG(seed, 2)),
	}
}

// Acquire waits for a place. The caller must Leave when it got one.
func (s *Server) Acquire(ctx context.Context) error {
	if !s.queue() {
		return ErrQueueFull
	}
	select {
	case <-ctx.Done():
		s.move(0, -1)
		return ctx.Err()
	case s.places <- struct{}{}:
		s.move(1, -1)
		return nil
	}
}

// Release gives the place back.
func (s *Server) Release() {
	<-s.places
	s.move(-1, 0)
}

// SimulateWork takes the time that a call of so many items costs, and says what was
// spent. It ends early with the context.
func (s *Server) SimulateWork(ctx context.Context, items int) (time.Duration, error) {
	cost := s.cost(items)
	began := time.Now()
	timer := time.NewTimer(cost)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return min(cost, time.Since(began)), ctx.Err()
	case <-timer.C:
		return cost, nil
	}
}

// Load is the report as it is seen now, with its lag.
func (s *Server) Load() targetapi.LoadReport { return s.load.Delayed(time.Now()) }

func (s *Server) cost(items int) time.Duration {
	us := float64(s.costs.BaseUS+s.costs.PerItemUS*items) * s.straggle()
	s.mu.Lock()
	defer s.mu.Unlock()
	us *= 1 + s.costs.JitterShare*(2*s.dice.Float64()-1)
	return time.Duration(us * float64(time.Microsecond))
}

func (s *Server) queue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.costs.MaxQueue {
		return false
	}
	s.waiting++
	s.noteLoad()
	return true
}

func (s *Server) move(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.noteLoad()
}

// noteLoad is called with s.mu held. The history's lock is taken inside it.
func (s *Server) noteLoad() {
	var r targetapi.LoadReport
	r.Utilization = float64(s.running+s.waiting) / float64(s.costs.Concurrency)
	r.Named.Running = float64(s.running)
	r.Named.Waiting = float64(s.waiting)
	s.load.Set(time.Now(), r)
}
