package pool

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"unique"

	"github.com/vanillagate/vanillagate/internal/routing"
)

// maxCandidates is the largest number of a service's targets that are examined for one request. The
// targets of a larger service are divided by hash into groups of about half that size or more.
const maxCandidates = 256

// service holds the targets of one service. It is immutable: a change replaces it.
type service struct {
	// targets are sorted by ID.
	targets []*Target
	ready   *ReadySet
	// groups holds the targets by the low bits of their ID hashes. The order within a group is
	// random in each process, so that processes that choose among equal targets don't all choose
	// the same one.
	groups [][]*Target
}

// ReadySet holds the targets of a service that are ready according to the store and not evacuated,
// sorted by ID. Unlike Views it doesn't depend on what this process alone has observed, so
// processes that know the same list have the same ready set. Ready sets are shared and immutable.
type ReadySet struct{ Targets []*Target }

// withChanges returns the service after the targets with the given IDs were added, changed or
// removed. find returns the current target with an ID, nil if there is none.
func (s *service) withChanges(touched map[string]bool, find func(id string) *Target) *service {
	ids := slices.Sorted(maps.Keys(touched))
	var updated, ready []*Target
	for _, id := range ids {
		target := find(id)
		if target == nil {
			continue
		}
		updated = append(updated, target)
		if !target.GoneOrDraining() && !target.Evacuated() {
			ready = append(ready, target)
		}
	}
	targets := replaceByID(s.targets, ids, updated)
	return &service{
		targets: targets,
		ready:   &ReadySet{Targets: replaceByID(s.ready.Targets, ids, ready)},
		groups:  s.updateGroups(targets, touched, updated),
	}
}

// replaceByID replaces the targets with the given IDs by the updated ones. All slices are sorted by
// ID, and the IDs of the updated targets are among ids.
func replaceByID(list []*Target, ids []string, updated []*Target) []*Target {
	result := make([]*Target, 0, len(list)+len(updated))
	for _, id := range ids {
		at, found := slices.BinarySearchFunc(list, id, func(t *Target, id string) int { return cmp.Compare(t.ID, id) })
		result = append(result, list[:at]...)
		list = list[at:]
		if found {
			list = list[1:]
		}
		if len(updated) > 0 && updated[0].ID == id {
			result = append(result, updated[0])
			updated = updated[1:]
		}
	}
	return append(result, list...)
}

// PartitionCount returns the number of parts into which a list is divided by its entries' hashes,
// so that a part has about maxSize entries at most. It is a power of two, so that processes whose
// lists differ by a few entries divide them alike, and few entries move to another part when others
// are added or removed.
func PartitionCount(entries, maxSize int) int {
	count := 1
	for entries > maxSize*count {
		count *= 2
	}
	return count
}

// updateGroups returns the groups of targets after the targets with the IDs in touched were added,
// changed or removed. updated holds those of them that are still in the list.
func (s *service) updateGroups(targets []*Target, touched map[string]bool, updated []*Target) [][]*Target {
	groups := slices.Clone(s.groups)
	if count := PartitionCount(len(targets), maxCandidates); len(groups) != count {
		groups = make([][]*Target, count)
		touched, updated = nil, targets
	}
	changed := map[uint64]bool{}
	mask := uint64(len(groups) - 1)
	for id := range touched {
		changed[routing.RendezvousScore(id)&mask] = true
	}
	for _, target := range updated {
		changed[target.hash&mask] = true
	}
	for at := range changed {
		groups[at] = slices.DeleteFunc(slices.Clone(groups[at]), func(t *Target) bool { return touched[t.ID] })
	}
	for _, target := range updated {
		at := target.hash & mask
		group := append(groups[at], target)
		last, other := len(group)-1, rand.IntN(len(group))
		group[last], group[other] = group[other], group[last]
		groups[at] = group
	}
	return groups
}

// group returns the group of targets that a name hashes to.
func (s *service) group(name string) []*Target {
	if len(s.groups) == 0 {
		return nil
	}
	return s.groups[routing.RendezvousScore(name)&uint64(len(s.groups)-1)]
}

// changedIDs collects the IDs of changed targets by service.
type changedIDs map[string]map[string]bool

// add adds a target; nil is ignored.
func (t changedIDs) add(target *Target) {
	if target == nil {
		return
	}
	if t[target.Service] == nil {
		t[target.Service] = map[string]bool{}
	}
	t[target.Service][target.ID] = true
}

// intern makes separately decoded entries share the strings of services, zones and versions, which
// saves memory in large lists.
func intern(e *Entry) {
	e.Service = unique.Make(e.Service).Value()
	e.Zone = unique.Make(e.Zone).Value()
	e.Version = unique.Make(e.Version).Value()
}
