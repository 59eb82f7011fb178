package order

import "slices"

// Candidate is an engine with its next order.
type Candidate struct {
	Address   string
	NextOrder Order
	// Busy says that an earlier order to it is still on its way.
	Busy bool
}

// Choose picks the engines to order now. The weight store is rate-limited, so
// at most loadsAtOnce engines fetch weights at a time: a dozen that fetch
// together would all take as long as the last one, and none would serve the
// new version until then. Orders that fetch nothing go out at once.
func Choose(all []Candidate, loadsAtOnce int) []Candidate {
	free := loadsAtOnce
	for _, c := range all {
		if c.Busy {
			free--
		}
	}
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, byAddress)
	var chosen []Candidate
	for _, c := range sorted {
		switch {
		case c.Busy || c.NextOrder.IsEmpty():
		case !c.NextOrder.LoadsWeights():
			chosen = append(chosen, c)
		case free > 0:
			free--
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func byAddress(a, b Candidate) int {
	if a.Address < b.Address {
		return -1
	}
	if a.Address > b.Address {
		return 1
	}
	return 0
}
