package gather

import (
	"cmp"
	"math"
	"slices"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// MeanShardTargets returns the mean number of targets in a shard of a service.
func (r *Requester) MeanShardTargets(service string) int {
	s := r.shardingOf(service)
	if len(s.shards) == 0 {
		return 0
	}
	return len(s.ready.Targets) / len(s.shards)
}

// chooseShard selects a shard by the hash of the request ID: one in the wanted zone if there is
// any, else any shard of the service.
func (r *Requester) chooseShard(service, zone, request string) (Shard, error) {
	return r.chooseShardExcept(nil, service, zone, request)
}

// chooseShardExcept is chooseShard without the excluded shards, which turned out to have no
// targets.
func (r *Requester) chooseShardExcept(excluded map[Shard]bool, service, zone, request string) (Shard, error) {
	shard, found := r.shardingOf(service).choose(excluded, zone, request)
	if !found {
		return Shard{}, &RefusedError{Reason: NoTarget, Service: service}
	}
	return shard, nil
}

// Zones lists the zones in which a request's stages may run, in the order in which to try them.
// It returns nil if none of the services is sharded by zone. Running all stages of a request in
// one zone avoids transferring results between zones. The first zone is selected by a hash of
// the request ID, with a probability proportional to the zone's targets.
func (r *Requester) Zones(services []string, request string) []string {
	if r.leaveOut.Has(leaveout.OneZone) {
		return nil
	}
	weight := map[string]float64{}
	divided := false
	for _, service := range services {
		s := r.shardingOf(service)
		divided = divided || s.divided()
		for zone, targets := range s.byZone {
			weight[zone] += float64(len(targets)) / float64(len(s.ready.Targets))
		}
	}
	if !divided {
		return nil
	}
	var zones []string
	for zone := range weight {
		zones = append(zones, zone)
	}
	// Weighted rendezvous hashing: the zone with the highest u^(1/w), where u is a hash of
	// request and zone scaled to [0, 1), is each zone with a probability proportional to its
	// weight w.
	score := func(zone string) float64 {
		u := float64(routing.RendezvousScore(zone, request)>>11) / (1 << 53)
		return math.Pow(u, 1/weight[zone])
	}
	slices.SortFunc(zones, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return zones
}

// responsive filters out the gatherers that don't answer. If none is left, the fault is
// probably on this side or everywhere, and failing over to weaker processes, or to one after
// the other, would only make it worse, so the whole list is returned. The caller holds mu.
func (r *Requester) responsive(list []peer.Incarnation) []peer.Incarnation {
	if len(r.unresponsive) == 0 {
		return list
	}
	var kept []peer.Incarnation
	for _, id := range list {
		if !r.unresponsive[id] {
			kept = append(kept, id)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

func incarnations(members []peer.Member) []peer.Incarnation {
	list := make([]peer.Incarnation, 0, len(members))
	for _, m := range members {
		list = append(list, m.Incarnation)
	}
	return list
}
