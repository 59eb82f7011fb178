package gather

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// layout is what shards and their owners follow from.
type layout struct {
	view    *peer.View
	plan    *plan.Plan
	targets uint64 // generation of the table
	leaving bool
}

// owners is who gathers for which shard. All processes that know the same members,
// configuration and targets reckon it alike; nothing is agreed.
type owners struct {
	able   []peer.Incarnation
	hashes []uint64
	first  map[Shard]int // index into able
	// ranked keeps the ranking of a shard once it was asked for.
	ranked map[Shard][]peer.Incarnation
}

// assign gives each shard to the process that it ranks first of those that own
// fewer than the most that one may own.
func assign(shards []Shard, able []peer.Incarnation) *owners {
	o := &owners{able: able, first: map[Shard]int{}, ranked: map[Shard][]peer.Incarnation{}}
	for _, id := range able {
		o.hashes = append(o.hashes, member.Hash(string(id)))
	}
	load := newLoads(len(able), len(shards))
	for _, shard := range shards {
		o.first[shard] = load.take(shard.hash(), o.hashes)
	}
	return o
}

// of ranks the processes that may gather for a shard, its owner first.
func (o *owners) of(shard Shard) []peer.Incarnation {
	if list := o.ranked[shard]; list != nil {
		return list
	}
	list := o.rank(shard)
	o.ranked[shard] = list
	return list
}

func (o *owners) rank(shard Shard) []peer.Incarnation {
	hash := shard.hash()
	order := make([]int, len(o.able))
	for i := range order {
		order[i] = i
	}
	first, known := o.first[shard]
	slices.SortFunc(order, func(a, b int) int {
		if known && (a == first) != (b == first) {
			if a == first {
				return -1
			}
			return 1
		}
		return cmp.Compare(member.RendezvousScore(hash, o.hashes[b]), member.RendezvousScore(hash, o.hashes[a]))
	})
	list := make([]peer.Incarnation, len(order))
	for i, at := range order {
		list[i] = o.able[at]
	}
	return list
}

// gatherers ranks the processes that may gather for a shard, best first; there is
// always one. The list is shared and must not be changed.
func (r *Requester) gatherers(shard Shard) []peer.Incarnation {
	view := r.network.View()
	if r.leaveOut.Has(leaveout.Sharing) {
		return []peer.Incarnation{view.Self.Incarnation}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := layout{view: view, plan: r.own.plans.Current(), targets: r.table.Generation(), leaving: r.leaving}
	return r.answering(r.owners.Get(now, r.assign).of(shard))
}

// assign works out who owns which shard. The caller holds mu.
func (r *Requester) assign(l layout) *owners {
	return assign(r.stageShards(l.plan), r.able(l))
}

// stageShards lists the shards of all services that stages use.
func (r *Requester) stageShards(p *plan.Plan) []Shard {
	var list []Shard
	if p == nil {
		return nil
	}
	for _, service := range p.Services {
		if service.Batch != nil {
			list = append(list, r.shardingOf(service.Name).shards...)
		}
	}
	slices.SortFunc(list, compareShards)
	return list
}

// able lists the processes that may gather. There is always one.
func (r *Requester) able(l layout) []peer.Incarnation {
	able := make([]peer.Member, 0, 1+len(l.view.Members))
	for _, m := range l.view.Members {
		if m.State == peer.Alive {
			able = append(able, m)
		}
	}
	if !l.leaving || len(able) == 0 {
		able = append(able, l.view.Self)
	}
	list := peer.SelectByCPU(able)
	if r.leaveOut.Has(leaveout.StrongOnly) {
		list = incarnations(able)
	}
	slices.Sort(list)
	return list
}

// shardingOf gives the shards of a service.
func (r *Requester) shardingOf(service string) *sharding {
	return r.own.shardingOf(service)
}
