// Package arrival generates the send times of requests from a seed. The load is
// open-loop: send times don't depend on answers.
package arrival

import (
	"math"
	"math/rand/v2"
	"time"
)

// Pattern is an arrival rate as a function of time.
type Pattern interface {
	// Rate returns the requests per second at a time since the start.
	Rate(at time.Duration) float64
	// MaxRate returns an upper bound of Rate.
	MaxRate() float64
}

// Steady is a constant rate.
type Steady struct{ PerSecond float64 }

// Rate implements Pattern.
func (s Steady) Rate(time.Duration) float64 { return s.PerSecond }

// MaxRate implements Pattern.
func (s Steady) MaxRate() float64 { return s.PerSecond }

// Bursts is a base rate with bursts at the peak rate: the first starts at
// FirstStart, further ones follow every Period, and each lasts for Duration. A
// Period of zero means a single burst.
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

// Daily is a sinusoidal rate like that of a day; Period, the length of the day,
// may be as short as seconds.
type Daily struct {
	Mean float64
	// Amplitude is relative to Mean: 0 (constant) to 1 (no requests at the minimum).
	Amplitude float64
	Period    time.Duration
}

// Rate implements Pattern. The day starts at the minimum.
func (d Daily) Rate(at time.Duration) float64 {
	phase := 2 * math.Pi * at.Seconds() / d.Period.Seconds()
	return d.Mean * (1 - d.Amplitude*math.Cos(phase))
}

// MaxRate implements Pattern.
func (d Daily) MaxRate() float64 { return d.Mean * (1 + d.Amplitude) }

// SampleTimes samples the arrival times of a Poisson process with the pattern's
// rate over a duration. The same seed gives the same times.
func SampleTimes(p Pattern, duration time.Duration, seed uint64) []time.Duration {
	maxRate := p.MaxRate()
	if maxRate <= 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	var times []time.Duration
	seconds := 0.0
	for {
		seconds += random.ExpFloat64() / maxRate
		offset := time.Duration(seconds * float64(time.Second))
		if offset >= duration {
			return times
		}
		if random.Float64()*maxRate < p.Rate(offset) {
			times = append(times, offset)
		}
	}
}

// arrivalStream makes these random numbers independent of others that are drawn
// from the same seed.
const arrivalStream = 0x61727269
