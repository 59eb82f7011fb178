package pool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"unique"

	"github.com/vanillagate/vanillagate/internal/routing"
)

// mostCandidates is the most targets of a service that are looked at for one choice.
// A service that has more is divided into groups of half as many and more.
const mostCandidates = 256

// service is the targets of one service. It is replaced, never changed in place.
type service struct {
	// targets are in the order of their IDs.
	targets []*Target
	ready   *ReadySet
	// groups has the targets by the last bits of their hashes, each group in an order of
	// this process's own, so that processes that choose among equals don't all choose the
	// same.
	groups [][]*Target
}

// ReadySet is the targets of a service that are ready by what the store says and not
// evacuated, in the order of their IDs. Unlike Views it leaves out what this process alone has
// seen of them, so that processes that know the same list have the same ready set.
// Ready sets are shared and never changed.
type ReadySet struct{ Targets []*Target }

// with is the service after some of its targets have changed, come or gone: find gives
// the one with an ID, nil where it has none.
func (s *service) with(touched map[string]bool, find func(id string) *Target) *service {
	ids := slices.Sorted(maps.Keys(touched))
	var fresh, ready []*Target
	for _, id := range ids {
		target := find(id)
		if target == nil {
			continue
		}
		fresh = append(fresh, target)
		if !target.GoneOrDraining() && !target.Evacuated() {
			ready = append(ready, target)
		}
	}
	targets := splice(s.targets, ids, fresh)
	return &service{
		targets: targets,
		ready:   &ReadySet{Targets: splice(s.ready.Targets, ids, ready)},
		groups:  s.regroup(targets, touched, fresh),
	}
}

// splice replaces the targets with some IDs by fresh ones. All are in the order of their
// IDs, and the IDs of the fresh ones are among those.
func splice(list []*Target, ids []string, fresh []*Target) []*Target {
	spliced := make([]*Target, 0, len(list)+len(fresh))
	for _, id := range ids {
		at, found := slices.BinarySearchFunc(list, id, func(t *Target, id string) int { return cmp.Compare(t.ID, id) })
		spliced = append(spliced, list[:at]...)
		list = list[at:]
		if found {
			list = list[1:]
		}
		if len(fresh) > 0 && fresh[0].ID == id {
			spliced = append(spliced, fresh[0])
			fresh = fresh[1:]
		}
	}
	return append(spliced, list...)
}

// PartitionCount is into how many parts of about some entries at most a list is divided by its
// entries' hashes: a power of two, so that processes whose lists differ by a few divide them
// alike, and few entries change their part when others come and go.
func PartitionCount(entries, most int) int {
	count := 1
	for entries > most*count {
		count *= 2
	}
	return count
}

// regroup gives the groups of targets, of which those with the IDs touched have changed,
// come or gone; fresh are those of them that are still there.
func (s *service) regroup(targets []*Target, touched map[string]bool, fresh []*Target) [][]*Target {
	groups := slices.Clone(s.groups)
	if count := PartitionCount(len(targets), mostCandidates); len(groups) != count {
		groups = make([][]*Target, count)
		touched, fresh = nil, targets
	}
	changed := map[uint64]bool{}
	mask := uint64(len(groups) - 1)
	for id := range touched {
		changed[routing.RendezvousScore(id)&mask] = true
	}
	for _, target := range fresh {
		changed[target.hash&mask] = true
	}
	for at := range changed {
		groups[at] = slices.DeleteFunc(slices.Clone(groups[at]), func(t *Target) bool { return touched[t.ID] })
	}
	for _, target := range fresh {
		at := target.hash & mask
		group := append(groups[at], target)
		last, other := len(group)-1, rand.IntN(len(group))
		group[last], group[other] = group[other], group[last]
		groups[at] = group
	}
	return groups
}

// group gives the group of targets for a name.
func (s *service) group(name string) []*Target {
	if len(s.groups) == 0 {
		return nil
	}
	return s.groups[routing.RendezvousScore(name)&uint64(len(s.groups)-1)]
}

// touches are the IDs of targets that have changed, by service.
type touches map[string]map[string]bool

// add notes a target; nil is none.
func (t touches) add(target *Target) {
	if target == nil {
		return
	}
	if t[target.Service] == nil {
		t[target.Service] = map[string]bool{}
	}
	t[target.Service][target.ID] = true
}

// intern has entries that were decoded apart share the names of services and zones.
func intern(e *Entry) {
	e.Service = unique.Make(e.Service).Value()
	e.Zone = unique.Make(e.Zone).Value()
}
