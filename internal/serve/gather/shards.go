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
	// maxUndivided is the most targets that a service may have as a single shard. A larger
	// service is divided by availability zone, so that results stay in their zone.
	maxUndivided = 8
	// meanShardTargets is about how many targets each shard of a large zone has. With so many,
	// a call ends every few tens of milliseconds; more would not shorten waits noticeably, and
	// would take more CPU time of the shard's gatherer.
	meanShardTargets = 10
	// loadSlack is how many times the mean the largest shard of a zone, and the number of
	// shards of the busiest owner, may be. The more slack, the fewer targets and shards move
	// when others are added or removed.
	loadSlack = 1.25
)

// sharding is the division of a service's targets into shards. It depends only on the list of
// targets in the store, so that all processes compute the same one. It is immutable.
type sharding struct {
	// shards are in the order of their zones and parts.
	shards  []Shard
	targets map[Shard][]*pool.Target
	// shardOfTarget maps target IDs to shards.
	shardOfTarget map[string]Shard
	byZone        map[string][]*pool.Target
	ready         *pool.ReadySet
}

// shardings caches each service's sharding until its ready set changes.
type shardings struct {
	mu        sync.Mutex // guards byService; no other lock is acquired while it is held
	byService map[string]*sharding
}

func (c *shardings) get(service string, ready *pool.ReadySet) *sharding {
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

// divide computes the shards of a service.
func divide(service string, ready *pool.ReadySet) *sharding {
	s := &sharding{
		targets: map[Shard][]*pool.Target{}, shardOfTarget: map[string]Shard{}, byZone: map[string][]*pool.Target{}, ready: ready,
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

// divideZone assigns each target of a zone to the shard that ranks highest for it among those
// that aren't full. first is the zone's first shard.
func (s *sharding) divideZone(first Shard, targets []*pool.Target) {
	parts := max(1, (len(targets)+meanShardTargets/2)/meanShardTargets)
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
		chosen := load.place(member.Hash(t.ID), hashes)
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
		s.shardOfTarget[t.ID] = shard
	}
}

// choose returns the shard for some work of a request: one in the given zone if there is any,
// else any, each with a probability proportional to its targets. Excluded shards are skipped;
// the result is false if no other is left.
func (s *sharding) choose(excluded map[Shard]bool, zone, request string) (Shard, bool) {
	for _, candidates := range [][]*pool.Target{s.byZone[zone], s.ready.Targets} {
		candidates = s.withoutShards(excluded, candidates)
		if len(candidates) > 0 {
			return s.shardOfTarget[candidates[member.Hash(request)%uint64(len(candidates))].ID], true
		}
	}
	return Shard{}, false
}

// withoutShards returns the targets that don't belong to the excluded shards.
func (s *sharding) withoutShards(excluded map[Shard]bool, targets []*pool.Target) []*pool.Target {
	if len(excluded) == 0 {
		return targets
	}
	var kept []*pool.Target
	for _, t := range targets {
		if !excluded[s.shardOfTarget[t.ID]] {
			kept = append(kept, t)
		}
	}
	return kept
}

// isEmpty reports whether a shard has no targets while other shards of the service have.
func (s *sharding) isEmpty(shard Shard) bool {
	return len(s.ready.Targets) > 0 && len(s.targets[shard]) == 0
}

// divided reports whether there is more than one shard.
func (s *sharding) divided() bool { return len(s.shards) > 1 }

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Part, b.Part))
}

func (s Shard) hash() uint64 {
	return member.Hash(s.Service + "\x00" + s.Zone + "\x00" + strconv.Itoa(s.Part))
}

// loads counts how many items each holder has, for rendezvous hashing with bounded loads.
type loads struct {
	counts []int
	limit  int
}

// newLoads prepares the distribution of items among holders, each of which gets at most
// loadSlack times the mean.
func newLoads(holders, items int) *loads {
	return &loads{counts: make([]int, holders), limit: int(math.Ceil(loadSlack * float64(items) / float64(holders)))}
}

// place assigns an item to the holder that ranks highest for it among those below the limit,
// and returns the holder's index. hashes are those of the holders.
func (l *loads) place(item uint64, hashes []uint64) int {
	best, bestRank := -1, uint64(0)
	for i, hash := range hashes {
		if rank := member.RendezvousScore(item, hash); l.counts[i] < l.limit && (best < 0 || rank > bestRank) {
			best, bestRank = i, rank
		}
	}
	l.counts[best]++
	return best
}
