// Package submissions knows which idempotency keys the entry processes took
// in lately, so that "not run" is said of a refused submission only where no
// other submission under the same key ran or may still run.
//
// A caller that got no answer asks again at another entry VM. If that one
// refuses, for a limit or because the table service is down, then its own
// submission certainly did not run, but the caller asks about the key: told
// "not run", it would go on to a new key, and the booking would run twice.
package submissions

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"time"
)

// Key names a customer's idempotency key without giving it away.
type Key string

// KeyOf hashes a customer and its key.
func KeyOf(customer, idempotencyKey string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%q %q", customer, idempotencyKey))
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

const (
	// keyBytes of a SHA-256 are enough: two keys that met by accident would
	// make an answer less certain, never wrong.
	keyBytes = 16
	// maxSent bounds the keys remembered: a process with 800 non-idempotent
	// calls a second fills it in ten minutes.
	maxSent = 1 << 19
)

// Memory is what one process knows of its own submissions. Use NewMemory.
type History struct {
	window time.Duration
	most   int

	mu   sync.Mutex // guards all below; a leaf
	open map[Key]int
	sent map[Key]time.Time
	// order lists what went into sent, oldest first.
	order []sentKey
	// forgot is when the newest key was dropped before its window was over.
	forgot time.Time
}

type sentKey struct {
	key Key
	at  time.Time
}

// NewMemory remembers each key for the window after its submission ended.
func NewHistory(window time.Duration) *History {
	return &History{window: window, most: maxSent, open: map[Key]int{}, sent: map[Key]time.Time{}}
}

// Submission is one submission under way in this process.
type Submission struct {
	memory *History
	key    Key
}

// Begin notes a submission before anything can come of it. End it once.
func (m *History) Begin(key Key) *Submission {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[key]++
	return &Submission{memory: m, key: key}
}

// End notes that nothing more comes of the submission. mayHaveRun is false
// only where it certainly did not run.
func (s *Submission) End(mayHaveRun bool, now time.Time) {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[s.key]--
	if m.open[s.key] == 0 {
		delete(m.open, s.key)
	}
	if !mayHaveRun {
		return
	}
	m.sent[s.key] = now
	m.order = append(m.order, sentKey{key: s.key, at: now})
	m.expire(now)
}

// expire drops what is older than the window, and the oldest where there are
// too many. The caller holds mu.
func (m *History) expire(now time.Time) {
	drop := 0
	for drop < len(m.order) {
		oldest := m.order[drop]
		over := now.Sub(oldest.at) > m.window
		if !over && len(m.order)-drop <= m.most {
			break
		}
		if !over {
			m.forgot = oldest.at
		}
		if m.sent[oldest.key] == oldest.at {
			delete(m.sent, oldest.key)
		}
		drop++
	}
	m.order = m.order[drop:]
}

// Knowledge is what a process knows of one key.
type KeyHistory struct {
	// Open: another submission under the key is under way and may yet run.
	Open bool `json:"open,omitempty"`
	// Sent: a submission under the key ran or may have run.
	Sent bool `json:"sent,omitempty"`
	// Forgetful: the memory does not reach back over the window.
	Incomplete bool `json:"forgetful,omitempty"`
	// Watched: the process saw who its peers were all through the window.
	PeersObserved bool `json:"watched,omitempty"`
	// PeerGone: within the window an entry process died, left or was replaced,
	// and with it what it knew.
	PeerLost bool `json:"peer_gone,omitempty"`
}

// Knows tells what is known of a key beside the submission that asks, which
// may be nil. Watched and PeerGone are left to the Roster.
func (m *History) Lookup(key Key, asking *Submission, now time.Time) KeyHistory {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(now)
	others := m.open[key]
	if asking != nil {
		others--
	}
	_, sent := m.sent[key]
	return KeyHistory{
		Open: others > 0, Sent: sent,
		Incomplete: !m.forgot.IsZero() && now.Sub(m.forgot) <= m.window,
	}
}
