// Package history keeps past versions of a value, to simulate information that
// arrives late: load reports and the VM list.
package history

import (
	"sync"
	"time"
)

// DelayedValue reports a value as it was a fixed time ago. Create it with New.
type DelayedValue[T any] struct {
	lag         time.Duration
	minInterval time.Duration

	mu      sync.Mutex // guards samples
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// New returns a value that changes with a delay of lag. The initial value is
// visible at once. To bound the number of samples, a value set less than
// minInterval after the last sample replaces that sample and so becomes visible
// up to minInterval too early. With 0, all values are kept.
func New[T any](lag, minInterval time.Duration, initial T) *DelayedValue[T] {
	return &DelayedValue[T]{lag: lag, minInterval: minInterval, samples: []sample[T]{{value: initial}}}
}

// Set changes the value as of now.
func (l *DelayedValue[T]) Set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	last := len(l.samples) - 1
	if last > 0 && now.Sub(l.samples[last].at) < l.minInterval {
		l.samples[last].value = value
		return
	}
	l.samples = append(l.samples, sample[T]{at: now, value: value})
}

// Delayed returns the value as it was at now minus the lag.
func (l *DelayedValue[T]) Delayed(now time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.samples[0].value
}

// Latest returns the value without the lag.
func (l *DelayedValue[T]) Latest() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.samples[len(l.samples)-1].value
}

// prune deletes the samples older than the one that is visible now. The visible
// sample is then the first.
func (l *DelayedValue[T]) prune(now time.Time) {
	visible := 0
	for i, s := range l.samples {
		if !s.at.After(now.Add(-l.lag)) {
			visible = i
		}
	}
	if visible > 0 {
		l.samples = append(l.samples[:0], l.samples[visible:]...)
	}
}
