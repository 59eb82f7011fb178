// Package submissions records which idempotency keys the entry processes
// accepted recently. A refused submission is reported as "not run" only if no
// other submission under the same key ran or may still run.
//
// A caller that got no answer retries at another entry VM. If that VM refuses,
// because of a limit or because the table service is down, its own submission
// certainly did not run. But the caller asks about the key: told "not run", it
// would submit under a new key, and the booking would run twice.
package submissions

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// Key identifies a customer's idempotency key by a hash, so that the key itself
// is not disclosed.
type Key string

// KeyOf returns the Key of a customer's idempotency key.
func KeyOf(customer, idempotencyKey string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q", customer, idempotencyKey))
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

const (
	// keyBytes is how much of the SHA-256 is kept. A collision could only turn
	// an answer into "unknown", never make it wrong.
	keyBytes = 16
	// maxSentKeys bounds the keys kept. A process with 800 non-idempotent calls
	// per second reaches it in ten minutes.
	maxSentKeys = 1 << 19
)

// History records the submissions of one process. Use NewHistory.
type History struct {
	window  time.Duration
	maxKeys int

	mu   sync.Mutex // guards the fields below; no other lock is taken under it
	open map[Key]int
	sent map[Key]time.Time
	// order lists the additions to sent, oldest first.
	order []sentKey
	// droppedAt is when the newest key that was dropped before the end of its
	// window had been added.
	droppedAt time.Time
}

type sentKey struct {
	key Key
	at  time.Time
}

// NewHistory returns a history that keeps each key for the window after its
// submission ended.
func NewHistory(window time.Duration) *History {
	return &History{window: window, maxKeys: maxSentKeys, open: map[Key]int{}, sent: map[Key]time.Time{}}
}

// Submission is a submission under way in this process.
type Submission struct {
	history *History
	key     Key
}

// Begin records a submission before it can have any effect. It must be ended
// exactly once.
func (h *History) Begin(key Key) *Submission {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[key]++
	return &Submission{history: h, key: key}
}

// End records that the submission can have no further effect. mayHaveRun is
// false only if it certainly did not run.
func (s *Submission) End(mayHaveRun bool, now time.Time) {
	h := s.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[s.key]--
	if h.open[s.key] == 0 {
		delete(h.open, s.key)
	}
	if !mayHaveRun {
		return
	}
	h.sent[s.key] = now
	h.order = append(h.order, sentKey{key: s.key, at: now})
	h.expire(now)
}

// expire drops keys older than the window, and the oldest ones beyond maxKeys.
// The caller holds mu.
func (h *History) expire(now time.Time) {
	dropped := 0
	for dropped < len(h.order) {
		oldest := h.order[dropped]
		expired := now.Sub(oldest.at) > h.window
		if !expired && len(h.order)-dropped <= h.maxKeys {
			break
		}
		if !expired {
			h.droppedAt = oldest.at
		}
		if h.sent[oldest.key] == oldest.at {
			delete(h.sent, oldest.key)
		}
		dropped++
	}
	h.order = h.order[dropped:]
}

// KeyHistory is what a process knows of one key.
type KeyHistory struct {
	// Open: another submission under the key is under way and may still run.
	Open bool `json:"open,omitempty"`
	// Sent: a submission under the key ran or may have run.
	Sent bool `json:"sent,omitempty"`
	// Incomplete: the history does not cover the whole window.
	Incomplete bool `json:"forgetful,omitempty"`
	// PeersObserved: the process has observed its peers for the whole window.
	PeersObserved bool `json:"watched,omitempty"`
	// PeerLost: within the window an entry process died, left or was replaced,
	// and its history is lost.
	PeerLost bool `json:"peer_gone,omitempty"`
}

// Lookup returns what is known of a key apart from the caller's own submission,
// which may be nil. PeersObserved and PeerLost are filled in by PeerHistory.
func (h *History) Lookup(key Key, own *Submission, now time.Time) KeyHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	others := h.open[key]
	if own != nil {
		others--
	}
	_, sent := h.sent[key]
	return KeyHistory{
		Open: others > 0, Sent: sent,
		Incomplete: !h.droppedAt.IsZero() && now.Sub(h.droppedAt) <= h.window,
	}
}
