package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func contractChange(rev Revision, share int) Change {
	body, _ := json.Marshal(Contract{Customer: "a", Share: share})
	return Change{ID: "c", Revision: rev, Kind: KindContract, Name: "a", Body: body, By: "op"}
}

func TestApplySkipsOldChanges(t *testing.T) {
	s, err := NewState().Apply(contractChange(1, 1), contractChange(2, 2))
	assert.NilError(t, err)
	s, err = s.Apply(contractChange(1, 1))
	assert.NilError(t, err)
	assert.Equal(t, s.Contracts["a"].Share, 2)
	assert.Equal(t, s.Revision, Revision(2))
}

func TestApplyRefusesGap(t *testing.T) {
	_, err := NewState().Apply(contractChange(2, 1))
	assert.ErrorContains(t, err, "does not follow")
}

func TestApplyDelete(t *testing.T) {
	s, err := NewState().Apply(contractChange(1, 1), Change{Revision: 2, Kind: KindContract, Name: "a", Deleted: true})
	assert.NilError(t, err)
	assert.Equal(t, len(s.Contracts), 0)
	assert.Equal(t, s.LastChanges[ItemKey(KindContract, "a")].Deleted, true)
}
