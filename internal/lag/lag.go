// Package lag measures how late a process runs: by how much its timers fire after they are due.
// A process that is short of CPU time, or is stopped again and again, is late.
package lag

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/wait"
)

// samplePeriod is the time between two measurements.
const samplePeriod = 20 * time.Millisecond

// Meter keeps the largest lag since its start.
type Meter struct{ longest atomic.Int64 }

// Start returns a meter that measures until ctx ends.
func Start(ctx context.Context) *Meter {
	m := &Meter{}
	go func() {
		due := time.Now().Add(samplePeriod)
		for wait.Until(ctx, due) {
			now := time.Now()
			m.record(now.Sub(due))
			due = now.Add(samplePeriod)
		}
	}()
	return m
}

func (m *Meter) record(lag time.Duration) {
	m.longest.Store(max(m.longest.Load(), int64(lag))) // only Start's goroutine stores
}

// Longest returns the largest lag so far.
func (m *Meter) Longest() time.Duration { return time.Duration(m.longest.Load()) }
