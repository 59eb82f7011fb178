package suspect

import "sort"

// Quarantine returns a function that reports on which targets a process may run a suspected
// request. rank is the position of the process among size processes. Each target is assigned
// to one process, so that suspects of two entry VMs don't run on the same target, where a
// crash would incriminate both. If there are fewer targets than processes, several processes
// share one. Targets that aren't among the addresses are assigned to none. size includes the
// calling process, so it isn't 0.
func Quarantine(addresses []string, rank, size int) func(address string) bool {
	sorted := append([]string(nil), addresses...)
	sort.Strings(sorted)
	return func(address string) bool {
		at := sort.SearchStrings(sorted, address)
		if at == len(sorted) || sorted[at] != address {
			return false
		}
		if len(sorted) >= size {
			return at%size == rank
		}
		return at == rank%len(sorted)
	}
}
