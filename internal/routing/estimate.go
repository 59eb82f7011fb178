package routing

import (
	"math"
	"time"
)

// Estimate says how much a call would have to wait at a candidate, in calls
// before it.
type Estimate struct {
	// ReportHalfLife is the age at which a report counts half. ReportWeight is
	// what a fresh one counts while this process has no calls in flight in the
	// pool; it halves with each call to a target, on average, that it has: then
	// its own calls say enough, and a report, which lags, mostly tells what was
	// there before them.
	ReportHalfLife time.Duration
	ReportWeight   float64
	// ZonePenalty is added for a target in another zone, in calls.
	ZonePenalty float64
	// SlowRatio is how many times slower than the pool's median a target has
	// to be before its slowness counts. Call times differ by what is asked and
	// by how much runs beside it, so that small differences say nothing.
	SlowRatio float64
}

// DefaultEstimate has the settings of the product. Reports count nothing: with
// the lag that they have, weighing them made answers later at every size tried
// (docs/EXPERIMENTS.md, round 3).
func DefaultEstimate() Estimate {
	return Estimate{ReportHalfLife: time.Second, ZonePenalty: 0.3, SlowRatio: 1.5}
}

// reportWeight is what a fresh report counts where reports do.
const reportWeight = 0.5

// Pool is what a candidate is compared with.
type PoolStats struct {
	// MedianCallTime of the candidates; zero if unknown.
	MedianCallTime time.Duration
	// MeanInFlight is this process's calls to a candidate, on average.
	MeanInFlight float64
}

// Survey gives the pool that candidates make up.
func ComputePoolStats(candidates []Candidate) PoolStats {
	times := make([]time.Duration, 0, len(candidates))
	inFlight := 0
	for _, c := range candidates {
		inFlight += c.InFlight
		if c.CallTime > 0 {
			times = append(times, c.CallTime)
		}
	}
	return PoolStats{MedianCallTime: Median(times), MeanInFlight: float64(inFlight) / float64(len(candidates))}
}

// Waiting gives the load before a call at a candidate, its own included.
func (e Estimate) ExpectedLoad(c Candidate, p PoolStats) float64 {
	median := p.MedianCallTime
	age := math.Exp2(-float64(c.ReportAge) / float64(e.ReportHalfLife))
	trust := e.ReportWeight * age * math.Exp2(-p.MeanInFlight)
	load := 1 + float64(c.InFlight) + trust*math.Max(0, c.ReportedLoad)
	if !c.SameZone {
		load += e.ZonePenalty
	}
	load *= e.slowness(c.CallTime, median)
	return load - savedCalls(c, median)
}

func (e Estimate) slowness(callTime, median time.Duration) float64 {
	if median == 0 {
		return 1
	}
	ratio := float64(callTime) / float64(median)
	if ratio < e.SlowRatio {
		return 1
	}
	return ratio
}

// savedCalls turns the prefill that a cached prefix saves into calls: it is
// worth waiting for as long as the queue costs less. A target that serves
// several calls at once ends one in that part of a call's time, so that each
// call before ours delays it by no more.
func savedCalls(c Candidate, median time.Duration) float64 {
	if median == 0 {
		return 0
	}
	return float64(c.PrefillSaved) / float64(median) * math.Max(1, c.Concurrency)
}
