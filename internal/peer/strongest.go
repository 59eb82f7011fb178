package peer

// SelectByCPU leaves out VMs with less than half of the power of the largest. One
// with a fifth of a core stands still for most of each tenth of a second when
// it has much to do, and what others ask of it waits.
func SelectByCPU(members []Member) []Incarnation {
	most := 0
	for _, m := range members {
		most = max(most, m.Power)
	}
	var list []Incarnation
	for _, m := range members {
		// Any number may come from a peer. Twice a large one overflows, and with a
		// negative one all could be left out; somebody has to gather.
		if power := max(m.Power, 0); power >= most-power {
			list = append(list, m.Incarnation)
		}
	}
	return list
}
