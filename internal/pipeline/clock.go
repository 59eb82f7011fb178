package pipeline

import (
	"sort"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
)

// window is how many of the newest durations a stage's figures come from.
const window = 128

// refreshEvery is after how many new durations the figures are taken anew.
const refreshEvery = 8

// LatencyTracker knows what each stage takes now.
type LatencyTracker struct {
	mu     sync.Mutex // guards stages and what is in them; a leaf
	stages map[stageKey]*durations
}

type stageKey struct{ pipeline, stage string }

type durations struct {
	ring  [window]time.Duration
	count int
	last  time.Time
	figs  Percentiles
}

// forget is the age at which figures count no longer. Without it a pool that
// was slow once would have its requests refused for good: no request, no newer
// figure.
const forget = 3 * time.Second

func (d *durations) current(now time.Time) Percentiles {
	if now.Sub(d.last) > forget {
		return Percentiles{}
	}
	return d.figs
}

// Percentiles are what a stage takes; zero where nothing is known.
type Percentiles struct{ P50, P95 time.Duration }

// NewLatencyTracker makes a clock that knows nothing.
func NewLatencyTracker() *LatencyTracker { return &LatencyTracker{stages: map[stageKey]*durations{}} }

// Observe takes in a stage that ended well.
func (c *LatencyTracker) Observe(pipeline, stage string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := stageKey{pipeline, stage}
	d := c.stages[key]
	if d == nil {
		d = &durations{}
		c.stages[key] = d
	}
	d.ring[d.count%window] = took
	d.count++
	d.last = time.Now()
	if d.count <= refreshEvery || d.count%refreshEvery == 0 {
		d.figs = d.figures()
	}
}

func (d *durations) figures() Percentiles {
	n := min(d.count, window)
	sorted := append([]time.Duration(nil), d.ring[:n]...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return Percentiles{P50: sorted[n/2], P95: sorted[n*95/100]}
}

// StagePercentiles gives a stage's figures.
func (c *LatencyTracker) StagePercentiles(pipeline, stage string) Percentiles {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.stages[stageKey{pipeline, stage}]; d != nil {
		return d.current(time.Now())
	}
	return Percentiles{}
}

// ExpectedRemaining is what the stages of a pipeline from the given one on take together, at
// the median. Zero where nothing is known.
func (c *LatencyTracker) ExpectedRemaining(p config.Pipeline, from int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var sum time.Duration
	for _, s := range p.Stages[from:] {
		if d := c.stages[stageKey{p.Name, s.Name}]; d != nil {
			sum += d.current(now).P50
		}
	}
	return sum
}
