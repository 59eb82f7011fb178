package gather

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"sync"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// maxUndivided is the most targets of a service that is one shard. A larger
	// service is divided by availability zone, so that results stay in their zone.
	maxUndivided = 8
	// meanShard is about how many targets a shard of a large zone has. Calls of so
	// many targets end every few tens of ms; more would shorten no wait that
	// matters, and take more of their owner's processor time.
	meanShard = 10
	// shardSlack is how much larger than the mean the largest shard of a zone, and
	// the load of the busiest owner, may be. The more slack, the fewer targets and
	// shards move when others come and go.
	shardSlack = 1.25
)

// sharding is how a service's targets are divided. It depends on the store's list
// alone, so that all processes divide alike. It is never changed.
type sharding struct {
	// shards in the order of their zones and parts.
	shards  []Shard
	targets map[Shard][]*pool.Target
	// of is the shard of each target, by ID.
	of     map[string]Shard
	byZone map[string][]*pool.Target
	ready  *pool.ReadySet
}

// shardings keeps each service's sharding until its ready set changes.
type shardings struct {
	mu        sync.Mutex // guards byService; a leaf
	byService map[string]*sharding
}

func (c *shardings) of(service string, ready *pool.ReadySet) *sharding {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.byService[service]; s != nil && s.ready == ready {
		return s
	}
	if c.byService == nil {
		c.byService = map[string]*sharding{}
	}
	s := divide(service, ready)
	c.byService[service] = s
	return s
}

// divide makes the shards of a service.
func divide(service string, ready *pool.ReadySet) *sharding {
	s := &sharding{
		targets: map[Shard][]*pool.Target{}, of: map[string]Shard{}, byZone: map[string][]*pool.Target{}, ready: ready,
	}
	for _, t := range ready.Targets {
		s.byZone[t.Zone] = append(s.byZone[t.Zone], t)
	}
	if len(ready.Targets) <= maxUndivided {
		s.put(Shard{Service: service}, ready.Targets...)
		return s
	}
	for zone, targets := range s.byZone {
		s.divideZone(Shard{Service: service, Zone: zone}, targets)
	}
	slices.SortFunc(s.shards, compareShards)
	return s
}

// divideZone gives each target of a zone to the shard that it ranks first and
// that has room. first is the zone's first shard.
func (s *sharding) divideZone(first Shard, targets []*pool.Target) {
	parts := max(1, (len(targets)+meanShard/2)/meanShard)
	if parts == 1 {
		s.put(first, targets...)
		return
	}
	shards := make([]Shard, parts)
	hashes := make([]uint64, parts)
	for i := range shards {
		shards[i] = first
		shards[i].Part = i
		hashes[i] = shards[i].hash()
	}
	load := newLoads(parts, len(targets))
	for _, t := range targets {
		chosen := load.take(member.Hash(t.ID), hashes)
		s.put(shards[chosen], t)
	}
}

func (s *sharding) put(shard Shard, targets ...*pool.Target) {
	if len(targets) == 0 {
		return
	}
	if s.targets[shard] == nil {
		s.shards = append(s.shards, shard)
	}
	s.targets[shard] = append(s.targets[shard], targets...)
	for _, t := range targets {
		s.of[t.ID] = shard
	}
}

// choose gives the shard for some work of a request: one of a zone, if the zone
// has any, each as often as it has targets. Some shards are left out; false where no
// other is left.
func (s *sharding) choose(without map[Shard]bool, zone, request string) (Shard, bool) {
	for _, among := range [][]*pool.Target{s.byZone[zone], s.ready.Targets} {
		among = s.outside(without, among)
		if len(among) > 0 {
			return s.of[among[member.Hash(request)%uint64(len(among))].ID], true
		}
	}
	return Shard{}, false
}

// outside leaves out the targets of some shards.
func (s *sharding) outside(without map[Shard]bool, targets []*pool.Target) []*pool.Target {
	if len(without) == 0 {
		return targets
	}
	var kept []*pool.Target
	for _, t := range targets {
		if !without[s.of[t.ID]] {
			kept = append(kept, t)
		}
	}
	return kept
}

// without tells whether a shard has no targets while others have.
func (s *sharding) without(shard Shard) bool {
	return len(s.ready.Targets) > 0 && len(s.targets[shard]) == 0
}

// divided tells whether there is more than one shard.
func (s *sharding) divided() bool { return len(s.shards) > 1 }

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Part, b.Part))
}

func (s Shard) hash() uint64 {
	return member.Hash(s.Service + "\x00" + s.Zone + "\x00" + strconv.Itoa(s.Part))
}

// loads counts what each of some holders was given, for rendezvous with bounded
// loads.
type loads struct {
	held []int
	most int
}

// newLoads shares out items among holders, each at most shardSlack times the mean.
func newLoads(holders, items int) *loads {
	return &loads{held: make([]int, holders), most: int(math.Ceil(shardSlack * float64(items) / float64(holders)))}
}

// take gives an item to the holder that it ranks first of those with room. hashes
// are the holders'.
func (l *loads) take(item uint64, hashes []uint64) int {
	best, bestRank := -1, uint64(0)
	for i, hash := range hashes {
		if rank := member.RendezvousScore(item, hash); l.held[i] < l.most && (best < 0 || rank > bestRank) {
			best, bestRank = i, rank
		}
	}
	l.held[best]++
	return best
}
