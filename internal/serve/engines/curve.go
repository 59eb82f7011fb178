package engines

import "math"

// thousand is the unit in which prompts are fitted: it keeps the sums' sizes alike.
const thousand = 1000

// Curve is how long an engine takes to the first event of an answer, by the tokens
// that it has to read: a base, a part for each token, and one for each pair of tokens,
// which counts in long prompts. Seconds, by thousands of tokens.
type Curve struct {
	Base   float64 `json:"b"`
	Linear float64 `json:"l"`
	Square float64 `json:"s"`
}

// PrefillTime is how long reading alone takes, in seconds.
func (c Curve) PrefillTime(tokens int) float64 {
	x := float64(tokens) / thousand
	return c.Linear*x + c.Square*x*x
}

// FirstEvent is how long an idle engine takes to the first event, in seconds.
func (c Curve) FirstEvent(tokens int) float64 { return c.Base + c.PrefillTime(tokens) }

// usual is reckoned with until answers have been seen.
var usual = Curve{Base: 0.1, Linear: 0.01}

// usualTokens are prompts whose usual times a fit starts from.
var usualTokens = []int{0, 2000, 10_000}

// fitMemory is over about how many answers a fit goes. An engine's speed doesn't change;
// how many others run beside a prompt does.
const fitMemory = 2000

// fit learns a Curve with the least squares. Sums of powers are all that it keeps.
type fit struct {
	x [5]float64 // sums of x^0 to x^4
	y [3]float64 // sums of y*x^0 to y*x^2
}

func newFit() *fit {
	f := &fit{}
	for _, tokens := range usualTokens {
		f.add(tokens, usual.FirstEvent(tokens))
	}
	return f
}

// add takes in one answer: the tokens read and the seconds to its first event.
func (f *fit) add(tokens int, seconds float64) {
	const keep = 1 - 1.0/fitMemory
	power := 1.0
	for i := range f.x {
		f.x[i] = keep*f.x[i] + power
		if i < len(f.y) {
			f.y[i] = keep*f.y[i] + power*seconds
		}
		power *= float64(tokens) / thousand
	}
}

// curve gives the best one without negative parts: a longer prompt never takes less.
func (f *fit) curve() Curve {
	best, bestGain := usual, math.Inf(-1)
	for _, powers := range [][]int{{0, 1, 2}, {0, 1}, {0, 2}, {0}} {
		parts, gain, ok := f.solve(powers)
		if ok && gain > bestGain {
			best, bestGain = Curve{Base: parts[0], Linear: parts[1], Square: parts[2]}, gain
		}
	}
	return best
}

// solve fits some powers of x. gain is by how much that lessens the sum of squares; ok
// is false where a part would be negative, or can't be told.
func (f *fit) solve(powers []int) (parts [3]float64, gain float64, ok bool) {
	n := len(powers)
	rows := make([][]float64, n)
	for i, p := range powers {
		for _, q := range powers {
			rows[i] = append(rows[i], f.x[p+q])
		}
		rows[i] = append(rows[i], f.y[p])
	}
	if !eliminate(rows) {
		return parts, 0, false
	}
	for i, p := range powers {
		parts[p] = rows[i][n]
		if parts[p] < 0 {
			return parts, 0, false
		}
		gain += parts[p] * f.y[p]
	}
	return parts, gain, true
}

// leastPivot is the smallest pivot, beside the row's size, from which a part can be told.
const leastPivot = 1e-9

// eliminate solves linear equations, each a row with its right side last, in place.
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
		if pivot <= leastPivot*size {
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
