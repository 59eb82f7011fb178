package routing

import (
	"slices"
	"time"
)

// Median returns the lower median; zero for an empty list. It sorts the list in
// place.
func Median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)-1)/2]
}
