package routing

import "math/rand/v2"

// BetterOfTwo draws two candidates and takes the one whose call is expected to
// end earlier, or the holder of the longest cached prefix if that is earlier
// still. It is kept as a baseline: with a dozen targets and calls in flight
// counted here, looking at all of them is better (docs/EXPERIMENTS.md).
type PowerOfTwoChoices struct{ Estimate }

// Pick draws two by weight and looks at the prefix holder as a third.
func (b PowerOfTwoChoices) Pick(candidates []Candidate, random *rand.Rand) int {
	pool := ComputePoolStats(candidates)
	best := draw(candidates, random, -1)
	for _, other := range []int{draw(candidates, random, best), longestPrefix(candidates)} {
		if other >= 0 && b.ExpectedLoad(candidates[other], pool) < b.ExpectedLoad(candidates[best], pool) {
			best = other
		}
	}
	return best
}

func longestPrefix(candidates []Candidate) int {
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

// draw picks a candidate by weight, other than not.
func draw(candidates []Candidate, random *rand.Rand, not int) int {
	total := 0.0
	for i, c := range candidates {
		if i != not {
			total += c.Weight
		}
	}
	if total <= 0 {
		return max(not, 0)
	}
	at := random.Float64() * total
	last := max(not, 0)
	for i, c := range candidates {
		if i == not {
			continue
		}
		last = i
		at -= c.Weight
		if at < 0 {
			break
		}
	}
	return last
}
