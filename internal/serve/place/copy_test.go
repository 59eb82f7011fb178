package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

func TestCopyPays(t *testing.T) {
	for _, c := range []struct {
		name       string
		tokens     int
		copy, read time.Duration
		want       bool
	}{
		{"fast link", 5000, 3 * time.Millisecond, 54 * time.Millisecond, true},
		{"slow link", 5000, 14 * time.Millisecond, 54 * time.Millisecond, false},
		{"just a quarter", 5000, 10 * time.Millisecond, 40 * time.Millisecond, false},
		{"few tokens", 999, time.Microsecond, 11 * time.Millisecond, false},
		{"enough tokens", 1000, time.Microsecond, 11 * time.Millisecond, true},
		{"reading time unknown", 5000, 0, 0, false},
	} {
		assert.Equal(t, CopyPays(c.tokens, c.copy, c.read), c.want, c.name)
	}
}

// Guards against copies from an engine to itself, across software versions, or across zones without
// need.
func TestCopySource(t *testing.T) {
	views := engines(6) // zones a, b, c, a, b, c
	views[1].Version = "other"
	for _, c := range []struct {
		name    string
		sources []pool.View
		engine  int
		want    *pool.Target
	}{
		{"none", nil, 0, nil},
		{"itself", []pool.View{views[2], views[0]}, 0, nil},
		{"the latest", []pool.View{views[2], views[5]}, 0, views[2].Target},
		{"own zone", []pool.View{views[2], views[3], views[0]}, 0, nil},
		{"own zone first", []pool.View{views[2], views[3]}, 0, views[3].Target},
		{"other version", []pool.View{views[1]}, 0, nil},
		{"one of its version", []pool.View{views[1], views[5]}, 0, views[5].Target},
	} {
		assert.Equal(t, CopySource(c.sources, views[c.engine].Target), c.want, c.name)
	}
}

// Guards against affinity that outweighs the load although the parts can be copied, and against a
// choice among equal engines that ignores which of them needs no copy.
func TestHoldersArePreferredOnlyAmongEquals(t *testing.T) {
	views := engines(12)
	c := Criteria{Prompt: prompt("p"), Sources: []pool.View{views[7]}}
	assert.Equal(t, ChooseEngine(views, c).ID, views[7].ID)
	views[7].Tokens = 2000 // more than 0.3 of the 5,400 shared tokens
	assert.Assert(t, ChooseEngine(views, c).ID != views[7].ID)
	c.Sources = nil
	affine := ChooseEngine(views, c)
	for i := range views {
		if views[i].ID == affine.ID {
			views[i].Tokens = 10_000 // less than 3 of them
		}
	}
	assert.Equal(t, ChooseEngine(views, c).ID, affine.ID)
}

// chooseWithoutCopies is the choice of an engine as it is where nothing is copied.
func chooseWithoutCopies(views []pool.View, p Prompt) string {
	best, bestCost := "", 0.0
	for _, v := range views {
		running := max(v.InFlight, v.Report.Running)
		cost := float64(p.Input + v.Tokens + running*150 + v.Report.Waiting*2500)
		if affineEngine(views, p) == v.ID {
			cost -= 3 * float64(p.SharedTokens())
		}
		if best == "" || cost < bestCost {
			best, bestCost = v.ID, cost
		}
	}
	return best
}

// Guards against other choices where nothing can be copied.
func TestChoiceWithoutSourcesIsUnchanged(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	views := engines(20)
	for i := range 2000 {
		for k := range views {
			views[k].Tokens, views[k].InFlight = random.IntN(30_000), random.IntN(15)
			views[k].Report = pool.Report{Running: random.IntN(15), Waiting: random.IntN(3)}
		}
		p := prompt(fmt.Sprint("p", i%50))
		assert.Equal(t, ChooseEngine(views, Criteria{Prompt: p}).ID, chooseWithoutCopies(views, p))
	}
}
