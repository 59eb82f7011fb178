package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/config"
	query "github.com/vanillagate/vanillagate/internal/query/snapshot"
)

func stateAtRevision(t *testing.T, revision config.Revision) *config.State {
	state := config.NewState()
	for r := config.Revision(1); r <= revision; r++ {
		next, err := state.Apply(config.Change{Revision: r, Kind: config.KindPool, Name: "llm", Body: []byte(`{"name":"llm"}`)})
		assert.NilError(t, err)
		state = next
	}
	return state
}

// A process that was paused for a minute resumes and writes its old
// configuration as the snapshot. It must not replace the newer one, or a VM
// that starts from it during an outage of the table would apply an old
// contract.
func TestOlderSnapshotIsNotWritten(t *testing.T) {
	objects := memory.New().Objects()
	ctx := t.Context()
	empty, err := query.Read(ctx, objects)
	assert.NilError(t, err)
	assert.Equal(t, empty.Revision, config.Revision(0))
	out, err := Write(ctx, objects, stateAtRevision(t, 3))
	assert.NilError(t, err)
	assert.Equal(t, out, Written)
	out, err = Write(ctx, objects, stateAtRevision(t, 2))
	assert.NilError(t, err)
	assert.Equal(t, out, Kept)
	read, err := query.Read(ctx, objects)
	assert.NilError(t, err)
	assert.Equal(t, read.Revision, config.Revision(3))
	assert.Equal(t, read.Pools["llm"].Name, "llm")
}

// The object store can't be read, so the revision of the existing snapshot is
// unknown and it must not be overwritten.
func TestSnapshotIsNotWrittenIfStoreIsUnreadable(t *testing.T) {
	store := memory.New()
	store.SetFaults(func(call memory.Call) memory.Fault {
		if call.Write {
			return memory.None
		}
		return memory.LostCall
	})
	out, err := Write(t.Context(), store.Objects(), stateAtRevision(t, 1))
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
