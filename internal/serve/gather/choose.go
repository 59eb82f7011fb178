package gather

import (
	"cmp"
	"math"
	"slices"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
)

// MeanShardTargets is how many targets a shard of a service has, on average.
func (r *Requester) MeanShardTargets(service string) int {
	s := r.shardingOf(service)
	if len(s.shards) == 0 {
		return 0
	}
	return len(s.ready.Targets) / len(s.shards)
}

// shardOf chooses the shard for some work: one of the wanted zone, else any, by
// the request.
func (r *Requester) shardOf(service, zone, request string) (Shard, error) {
	return r.shardBeside(nil, service, zone, request)
}

// shardBeside is shardOf without the shards that turned out to have no targets.
func (r *Requester) shardBeside(moved map[Shard]bool, service, zone, request string) (Shard, error) {
	shard, found := r.shardingOf(service).choose(moved, zone, request)
	if !found {
		return Shard{}, &RefusedError{Reason: NoTarget, Service: service}
	}
	return shard, nil
}

// Zones lists the zones in which a request's stages may be made, the one to try
// first in front; nil where none of the services is divided by zone. All stages
// of a chain are best made in one zone, since their results don't cross then.
// The first is drawn by the request, each zone as often as it has targets.
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
	// The highest of u^(1/w), u drawn by request and zone, falls on each zone
	// as often as its weight says.
	draw := func(zone string) float64 {
		u := float64(routing.Rendezvous(zone, request)>>11) / (1 << 53)
		return math.Pow(u, 1/weight[zone])
	}
	slices.SortFunc(zones, func(a, b string) int { return cmp.Compare(draw(b), draw(a)) })
	return zones
}

// answering leaves out the gatherers that don't answer. Where none is left
// the trouble is on this side or everywhere, and weaker ones or one after the
// other would only multiply it: then all stay. The caller holds mu.
func (r *Requester) answering(list []peer.Incarnation) []peer.Incarnation {
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
