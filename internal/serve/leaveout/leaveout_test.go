package leaveout

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	for text, want := range map[string][]Mechanism{
		"":                   nil,
		"affinity":           {Affinity},
		"affinity, own-zone": {Affinity, OwnZone},
	} {
		s, err := Parse(text)
		assert.NilError(t, err, text)
		assert.DeepEqual(t, s.mechanisms, want)
	}
	_, err := Parse("affinity,everything")
	assert.ErrorContains(t, err, "everything")
}

func TestZeroSetLeavesNothingOut(t *testing.T) {
	for _, m := range All() {
		assert.Assert(t, !Set{}.Has(m), "%s", m)
		assert.Assert(t, Of(m).Has(m), "%s", m)
	}
}
