package routing

import (
	"math/rand/v2"
	"sync/atomic"
)

// randomPolicy picks a candidate at random.
type randomPolicy struct{}

func (randomPolicy) Pick(candidates []Candidate, random *rand.Rand) int {
	return random.IntN(len(candidates))
}

// roundRobin picks the candidates in turn.
type roundRobin struct{ next atomic.Uint64 }

func (p *roundRobin) Pick(candidates []Candidate, _ *rand.Rand) int {
	return int((p.next.Add(1) - 1) % uint64(len(candidates)))
}

// leastInFlight picks the candidate with the fewest calls of this process, at
// random among ties. It ignores load reports and zones.
type leastInFlight struct{}

func (leastInFlight) Pick(candidates []Candidate, random *rand.Rand) int {
	best, tied := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].InFlight < candidates[best].InFlight:
			best, tied = i, 1
		case candidates[i].InFlight == candidates[best].InFlight:
			tied++
			if random.IntN(tied) == 0 {
				best = i
			}
		}
	}
	return best
}
