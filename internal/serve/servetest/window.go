package servetest

import (
	"slices"
	"time"
)

// MostWithin returns the most times that lie within a window of the given length, wherever it begins.
func MostWithin(times []time.Time, window time.Duration) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
