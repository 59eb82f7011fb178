package routing

import "math/rand/v2"

// PowerOfTwoChoices draws two candidates at random and picks the one with the
// lower expected load, or the holder of the longest cached prefix if that is
// lower still. It is kept as a baseline: with a dozen targets, and the calls in
// flight counted in this process, looking at all candidates is better
// (docs/EXPERIMENTS.md).
type PowerOfTwoChoices struct{ Estimate }

// Pick draws two candidates by weight and considers the holder of the longest
// prefix as a third.
func (p PowerOfTwoChoices) Pick(candidates []Candidate, random *rand.Rand) int {
	pool := ComputePoolStats(candidates)
	best := drawByWeight(candidates, random, -1)
	for _, other := range []int{drawByWeight(candidates, random, best), longestPrefixHolder(candidates)} {
		if other >= 0 && p.ExpectedLoad(candidates[other], pool) < p.ExpectedLoad(candidates[best], pool) {
			best = other
		}
	}
	return best
}

func longestPrefixHolder(candidates []Candidate) int {
	best := -1
	for i, c := range candidates {
		if c.PrefillSaved <= 0 || c.Weight < 1 {
			continue
		}
		if best < 0 || c.PrefillSaved > candidates[best].PrefillSaved {
			best = i
		}
	}
	return best
}

// drawByWeight picks a candidate at random by weight, other than excluded.
func drawByWeight(candidates []Candidate, random *rand.Rand, excluded int) int {
	total := 0.0
	for i, c := range candidates {
		if i != excluded {
			total += c.Weight
		}
	}
	if total <= 0 {
		return max(excluded, 0)
	}
	remaining := random.Float64() * total
	last := max(excluded, 0)
	for i, c := range candidates {
		if i == excluded {
			continue
		}
		last = i
		remaining -= c.Weight
		if remaining < 0 {
			break
		}
	}
	return last
}
