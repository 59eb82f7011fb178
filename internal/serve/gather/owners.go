package gather

import (
	"cmp"
	"slices"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// assignmentInputs holds everything that the assignment of shards to owners depends on.
type assignmentInputs struct {
	view    *peer.View
	plan    *plan.Plan
	targets uint64 // generation of the target table
	leaving bool
	reach   uint64 // generation of Reach
}

// owners says which process gathers for which shard. All processes that know the same members,
// configuration and targets compute the same owners, without any consensus.
type owners struct {
	eligible   []peer.Incarnation
	hashes     []uint64
	ownerIndex map[Shard]int // index into eligible
	// rankings caches the ranking of each shard that was asked for.
	rankings map[Shard][]peer.Incarnation
}

// assign gives each shard to the process that ranks highest for it among those that haven't
// reached the maximum number of shards per process.
func assign(shards []Shard, eligible []peer.Incarnation) *owners {
	o := &owners{eligible: eligible, ownerIndex: map[Shard]int{}, rankings: map[Shard][]peer.Incarnation{}}
	for _, id := range eligible {
		o.hashes = append(o.hashes, member.Hash(string(id)))
	}
	load := newLoads(len(eligible), len(shards))
	for _, shard := range shards {
		o.ownerIndex[shard] = load.place(shard.hash(), o.hashes)
	}
	return o
}

// rankingOf returns the processes that may gather for a shard in order of preference, its owner
// first.
func (o *owners) rankingOf(shard Shard) []peer.Incarnation {
	if list := o.rankings[shard]; list != nil {
		return list
	}
	list := o.computeRanking(shard)
	o.rankings[shard] = list
	return list
}

func (o *owners) computeRanking(shard Shard) []peer.Incarnation {
	hash := shard.hash()
	order := make([]int, len(o.eligible))
	for i := range order {
		order[i] = i
	}
	ownerIndex, known := o.ownerIndex[shard]
	slices.SortFunc(order, func(a, b int) int {
		if known && (a == ownerIndex) != (b == ownerIndex) {
			if a == ownerIndex {
				return -1
			}
			return 1
		}
		return cmp.Compare(member.RendezvousScore(hash, o.hashes[b]), member.RendezvousScore(hash, o.hashes[a]))
	})
	list := make([]peer.Incarnation, len(order))
	for i, at := range order {
		list[i] = o.eligible[at]
	}
	return list
}

// gatherers returns the processes that may gather for a shard in order of preference; there is
// always at least one. The list is shared and must not be changed.
func (r *Requester) gatherers(shard Shard) []peer.Incarnation {
	view := r.network.View()
	if r.leaveOut.Has(leaveout.Sharing) {
		return []peer.Incarnation{view.Self.Incarnation}
	}
	reach := uint64(0)
	if r.reach != nil {
		reach = r.reach.Generation()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := assignmentInputs{view: view, plan: r.own.plans.Current(), targets: r.table.Generation(), leaving: r.leaving, reach: reach}
	return r.responsive(r.owners.Get(current, r.assign).rankingOf(shard))
}

// assign computes the owners of all shards. The caller holds mu.
func (r *Requester) assign(inputs assignmentInputs) *owners {
	return assign(r.stageShards(inputs.plan), r.eligible(inputs))
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

// eligible lists the processes that may gather. There is always at least one.
func (r *Requester) eligible(inputs assignmentInputs) []peer.Incarnation {
	eligible := make([]peer.Member, 0, 1+len(inputs.view.Members))
	for _, m := range inputs.view.Members {
		if m.State == peer.Alive {
			eligible = append(eligible, m)
		}
	}
	if !inputs.leaving || len(eligible) == 0 {
		eligible = append(eligible, inputs.view.Self)
	}
	eligible = r.withoutCutOff(inputs, eligible)
	list := peer.SelectByCPU(eligible)
	if r.leaveOut.Has(leaveout.StrongOnly) {
		list = incarnations(eligible)
	}
	slices.Sort(list)
	return list
}

// withoutCutOff removes the processes that are cut off from services with stages, unless all are.
func (r *Requester) withoutCutOff(inputs assignmentInputs, members []peer.Member) []peer.Member {
	if r.reach == nil || inputs.plan == nil {
		return members
	}
	var services []string
	for _, service := range inputs.plan.Services {
		if service.Batch != nil {
			services = append(services, service.Name)
		}
	}
	var kept []peer.Member
	for _, m := range members {
		cutOff := r.reach.PeerCutOff(m.Incarnation, services...)
		if m.Incarnation == inputs.view.Self.Incarnation {
			cutOff = slices.ContainsFunc(services, r.reach.CutOff)
		}
		if !cutOff {
			kept = append(kept, m)
		}
	}
	if len(kept) == 0 {
		return members
	}
	return kept
}

// replaced reports whether this process is cut off from a shard's service and others gather for it.
func (r *Requester) replaced(shard Shard) bool {
	return r.reach != nil && r.reach.CutOff(shard.Service) &&
		!slices.Contains(r.gatherers(shard), r.network.Self().Incarnation)
}

// shardingOf returns the shards of a service.
func (r *Requester) shardingOf(service string) *sharding {
	return r.own.shardingOf(service)
}
