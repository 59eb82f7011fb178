package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// longList is a store whose list of targets has several pages, each of which takes a
// while on a slow link.
func longList(targets int) *fakeStore {
	store := newFakeStore()
	store.putPlan(1)
	for i := range targets {
		store.putTarget(fmt.Sprintf("t%04d", i), pool.Ready)
	}
	store.pageSize, store.pageTime = 500, 800*time.Millisecond
	return store
}

// A list of targets takes longer to read than one call may last: a process on a slow
// link begins anew for ever, and serves nobody.
func TestALongListIsReadOverASlowLink(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := longList(3000)
		p := cluster(ctx, 1, store)[0]
		time.Sleep(6 * 800 * time.Millisecond)
		time.Sleep(time.Second)
		assert.Assert(t, p.table.Loaded())
		assert.Equal(t, len(p.table.ReadySet("s").Targets), 3000)
		assert.Equal(t, store.entriesRead, 3000)
	})
}

// One page of a long list fails: all pages before it are read again.
func TestPagesThatWereReadStayWhenOneFails(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := longList(3000)
		pages := 0
		store.failPage = func() bool {
			pages++
			return pages == 4
		}
		p := cluster(ctx, 1, store)[0]
		time.Sleep(7*800*time.Millisecond + time.Second)
		assert.Assert(t, p.table.Loaded())
		assert.Equal(t, store.entriesRead, 3000)
	})
}

// A target leaves and another comes while the pages are read: neither is missed.
func TestChangesBetweenPagesAreNotMissed(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		store := longList(3000)
		p := cluster(ctx, 1, store)[0]
		time.Sleep(2 * time.Second)
		store.dropTarget("t0001")
		store.putTarget("a-new-one", pool.Ready)
		time.Sleep(6 * time.Second)
		assert.Assert(t, !p.uses("t0001"))
		assert.Assert(t, p.uses("a-new-one"))
	})
}

// A peer's list of targets is larger than a message may be. A process that the store
// turns away at its start never learns of any target.
func TestALongListComesFromAPeerInParts(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const targets = 6000
		store := longList(targets)
		store.pageSize, store.pageTime = 0, 0
		refusing := newFakeStore()
		refusing.failing = true
		all := cluster(ctx, 6, store, store, store, store, store, refusing)
		time.Sleep(5 * time.Second)
		for i, p := range all {
			assert.Equal(t, len(p.table.ReadySet("s").Targets), targets, "process %d", i)
		}
	})
}
