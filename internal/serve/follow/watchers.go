package follow

import (
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	// minWatchers is the minimum number of processes that watch the store with short
	// long-poll calls. One may fail without affecting the other processes; if all fail, the
	// others call the store themselves. In larger fleets there is one watcher per
	// membersPerWatcher processes.
	minWatchers       = 2
	membersPerWatcher = 40
)

// notWatcher is the rank of a process that is not a watcher.
const notWatcher = math.MaxInt

// watchers are the processes that watch the store on behalf of all, those on strong VMs
// first.
type watchers struct {
	all []peer.Incarnation
	// rank is the position of this process in all; notWatcher if it isn't in it.
	rank int
	// others are all watchers but this process; sameZone are those of them in its zone.
	others   []peer.Incarnation
	sameZone []peer.Incarnation
	// strong is set if this process runs on one of the strong VMs.
	strong bool
	// nonWatchers is the number of processes that are not watchers.
	nonWatchers int
}

// nonWatcherRetry returns the pause between store calls of each process that is not a
// watcher, so that all of them together call no more often than the watchers retry.
func (w watchers) nonWatcherRetry() time.Duration {
	return maxRetryPause * time.Duration(max(w.nonWatchers, 1)) / time.Duration(max(len(w.all), 1))
}

// includesSelf reports whether this process is a watcher.
func (w watchers) includesSelf() bool { return w.rank != notWatcher }

// chooseWatchers picks the watchers by rendezvous hashing, strong VMs first. All processes
// that know the same members pick the same watchers.
func chooseWatchers(v *peer.View) watchers {
	alive := v.Alive()
	count := max(minWatchers, (len(alive)+membersPerWatcher-1)/membersPerWatcher)
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
	w := watchers{all: v.HighestRanked(count, rank), rank: notWatcher, strong: strong[v.Self.Incarnation]}
	zones := zonesOf(alive)
	for i, id := range w.all {
		if id == v.Self.Incarnation {
			w.rank = i
			continue
		}
		w.others = append(w.others, id)
		if zones[id] == v.Self.Zone {
			w.sameZone = append(w.sameZone, id)
		}
	}
	w.nonWatchers = len(alive) - len(w.all)
	return w
}

func zonesOf(members []peer.Member) map[peer.Incarnation]string {
	zones := make(map[peer.Incarnation]string, len(members))
	for _, m := range members {
		zones[m.Incarnation] = m.Zone
	}
	return zones
}
