package peer

import "github.com/vanillagate/vanillagate/internal/member"

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
	living := t.Living()
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
