package crashes

import (
	"cmp"
	"slices"
	"sync"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/routing"
)

// collectorCount is how many processes collect the crash reports. If one of them is gone, the other still
// counts the crashes.
const collectorCount = 2

// collectorChoice determines which processes collect the crash reports. The zero value is ready to use.
type collectorChoice struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// list holds the collectors among the members of view.
	view *peer.View
	list []peer.Incarnation
}

// of returns the collectors, in the order of their names.
func (c *collectorChoice) of(view *peer.View) []peer.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != view {
		c.view, c.list = view, collectors(view)
	}
	return c.list
}

// collectors returns the processes with the highest rendezvous scores, out of those that serve callers.
func collectors(view *peer.View) []peer.Incarnation {
	serving := &peer.View{Self: view.Self, Members: slices.DeleteFunc(slices.Clone(view.Members), func(m peer.Member) bool { return m.CallerAddress == "" })}
	list := serving.HighestRanked(collectorCount, func(id peer.Incarnation) uint64 { return routing.RendezvousScore("crashes", string(id)) })
	slices.SortFunc(list, func(a, b peer.Incarnation) int { return cmp.Compare(a, b) })
	return list
}
