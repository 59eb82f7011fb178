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
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// maxShard is the most targets of one shard. A larger service is divided by
// availability zone, so that no process gathers for a whole large pool and
// results stay in their zone. At eight targets a call ends every 40 ms, so a
// larger shard would shorten no wait that matters.
const maxShard = 8

// shards lists the shards of a service's targets.
func shards(service string, views []pool.View) []Shard {
	if len(views) <= maxShard {
		return []Shard{{Service: service}}
	}
	var list []Shard
	for _, v := range views {
		c := Shard{Service: service, Zone: v.Zone}
		if !slices.Contains(list, c) {
			list = append(list, c)
		}
	}
	return list
}

// in tells whether a target belongs to the shard.
func (c Shard) in(v pool.View) bool { return c.Zone == "" || c.Zone == v.Zone }

// Targets is how many targets a shard of a service has, on average.
func (r *Requester) Targets(service string) int {
	views := r.table.Views(service, time.Now())
	if len(views) == 0 {
		return 0
	}
	return len(views) / len(shards(service, views))
}

// score ranks a member for a shard; the highest gathers.
func (c Shard) score(member string) uint64 {
	return routing.Rendezvous(c.Service, c.Zone, member, "")
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

// shardOf chooses the shard for some work: the wanted zone's, else one by the
// request, so that the shards get equal shares.
func (r *Requester) shardOf(service, zone, request string) (Shard, error) {
	views := r.table.Views(service, time.Now())
	if len(views) == 0 {
		return Shard{}, &Refused{Reason: Idle, Service: service}
	}
	list := shards(service, views)
	for _, c := range list {
		if c.Zone == zone {
			return c, nil
		}
	}
	// Each target is as likely as another, so a shard's share follows its size.
	v := views[Shard{Service: service}.score(request)%uint64(len(views))]
	for _, c := range list {
		if c.in(v) {
			return c, nil
		}
	}
	return list[0], nil
}

// Zones lists the zones in which a request's stages may be made, the one to try
// first in front; nil where none of the services is divided by zone. All stages
// of a chain are best made in one zone, since their results don't cross then.
// The first is drawn by the request, each zone as often as it has targets.
func (r *Requester) Zones(services []string, request string) []string {
	if r.leaveOut.Has(leaveout.OneZone) {
		return nil
	}
	now := time.Now()
	weight := map[string]float64{}
	divided := false
	for _, service := range services {
		views := r.table.Views(service, now)
		divided = divided || len(views) > maxShard
		for _, v := range views {
			weight[v.Zone] += 1 / float64(len(views))
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
		u := float64(Shard{Zone: zone}.score(request)>>11) / (1 << 53)
		return math.Pow(u, 1/weight[zone])
	}
	slices.SortFunc(zones, func(a, b string) int { return cmp.Compare(draw(b), draw(a)) })
	return zones
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
	if r.rankedOf != view || r.ranked == nil {
		r.rankedOf = view
		r.ranked = map[Shard][]peer.Incarnation{}
	}
	list := r.ranked[shard]
	if list == nil {
		list = r.rank(shard, view)
		r.ranked[shard] = list
	}
	return r.answering(list)
}

// rank sorts the processes that may gather for a shard. The caller holds mu.
func (r *Requester) rank(shard Shard, view *peer.View) []peer.Incarnation {
	able := []peer.Member{}
	for _, m := range view.Members {
		if m.State == peer.Alive {
			able = append(able, m)
		}
	}
	if !r.leaving || len(able) == 0 {
		able = append(able, view.Self)
	}
	list := strongest(able)
	if r.leaveOut.Has(leaveout.StrongOnly) {
		list = incarnations(able)
	}
	scores := make(map[peer.Incarnation]uint64, len(list))
	for _, id := range list {
		scores[id] = shard.score(string(id))
	}
	slices.SortFunc(list, func(a, b peer.Incarnation) int { return cmp.Compare(scores[b], scores[a]) })
	return list
}

// answering leaves out the gatherers that are passed by. Where none is left
// the trouble is on this side or everywhere, and weaker ones or one after the
// other would only multiply it: then all stay. The caller holds mu.
func (r *Requester) answering(list []peer.Incarnation) []peer.Incarnation {
	if len(r.passed) == 0 {
		return list
	}
	var kept []peer.Incarnation
	for _, id := range list {
		if !r.passed[id] {
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
