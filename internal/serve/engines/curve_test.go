package engines

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Prefill time grows with the square of the prompt length. A linear model puts the due time of a
// long prompt's stages far too late.
func TestFitLearnsQuadraticPrefillTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	truth := Curve{Base: 0.065, Linear: 0.008, Square: 0.000263}
	f := newFit()
	for range 600 {
		tokens := int(min(math.Exp(6+1.5*random.NormFloat64()), 55_000))
		f.add(tokens, truth.FirstEvent(tokens)*(0.95+0.1*random.Float64()), 1)
	}
	for _, tokens := range []int{100, 5000, 20_000, 40_000, 55_000} {
		got, want := f.curve().FirstEvent(tokens), truth.FirstEvent(tokens)
		assert.Assert(t, math.Abs(got-want) < 0.1*want+0.01, "%d tokens: %.3f s for %.3f s", tokens, got, want)
	}
}

// Guards against a few slow responses to short prompts making long prompts look faster.
func TestCurveNeverDecreases(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	for range 200 {
		f := newFit()
		for range 20 {
			f.add(random.IntN(50_000), random.Float64(), 1)
		}
		c := f.curve()
		assert.Assert(t, c.Base >= 0 && c.Linear >= 0 && c.Square >= 0, "%+v", c)
		assert.Assert(t, c.FirstEvent(50_000) < 10, "%+v", c)
	}
}

func TestPromptWaitsForEarlierPrompts(t *testing.T) {
	start := time.Unix(1000, 0)
	s := newPrefillSchedule()
	wait, taken := s.reserve("e", 500*time.Millisecond, 0, start)
	assert.Assert(t, taken && wait == 0)
	wait, taken = s.reserve("e", time.Second, 100*time.Millisecond, start.Add(200*time.Millisecond))
	assert.Assert(t, !taken && wait == 300*time.Millisecond)
	wait, taken = s.reserve("e", time.Second, 100*time.Millisecond, start.Add(450*time.Millisecond))
	assert.Assert(t, taken && wait == 50*time.Millisecond)
	assert.Equal(t, s.wait("e", start.Add(450*time.Millisecond)), 1050*time.Millisecond)
	s.sweep(start.Add(2 * time.Second))
	assert.Equal(t, len(s.busyUntil), 0)
}
