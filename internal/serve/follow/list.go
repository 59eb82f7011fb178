package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// The whole list of targets goes from process to process in parts, each some tens of KB,
// so that no message keeps others waiting behind it on a slow link. A target's part
// follows from its ID, so that parts of several processes make one list.

const methodList = "follow.list"

const (
	// partEntries is about how many entries a part holds at most.
	partEntries = 512
	// snapshotAge is how long parts are made of the same list while it changes. Who has
	// gathered them asks for the changes since. snapshotIdle is how long it is kept.
	snapshotAge  = time.Second
	snapshotIdle = 5 * time.Second
	// mostReaders is to how many processes one tells the list at the same time, readerIdle
	// how long after its last question one counts no more.
	mostReaders = 8
	readerIdle  = time.Second
	// mostReferred is how many of those that have been told the list are remembered, for
	// those that are refused.
	mostReferred = 16
)

// partCall asks for a part of the list.
type partCall struct {
	Reader peer.Incarnation `json:"reader"`
	Part   int              `json:"part"`
}

// partAnswer is a part of the list.
type partAnswer struct {
	// Refused tells that the process doesn't know the list itself or tells it to many
	// others just now.
	Refused bool `json:"refused,omitempty"`
	// Try is a process that has been told the whole list lately, for one that is refused.
	Try peer.Incarnation `json:"try,omitempty"`
	// Of is how many parts there are; AsOf the revision as of which this one is.
	Of   int    `json:"of,omitempty"`
	AsOf uint64 `json:"as_of,omitempty"`
	// AgeMS is how old the part is; times in it are as of then.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Entries is a packed list of pool.Entry.
	Entries []byte `json:"entries,omitempty"`
}

// snapshot is the list as it is told in parts.
type snapshot struct {
	asOf  uint64
	at    time.Time
	parts [][]pool.Entry
	// packed has each part once it was asked for; its entries are dropped then.
	packed [][]byte
}

func snapshotOf(entries []pool.Entry, asOf uint64, now time.Time) *snapshot {
	count := pool.PartitionCount(len(entries), partEntries)
	s := &snapshot{asOf: asOf, at: now, parts: make([][]pool.Entry, count), packed: make([][]byte, count)}
	for _, e := range entries {
		part := member.Hash(e.ID) & uint64(count-1)
		s.parts[part] = append(s.parts[part], e)
	}
	return s
}

func (s *snapshot) part(i int) ([]byte, error) {
	if s.packed[i] == nil {
		data, err := pack(s.parts[i])
		if err != nil {
			return nil, err
		}
		s.packed[i], s.parts[i] = data, nil
	}
	return s.packed[i], nil
}

// lister tells the list to others.
type lister struct {
	mu       sync.Mutex // guards what follows; taken before the table's
	snapshot *snapshot
	// readers are those that the list is told to, and when they asked last.
	readers map[peer.Incarnation]time.Time
	// referred are those that have it by now, the last ones.
	referred []peer.Incarnation
}

// refer draws a process that has the list; empty where none is known.
func (l *lister) refer() peer.Incarnation {
	if len(l.referred) == 0 {
		return ""
	}
	return l.referred[rand.IntN(len(l.referred))]
}

// finished notes that a process has asked for its last part.
func (l *lister) finished(reader peer.Incarnation) {
	delete(l.readers, reader)
	if len(l.referred) == mostReferred {
		l.referred = l.referred[1:]
	}
	l.referred = append(l.referred, reader)
}

// admit tells whether a process may read now.
func (l *lister) admit(reader peer.Incarnation, now time.Time) bool {
	for id, at := range l.readers {
		if now.Sub(at) > readerIdle {
			delete(l.readers, id)
		}
	}
	if _, reading := l.readers[reader]; !reading && len(l.readers) >= mostReaders {
		return false
	}
	l.readers[reader] = now
	return true
}

// serve answers a question for a part.
func (l *lister) serve(call partCall, table *pool.Table, now time.Time) (partAnswer, error) {
	if !table.Loaded() {
		return partAnswer{Refused: true}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admit(call.Reader, now) {
		return partAnswer{Refused: true, Try: l.refer()}, nil
	}
	if l.snapshot == nil || now.Sub(l.snapshot.at) > snapshotAge && table.LastChangeRevision() > l.snapshot.asOf {
		entries, asOf := table.Entries(now)
		l.snapshot = snapshotOf(entries, asOf, now)
	}
	s := l.snapshot
	if call.Part < 0 || call.Part >= len(s.parts) {
		return partAnswer{Of: len(s.parts)}, nil
	}
	if call.Part == len(s.parts)-1 {
		l.finished(call.Reader) // it has asked for the others before
	}
	entries, err := s.part(call.Part)
	return partAnswer{Of: len(s.parts), AsOf: s.asOf, AgeMS: now.Sub(s.at).Milliseconds(), Entries: entries}, err
}

// forget drops a list that nobody reads.
func (l *lister) forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.snapshot != nil && now.Sub(l.snapshot.at) > snapshotIdle {
		l.snapshot = nil
	}
}
