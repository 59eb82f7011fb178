package servetest

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Many goroutines call a model target that answers at once while the virtual clock wakes
// others. If each waited on a timer that is already due, the race detector would occasionally
// crash with an error that names neither a test nor a race.
func TestZeroSleepUsesNoTimer(t *testing.T) {
	const (
		// With timers, the race detector crashed in each of twelve runs of this size: four
		// runs each on 2, 4 and 12 cores.
		sleepers   = 8
		rounds     = 5_000
		zeroSleeps = 10
	)
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range sleepers {
			all.Go(func() {
				for range rounds {
					for range zeroSleeps {
						assert.Check(t, sleep(t.Context(), 0))
					}
					assert.Check(t, sleep(t.Context(), time.Millisecond))
				}
			})
		}
		all.Wait()
	})
}

// A zero sleep must still report that its context is cancelled.
func TestZeroSleepReportsCancellation(t *testing.T) {
	// If a due timer and the cancelled context were both ready, select would pick either at
	// random; several tries detect that.
	const tries = 50
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range tries {
		assert.ErrorIs(t, sleep(ctx, 0), context.Canceled)
	}
}
