package routing

import (
	"math"
	"time"
)

// Packing says how far calls are concentrated on few targets instead of being
// spread over all. One decode step of an engine serves all its sequences, so
// fuller engines cost less per token but take longer per call.
type Packing struct {
	// Degree is 0 to spread calls evenly and 1 to fill each target before the
	// next is used.
	Degree float64
	// Concurrency is the number of calls that a target serves at once.
	Concurrency float64
	// MaxCallTime bounds the call time of a target that may be filled further;
	// zero means no bound.
	MaxCallTime time.Duration
}

// maxReportAge is the age up to which a load report counts.
const maxReportAge = time.Second

// Pick returns the index of the fullest candidate that may be filled further,
// or -1 if all are as full as Degree allows; the call is then to be spread.
// Among ties it takes the first, so that entry VMs that list the targets in the
// same order fill the same ones.
func (p Packing) Pick(candidates []Candidate) int {
	maxLoad := 1 + p.Degree*(p.Concurrency-1)
	median := ComputePoolStats(candidates).MedianCallTime
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		load := c.load()
		if load+1 > maxLoad || c.Weight < 1 || (p.MaxCallTime > 0 && c.CallTime > p.MaxCallTime) {
			continue
		}
		load += savedCalls(c, median)
		if best < 0 || load > bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

// load returns the calls running and waiting at the target, as far as they are
// known.
func (c Candidate) load() float64 {
	load := float64(c.InFlight)
	if c.ReportAge <= maxReportAge {
		load += math.Max(0, c.ReportedLoad)
	}
	return load
}
