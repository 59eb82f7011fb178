package crashes

import (
	"context"
	"math"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// oddRegister is a register in which others have written.
type oddRegister struct{ list []Conviction }

func (r oddRegister) Load(context.Context) ([]Conviction, uint64, error) { return r.list, 1, nil }
func (oddRegister) Save(context.Context, Conviction) error               { return nil }
func (oddRegister) Remove(context.Context, Conviction) error             { return nil }

// Guards against rows of the register that are no convictions convicting requests, or lasting for ever.
func TestOddConvictionsAreNotAdopted(t *testing.T) {
	many := make([]Trait, maxConvictedTraits+1)
	sound := Conviction{Traits: []Trait{7}, Crashes: 3, Revision: 1}
	k := newKeeper(zap.NewNop(), oddRegister{list: []Conviction{
		{},
		{Traits: []Trait{}, Revision: 5},
		{Traits: many, Revision: 5},
		{Traits: []Trait{9, 8}, Revision: 5},
		sound,
		{Traits: []Trait{11}, Revision: math.MaxUint64},
		{Traits: []Trait{12}, Revision: maxRevision + 1},
		{Traits: []Trait{13}, Crashes: -1, Revision: 5},
	}})
	found, removed := k.load(context.Background(), time.Now())
	assert.DeepEqual(t, found, []Conviction{sound})
	assert.Equal(t, len(removed), 0)
	set := newConvictionSet()
	for _, c := range found {
		assert.Assert(t, set.merge(c, time.Now()))
	}
	assert.Assert(t, !set.merge(Conviction{Traits: []Trait{11}, Revision: math.MaxUint64}, time.Now()))
	lifted := sound
	lifted.Lifted = true
	assert.Assert(t, set.add(lifted, time.Now()).Revision > sound.Revision)
}
