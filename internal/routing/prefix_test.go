package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine that serves eight calls at once delays a new call by an eighth of a
// call's time for each call before it. If a cached prefix were weighed as if
// the engine served one call after the other, a prefix holder would hardly ever
// be chosen.
func TestSavedPrefillIsWeighedByConcurrency(t *testing.T) {
	tests := []struct {
		name  string
		saved time.Duration
		full  float64
		ahead int
		want  int
	}{
		{"saves more than the queue costs", 40 * time.Millisecond, 8, 2, 1},
		{"queue costs more", 40 * time.Millisecond, 8, 4, 0},
		{"one call at a time", 40 * time.Millisecond, 1, 2, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			candidates := []Candidate{
				{Weight: 1, CallTime: 100 * time.Millisecond, SameZone: true, Concurrency: tc.full},
				{Weight: 1, CallTime: 100 * time.Millisecond, SameZone: true, Concurrency: tc.full, InFlight: tc.ahead, PrefillSaved: tc.saved},
			}
			got := LeastExpectedLoad{Estimate: DefaultEstimate()}.Pick(candidates, rand.New(rand.NewPCG(1, 2)))
			assert.Equal(t, got, tc.want)
		})
	}
}
