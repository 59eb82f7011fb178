package follow

import (
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

// watchers are the processes that follow the store for all.
type watchers struct {
	self   bool
	others []peer.Incarnation
}

// chooseWatchers takes the first members by rendezvous, which all processes that
// know the same members choose alike.
func chooseWatchers(v *peer.View) watchers {
	wanted := max(leastWatchers, (len(v.Alive())+perWatcher-1)/perWatcher)
	rank := func(id peer.Incarnation) uint64 { return member.Hash(string(id)) }
	var chosen watchers
	for _, id := range v.First(wanted, rank) {
		if id == v.Self.Incarnation {
			chosen.self = true
			continue
		}
		chosen.others = append(chosen.others, id)
	}
	return chosen
}
