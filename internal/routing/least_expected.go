package routing

import "math/rand/v2"

// LeastExpected takes the candidate with the least load before a call, by lot
// among those that have nearly as little. The lot matters: reports lag, and
// every entry VM would else send to the one target that looked idle a second
// ago.
type LeastExpectedLoad struct{ Estimate }

// nearly is how much more load than the least, in calls, still takes part in
// the lot.
const nearly = 0.25

// Pick looks at all candidates. One that comes back after an ejection takes
// part by its weight only.
func (l LeastExpectedLoad) Pick(candidates []Candidate, random *rand.Rand) int {
	able := l.returning(candidates, random)
	loads := make([]float64, len(candidates))
	pool := ComputePoolStats(candidates)
	least := able[0]
	for _, i := range able {
		loads[i] = l.ExpectedLoad(candidates[i], pool)
		if loads[i] < loads[least] {
			least = i
		}
	}
	chosen, equals := least, 0
	for _, i := range able {
		if loads[i] > loads[least]+nearly {
			continue
		}
		equals++
		if random.IntN(equals) == 0 {
			chosen = i
		}
	}
	return chosen
}

// returning draws which of the candidates that come back take part; all do
// where none else would.
func (l LeastExpectedLoad) returning(candidates []Candidate, random *rand.Rand) []int {
	able := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Weight >= 1 || random.Float64() < c.Weight {
			able = append(able, i)
		}
	}
	if len(able) > 0 {
		return able
	}
	for i := range candidates {
		able = append(able, i)
	}
	return able
}
