package servetest

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A model of a pool that answers at once is asked by many goroutines while the
// virtual clock wakes others. If each waited for a timer that is due already,
// the race detector would break in one run of some, and whoever runs the tests
// would see an error that names no test and no race.
func TestNoTimeIsWaitedForWithoutATimer(t *testing.T) {
	const (
		// With timers, the race detector broke in each of twelve runs of so many:
		// four on two cores, four on four, four on twelve.
		sleepers = 8
		rounds   = 5_000
		atOnce   = 10
	)
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range sleepers {
			all.Go(func() {
				for range rounds {
					for range atOnce {
						assert.Check(t, sleep(t.Context(), 0))
					}
					assert.Check(t, sleep(t.Context(), time.Millisecond))
				}
			})
		}
		all.Wait()
	})
}

// A caller that has left isn't served because nothing had to be waited for.
func TestNoTimeIsNotWaitedForAfterTheEnd(t *testing.T) {
	// Where a timer that is due and the end are both at hand, either is taken.
	const tries = 50
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range tries {
		assert.ErrorIs(t, sleep(ctx, 0), context.Canceled)
	}
}
