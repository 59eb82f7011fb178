package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// newLongListStore returns a store whose target list has several pages, each of which takes
// a while to read over a slow link.
func newLongListStore(targets int) *fakeStore {
	store := newFakeStore()
	store.putPlan(1)
	for i := range targets {
		store.putTarget(fmt.Sprintf("t%04d", i), pool.Ready)
	}
	store.pageSize, store.pageDelay = 500, 800*time.Millisecond
	return store
}

// Reading the target list takes longer than one call may. A process on a slow link must not
// restart the read forever and never serve.
func TestLongListIsReadOverSlowLink(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		store := newLongListStore(3000)
		p := startProcesses(ctx, 1, store)[0]
		time.Sleep(6 * 800 * time.Millisecond)
		time.Sleep(time.Second)
		assert.Assert(t, p.table.Loaded())
		assert.Equal(t, len(p.table.ReadySet("s").Targets), 3000)
		assert.Equal(t, store.entriesRead, 3000)
	})
}

// Reading one page of a long list fails. The pages before it must not be read again.
func TestPagesAreKeptWhenOneFails(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		store := newLongListStore(3000)
		pages := 0
		store.failPage = func() bool {
			pages++
			return pages == 4
		}
		p := startProcesses(ctx, 1, store)[0]
		time.Sleep(7*800*time.Millisecond + time.Second)
		assert.Assert(t, p.table.Loaded())
		assert.Equal(t, store.entriesRead, 3000)
	})
}

// A target leaves and another registers while the pages are read. Both changes must be
// seen.
func TestChangesBetweenPagesAreNotMissed(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		store := newLongListStore(3000)
		p := startProcesses(ctx, 1, store)[0]
		time.Sleep(2 * time.Second)
		store.dropTarget("t0001")
		store.putTarget("a-new-one", pool.Ready)
		time.Sleep(6 * time.Second)
		assert.Assert(t, !p.uses("t0001"))
		assert.Assert(t, p.uses("a-new-one"))
	})
}

// The target list is larger than a message may be. A process that the store rejects at its
// start must still get it from a peer.
func TestLongListComesFromPeerInParts(t *testing.T) {
	inSynctest(t, func(t *testing.T, ctx context.Context) {
		const targets = 6000
		store := newLongListStore(targets)
		store.pageSize, store.pageDelay = 0, 0
		rejecting := newFakeStore()
		rejecting.failing = true
		all := startProcesses(ctx, 6, store, store, store, store, store, rejecting)
		time.Sleep(5 * time.Second)
		for i, p := range all {
			assert.Equal(t, len(p.table.ReadySet("s").Targets), targets, "process %d", i)
		}
	})
}
