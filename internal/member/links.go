package member

import (
	"cmp"
	"slices"
)

// LinkCounts says how many links a process opens by itself. About as many are
// opened towards it by others.
type LinkCounts struct {
	// All is the number of others up to which a process links to all.
	All int
	// Ring is the number of links within the zone.
	Ring int
	// Across is the most links that others of one neighbouring zone or region
	// open to a process.
	Across int
}

// DefaultLinkCounts gives about 4 links in the zone, 2 to 4 to other zones of the
// region and up to 2 to other regions.
var DefaultLinkCounts = LinkCounts{All: 8, Ring: 2, Across: 2}

// Links lists the members to which this process should hold links that it
// opens itself. Members that are not dead are given as others.
//
// The graph of all links is connected by construction when all processes know
// the same members: each zone is a ring by hash, each zone has a link to the
// next zone of its region in the order of names, each region one to the next.
func Links(self Record, others []Record, bounds LinkCounts) []Record {
	if len(others) <= bounds.All {
		return others
	}
	groups := group(append(slices.Clone(others), self))
	var chosen []Record
	zone := groups.zones[self.ZoneKey()]
	chosen = append(chosen, ringLinks(zone, self, bounds.Ring)...)
	for _, next := range groups.nextZones(self) {
		chosen = append(chosen, across(zone, groups.zones[next], self, bounds.Across)...)
	}
	if next := after(groups.regionNames, self.Region); next != self.Region {
		chosen = append(chosen, across(groups.regions[self.Region], groups.regions[next], self, bounds.Across)...)
	}
	return distinct(chosen)
}

type point struct {
	hash uint64
	Record
}

type grouping struct {
	zones       map[string][]point
	regions     map[string][]point
	zoneNames   map[string][]string // of each region, sorted
	regionNames []string
}

func group(all []Record) grouping {
	g := grouping{zones: map[string][]point{}, regions: map[string][]point{}, zoneNames: map[string][]string{}}
	for _, r := range all {
		p := point{Hash(r.ID), r}
		// By the names of this region: another one's zone may have the same key.
		if !slices.Contains(g.zoneNames[r.Region], r.ZoneKey()) {
			g.zoneNames[r.Region] = append(g.zoneNames[r.Region], r.ZoneKey())
		}
		if len(g.regions[r.Region]) == 0 {
			g.regionNames = append(g.regionNames, r.Region)
		}
		g.zones[r.ZoneKey()] = append(g.zones[r.ZoneKey()], p)
		g.regions[r.Region] = append(g.regions[r.Region], p)
	}
	for _, points := range g.zones {
		sortRing(points)
	}
	for _, points := range g.regions {
		sortRing(points)
	}
	for _, names := range g.zoneNames {
		slices.Sort(names)
	}
	slices.Sort(g.regionNames)
	return g
}

func sortRing(points []point) {
	slices.SortFunc(points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
}

// nextZones are the one or two zones that follow in the region's order.
func (g grouping) nextZones(self Record) []string {
	names := g.zoneNames[self.Region]
	first := after(names, self.ZoneKey())
	second := after(names, first)
	switch self.ZoneKey() {
	case first:
		return nil
	case second:
		return []string{first}
	default:
		return []string{first, second}
	}
}

// after is the name that follows in a sorted circle of names.
func after(names []string, name string) string {
	at, _ := slices.BinarySearch(names, name)
	return names[(at+1)%len(names)]
}

// ringLinks are the follower in a ring and chords to n-1 other points of it.
// The follower makes the ring connected, the chords make it short: with
// followers alone news would take tens of hops around a big zone.
func ringLinks(ring []point, self Record, n int) []Record {
	if len(ring) == 1 {
		return nil
	}
	own := Hash(self.ID)
	at := follower(ring, own)
	chosen := []Record{ring[(at+1)%len(ring)].Record}
	for chord := 1; chord < n; chord++ {
		target := ring[follower(ring, MixBits(own+uint64(chord)))]
		if target.ID != self.ID {
			chosen = append(chosen, target.Record)
		}
	}
	return chosen
}

// follower is the index of the first point at or behind hash.
func follower(ring []point, hash uint64) int {
	at, _ := slices.BinarySearchFunc(ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	return at % len(ring)
}

// across links self to its follower in another ring, if self is one of the
// few nearest before it. Without that bound all of a big zone would link to
// the one member of a small zone.
func across(own, other []point, self Record, most int) []Record {
	target := other[follower(other, Hash(self.ID))]
	at := follower(own, target.hash)
	for back := 1; back <= min(most, len(own)); back++ {
		if own[(at-back+len(own))%len(own)].ID == self.ID {
			return []Record{target.Record}
		}
	}
	return nil
}

func distinct(records []Record) []Record {
	seen := map[string]bool{}
	return slices.DeleteFunc(records, func(r Record) bool {
		was := seen[r.ID]
		seen[r.ID] = true
		return was
	})
}
