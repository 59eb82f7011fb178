package routing

import (
	"hash/fnv"
	"sort"
)

// SubsetSize is the most targets of one pool that an entry VM uses. At 640
// nodes and 12,000 workers, 32 gives 1.7 nodes per worker; with a smaller
// subset some workers would be left with one node or none.
const SubsetSize = 32

// Member is a target that Subset may choose.
type Member struct {
	Address  string
	SameZone bool
}

// Subset chooses the targets of a pool that a node uses: all if there are at
// most size, else by rendezvous hashing of node and address, most of them from
// the node's own zone. Each node has its own order, so subsets overlap, and
// when a target comes or goes only the nodes that had chosen it change theirs.
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
	// A quarter is chosen regardless of zone, so that the node still has
	// targets when its own zone is cut off.
	sameZoneCount := size - size/4
	for _, r := range ranked {
		if r.member.SameZone && len(chosen) < sameZoneCount {
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

// RendezvousScore computes the rendezvous hash of the last name for the others.
// All processes that compare the scores of several candidates choose the same
// one without communication, and most choices stay when candidates come and go.
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

// mix improves FNV's weak high bits, which dominate the order in Subset.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
