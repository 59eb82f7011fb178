package status

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/query/leases"
)

// Sources is the input of Merge.
type Sources struct {
	// Reports of the entry processes, including that of the process itself.
	Reports []Report
	// Listed is the VM list; it shows which VMs sent no report.
	Listed []backing.VM
	// Stops are the planned stops, in force or only announced.
	Stops []config.Stop
	// Leases are the leases of the pools. LeasesErr is set if they could not be read.
	Leases    []leases.Holder
	LeasesErr error
}

// Merge builds the status of the whole system.
func Merge(s Sources) Status {
	status := Status{
		VMs:      mergeVMs(s),
		Stops:    mergeStops(s),
		OutOfUse: mergeOutOfUse(s.Reports),
		AtLimit:  mergeAtLimit(s.Reports),
		Leases:   nonNil(s.Leases),
		Stores:   mergeStores(s.Reports),
		Suspects: mergeSuspects(s.Reports),
	}
	for _, r := range s.Reports {
		status.Revision = max(status.Revision, r.Revision)
	}
	if s.LeasesErr != nil {
		status.LeasesErr = s.LeasesErr.Error()
	}
	return status
}

func mergeVMs(s Sources) []VM {
	all := []VM{}
	reported := map[string]bool{}
	for _, r := range s.Reports {
		reported[r.CallerAddress] = true
		all = append(all, VM{
			Incarnation: r.Incarnation, CallerAddress: r.CallerAddress, Zone: r.Zone,
			Revision: r.Revision, Leaving: r.Leaving, InFlight: r.InFlight,
		})
	}
	for _, vm := range s.Listed {
		if vm.Role == backing.RoleEntry && !reported[vm.Address] {
			all = append(all, VM{CallerAddress: vm.Address, Zone: vm.Zone, Leaving: vm.State == backing.VMLeaving})
		}
	}
	slices.SortFunc(all, func(a, b VM) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.CallerAddress, b.CallerAddress))
	})
	return all
}

func mergeStops(s Sources) []Stop {
	all := []Stop{}
	for _, planned := range s.Stops {
		stop := Stop{Stop: planned}
		if planned.Subject == config.StopVM {
			stop.addVMReports(s.Reports)
		} else {
			stop.addTargetReports(s.Reports)
		}
		all = append(all, stop)
	}
	slices.SortFunc(all, func(a, b Stop) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (s *Stop) addVMReports(reports []Report) {
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

// addTargetReports adds the progress of the stop of a target. An entry process that
// does not know the target counts as sending it nothing.
func (s *Stop) addTargetReports(reports []Report) {
	for _, r := range reports {
		s.Reports++
		i := slices.IndexFunc(r.Targets, func(t TargetReport) bool { return t.Address == s.Address })
		if i < 0 {
			s.Applied++
			continue
		}
		s.InFlight += r.Targets[i].InFlight
		if r.Targets[i].Leaving {
			s.Applied++
		}
	}
}

func mergeOutOfUse(reports []Report) []Target {
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

func mergeAtLimit(reports []Report) []AtLimit {
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

func mergeStores(reports []Report) []StoreHealth {
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

// mergeSuspects keeps, for each request, the report with the most crashes.
func mergeSuspects(reports []Report) []Suspect {
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

// nonNil replaces a nil slice by an empty one, which JSON encodes as [] instead of
// null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
