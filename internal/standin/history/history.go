// Package history remembers what a value was a while ago, for things that are
// told late: load reports and the VM list.
package history

import (
	"sync"
	"time"
)

// DelayedValue answers what a value was a fixed time ago. Use New.
type DelayedValue[T any] struct {
	lag   time.Duration
	every time.Duration

	mu      sync.Mutex // guards samples
	samples []sample[T]
}

type sample[T any] struct {
	at    time.Time
	value T
}

// New starts with a first value that is seen at once. To bound what is kept,
// a value that comes within every of the last sample replaces it, and so is
// seen up to that much early; zero keeps them all.
func New[T any](lag, every time.Duration, first T) *DelayedValue[T] {
	return &DelayedValue[T]{lag: lag, every: every, samples: []sample[T]{{value: first}}}
}

// Set notes the value as of now.
func (l *DelayedValue[T]) Set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	last := len(l.samples) - 1
	if last > 0 && now.Sub(l.samples[last].at) < l.every {
		l.samples[last].value = value
		return
	}
	l.samples = append(l.samples, sample[T]{at: now, value: value})
}

// Delayed is the value as it was the lag before now.
func (l *DelayedValue[T]) Delayed(now time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.samples[0].value
}

// Latest is the value without the lag.
func (l *DelayedValue[T]) Latest() T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.samples[len(l.samples)-1].value
}

// prune drops what is older than the newest sample that may be seen.
func (l *DelayedValue[T]) prune(now time.Time) {
	seen := 0
	for i, s := range l.samples {
		if !s.at.After(now.Add(-l.lag)) {
			seen = i
		}
	}
	if seen > 0 {
		l.samples = append(l.samples[:0], l.samples[seen:]...)
	}
}
