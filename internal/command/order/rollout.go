package order

import "slices"

// Candidate is an engine with its next order.
type Candidate struct {
	Address   string
	NextOrder Order
	// Busy is set while an earlier order to the engine is in flight.
	Busy bool
}

// Choose selects the engines that receive orders now. The weight store is
// rate-limited, so at most loadsAtOnce engines load weights at a time: if a
// dozen loaded together, each would take as long as the last one and none would
// serve the new version until then. Orders that load nothing are sent
// immediately.
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
