package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Guards against a process that takes an old list for current because the store, or a peer, has answered lately.
func TestCatchUpGetsWhatTheStoreHasByThen(t *testing.T) {
	for _, c := range []struct {
		name string
		// silent means that the store doesn't answer the process, alone that no peer does either.
		silent, alone bool
		caughtUp      bool
	}{
		{name: "by itself", caughtUp: true},
		{name: "through a peer", silent: true, caughtUp: true},
		{name: "cut off", silent: true, alone: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			inSynctest(t, func(t *testing.T, ctx context.Context) {
				own, others, both := splitStore()
				both(func(s *fakeStore) { s.putPlan(1); s.putTarget("1", pool.Ready) })
				list, nodes := startCluster(ctx, 12, append(repeated(others, 11), own)...)
				last := list[len(list)-1]
				time.Sleep(10 * time.Second)
				assert.Assert(t, last.uses("1"))
				own.mu.Lock()
				own.silent = c.silent
				own.mu.Unlock()
				for i, node := range nodes {
					if c.alone && list[i] != last {
						node.Freeze()
					}
				}
				both(func(s *fakeStore) { s.putTarget("2", pool.Ready); s.putPlan(2) })
				start := time.Now()
				assert.Equal(t, last.CatchUp(ctx), c.caughtUp)
				assert.Assert(t, time.Since(start) <= catchUpTimeout)
				if c.caughtUp {
					assert.Assert(t, last.uses("2"))
					assert.Equal(t, last.plans.Version(), uint64(2))
				}
				time.Sleep(readTimeout)
			})
		})
	}
}

func repeated(s *fakeStore, n int) (list []*fakeStore) {
	for range n {
		list = append(list, s)
	}
	return list
}
