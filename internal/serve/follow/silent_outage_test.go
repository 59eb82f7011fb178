package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// The store goes silent for all processes for some seconds, and entries of healthy targets
// lapse meanwhile. Processes that don't watch the store notice this later than the
// watchers, or not before the store is back. They must not treat the lapsed targets as
// gone.
func TestSilentOutageKeepsTargetsInUse(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 4 * time.Second} {
		for away := 4 * time.Second; away <= 8*time.Second; away += 500 * time.Millisecond {
			t.Run(fmt.Sprint(bound, away), func(t *testing.T) {
				inSynctest(t, func(t *testing.T, ctx context.Context) { runSilentOutage(ctx, t, bound, away) })
			})
		}
	}
}

func runSilentOutage(ctx context.Context, t *testing.T, bound, away time.Duration) {
	store := newFakeStore()
	store.putPlan(1)
	store.putTarget("x", pool.Ready)
	all := startProcesses(ctx, 12, store)
	for _, p := range all {
		p.SetPropagationBound(PropagationBound(bound))
	}
	time.Sleep(10 * time.Second)
	store.change(func() { store.silent = true })
	time.Sleep(away)
	store.change(func() { store.silent = false })
	store.dropTarget("x")
	for range 15 {
		time.Sleep(100 * time.Millisecond)
		for i, p := range all {
			assert.Assert(t, p.uses("x"), "process %d dropped a target whose entry lapsed", i)
		}
	}
	store.putTarget("x", pool.Ready)
	time.Sleep(3 * time.Second)
	for i, p := range all {
		assert.Assert(t, p.uses("x"), "process %d", i)
	}
}
