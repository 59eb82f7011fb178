package member

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newPopulation(regions, zones, perZone int) []Record {
	var all []Record
	for i := range regions * zones * perZone {
		r := record(fmt.Sprint("m", i), 1)
		r.Region = fmt.Sprint("r", i%regions)
		r.Zone = fmt.Sprint("z", i/regions%zones)
		all = append(all, r)
	}
	return all
}

func without(all []Record, one Record) []Record {
	return slices.DeleteFunc(slices.Clone(all), func(r Record) bool { return r.ID == one.ID })
}

// linkGraph returns the links of each member, including those that others opened.
func linkGraph(all []Record, counts LinkCounts) map[string]map[string]bool {
	links := map[string]map[string]bool{}
	for _, r := range all {
		links[r.ID] = map[string]bool{}
	}
	for _, r := range all {
		for _, to := range Links(r, without(all, r), counts) {
			links[r.ID][to.ID] = true
			links[to.ID][r.ID] = true
		}
	}
	return links
}

// maxHops returns the largest distance between the first member and any other; -1 if one can't
// be reached.
func maxHops(all []Record, links map[string]map[string]bool) int {
	far := map[string]int{all[0].ID: 0}
	queue := []string{all[0].ID}
	last := 0
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		last = far[id]
		for to := range links[id] {
			if _, seen := far[to]; !seen {
				far[to] = far[id] + 1
				queue = append(queue, to)
			}
		}
	}
	if len(far) < len(all) {
		return -1
	}
	return last
}

func TestLinksConnectAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Record
		for i := range rapid.IntRange(1, 80).Draw(t, "members") {
			r := record(fmt.Sprint("m", i, "-", rapid.Uint32().Draw(t, "salt")), 1)
			r.Region = fmt.Sprint("r", rapid.IntRange(0, 3).Draw(t, "region"))
			r.Zone = fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))
			all = append(all, r)
		}
		counts := LinkCounts{FullMeshSize: rapid.IntRange(0, 8).Draw(t, "full mesh size"), InZone: rapid.IntRange(1, 3).Draw(t, "in zone"), MaxFromNeighbor: rapid.IntRange(1, 2).Draw(t, "max from neighbor")}
		assert.Assert(t, maxHops(all, linkGraph(all, counts)) >= 0, "not connected")
	})
}

func TestLinkCountAndPathLength(t *testing.T) {
	cases := []struct {
		regions, zones, perZone int
		mostMean                float64
		mostHops                int
	}{
		{1, 3, 3, 8, 1},
		{3, 3, 10, 11, 6},
		{3, 3, 71, 11, 9},
	}
	for _, c := range cases {
		all := newPopulation(c.regions, c.zones, c.perZone)
		links := linkGraph(all, DefaultLinkCounts)
		sum := 0
		for _, of := range links {
			sum += len(of)
			assert.Assert(t, len(of) <= 24, "%d links", len(of))
		}
		mean := float64(sum) / float64(len(all))
		far := maxHops(all, links)
		t.Logf("%d members: %.1f links each, %d hops", len(all), mean, far)
		assert.Assert(t, mean <= c.mostMean, "%f", mean)
		assert.Assert(t, far <= c.mostHops, "%d hops", far)
	}
}

func TestSmallZoneGetsFewLinks(t *testing.T) {
	all := newPopulation(1, 1, 100)
	lone := record("lone", 1)
	lone.Region, lone.Zone = "r0", "other"
	links := linkGraph(append(all, lone), DefaultLinkCounts)
	assert.Assert(t, len(links["lone"]) >= 1 && len(links["lone"]) <= 6, "%d", len(links["lone"]))
}

// Names of regions and zones may contain slashes, so different pairs can have the same zone
// key. Every process plans its links by these keys and must not fail on such names.
func TestZonesWithEqualKeysInTwoRegions(t *testing.T) {
	self := record("self", 1)
	self.Region, self.Zone = "a", "b/c"
	var others []Record
	for i := range DefaultLinkCounts.FullMeshSize + 1 {
		other := record(fmt.Sprintf("other-%d", i), 1)
		other.Region, other.Zone = "a/b", "c"
		others = append(others, other)
	}
	assert.Assert(t, len(Links(self, others, DefaultLinkCounts)) > 0)
	assert.Assert(t, len(Links(others[0], append(others[1:], self), DefaultLinkCounts)) > 0)
}
