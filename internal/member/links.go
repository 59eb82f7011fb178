package member

import (
	"cmp"
	"slices"
)

// LinkCounts configures how many links a process opens. The others open about as many to it.
type LinkCounts struct {
	// FullMeshSize is the largest number of other members at which a process links to every
	// one of them.
	FullMeshSize int
	// InZone is the number of links that a process of a larger system opens within its zone.
	InZone int
	// MaxFromNeighbor limits the links that the processes of one zone or region open to the
	// same process of a neighbouring one.
	MaxFromNeighbor int
}

// DefaultLinkCounts results in about 4 links per process within the zone, 2 to 4 to other
// zones of the region and up to 2 to other regions.
var DefaultLinkCounts = LinkCounts{FullMeshSize: 8, InZone: 2, MaxFromNeighbor: 2}

// Links lists the members to which this process should open links. others are the other
// members that aren't dead.
//
// The graph of all links is connected as long as all processes know the same members: each
// zone is a ring ordered by hash, each zone has a link to the next zone of its region in the
// order of names, and each region has a link to the next region.
func Links(self Record, others []Record, counts LinkCounts) []Record {
	if len(others) <= counts.FullMeshSize {
		return others
	}
	groups := groupMembers(append(slices.Clone(others), self))
	var chosen []Record
	zone := groups.zones[self.ZoneKey()]
	chosen = append(chosen, ringLinks(zone, self, counts.InZone)...)
	for _, next := range groups.nextZones(self) {
		chosen = append(chosen, crossLink(zone, groups.zones[next], self, counts.MaxFromNeighbor)...)
	}
	if next := nextName(groups.regionNames, self.Region); next != self.Region {
		chosen = append(chosen, crossLink(groups.regions[self.Region], groups.regions[next], self, counts.MaxFromNeighbor)...)
	}
	return deduplicate(chosen)
}

// ringPoint is a member at its position on a hash ring.
type ringPoint struct {
	hash uint64
	Record
}

// grouping holds all members by zone and by region, each group as a ring.
type grouping struct {
	zones       map[string][]ringPoint
	regions     map[string][]ringPoint
	zoneNames   map[string][]string // by region, sorted
	regionNames []string
}

func groupMembers(all []Record) grouping {
	g := grouping{zones: map[string][]ringPoint{}, regions: map[string][]ringPoint{}, zoneNames: map[string][]string{}}
	for _, r := range all {
		p := ringPoint{Hash(r.ID), r}
		// The names are kept per region, because a zone of another region may have the same
		// key.
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

func sortRing(points []ringPoint) {
	slices.SortFunc(points, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
}

// nextZones returns the one or two zones that follow the zone of self in its region.
func (g grouping) nextZones(self Record) []string {
	names := g.zoneNames[self.Region]
	first := nextName(names, self.ZoneKey())
	second := nextName(names, first)
	switch self.ZoneKey() {
	case first:
		return nil
	case second:
		return []string{first}
	default:
		return []string{first, second}
	}
}

// nextName returns the name that follows in a sorted list; the first follows the last.
func nextName(names []string, name string) string {
	at, _ := slices.BinarySearch(names, name)
	return names[(at+1)%len(names)]
}

// ringLinks returns the successor of self in the ring and chords to n-1 other points. The
// successors connect the ring and the chords shorten it: with successors alone, gossip would
// take tens of hops around a large zone.
func ringLinks(ring []ringPoint, self Record, n int) []Record {
	if len(ring) == 1 {
		return nil
	}
	own := Hash(self.ID)
	at := successorIndex(ring, own)
	chosen := []Record{ring[(at+1)%len(ring)].Record}
	for chord := 1; chord < n; chord++ {
		target := ring[successorIndex(ring, MixBits(own+uint64(chord)))]
		if target.ID != self.ID {
			chosen = append(chosen, target.Record)
		}
	}
	return chosen
}

// successorIndex returns the index of the first point at or after hash.
func successorIndex(ring []ringPoint, hash uint64) int {
	at, _ := slices.BinarySearchFunc(ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	return at % len(ring)
}

// crossLink links self to its successor in another ring if self is one of the few points
// nearest before it. Without that limit, all members of a large zone would link to the one
// member of a small zone.
func crossLink(own, other []ringPoint, self Record, limit int) []Record {
	target := other[successorIndex(other, Hash(self.ID))]
	at := successorIndex(own, target.hash)
	for back := 1; back <= min(limit, len(own)); back++ {
		if own[(at-back+len(own))%len(own)].ID == self.ID {
			return []Record{target.Record}
		}
	}
	return nil
}

func deduplicate(records []Record) []Record {
	seen := map[string]bool{}
	return slices.DeleteFunc(records, func(r Record) bool {
		duplicate := seen[r.ID]
		seen[r.ID] = true
		return duplicate
	})
}
