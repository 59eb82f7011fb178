package follow

import (
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	// leastWatchers is how many processes watch the store for changes with short
	// calls. One may be gone without anybody noticing; where all are, the others
	// call the store themselves. A watcher answers perWatcher others.
	leastWatchers = 2
	perWatcher    = 40
)

// notChosen is the rank of a process that is no watcher.
const notChosen = math.MaxInt

// watchers are the processes that follow the store for all, strong ones first.
type watchers struct {
	all []peer.Incarnation
	// rank of this process among them; notChosen where it is none.
	rank int
	// others are all but this process, near those of them in its zone.
	others []peer.Incarnation
	near   []peer.Incarnation
	// strong tells whether this process runs on one of the strong VMs.
	strong bool
	// rest is how many processes are no watchers.
	rest int
}

// restRetry paces the calls of the store by each process that is no watcher, so that all of
// them together call no more often than the watchers retry.
func (w watchers) restRetry() time.Duration {
	return lastRetry * time.Duration(max(w.rest, 1)) / time.Duration(max(len(w.all), 1))
}

// self tells whether this process is one.
func (w watchers) self() bool { return w.rank != notChosen }

// chooseWatchers takes the first members by rendezvous, strong VMs before weak ones, which
// all processes that know the same members choose alike.
func chooseWatchers(v *peer.View) watchers {
	alive := v.Alive()
	wanted := max(leastWatchers, (len(alive)+perWatcher-1)/perWatcher)
	strong := map[peer.Incarnation]bool{}
	for _, id := range peer.SelectByCPU(alive) {
		strong[id] = true
	}
	rank := func(id peer.Incarnation) uint64 {
		hash := member.Hash(string(id)) >> 1
		if strong[id] {
			hash |= 1 << 63
		}
		return hash
	}
	w := watchers{all: v.HighestRanked(wanted, rank), rank: notChosen, strong: strong[v.Self.Incarnation]}
	zones := zonesOf(alive)
	for i, id := range w.all {
		if id == v.Self.Incarnation {
			w.rank = i
			continue
		}
		w.others = append(w.others, id)
		if zones[id] == v.Self.Zone {
			w.near = append(w.near, id)
		}
	}
	w.rest = len(alive) - len(w.all)
	return w
}

func zonesOf(members []peer.Member) map[peer.Incarnation]string {
	zones := make(map[peer.Incarnation]string, len(members))
	for _, m := range members {
		zones[m.Incarnation] = m.Zone
	}
	return zones
}
