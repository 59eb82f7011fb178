package submissions

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Roster remembers which entry processes there were. Use NewRoster.
type PeerHistory struct {
	window  time.Duration
	started time.Time

	mu    sync.Mutex // guards all below; a leaf
	alive map[peer.Incarnation]bool
	gone  map[peer.Incarnation]time.Time
}

// NewRoster begins to watch now.
func NewPeerHistory(window time.Duration, now time.Time) *PeerHistory {
	return &PeerHistory{
		window: window, started: now,
		alive: map[peer.Incarnation]bool{}, gone: map[peer.Incarnation]time.Time{},
	}
}

// Entries picks the entry processes out of the members.
func EntryProcesses(members []peer.Member) []peer.Member {
	var entries []peer.Member
	for _, m := range members {
		if m.CallerAddress != "" && m.State != peer.Dead {
			entries = append(entries, m)
		}
	}
	return entries
}

// See takes in the other entry processes that are alive now. One that is back
// after it was held for dead can be asked again, so it is gone no longer.
func (r *PeerHistory) Update(entries []peer.Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	present := map[peer.Incarnation]bool{}
	for _, m := range entries {
		present[m.Incarnation] = true
		delete(r.gone, m.Incarnation)
	}
	for incarnation := range r.alive {
		if !present[incarnation] {
			r.gone[incarnation] = now
		}
	}
	r.alive = present
	for incarnation, since := range r.gone {
		if now.Sub(since) > r.window {
			delete(r.gone, incarnation)
		}
	}
}

// Tell fills in what the roster knows.
func (r *PeerHistory) Annotate(k KeyHistory, now time.Time) KeyHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	k.PeersObserved = now.Sub(r.started) >= r.window
	k.PeerLost = len(r.gone) > 0
	return k
}
