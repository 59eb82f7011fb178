package gather

import (
	"sync"
	"time"
)

// seenTime is how long handles are remembered at least: longer than an extra answer can be received, on a connection
// that is kept unused for a few seconds and then has one more call.
const seenTime = 30 * time.Second

// SeenHandles remembers the handles of results that targets have answered with. A handle names one result, so
// an answer with one that was received before is an extra answer to an earlier call. It is safe for concurrent use,
// and its zero value is ready to use.
type SeenHandles struct {
	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// recent has the handles since startedAt, older those of the time before.
	recent, older map[seenHandle]bool
	startedAt     time.Time
}

type seenHandle struct{ target, handle string }

// Add remembers the handles of an answer of a target. It reports whether none of them was received before.
func (s *SeenHandles) Add(target string, handles []string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.startedAt) > seenTime {
		s.older, s.recent, s.startedAt = s.recent, map[seenHandle]bool{}, now
	}
	isNew := true
	for _, handle := range handles {
		key := seenHandle{target, handle}
		isNew = isNew && !s.recent[key] && !s.older[key]
	}
	for _, handle := range handles {
		s.recent[seenHandle{target, handle}] = true
	}
	return isNew
}
