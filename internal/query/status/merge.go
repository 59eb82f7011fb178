package status

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/leases"
)

// Sources are what a Status is put together from.
type Sources struct {
	// Reports of the entry processes, the asked one's own among them.
	Reports []Report
	// Listed are the VMs of the VM list, to tell which gave no report.
	Listed []backing.VM
	// Stops are the planned stops, in force or only announced.
	Stops []config.Stop
	// Leases as read, and the error if they could not be.
	Leases    []leases.Holder
	LeasesErr error
}

// Merge puts together what the whole system looks like.
func Merge(s Sources) Status {
	status := Status{
		VMs:      vms(s),
		Stops:    stops(s),
		OutOfUse: outOfUse(s.Reports),
		AtLimit:  atLimit(s.Reports),
		Leases:   orEmpty(s.Leases),
		Stores:   stores(s.Reports),
		Suspects: suspects(s.Reports),
	}
	for _, r := range s.Reports {
		status.Revision = max(status.Revision, r.Revision)
	}
	if s.LeasesErr != nil {
		status.LeasesErr = s.LeasesErr.Error()
	}
	return status
}

func vms(s Sources) []VM {
	all := []VM{}
	heard := map[string]bool{}
	for _, r := range s.Reports {
		heard[r.CallerAddress] = true
		all = append(all, VM{
			Incarnation: r.Incarnation, CallerAddress: r.CallerAddress, Zone: r.Zone,
			Revision: r.Revision, Leaving: r.Leaving, InFlight: r.InFlight,
		})
	}
	for _, vm := range s.Listed {
		if vm.Role == backing.RoleEntry && !heard[vm.Address] {
			all = append(all, VM{CallerAddress: vm.Address, Zone: vm.Zone, Leaving: vm.State == backing.VMLeaving})
		}
	}
	slices.SortFunc(all, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.CallerAddress, b.CallerAddress))
	})
	return all
}

func stops(s Sources) []Stop {
	all := []Stop{}
	for _, planned := range s.Stops {
		stop := Stop{Stop: planned}
		if planned.Subject == config.StopVM {
			stop.countVM(s.Reports)
		} else {
			stop.countTarget(s.Reports)
		}
		all = append(all, stop)
	}
	slices.SortFunc(all, func(a, b Stop) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *Stop) countVM(reports []Report) {
	for _, r := range reports {
		if r.CallerAddress != s.Address {
			continue
		}
		s.Reports++
		s.InFlight += r.InFlight
		if r.Leaving {
			s.Applied++
		}
	}
}

// countTarget takes an entry process that does not know the target as one that
// sends it nothing.
func (s *Stop) countTarget(reports []Report) {
	for _, r := range reports {
		s.Reports++
		at := slices.IndexFunc(r.Targets, func(t TargetReport) bool { return t.Address == s.Address })
		if at < 0 {
			s.Applied++
			continue
		}
		s.InFlight += r.Targets[at].InFlight
		if r.Targets[at].Leaving {
			s.Applied++
		}
	}
}

func outOfUse(reports []Report) []Target {
	found := map[Target]int{}
	for _, r := range reports {
		for _, t := range r.Targets {
			if t.OutOfUse != "" {
				found[Target{Address: t.Address, Pool: t.Pool, Zone: t.Zone, Reason: t.OutOfUse}]++
			}
		}
	}
	all := []Target{}
	for target, vms := range found {
		target.VMs = vms
		all = append(all, target)
	}
	slices.SortFunc(all, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Address, b.Address), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

func atLimit(reports []Report) []AtLimit {
	found := map[string]int{}
	for _, r := range reports {
		for _, customer := range r.AtLimit {
			found[customer]++
		}
	}
	all := []AtLimit{}
	for customer, vms := range found {
		all = append(all, AtLimit{Customer: customer, VMs: vms})
	}
	slices.SortFunc(all, func(a, b AtLimit) int { return cmp.Compare(a.Customer, b.Customer) })
	return all
}

func stores(reports []Report) []StoreHealth {
	all := []StoreHealth{}
	for _, name := range []StoreName{StoreTable, StoreObjects, StoreVMList} {
		health := StoreHealth{Name: name}
		for _, r := range reports {
			for _, store := range r.Stores {
				health.add(store)
			}
		}
		all = append(all, health)
	}
	return all
}

func (h *StoreHealth) add(s Store) {
	switch {
	case s.Name != h.Name:
	case s.Up:
		h.Up++
	default:
		h.Down++
		if h.Since.IsZero() || s.Since.Before(h.Since) {
			h.Since, h.LastError = s.Since, s.LastError
		}
	}
}

// suspects keeps the worst that any process knows of a request.
func suspects(reports []Report) []Suspect {
	worst := map[string]Suspect{}
	for _, r := range reports {
		for _, s := range r.Suspects {
			if known, found := worst[s.Fingerprint]; !found || s.Crashes > known.Crashes {
				worst[s.Fingerprint] = s
			}
		}
	}
	all := []Suspect{}
	for _, s := range worst {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// orEmpty has JSON show a list where there is none.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
