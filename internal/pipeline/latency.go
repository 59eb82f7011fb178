package pipeline

import (
	"sort"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
)

// windowSize is how many of the most recent durations the percentiles are
// computed from.
const windowSize = 128

// refreshEvery is the number of new durations after which the percentiles are
// recomputed.
const refreshEvery = 8

// LatencyTracker tracks how long each stage currently takes.
type LatencyTracker struct {
	mu     sync.Mutex // guards stages and its values; no other lock is taken under it
	stages map[stageKey]*latencyWindow
}

type stageKey struct{ pipeline, stage string }

type latencyWindow struct {
	ring       [windowSize]time.Duration
	count      int
	lastSample time.Time
	cached     Percentiles
}

// maxSampleAge is the age at which percentiles expire. Without it a pool that
// was slow once would have its requests refused forever: no request would be
// admitted that could update the percentiles.
const maxSampleAge = 3 * time.Second

func (w *latencyWindow) current(now time.Time) Percentiles {
	if now.Sub(w.lastSample) > maxSampleAge {
		return Percentiles{}
	}
	return w.cached
}

// Percentiles are the latency percentiles of a stage; zero if unknown.
type Percentiles struct{ P50, P95 time.Duration }

// NewLatencyTracker returns a tracker without any data.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{stages: map[stageKey]*latencyWindow{}}
}

// Observe records the duration of a stage that succeeded.
func (t *LatencyTracker) Observe(pipeline, stage string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := stageKey{pipeline, stage}
	w := t.stages[key]
	if w == nil {
		w = &latencyWindow{}
		t.stages[key] = w
	}
	w.ring[w.count%windowSize] = took
	w.count++
	w.lastSample = time.Now()
	if w.count <= refreshEvery || w.count%refreshEvery == 0 {
		w.cached = w.percentiles()
	}
}

func (w *latencyWindow) percentiles() Percentiles {
	n := min(w.count, windowSize)
	sorted := append([]time.Duration(nil), w.ring[:n]...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return Percentiles{P50: sorted[n/2], P95: sorted[n*95/100]}
}

// StagePercentiles returns a stage's latency percentiles.
func (t *LatencyTracker) StagePercentiles(pipeline, stage string) Percentiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.stages[stageKey{pipeline, stage}]; w != nil {
		return w.current(time.Now())
	}
	return Percentiles{}
}

// ExpectedRemaining returns the sum of the median durations of a pipeline's
// stages from index from on. Stages without data count as zero.
func (t *LatencyTracker) ExpectedRemaining(p config.Pipeline, from int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var sum time.Duration
	for _, s := range p.Stages[from:] {
		if w := t.stages[stageKey{p.Name, s.Name}]; w != nil {
			sum += w.current(now).P50
		}
	}
	return sum
}
