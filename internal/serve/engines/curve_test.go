package engines

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The time of long prompts grows with the square of their length: a straight line puts
// their stages' due time far too late.
func TestTheTimeOfLongPromptsIsLearnt(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	truth := Curve{Base: 0.065, Linear: 0.008, Square: 0.000263}
	f := newFit()
	for range 600 {
		tokens := int(min(math.Exp(6+1.5*random.NormFloat64()), 55_000))
		f.add(tokens, truth.FirstEvent(tokens)*(0.95+0.1*random.Float64()))
	}
	for _, tokens := range []int{100, 5000, 20_000, 40_000, 55_000} {
		got, want := f.curve().FirstEvent(tokens), truth.FirstEvent(tokens)
		assert.Assert(t, math.Abs(got-want) < 0.1*want+0.01, "%d tokens: %.3f s for %.3f s", tokens, got, want)
	}
}

// A few slow answers to short prompts must not make long ones count as quicker.
func TestACurveNeverFalls(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	for range 200 {
		f := newFit()
		for range 20 {
			f.add(random.IntN(50_000), random.Float64())
		}
		c := f.curve()
		assert.Assert(t, c.Base >= 0 && c.Linear >= 0 && c.Square >= 0, "%+v", c)
		assert.Assert(t, c.FirstEvent(50_000) < 10, "%+v", c)
	}
}

func TestAPromptWaitsForThoseBefore(t *testing.T) {
	start := time.Unix(1000, 0)
	a := newAccount()
	wait, taken := a.take("e", 500*time.Millisecond, 0, start)
	assert.Assert(t, taken && wait == 0)
	wait, taken = a.take("e", time.Second, 100*time.Millisecond, start.Add(200*time.Millisecond))
	assert.Assert(t, !taken && wait == 300*time.Millisecond)
	wait, taken = a.take("e", time.Second, 100*time.Millisecond, start.Add(450*time.Millisecond))
	assert.Assert(t, taken && wait == 50*time.Millisecond)
	assert.Equal(t, a.wait("e", start.Add(450*time.Millisecond)), 1050*time.Millisecond)
	a.sweep(start.Add(2 * time.Second))
	assert.Equal(t, len(a.busy), 0)
}
