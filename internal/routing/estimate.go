package routing

import (
	"math"
	"time"
)

// Estimate computes the expected load at a candidate, in calls.
type Estimate struct {
	// ReportHalfLife is the age at which a load report counts half.
	// ReportWeight is the weight of a fresh report while this process has no
	// calls in flight in the pool. The weight halves with each call that this
	// process has in flight per target on average: its own calls then tell
	// enough, and a report, which lags, mostly describes the load before them.
	ReportHalfLife time.Duration
	ReportWeight   float64
	// ZonePenalty is added for a target in another zone, in calls.
	ZonePenalty float64
	// SlowRatio is how many times the pool's median call time a target has to
	// take before its slowness counts. Call times vary with the request and
	// with concurrent load, so small differences say nothing.
	SlowRatio float64
}

// DefaultEstimate returns the default settings. Load reports have no weight:
// because they lag, weighing them made answers later at every size tried
// (docs/EXPERIMENTS.md, round 3).
func DefaultEstimate() Estimate {
	return Estimate{ReportHalfLife: time.Second, ZonePenalty: 0.3, SlowRatio: 1.5}
}

// reportWeight is the weight of a fresh report under the policy WithReports.
const reportWeight = 0.5

// PoolStats summarizes the candidates that a candidate is compared with.
type PoolStats struct {
	// MedianCallTime is the median over the candidates; zero if unknown.
	MedianCallTime time.Duration
	// MeanInFlight is the mean number of calls of this process in flight at a
	// candidate.
	MeanInFlight float64
}

// ComputePoolStats summarizes the candidates.
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

// ExpectedLoad estimates the load at a candidate in calls, the new call
// included. A cached prefix lowers it by the calls' worth of prefill that it
// saves.
func (e Estimate) ExpectedLoad(c Candidate, p PoolStats) float64 {
	median := p.MedianCallTime
	freshness := math.Exp2(-float64(c.ReportAge) / float64(e.ReportHalfLife))
	reportShare := e.ReportWeight * freshness * math.Exp2(-p.MeanInFlight)
	load := 1 + float64(c.InFlight) + reportShare*math.Max(0, c.ReportedLoad)
	if !c.SameZone {
		load += e.ZonePenalty
	}
	load *= e.slownessFactor(c.CallTime, median)
	return load - savedCalls(c, median)
}

func (e Estimate) slownessFactor(callTime, median time.Duration) float64 {
	if median == 0 {
		return 1
	}
	ratio := float64(callTime) / float64(median)
	if ratio < e.SlowRatio {
		return 1
	}
	return ratio
}

// savedCalls converts the prefill time that a cached prefix saves into calls:
// the prefix is worth waiting for as long as the queue costs less time. A
// target with a Concurrency of n finishes a call every n-th part of a call's
// time on average, so each call before the new one delays it only by that much.
func savedCalls(c Candidate, median time.Duration) float64 {
	if median == 0 {
		return 0
	}
	return float64(c.PrefillSaved) / float64(median) * math.Max(1, c.Concurrency)
}
