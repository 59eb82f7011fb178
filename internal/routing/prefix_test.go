package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine that serves eight calls at once delays ours by an eighth of a call
// for each that is before it. If a cached prefix were weighed as if it served
// one after the other, it would hardly ever draw a call to its engine.
func TestPrefixIsWorthAQueueThatCostsLess(t *testing.T) {
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
