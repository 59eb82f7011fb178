package peer

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/member"
)

// View is what a process knows of the members at one moment. Views are shared and
// immutable.
type View struct {
	// Self is this process.
	Self Member
	// Members are the other processes that aren't dead, in no particular order.
	Members []Member
}

// View implements Network.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || n.viewVersion != n.table.Version() {
		n.view = viewOf(n.table)
		n.viewVersion = n.table.Version()
	}
	return n.view
}

func viewOf(t *member.Table) *View {
	living := t.LiveMembers()
	v := &View{Self: toMember(t.Self()), Members: make([]Member, 0, len(living))}
	for _, r := range living {
		v.Members = append(v.Members, toMember(r))
	}
	return v
}

// Alive returns the processes that are alive, including this one.
func (v *View) Alive() []Member {
	alive := make([]Member, 0, 1+len(v.Members))
	if v.Self.State == Alive {
		alive = append(alive, v.Self)
	}
	for _, m := range v.Members {
		if m.State == Alive {
			alive = append(alive, m)
		}
	}
	return alive
}

// HighestRanked returns the n living processes with the highest rank, highest first; fewer
// if there are fewer. All processes with the same members and the same ranking function
// get the same result.
func (v *View) HighestRanked(n int, rank func(Incarnation) uint64) []Incarnation {
	type ranked struct {
		id   Incarnation
		rank uint64
	}
	alive := v.Alive()
	ranks := make([]ranked, 0, len(alive))
	for _, m := range alive {
		ranks = append(ranks, ranked{m.Incarnation, rank(m.Incarnation)})
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	first := make([]Incarnation, 0, n)
	for _, r := range ranks[:min(n, len(ranks))] {
		first = append(first, r.id)
	}
	return first
}
