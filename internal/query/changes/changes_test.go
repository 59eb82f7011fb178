package changes

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/config"
)

func putChange(t *testing.T, store *memory.Store, revision config.Revision) {
	body, err := json.Marshal(config.Change{
		ID: fmt.Sprint(revision), Revision: revision, Kind: config.KindPool, Name: "llm", Body: []byte(`{"name":"llm"}`),
	})
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), []backing.Write{{Row: backing.Row{Key: ChangeKey(revision), Body: body}}})
	assert.NilError(t, err)
}

func TestCatchUpReadsAllPages(t *testing.T) {
	store := memory.New()
	const last = 2*PageSize + 1
	for r := config.Revision(1); r <= last; r++ {
		putChange(t, store, r)
	}
	state, applied, err := CatchUp(t.Context(), store, config.NewState())
	assert.NilError(t, err)
	assert.Equal(t, state.Revision, config.Revision(last))
	assert.Equal(t, len(applied), last)
	_, applied, err = CatchUp(t.Context(), store, state)
	assert.NilError(t, err)
	assert.Equal(t, len(applied), 0)
}

// A change is missing from the table, as after a restore that lost rows. Later
// changes must not be applied: they may undo or depend on the missing one.
func TestCatchUpStopsAtMissingRevision(t *testing.T) {
	store := memory.New()
	putChange(t, store, 1)
	putChange(t, store, 3)
	state, _, err := CatchUp(t.Context(), store, config.NewState())
	assert.ErrorContains(t, err, "found revision 3, expected 2")
	assert.Equal(t, state.Revision, config.Revision(0))
}
