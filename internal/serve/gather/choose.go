package gather

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// Targets is how many targets a shard of a service has, on average.
func (r *Requester) Targets(service string) int {
	s := r.shardingOf(service)
	if len(s.shards) == 0 {
		return 0
	}
	return len(s.roster.Targets) / len(s.shards)
}

// pace is how fast one target works, against what its service's settings say.
type pace struct {
	// ratio of the time that calls took to what was expected; 0 is unknown.
	ratio float64
	until time.Time // when a slow target is tried again
}

const (
	// paceWeight is how much the last call counts: a target that turns slow is
	// seen after one call, one that recovers after one or two.
	paceWeight = 0.6
	// slowRatio is how many times slower than the settings say a call is before
	// its target is passed over while others are there. Batches differ by a
	// tenth; a straggler takes three to five times as long.
	slowRatio = 1.8
	// slowPause is how long a slow target is passed over. It costs one call of
	// a slow target to find out that it still is.
	slowPause = 2 * time.Second
)

// newcomerCalls is for how many full calls after it began to gather a process
// judges no target's pace. Calls of those that gathered before it, and at a start
// of all for a moment beside it, stand before its own in the targets' queues: its
// calls then took 350 to 610 ms instead of 280, four of five targets were taken
// for slow and passed over for two seconds, and callers refused.
const newcomerCalls = 3

// newcomer tells whether this process has only just begun to gather for a shard.
func (c *shard) newcomer(batch *plan.Batch, callBegan time.Time) bool {
	return callBegan.Sub(c.since) < newcomerCalls*batch.FullCall()
}

func (p *pace) took(actual, expected time.Duration, now time.Time) {
	ratio := float64(actual) / float64(expected)
	if p.ratio == 0 {
		p.ratio = ratio
	}
	p.ratio += paceWeight * (ratio - p.ratio)
	if p.ratio > slowRatio {
		p.until = now.Add(slowPause)
	}
}

func (p *pace) slow(now time.Time) bool { return now.Before(p.until) }

// factor is how many times longer than expected the calls of a slow target take,
// 1 for others: on a small VM a call is seen to end up to a tenth of a second
// late, which says nothing of the target.
func (p *pace) factor() float64 {
	if p == nil || p.ratio < slowRatio {
		return 1
	}
	return p.ratio
}

// shardOf chooses the shard for some work: one of the wanted zone, else any, by
// the request.
func (r *Requester) shardOf(service, zone, request string) (Shard, error) {
	s := r.shardingOf(service)
	if len(s.shards) == 0 {
		return Shard{}, &Refused{Reason: Idle, Service: service}
	}
	return s.choose(zone, request), nil
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
			weight[zone] += float64(len(targets)) / float64(len(s.roster.Targets))
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

// strongest leaves out VMs with less than half of the power of the largest. One
// with a fifth of a core stands still for most of each tenth of a second when
// it has much to do, and every request of its shard with it.
func strongest(members []peer.Member) []peer.Incarnation {
	most := 0
	for _, m := range members {
		most = max(most, m.Power)
	}
	var list []peer.Incarnation
	for _, m := range members {
		// Any number may come from a peer. Twice a large one overflows, and with a
		// negative one all could be left out; somebody has to gather.
		if power := max(m.Power, 0); power >= most-power {
			list = append(list, m.Incarnation)
		}
	}
	return list
}

func incarnations(members []peer.Member) []peer.Incarnation {
	list := make([]peer.Incarnation, 0, len(members))
	for _, m := range members {
		list = append(list, m.Incarnation)
	}
	return list
}
