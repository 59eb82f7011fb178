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

func contract(id, customer string, share int, expect config.Revision) Request {
	body, _ := json.Marshal(config.Contract{Customer: customer, Share: share})
	return Request{ID: id, Kind: config.KindContract, Name: customer, Body: body, By: "day", ExpectedRevision: expect}
}

func submitter(store *memory.Store) *Submitter { return New(store, config.NewState) }

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Two operators on different shifts read the same contract and change it at
// the same moment. The one who comes second must not overwrite what he never
// saw: he is told who changed it, at which revision, and nothing of his is
// written.
func TestLoserOfARaceIsToldWhoWon(t *testing.T) {
	store := memory.New()
	ctx := limited(t)
	assert.Equal(t, submitter(store).Submit(ctx, contract("c1", "granite", 1, 0)).Revision, config.Revision(1))
	won := contract("c2", "granite", 2, 1)
	won.By = "night"
	assert.Equal(t, submitter(store).Submit(ctx, won).Result, Accepted)
	lost := submitter(store).Submit(ctx, contract("c3", "granite", 3, 1))
	assert.Equal(t, lost.Result, Conflict)
	assert.Equal(t, lost.Last, config.LastChange{Revision: 2, ChangeID: "c2", By: "night"})
	state, _, err := changes.CatchUp(ctx, store, config.NewState())
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, config.Revision(2))
	assert.Equal(t, state.Contracts["granite"].Share, 2)
}

// The store accepts a change and its answer is lost. The operator must be told
// the revision under which it was accepted, not an error, and it must not be
// applied twice, also when he sends it again later, after others went on to
// change the same contract.
func TestLostAnswerIsReadAgainByTheChangesIdentity(t *testing.T) {
	store := memory.New()
	lost := 0
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write && lost < 3 {
			lost++
			return memory.LostAnswer
		}
		return memory.None
	})
	ctx := limited(t)
	first := contract("c1", "granite", 1, 0)
	assert.Equal(t, submitter(store).Submit(ctx, first).Revision, config.Revision(1))
	assert.Equal(t, submitter(store).Submit(ctx, contract("c2", "granite", 2, 1)).Revision, config.Revision(2))
	again := submitter(store).Submit(ctx, first)
	assert.Equal(t, again.Result, Accepted)
	assert.Equal(t, again.Revision, config.Revision(1))
	other := contract("c1", "granite", 9, 2)
	assert.Equal(t, submitter(store).Submit(ctx, other).Result, Invalid)
}

// The store refuses everything, or swallows everything. The first is "nothing
// was changed"; the second must never be reported so.
func TestOutageIsUnavailableAndSilenceIsUnknown(t *testing.T) {
	store := memory.New()
	store.SetFaults(func(memory.Call) memory.Fault { return memory.NotRun })
	assert.Equal(t, submitter(store).Submit(limited(t), contract("c1", "a", 1, 0)).Result, Unavailable)
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write {
			return memory.LostCall
		}
		return memory.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	assert.Equal(t, submitter(store).Submit(ctx, contract("c1", "a", 1, 0)).Result, Unknown)
}

// Many operators change different items at once while answers get lost and
// calls fail. Each accepted change must stand exactly once, under its own
// revision, without a gap.
func TestManyWritersWithLostAnswersLeaveNoGapAndNoDouble(t *testing.T) {
	store := memory.New()
	random := rand.New(rand.NewPCG(1, 2))
	store.SetFaults(func(memory.Call) memory.Fault {
		if random.IntN(4) > 0 {
			return memory.None
		}
		return memory.Fault(1 + random.IntN(3))
	})
	ctx := limited(t)
	const writers = 12
	outcomes := make([]Outcome, writers)
	var all sync.WaitGroup
	for i := range writers {
		all.Go(func() {
			req := contract(fmt.Sprintf("c%d", i), fmt.Sprintf("customer-%d", i), i, 0)
			for outcomes[i].Result != Accepted && ctx.Err() == nil {
				outcomes[i] = submitter(store).Submit(ctx, req)
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

func TestDeletedItemCanBeCreatedAgainWithoutKnowingOfIt(t *testing.T) {
	store := memory.New()
	ctx := limited(t)
	submitter(store).Submit(ctx, contract("c1", "granite", 1, 0))
	deletion := Request{ID: "c2", Kind: config.KindContract, Name: "granite", Deleted: true, By: "day", ExpectedRevision: 1}
	assert.Equal(t, submitter(store).Submit(ctx, deletion).Revision, config.Revision(2))
	assert.Equal(t, submitter(store).Submit(ctx, contract("c3", "granite", 1, 0)).Revision, config.Revision(3))
}
