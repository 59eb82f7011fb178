package submissions

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// PeerHistory records which entry processes were alive within the window. Use
// NewPeerHistory.
type PeerHistory struct {
	window  time.Duration
	started time.Time

	mu    sync.Mutex // guards the fields below; no other lock is taken under it
	alive map[peer.Incarnation]bool
	gone  map[peer.Incarnation]time.Time
}

// NewPeerHistory returns a history that starts now.
func NewPeerHistory(window time.Duration, now time.Time) *PeerHistory {
	return &PeerHistory{
		window: window, started: now,
		alive: map[peer.Incarnation]bool{}, gone: map[peer.Incarnation]time.Time{},
	}
}

// EntryProcesses returns the members that are entry processes and not dead.
func EntryProcesses(members []peer.Member) []peer.Member {
	var entries []peer.Member
	for _, m := range members {
		if m.CallerAddress != "" && m.State != peer.Dead {
			entries = append(entries, m)
		}
	}
	return entries
}

// Update records the other entry processes that are alive now. One that was
// considered dead and is back can be asked again, so it no longer counts as
// gone.
func (h *PeerHistory) Update(entries []peer.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	present := map[peer.Incarnation]bool{}
	for _, m := range entries {
		present[m.Incarnation] = true
		delete(h.gone, m.Incarnation)
	}
	for incarnation := range h.alive {
		if !present[incarnation] {
			h.gone[incarnation] = now
		}
	}
	h.alive = present
	for incarnation, since := range h.gone {
		if now.Sub(since) > h.window {
			delete(h.gone, incarnation)
		}
	}
}

// Annotate fills in PeersObserved and PeerLost.
func (h *PeerHistory) Annotate(k KeyHistory, now time.Time) KeyHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	k.PeersObserved = now.Sub(h.started) >= h.window
	k.PeerLost = len(h.gone) > 0
	return k
}
