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

// simulateWaits simulates prompts of all lengths that arrive at 30 processes for 30 engines, each
// of which reads one prompt after the other. It returns how long each prompt waited. A prompt goes
// to a random engine unless ask rejects it.
func simulateWaits(seed uint64, ask func(process int, engine string, tokens int) bool) []time.Duration {
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

func countLonger(list []time.Duration, than time.Duration) int {
	n := 0
	for _, d := range list {
		if d > than {
			n++
		}
	}
	return n
}

// A process that knows only a few of an engine's prompts sends its own behind long prompts of other
// processes, and callers wait. Claims must reduce these waits.
func TestClaimsReduceWaitsBehindLongPrompts(t *testing.T) {
	const long = 150 * time.Millisecond
	var withoutClaims, withClaims int
	synctest.Test(t, func(t *testing.T) {
		withoutClaims = countLonger(simulateWaits(1, func(int, string, int) bool { return true }), long)
	})
	synctest.Test(t, func(t *testing.T) {
		all, _ := newTrackers(30)
		withClaims = countLonger(simulateWaits(1, func(process int, engine string, tokens int) bool {
			answer, answered := all[process].Claim(context.Background(), Claim{
				Service: "s", Target: engine, Tokens: tokens, Limit: 20 * time.Millisecond,
			})
			return !answered || answer.Taken
		}), long)
	})
	t.Logf("%d prompts waited for more than %v without claims, %d with claims", withoutClaims, long, withClaims)
	assert.Assert(t, withClaims*4 < withoutClaims, "%d waited with claims, %d without", withClaims, withoutClaims)
}
