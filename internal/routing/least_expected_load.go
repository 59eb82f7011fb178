package routing

import "math/rand/v2"

// LeastExpectedLoad picks the candidate with the lowest expected load, at
// random among those within loadTolerance of it. The random choice matters
// because reports lag: otherwise every entry VM would send to the one target
// that looked idle a second ago.
type LeastExpectedLoad struct{ Estimate }

// loadTolerance is how far above the lowest load, in calls, a candidate still
// takes part in the random choice.
const loadTolerance = 0.25

// Pick considers all candidates. A target that returns after an ejection takes
// part with a probability equal to its weight.
func (l LeastExpectedLoad) Pick(candidates []Candidate, random *rand.Rand) int {
	eligible := l.eligibleCandidates(candidates, random)
	loads := make([]float64, len(candidates))
	pool := ComputePoolStats(candidates)
	least := eligible[0]
	for _, i := range eligible {
		loads[i] = l.ExpectedLoad(candidates[i], pool)
		if loads[i] < loads[least] {
			least = i
		}
	}
	chosen, tied := least, 0
	for _, i := range eligible {
		if loads[i] > loads[least]+loadTolerance {
			continue
		}
		tied++
		if random.IntN(tied) == 0 {
			chosen = i
		}
	}
	return chosen
}

// eligibleCandidates returns the candidates that take part in this choice. A
// target that returns after an ejection is included with a probability equal to
// its weight; if none is left, all are included.
func (l LeastExpectedLoad) eligibleCandidates(candidates []Candidate, random *rand.Rand) []int {
	eligible := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Weight >= 1 || random.Float64() < c.Weight {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) > 0 {
		return eligible
	}
	for i := range candidates {
		eligible = append(eligible, i)
	}
	return eligible
}
