package engines

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// waits plays prompts of all lengths that come to 30 processes for 30 engines, which read
// one prompt after the other, and gives how long each waited. A prompt goes to an engine
// at random unless ask says that another one is better.
func waits(seed uint64, ask func(process int, engine string, tokens int) bool) []time.Duration {
	const processes, engines, perSecond = 30, 30, 90
	random := rand.New(rand.NewPCG(seed, 1))
	truth := Curve{Base: 0.06, Linear: 0.008, Square: 0.00026}
	busy := map[string]time.Time{}
	var list []time.Duration
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		tokens := int(min(math.Exp(7.5+1.2*random.NormFloat64()), 55_000))
		process := random.IntN(processes)
		engine := ""
		for range 3 {
			engine = fmt.Sprint("engine-", random.IntN(engines))
			if ask(process, engine, tokens) {
				break
			}
		}
		now := time.Now()
		wait := max(busy[engine].Sub(now), 0)
		busy[engine] = now.Add(wait + time.Duration(truth.PrefillTime(tokens)*float64(time.Second)))
		list = append(list, wait)
	}
	return list
}

func longer(list []time.Duration, than time.Duration) int {
	n := 0
	for _, d := range list {
		if d > than {
			n++
		}
	}
	return n
}

// Processes that know a few of an engine's prompts send theirs behind long ones of
// others, and callers wait.
func TestFewPromptsWaitBehindLongOnes(t *testing.T) {
	const long = 150 * time.Millisecond
	var blind, asked int
	synctest.Test(t, func(t *testing.T) {
		blind = longer(waits(1, func(int, string, int) bool { return true }), long)
	})
	synctest.Test(t, func(t *testing.T) {
		all, _ := fleet(30)
		asked = longer(waits(1, func(process int, engine string, tokens int) bool {
			answer, answered := all[process].Claim(context.Background(), Claim{
				Service: "s", Engine: engine, Tokens: tokens, Limit: 20 * time.Millisecond,
			})
			return !answered || answer.Taken
		}), long)
	})
	t.Logf("blind: %d waited for more than %v, asked: %d", blind, long, asked)
	assert.Assert(t, asked*4 < blind, "%d beside %d", asked, blind)
}
