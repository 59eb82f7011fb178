package follow

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// stoodStill has a process seem to have stood still until now.
func (p *process) stoodStill() {
	p.standstill.mu.Lock()
	defer p.standstill.mu.Unlock()
	p.standstill.beatAt = p.standstill.beatAt.Add(-2 * maxBeatGap)
}

// Guards against requests that are served by a list and a configuration from before a standstill.
func TestRequestsWaitAfterAStandstillUntilAllIsCurrent(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		list := startProcesses(ctx, 12, store)
		last := list[len(list)-1]
		time.Sleep(10 * time.Second)
		store.putTarget("1", pool.Ready)
		last.AwaitCurrent(ctx)
		assert.Assert(t, !last.uses("1"), "nobody waits without a standstill")
		last.stoodStill()
		start := time.Now()
		last.AwaitCurrent(ctx)
		assert.Assert(t, last.uses("1"))
		store.putTarget("2", pool.Ready)
		last.AwaitCurrent(ctx)
		assert.Assert(t, time.Since(start) <= currentTimeout)
		assert.Assert(t, !last.uses("2"))
		time.Sleep(readTimeout)
	})
}

// Guards against requests that wait for ever, or one after the other, at a process that is cut off after a standstill.
func TestRequestsWaitShortlyIfNothingCanBeHadAfterAStandstill(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		store := newFakeStore()
		store.putPlan(1)
		p := newProcess(store)
		go p.Run(ctx)
		time.Sleep(10 * time.Second)
		store.mu.Lock()
		store.silent = true
		store.mu.Unlock()
		p.stoodStill()
		start := time.Now()
		for time.Since(start) <= staleTime {
			began := time.Now()
			p.AwaitCurrent(ctx)
			assert.Assert(t, time.Since(began) <= currentTimeout)
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		p.AwaitCurrent(ctx)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(2 * readTimeout)
	})
}
