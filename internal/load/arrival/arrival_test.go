package arrival

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSameSeedGivesSameTimes(t *testing.T) {
	p := Steady{PerSecond: 100}
	first := SampleTimes(p, 10*time.Second, 7)
	assert.DeepEqual(t, first, SampleTimes(p, 10*time.Second, 7))
	assert.Assert(t, !slices.Equal(first, SampleTimes(p, 10*time.Second, 8)))
	assert.Assert(t, slices.IsSorted(first))
	assert.Equal(t, len(SampleTimes(Steady{}, time.Second, 1)), 0)
}

// countBetween counts the times from from (inclusive) to to (exclusive).
func countBetween(times []time.Duration, from, to time.Duration) float64 {
	count := 0
	for _, at := range times {
		if at >= from && at < to {
			count++
		}
	}
	return float64(count)
}

func TestArrivalCountsMatchPattern(t *testing.T) {
	cases := []struct {
		name     string
		pattern  Pattern
		from, to time.Duration
		want     float64
	}{
		{"steady", Steady{PerSecond: 200}, 0, 20 * time.Second, 4000},
		{"before the first burst", Bursts{Base: 100, Peak: 1000, FirstStart: 5 * time.Second, Period: 10 * time.Second, Duration: time.Second}, 0, 5 * time.Second, 500},
		{"in a burst", Bursts{Base: 100, Peak: 1000, FirstStart: 5 * time.Second, Period: 10 * time.Second, Duration: time.Second}, 15 * time.Second, 16 * time.Second, 1000},
		{"after a burst", Bursts{Base: 100, Peak: 1000, FirstStart: 5 * time.Second, Period: 10 * time.Second, Duration: time.Second}, 6 * time.Second, 15 * time.Second, 900},
		{"one burst only", Bursts{Base: 100, Peak: 1000, FirstStart: 5 * time.Second, Duration: time.Second}, 6 * time.Second, 20 * time.Second, 1400},
		{"whole day", Daily{Mean: 100, Amplitude: 0.9, Period: 20 * time.Second}, 0, 20 * time.Second, 2000},
		{"night", Daily{Mean: 1000, Amplitude: 1, Period: 20 * time.Second}, 0, time.Second, 16.4},
		{"noon", Daily{Mean: 100, Amplitude: 1, Period: 20 * time.Second}, 9500 * time.Millisecond, 10500 * time.Millisecond, 199},
	}
	for _, c := range cases {
		got := countBetween(SampleTimes(c.pattern, 20*time.Second, 3), c.from, c.to)
		assert.Assert(t, math.Abs(got-c.want) < 4*math.Sqrt(c.want)+1, "%s: %v, want about %v", c.name, got, c.want)
	}
}

func TestRateNeverExceedsMaxRate(t *testing.T) {
	patterns := []Pattern{
		Steady{PerSecond: 3},
		Bursts{Base: 10, Peak: 2, Period: time.Second, Duration: time.Second / 2},
		Daily{Mean: 5, Amplitude: 0.5, Period: time.Second},
	}
	for _, p := range patterns {
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			assert.Assert(t, p.Rate(at) <= p.MaxRate() && p.Rate(at) >= 0)
		}
	}
}
