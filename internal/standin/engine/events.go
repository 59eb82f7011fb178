package engine

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// maxEvents is how many events are kept when old ones are discarded, which
// happens at twice this number. A reader sees discarded events as a gap in the
// sequence numbers.
const maxEvents = 4096

// eventFeed is the engine's list of cache events. Events become visible after a
// delay, and some are never visible; these use up a sequence number too.
type eventFeed struct {
	lag       time.Duration
	dropShare float64
	rng       *rand.Rand
	lastSeq   uint64
	events    []timedEvent
}

type timedEvent struct {
	at    time.Time
	lost  bool
	event targetapi.CacheEvent
}

func (f *eventFeed) add(now time.Time, kind targetapi.CacheEventKind, hashes []uint64) {
	if kind != targetapi.AllBlocksCleared && len(hashes) == 0 {
		return
	}
	f.lastSeq++
	event := targetapi.CacheEvent{Seq: f.lastSeq, Kind: kind, Hashes: hexHashes(hashes)}
	lost := f.dropShare > 0 && f.rng.Float64() < f.dropShare
	f.events = append(f.events, timedEvent{at: now, lost: lost, event: event})
	if len(f.events) > 2*maxEvents {
		f.events = append(f.events[:0], f.events[len(f.events)-maxEvents:]...)
	}
}

// after returns the visible events whose sequence number is greater than seq.
func (f *eventFeed) after(now time.Time, seq uint64) targetapi.CacheEvents {
	answer := targetapi.CacheEvents{Events: []targetapi.CacheEvent{}, Next: seq}
	for _, e := range f.events {
		if e.event.Seq <= seq || e.at.After(now.Add(-f.lag)) {
			continue
		}
		answer.Next = e.event.Seq
		if !e.lost {
			answer.Events = append(answer.Events, e.event)
		}
	}
	return answer
}

func hexHashes(hashes []uint64) []string {
	texts := make([]string, len(hashes))
	for i, h := range hashes {
		texts[i] = strconv.FormatUint(h, 16)
	}
	return texts
}
