package follow

import (
	"cmp"
	"slices"

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
	alive := v.Alive()
	type ranked struct {
		id   peer.Incarnation
		rank uint64
	}
	ranks := make([]ranked, 0, len(alive))
	for _, m := range alive {
		ranks = append(ranks, ranked{m.Incarnation, member.Hash(string(m.Incarnation))})
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	wanted := max(leastWatchers, (len(alive)+perWatcher-1)/perWatcher)
	var chosen watchers
	for _, r := range ranks[:min(wanted, len(ranks))] {
		if r.id == v.Self.Incarnation {
			chosen.self = true
			continue
		}
		chosen.others = append(chosen.others, r.id)
	}
	return chosen
}
