package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPackingFillsTargetsUpToDegree(t *testing.T) {
	at := func(inFlight int) Candidate {
		return Candidate{InFlight: inFlight, Weight: 1, CallTime: 100 * time.Millisecond}
	}
	tests := []struct {
		name       string
		packing    Packing
		candidates []Candidate
		want       int
	}{
		{"the fullest", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(0), at(5), at(3)}, 1},
		{"not a full one", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(0), at(8), at(3)}, 2},
		{"half degree", Packing{Degree: 0.5, Concurrency: 9}, []Candidate{at(0), at(5), at(4)}, 2},
		{"all as full as allowed", Packing{Degree: 0.5, Concurrency: 9}, []Candidate{at(5), at(5)}, -1},
		{"the first of equals", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(2), at(2)}, 0},
		{"reported load counts", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(2), {InFlight: 1, ReportedLoad: 4, Weight: 1}}, 1},
		{"an old report doesn't count", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(2), {InFlight: 1, ReportedLoad: 4, ReportAge: time.Minute, Weight: 1}}, 0},
		{"too slow for the deadline", Packing{Degree: 1, Concurrency: 8, MaxCallTime: 50 * time.Millisecond}, []Candidate{at(2), {Weight: 1, CallTime: time.Millisecond}}, 1},
		{"not one that returns after an ejection", Packing{Degree: 1, Concurrency: 8}, []Candidate{at(1), {InFlight: 3, Weight: 0.2}}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.packing.Pick(tc.candidates), tc.want) })
	}
}
