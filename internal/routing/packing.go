package routing

import (
	"math"
	"time"
)

// Packing says how far calls are put together on few targets instead of being
// spread over all. An engine's decode step serves all its sequences, so that
// fuller engines cost less for each token and take longer for each call.
type Packing struct {
	// Degree is 0 to spread and 1 to fill each target before the next is used.
	Degree float64
	// Full is how many calls fill a target.
	Concurrency float64
	// Within bounds what a call may be expected to take at a target that is
	// filled further; zero for no bound.
	MaxCallTime time.Duration
}

// freshReport is the age up to which a report of a target's other load counts.
const freshReport = time.Second

// Pick gives the fullest candidate that may be filled further, or -1 where all
// are as full as the degree allows: then the call is to be spread. Of equals it
// is the first, so that entry VMs that list the targets alike fill the same
// ones.
func (p Packing) Pick(candidates []Candidate) int {
	most := 1 + p.Degree*(p.Concurrency-1)
	median := ComputePoolStats(candidates).MedianCallTime
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		load := c.load()
		if load+1 > most || c.Weight < 1 || (p.MaxCallTime > 0 && c.CallTime > p.MaxCallTime) {
			continue
		}
		load += savedCalls(c, median)
		if best < 0 || load > bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// load is what runs and waits at the target, as far as it is known.
func (c Candidate) load() float64 {
	load := float64(c.InFlight)
	if c.ReportAge <= freshReport {
		load += math.Max(0, c.ReportedLoad)
	}
	return load
}
