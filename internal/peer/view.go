package peer

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/member"
)

// View is what a process knows of its peers at one moment. Views are shared
// and never changed.
type View struct {
	// Self is this process.
	Self Member
	// Members are the other processes that are not dead, in no order.
	Members []Member
}

// View is part of Network.
func (n *Node) View() *View {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.view == nil || n.viewed != n.table.Version() {
		n.view = viewOf(n.table)
		n.viewed = n.table.Version()
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

// Alive lists the processes that are alive, this one included.
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

// HighestRanked lists the n processes that are alive and rank highest, best first; fewer where
// there are fewer. All processes that know the same members and rank alike choose the
// same.
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
