package place

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Guards against short prompts that occupy the fast engines for a gain of a few ms.
func TestPacedCost(t *testing.T) {
	for _, c := range []struct{ cost, pace, want float64 }{
		{12000, 0, 12000},
		{12000, 1, 12000},
		{826, 0.55, 826},
		{826, 3, 826},
		{2368, 1.2, 2368},
		{2368, 3, 5104},
		{12000, 0.55, 8600},
		{12000, 1.2, 12400},
		{60000, 3, 178000},
	} {
		got := pacedCost(c.cost, c.pace)
		assert.Assert(t, got > c.want-0.01 && got < c.want+0.01, "%+v: %v", c, got)
	}
}

// A long prompt at a slow engine is late, even if the engine has read its shared parts.
func TestLongPromptLeavesSlowAffineEngine(t *testing.T) {
	views := engines(12)
	c := Criteria{Prompt: prompt("p")}
	affine := ChooseEngine(views, c)
	for i := range views {
		views[i].Pace = 1.2
		if views[i].ID == affine.ID {
			views[i].Pace = 3
		}
	}
	assert.Assert(t, ChooseEngine(views, c).ID != affine.ID)
	views[3].Pace = 0.55
	c.Prompt = Prompt{Input: 30000}
	assert.Equal(t, ChooseEngine(views, c).ID, views[3].ID)
}

// Engines that are even must be chosen exactly as if nothing were known of their paces.
func TestEvenPacesChangeNoChoice(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 2000 {
		views := engines(12)
		for k := range views {
			views[k].Tokens, views[k].InFlight = random.IntN(20000), random.IntN(20)
			views[k].Report = pool.Report{Running: random.IntN(20), Waiting: random.IntN(3)}
		}
		c := Criteria{Prompt: prompt(fmt.Sprint("p", i)), Bytes: map[string]int{"a": random.IntN(1e6)}}
		before := ChooseEngine(views, c)
		for k := range views {
			views[k].Pace = 1
		}
		assert.Equal(t, ChooseEngine(views, c), before)
	}
}
