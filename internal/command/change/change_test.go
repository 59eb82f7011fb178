package change

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/changes"
)

func contractRequest(id, customer string, share int, expect config.Revision) Request {
	body, _ := json.Marshal(config.Contract{Customer: customer, Share: share})
	return Request{ID: id, Kind: config.KindContract, Name: customer, Body: body, By: "day", ExpectedRevision: expect}
}

func newSubmitter(store *memory.Store) *Submitter { return New(store, config.NewState) }

func withTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Two operators read the same contract and change it concurrently. The second
// change must not overwrite the first, which its operator has not seen: the
// answer names who changed the contract and at which revision, and nothing of
// the second change is written.
func TestConflictNamesTheLastChange(t *testing.T) {
	store := memory.New()
	ctx := withTimeout(t)
	assert.Equal(t, newSubmitter(store).Submit(ctx, contractRequest("c1", "granite", 1, 0)).Revision, config.Revision(1))
	won := contractRequest("c2", "granite", 2, 1)
	won.By = "night"
	assert.Equal(t, newSubmitter(store).Submit(ctx, won).Result, Accepted)
	lost := newSubmitter(store).Submit(ctx, contractRequest("c3", "granite", 3, 1))
	assert.Equal(t, lost.Result, Conflict)
	assert.Equal(t, lost.Last, config.LastChange{Revision: 2, ChangeID: "c2", By: "night"})
	state, _, err := changes.CatchUp(ctx, store, config.NewState())
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, config.Revision(2))
	assert.Equal(t, state.Contracts["granite"].Share, 2)
}

// The store accepts a change but its answer is lost. The operator must be told
// the revision of the accepted change, not an error. The change must not be
// applied twice, even if it is sent again after others changed the same
// contract.
func TestLostAnswerIsResolvedByChangeID(t *testing.T) {
	store := memory.New()
	lost := 0
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write && lost < 3 {
			lost++
			return memory.LostAnswer
		}
		return memory.None
	})
	ctx := withTimeout(t)
	first := contractRequest("c1", "granite", 1, 0)
	assert.Equal(t, newSubmitter(store).Submit(ctx, first).Revision, config.Revision(1))
	assert.Equal(t, newSubmitter(store).Submit(ctx, contractRequest("c2", "granite", 2, 1)).Revision, config.Revision(2))
	again := newSubmitter(store).Submit(ctx, first)
	assert.Equal(t, again.Result, Accepted)
	assert.Equal(t, again.Revision, config.Revision(1))
	other := contractRequest("c1", "granite", 9, 2)
	assert.Equal(t, newSubmitter(store).Submit(ctx, other).Result, Invalid)
}

// The store refuses all writes, or loses them. The first result is "nothing was
// changed"; the second must never be reported that way.
func TestRefusedWritesAreUnavailableAndLostWritesUnknown(t *testing.T) {
	store := memory.New()
	store.SetFaults(func(memory.Call) memory.Fault { return memory.NotRun })
	assert.Equal(t, newSubmitter(store).Submit(withTimeout(t), contractRequest("c1", "a", 1, 0)).Result, Unavailable)
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write {
			return memory.LostCall
		}
		return memory.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, newSubmitter(store).Submit(ctx, contractRequest("c1", "a", 1, 0)).Result, Unknown)
}

// Many operators change different items concurrently while answers are lost and
// calls fail. Each accepted change must be stored exactly once, under its own
// revision, without gaps.
func TestConcurrentWritersWithLostAnswers(t *testing.T) {
	store := memory.New()
	random := rand.New(rand.NewPCG(1, 2))
	store.SetFaults(func(memory.Call) memory.Fault {
		if random.IntN(4) > 0 {
			return memory.None
		}
		return memory.Fault(1 + random.IntN(3))
	})
	ctx := withTimeout(t)
	const writers = 12
	outcomes := make([]Outcome, writers)
	var all sync.WaitGroup
	for i := range writers {
		all.Go(func() {
			req := contractRequest(fmt.Sprintf("c%d", i), fmt.Sprintf("customer-%d", i), i, 0)
			for outcomes[i].Result != Accepted && ctx.Err() == nil {
				outcomes[i] = newSubmitter(store).Submit(ctx, req)
			}
		})
	}
	all.Wait()
	store.SetFaults(nil)
	state, applied, err := changes.CatchUp(ctx, store, config.NewState())
	assert.NilError(t, err)
	assert.Equal(t, len(applied), writers)
	assert.Equal(t, state.Revision, config.Revision(writers))
	for i, out := range outcomes {
		assert.Equal(t, out.Result, Accepted)
		assert.Equal(t, applied[out.Revision-1].ID, fmt.Sprintf("c%d", i))
	}
}

func TestDeletedItemCanBeRecreatedWithRevisionZero(t *testing.T) {
	store := memory.New()
	ctx := withTimeout(t)
	newSubmitter(store).Submit(ctx, contractRequest("c1", "granite", 1, 0))
	deletion := Request{ID: "c2", Kind: config.KindContract, Name: "granite", Deleted: true, By: "day", ExpectedRevision: 1}
	assert.Equal(t, newSubmitter(store).Submit(ctx, deletion).Revision, config.Revision(2))
	assert.Equal(t, newSubmitter(store).Submit(ctx, contractRequest("c3", "granite", 1, 0)).Revision, config.Revision(3))
}
