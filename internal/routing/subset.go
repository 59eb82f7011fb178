package routing

import (
	"hash/fnv"
	"sort"
)

// SubsetSize is how many targets of one pool an entry VM works with at most. At
// 640 nodes and 12,000 workers, 32 gives 1.7 nodes a worker: below that some
// workers would be left with one node or none.
const SubsetSize = 32

// Member is a target that Subset may choose.
type Member struct {
	Address  string
	SameZone bool
}

// Subset chooses which targets of a pool the node works with: all where they
// are few, else the zone's first, by rendezvous hashing of node and address.
// Every node draws by its own order, so subsets overlap, and when a target
// comes or goes only the nodes that drew it change theirs.
func Subset(node string, members []Member, size int) []Member {
	if len(members) <= size {
		return members
	}
	ranked := make([]rankedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, rankedMember{member: m, score: RendezvousScore(node, m.Address)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].before(ranked[j]) })
	chosen := make([]Member, 0, size)
	// A quarter is drawn from everywhere, so that a cut zone isn't the end.
	own := size - size/4
	for _, r := range ranked {
		if r.member.SameZone && len(chosen) < own {
			chosen = append(chosen, r.member)
		}
	}
	return fillUp(chosen, ranked, size)
}

type rankedMember struct {
	member Member
	score  uint64
}

func (r rankedMember) before(other rankedMember) bool {
	if r.score != other.score {
		return r.score > other.score
	}
	return r.member.Address < other.member.Address
}

func fillUp(chosen []Member, ranked []rankedMember, size int) []Member {
	taken := make(map[string]bool, len(chosen))
	for _, m := range chosen {
		taken[m.Address] = true
	}
	for _, r := range ranked {
		if len(chosen) == size {
			break
		}
		if !taken[r.member.Address] {
			chosen = append(chosen, r.member)
		}
	}
	return chosen
}

// Rendezvous ranks the last of some names for the others: of several candidates
// all processes that compare these figures choose the same, without exchange, and
// most choices stay as they are when candidates come and go.
func RendezvousScore(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(name)) // a hash.Hash never fails
	}
	return mix(h.Sum64())
}

// mix spreads FNV's weak high bits, by which Subset sorts.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
