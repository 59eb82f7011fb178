package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests sent to engines that reject them, and against an engine that is never tried again.
func TestRejectingEnginesAreAvoided(t *testing.T) {
	views := engines(3)
	c := Criteria{Prompt: Prompt{Input: 1000}}
	views[0].Rejecting, views[1].Rejecting = 0.3, 0.6
	assert.Equal(t, ChooseEngine(views, c).ID, views[2].ID)
	views[2].Tokens = 10_000 // the cost of a rejection is that of another request
	assert.Equal(t, ChooseEngine(views, c).ID, views[0].ID)
	views[0].Tokens = 1_000_000
	views[2].Tokens = 1_000_000
	assert.Assert(t, ChooseEngine(views, c).ID != views[1].ID, "it is the last resort")
	c.Avoid = map[string]bool{views[0].ID: true, views[2].ID: true}
	assert.Equal(t, ChooseEngine(views, c).ID, views[1].ID)
}

// Guards against a popular prompt that keeps going to its affine engine while that rejects most requests.
func TestAffineEngineThatRejectsIsAvoided(t *testing.T) {
	views := engines(12)
	c := Criteria{Prompt: prompt("hot")}
	affine := ChooseEngine(views, c).ID
	for i := range views {
		if views[i].ID == affine {
			views[i].Rejecting = 0.7
		}
	}
	assert.Assert(t, ChooseEngine(views, c).ID != affine)
}

// Guards against choices that change where no engine rejects: the cost of each engine is the same as without
// the mechanism, whatever its load.
func TestChoicesAreTheSameWithoutRejections(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 10_000 {
		cost := random.Float64()*1e5 - 1e4
		assert.Equal(t, acceptedCost(cost, 0), cost)
	}
	for range 300 {
		views := engines(30)
		for i := range views {
			views[i].InFlight, views[i].Tokens, views[i].Pace = random.IntN(20), random.IntN(40_000), 0.5+2*random.Float64()
		}
		c := Criteria{Prompt: prompt(fmt.Sprint(random.IntN(9)))}
		want := 0
		affine := affineEngine(views, c.Prompt)
		for i := range views {
			if engineCost(views[i], c.Prompt, c.discount(views[i], affine)) < engineCost(views[want], c.Prompt, c.discount(views[want], affine)) {
				want = i
			}
		}
		assert.Equal(t, ChooseEngine(views, c).ID, views[want].ID)
	}
}
