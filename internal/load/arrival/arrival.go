// Package arrival plans when requests are sent: open loop, from a seed, never
// waiting for answers.
package arrival

import (
	"math"
	"math/rand/v2"
	"time"
)

// Pattern is a rate of arrivals over time.
type Pattern interface {
	// Rate is in requests per second, at a time since the start.
	Rate(at time.Duration) float64
	// MaxRate is a bound that Rate never exceeds.
	MaxRate() float64
}

// Steady is the same rate all the time.
type Steady struct{ PerSecond float64 }

// Rate implements Pattern.
func (s Steady) Rate(time.Duration) float64 { return s.PerSecond }

// MaxRate implements Pattern.
func (s Steady) MaxRate() float64 { return s.PerSecond }

// Bursts is a base rate that rises to a peak for Length in every Every, from
// First on.
type Bursts struct {
	Base, Peak                   float64
	FirstStart, Period, Duration time.Duration
}

// Rate implements Pattern.
func (b Bursts) Rate(at time.Duration) float64 {
	if at < b.FirstStart {
		return b.Base
	}
	since := at - b.FirstStart
	if b.Period > 0 {
		since %= b.Period
	}
	if since < b.Duration {
		return b.Peak
	}
	return b.Base
}

// MaxRate implements Pattern.
func (b Bursts) MaxRate() float64 { return max(b.Base, b.Peak) }

// Daily swings around a mean as a day does; a Day may last seconds.
type Daily struct {
	Mean float64
	// Amplitude is 0 (steady) to 1 (silent at night).
	Amplitude float64
	Period    time.Duration
}

// Rate implements Pattern. The day starts at its quietest.
func (d Daily) Rate(at time.Duration) float64 {
	phase := 2 * math.Pi * at.Seconds() / d.Period.Seconds()
	return d.Mean * (1 - d.Amplitude*math.Cos(phase))
}

// MaxRate implements Pattern.
func (d Daily) MaxRate() float64 { return d.Mean * (1 + d.Amplitude) }

// SampleTimes draws a Poisson process with the pattern's rate over a length of time.
// The same seed gives the same times.
func SampleTimes(p Pattern, length time.Duration, seed uint64) []time.Duration {
	highest := p.MaxRate()
	if highest <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	var times []time.Duration
	at := 0.0
	for {
		at += random.ExpFloat64() / highest
		when := time.Duration(at * float64(time.Second))
		if when >= length {
			return times
		}
		if random.Float64()*highest < p.Rate(when) {
			times = append(times, when)
		}
	}
}

// arrivalStream keeps these draws apart from others of the same seed.
const arrivalStream = 0x61727269
