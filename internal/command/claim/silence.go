package claim

import (
	"sync"
	"time"
)

// Limits for observing the claims of other holders.
const (
	// silenceTimeout is how long a held claim must remain unchanged on our own
	// clock before its holder counts as silent.
	silenceTimeout = 30 * time.Second
	maxObserved    = 10_000
)

// silenceDetector remembers since when each observed claim has been unchanged.
type silenceDetector struct {
	now      func() time.Time
	mu       sync.Mutex // guards observed
	observed map[Identity]observation
}

type observation struct {
	version uint64
	since   time.Time
}

func newSilenceDetector(now func() time.Time) *silenceDetector {
	return &silenceDetector{now: now, observed: map[Identity]observation{}}
}

// observe records the version of a claim's row and returns whether it has been
// unchanged for silenceTimeout.
func (s *silenceDetector) observe(id Identity, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	seen, found := s.observed[id]
	if found && seen.version == version {
		return now.Sub(seen.since) >= silenceTimeout
	}
	s.evictOld(now)
	s.observed[id] = observation{version: version, since: now}
	return false
}

// evictOld removes old observations when the map is full. Losing one only makes
// a wait longer.
func (s *silenceDetector) evictOld(now time.Time) {
	if len(s.observed) < maxObserved {
		return
	}
	for id, seen := range s.observed {
		if now.Sub(seen.since) > 2*silenceTimeout {
			delete(s.observed, id)
		}
	}
	if len(s.observed) >= maxObserved {
		clear(s.observed)
	}
}
