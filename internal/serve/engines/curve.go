package engines

import (
	"math"
	"time"
)

// tokenUnit is the number of tokens that one unit of x stands for in the fit. It keeps the sums of
// powers at similar magnitudes.
const tokenUnit = 1000

// Curve models the time from a request to the first event of an engine's response as a function of
// the prompt tokens to read: a constant, a linear part, and a quadratic part, which matters for
// long prompts. The coefficients are in seconds and thousands of tokens.
type Curve struct {
	Base   float64 `json:"b"`
	Linear float64 `json:"l"`
	Square float64 `json:"s"`
}

// PrefillTime returns the time for reading the prompt alone, in seconds.
func (c Curve) PrefillTime(tokens int) float64 {
	x := float64(tokens) / tokenUnit
	return c.Linear*x + c.Square*x*x
}

// pacedPrefill returns the time that an engine of a pace takes for reading the prompt, at most maxPrefill.
func (c Curve) pacedPrefill(pace float64, tokens int) time.Duration {
	return time.Duration(min(pace*c.PrefillTime(tokens), maxPrefill.Seconds()) * float64(time.Second))
}

// FirstEvent returns the time that an idle engine takes to the first event, in seconds.
func (c Curve) FirstEvent(tokens int) float64 { return c.Base + c.PrefillTime(tokens) }

// defaultCurve is used until responses have been observed.
var defaultCurve = Curve{Base: 0.1, Linear: 0.01}

// DefaultCurve returns the curve that is used until responses have been observed.
func DefaultCurve() Curve { return defaultCurve }

// seedTokens are the prompt lengths for which a new fit is seeded with the times of defaultCurve.
var seedTokens = []int{0, 2000, 10_000}

// fitWindow is the approximate number of recent responses that a fit covers. An engine's speed
// doesn't change, but the number of requests that run at the same time does.
const fitWindow = 2000

// levelWindow is the approximate number of responses that determine the level of recent times, and
// minLevelSamples how many are needed.
const levelWindow, minLevelSamples = 64, 30

// fit fits the Curve of a nominal engine by least squares. An engine takes its pace times as long for
// the linear and the quadratic part. fit stores only sums of products.
type fit struct {
	x [3][3]float64 // sums of products of the curve's terms, which are 1, pace*x and pace*x^2
	y [3]float64    // sums of y times these terms
	// fitted is the latest result of curve, level the average of recent times relative to it. At
	// times when all engines are slow, none of them is slower than the others.
	fitted Curve
	level  timeRatio
}

func newFit() *fit {
	f := &fit{fitted: defaultCurve}
	for _, tokens := range seedTokens {
		f.add(tokens, defaultCurve.FirstEvent(tokens), 1)
	}
	f.level = timeRatio{}
	return f
}

// add adds one response: the tokens read, the seconds to its first event, and the engine's pace, 1 if
// it is unknown.
func (f *fit) add(tokens int, seconds, pace float64) {
	const decay = 1 - 1.0/fitWindow
	x := float64(tokens) / tokenUnit
	powers := [5]float64{1}
	for i := 1; i < len(powers); i++ {
		powers[i] = powers[i-1] * x
	}
	factors := [3]float64{1, pace, pace}
	for i := range f.x {
		for j := range f.x[i] {
			f.x[i][j] = decay*f.x[i][j] + powers[i+j]*factors[i]*factors[j]
		}
		f.y[i] = decay*f.y[i] + powers[i]*factors[i]*seconds
	}
	f.level.add(seconds, f.fitted.Base+pace*f.fitted.PrefillTime(tokens), levelWindow)
}

// expect returns the time to the first event at an engine of the average recent speed, in seconds; 0
// if too few responses are known.
func (f *fit) expect(tokens int) float64 {
	if f.level.count < minLevelSamples {
		return 0
	}
	return f.fitted.FirstEvent(tokens) * f.level.mean()
}

// curve returns the best fit without negative coefficients, so that a longer prompt never takes
// less time.
func (f *fit) curve() Curve {
	f.fitted = f.best()
	return f.fitted
}

func (f *fit) best() Curve {
	best, bestGain := defaultCurve, math.Inf(-1)
	for _, powers := range [][]int{{0, 1, 2}, {0, 1}, {0, 2}, {0}} {
		coefficients, gain, ok := f.solve(powers)
		if ok && gain > bestGain {
			best, bestGain = Curve{Base: coefficients[0], Linear: coefficients[1], Square: coefficients[2]}, gain
		}
	}
	return best
}

// solve fits a polynomial with the given powers of x. gain is the reduction of the sum of squares;
// ok is false if a coefficient would be negative or can't be determined.
func (f *fit) solve(powers []int) (coefficients [3]float64, gain float64, ok bool) {
	n := len(powers)
	rows := make([][]float64, n)
	for i, p := range powers {
		for _, q := range powers {
			rows[i] = append(rows[i], f.x[p][q])
		}
		rows[i] = append(rows[i], f.y[p])
	}
	if !eliminate(rows) {
		return coefficients, 0, false
	}
	for i, p := range powers {
		coefficients[p] = rows[i][n]
		if coefficients[p] < 0 {
			return coefficients, 0, false
		}
		gain += coefficients[p] * f.y[p]
	}
	return coefficients, gain, true
}

// minRelativePivot is the smallest pivot, relative to the row's diagonal element, for which a
// coefficient can be determined.
const minRelativePivot = 1e-9

// eliminate solves linear equations in place by Gaussian elimination. Each row is an equation with
// its right-hand side last.
func eliminate(rows [][]float64) bool {
	for i, row := range rows {
		size := row[i]
		for k := range i {
			factor := row[k]
			for col := range row {
				row[col] -= factor * rows[k][col]
			}
		}
		pivot := row[i]
		if pivot <= minRelativePivot*size {
			return false
		}
		for col := range row {
			row[col] /= pivot
		}
	}
	for i := len(rows) - 1; i >= 0; i-- {
		for k := range i {
			factor := rows[k][i]
			for col := range rows[k] {
				rows[k][col] -= factor * rows[i][col]
			}
		}
	}
	return true
}
