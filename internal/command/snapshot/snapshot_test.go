package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/config"
	query "github.com/vanillagate/vanillagate/internal/query/snapshot"
)

func stateAt(t *testing.T, revision config.Revision) *config.State {
	state := config.NewState()
	for r := config.Revision(1); r <= revision; r++ {
		next, err := state.Apply(config.Change{Revision: r, Kind: config.KindPool, Name: "llm", Body: []byte(`{"name":"llm"}`)})
		assert.NilError(t, err)
		state = next
	}
	return state
}

// A process that was frozen for a minute goes on and writes the configuration
// that it knows as the snapshot. A VM that starts from it during an outage of
// the table would serve by an old contract, so the later snapshot must stand.
func TestOldSnapshotDoesNotReplaceALaterOne(t *testing.T) {
	objects := memory.New().Objects()
	ctx := t.Context()
	empty, err := query.Read(ctx, objects)
	assert.NilError(t, err)
	assert.Equal(t, empty.Revision, config.Revision(0))
	out, err := Write(ctx, objects, stateAt(t, 3))
	assert.NilError(t, err)
	assert.Equal(t, out, Written)
	out, err = Write(ctx, objects, stateAt(t, 2))
	assert.NilError(t, err)
	assert.Equal(t, out, Kept)
	read, err := query.Read(ctx, objects)
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, config.Revision(3))
	assert.Equal(t, read.Pools["llm"].Name, "llm")
}

// The object store can't be read. What stands there is not known, and nothing
// may be put over it.
func TestSnapshotIsNotWrittenBlindly(t *testing.T) {
	store := memory.New()
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write {
			return memory.None
		}
		return memory.LostCall
	})
	out, err := Write(t.Context(), store.Objects(), stateAt(t, 1))
	assert.ErrorIs(t, err, backing.ErrUnknown)
	assert.Equal(t, out, Unavailable)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":3,"pools":null}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		state, err := query.Decode(raw)
		if err == nil && (state.Pools == nil || state.LastChanges == nil || state.Contracts == nil) {
			t.Fatal("a map is nil")
		}
	})
}
