package peer

import (
	"github.com/vanillagate/vanillagate/internal/derived"
	"github.com/vanillagate/vanillagate/internal/member"
)

// Owners chooses the process that keeps the soft state of a key: the first by rendezvous hash among the
// VMs with the most CPU. Processes that see the same members choose the same one without communication.
// The zero value is ready to use. It is safe for concurrent use.
type Owners struct {
	eligible derived.Value[*View, []hashedMember]
}

type hashedMember struct {
	id   Incarnation
	hash uint64
}

// Of returns the owner of a key among the members of a view; empty if there is none.
func (o *Owners) Of(v *View, key string) Incarnation {
	var first Incarnation
	best := uint64(0)
	at := member.Hash(key)
	for _, m := range o.eligible.Get(v, eligibleOwners) {
		if rank := member.RendezvousScore(at, m.hash); first == "" || rank > best {
			first, best = m.id, rank
		}
	}
	return first
}

func eligibleOwners(v *View) []hashedMember {
	var list []hashedMember
	for _, id := range SelectByCPU(v.Alive()) {
		list = append(list, hashedMember{id: id, hash: member.Hash(string(id))})
	}
	return list
}
