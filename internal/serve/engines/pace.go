package engines

import (
	"math"
	"slices"
	"time"
)

// An engine's pace is the time that its work takes relative to a nominal engine: 2 means twice as
// long. The functions of this file address pools whose engines differ in speed, by a constant
// factor of the machine or by contention with other programs on it. Without them a slow engine gets
// long prompts like any other, and their first events are late.

const (
	// minPace and maxPace bound a pace, so that a false statement neither attracts all requests nor
	// takes an engine out of use.
	minPace, maxPace = 0.25, 8
	// evenBand is the difference from 1 below which a pace counts as 1. Engines of an even pool
	// differ by up to 15% in the times that processes observe.
	evenBand = 0.15
	// paceRounding keeps a stated 85 or 115 outside of evenBand.
	paceRounding = 1e-9
	// statedPaces is the number of stated paces whose median is the usual pace, minStatedPaces how
	// many are needed.
	statedPaces, minStatedPaces = 9, 3
	// statedPaceLifetime is the time in which a stated pace decays to the usual one: contention on
	// a machine changes about as often.
	statedPaceLifetime = 600 * time.Millisecond
	// timedWindow is the approximate number of times that an engine's moving average covers,
	// minTimes how many are needed. Contention lasts for several answers: with a window of 20, an
	// engine that had none for two seconds counted as fast.
	timedWindow, minTimes = 100, 3
	// minTimeSpread is the least assumed standard deviation of times relative to the expected ones:
	// a few times can be alike by chance.
	minTimeSpread = 0.1
	// timeSignificance is the number of standard errors by which an average must differ from 1.
	timeSignificance = 3
)

// StatedPace returns the pace that a target states as a percentage; false if it states none.
func StatedPace(percent int) (pace float64, stated bool) {
	if percent <= 0 {
		return 1, false
	}
	return boundPace(float64(percent) / 100), true
}

func boundPace(pace float64) float64 { return min(max(pace, minPace), maxPace) }

// evenPace returns 1 for a pace within evenBand, else the pace.
func evenPace(pace float64) float64 {
	if math.Abs(pace-1) < evenBand-paceRounding {
		return 1
	}
	return pace
}

// paceNow returns the pace of an engine that stated a pace some time ago. The stated pace counts
// fully at first and decays linearly to the usual one.
func paceNow(usual, stated float64, age time.Duration) float64 {
	weight := 1 - float64(max(age, 0))/float64(statedPaceLifetime)
	if weight <= 0 {
		return usual
	}
	return evenPace(usual + (stated-usual)*weight)
}

// paceEstimate estimates the pace of one incarnation of an engine. The zero value knows nothing: its
// pace is 1.
type paceEstimate struct {
	// stated is a ring of stated paces, count the number that were added.
	stated  [statedPaces]float64
	count   int
	addedAt time.Time
	// last is the latest stated pace, 0 for none, and lastAt when it was stated.
	last   float64
	lastAt time.Time
	times  timeRatio
}

// addStated adds a stated pace. The usual pace takes one value for each statedPaceLifetime: a busy
// engine states its pace ten times a second, and nine values of one short contention would else
// become its usual pace.
func (e *paceEstimate) addStated(pace float64, now time.Time) {
	e.last, e.lastAt = pace, now
	if e.count > 0 && now.Sub(e.addedAt) < statedPaceLifetime {
		return
	}
	e.stated[e.count%statedPaces] = pace
	e.count++
	e.addedAt = now
}

// usual returns the usual pace: the median of stated ones or, for an engine that states none, the
// average of its times.
func (e *paceEstimate) usual() float64 {
	if e.last == 0 {
		return e.times.pace()
	}
	if e.count < minStatedPaces {
		return 1
	}
	sorted := e.stated
	list := sorted[:min(e.count, statedPaces)]
	slices.Sort(list)
	return evenPace((list[(len(list)-1)/2] + list[len(list)/2]) / 2)
}

// now returns the usual pace and the one at present.
func (e *paceEstimate) now(now time.Time) (usual, present float64) {
	usual = e.usual()
	if e.last == 0 {
		return usual, usual
	}
	return usual, paceNow(usual, e.last, now.Sub(e.lastAt))
}

// timeRatio is a moving average of actual over expected times, weighted by the expected time: the
// constant part dominates the times of short prompts, which say little of an engine's speed. The
// zero value is empty.
type timeRatio struct {
	count int
	// weights and squares are sums of weights and of their squares, ratios and ratioSquares sums of
	// weighted ratios and of weighted squares of ratios.
	weights, squares, ratios, ratioSquares float64
}

// add adds a time. window is the approximate number of times that the average covers.
func (r *timeRatio) add(actual, expected float64, window int) {
	if actual <= 0 || expected <= 0 {
		return
	}
	keep := 1 - 1/float64(window)
	ratio := boundPace(actual / expected)
	r.count++
	r.weights = keep*r.weights + expected
	r.squares = keep*keep*r.squares + expected*expected
	r.ratios = keep*r.ratios + expected*ratio
	r.ratioSquares = keep*r.ratioSquares + expected*ratio*ratio
}

// mean returns the average, 1 if it is empty.
func (r *timeRatio) mean() float64 {
	if r.weights == 0 {
		return 1
	}
	return r.ratios / r.weights
}

// pace returns the average if it differs from 1 by more than the times differ among each other,
// else 1. Without that test, one in ten engines of an even pool would count as fast or slow at any
// time.
func (r *timeRatio) pace() float64 {
	if r.count < minTimes {
		return 1
	}
	mean := r.mean()
	spread := math.Sqrt(max(r.ratioSquares/r.weights-mean*mean, minTimeSpread*minTimeSpread))
	samples := r.weights * r.weights / r.squares
	if math.Abs(mean-1) < timeSignificance*spread/math.Sqrt(samples) {
		return 1
	}
	return evenPace(boundPace(mean))
}
