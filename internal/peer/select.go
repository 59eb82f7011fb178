package peer

// SelectByCPU returns the members whose VM has at least half of the CPU of the largest. A VM
// with a fifth of a core is throttled for most of each 100 ms when it has much to do, and
// delays what others request from it.
func SelectByCPU(members []Member) []Incarnation {
	largest := 0
	for _, m := range members {
		largest = max(largest, m.CPUPercent)
	}
	var list []Incarnation
	for _, m := range members {
		// A peer may send any number. Doubling a large one would overflow, and a negative
		// one could exclude every member; at least one has to be selected.
		if power := max(m.CPUPercent, 0); power >= largest-power {
			list = append(list, m.Incarnation)
		}
	}
	return list
}
