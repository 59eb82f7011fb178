package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// The full target list is sent between processes in parts of some tens of KB, so that on a
// slow link no message delays the ones behind it for long. A target's ID determines its
// part, so parts received from different processes can be combined into one list.

const methodList = "follow.list"

const (
	// maxPartEntries is the approximate maximum number of entries per part.
	maxPartEntries = 512
	// snapshotMaxAge is how long parts are served from the same snapshot while the list
	// changes; a reader that has all parts asks for the changes since. snapshotTTL is how
	// long a snapshot is kept.
	snapshotMaxAge = time.Second
	snapshotTTL    = 5 * time.Second
	// maxReaders limits how many processes a process sends the list to at the same time. A
	// reader that hasn't asked for readerTimeout no longer counts.
	maxReaders    = 8
	readerTimeout = time.Second
	// maxReferred limits how many processes that have received the list are remembered as
	// referrals for refused readers.
	maxReferred = 16
)

// partRequest requests one part of the list.
type partRequest struct {
	Reader peer.Incarnation `json:"reader"`
	Part   int              `json:"part"`
}

// partResponse is the response to a partRequest.
type partResponse struct {
	// Refused means that the process doesn't have the list itself or is sending it to too
	// many others at the moment.
	Refused bool `json:"refused,omitempty"`
	// Referral is a process that has recently received the full list; it may be set when
	// Refused is.
	Referral peer.Incarnation `json:"try,omitempty"`
	// PartCount is the number of parts of the list. AsOf is the revision that this part
	// reflects.
	PartCount int               `json:"of,omitempty"`
	AsOf      revision.Revision `json:"as_of,omitempty"`
	// AgeMS is the age of the part; the times in its entries are relative to its creation.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Entries is a packed []pool.Entry.
	Entries []byte `json:"entries,omitempty"`
	// HasVersions means that the entries have the software versions of targets. Processes of earlier
	// releases don't set it.
	HasVersions bool `json:"versions,omitempty"`
}

// snapshot is the list at one revision, split into parts.
type snapshot struct {
	asOf      revision.Revision
	createdAt time.Time
	parts     [][]pool.Entry
	// packed caches parts that have been requested; their entries in parts are released.
	packed [][]byte
}

func snapshotOf(entries []pool.Entry, asOf revision.Revision, now time.Time) *snapshot {
	count := pool.PartitionCount(len(entries), maxPartEntries)
	s := &snapshot{asOf: asOf, createdAt: now, parts: make([][]pool.Entry, count), packed: make([][]byte, count)}
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

// listServer sends the target list to peers.
type listServer struct {
	mu       sync.Mutex // guards the fields below; acquired before the lock of the target table
	snapshot *snapshot
	// readers maps the processes that are receiving the list to the time of their last
	// request.
	readers map[peer.Incarnation]time.Time
	// referred lists the last processes that have received the whole list.
	referred []peer.Incarnation
}

// referral returns a random process that has the list; empty if none is known.
func (l *listServer) referral() peer.Incarnation {
	if len(l.referred) == 0 {
		return ""
	}
	return l.referred[rand.IntN(len(l.referred))]
}

// noteFinished records that a process has requested the last part.
func (l *listServer) noteFinished(reader peer.Incarnation) {
	delete(l.readers, reader)
	if len(l.referred) == maxReferred {
		l.referred = l.referred[1:]
	}
	l.referred = append(l.referred, reader)
}

// admit reports whether a process may read the list now.
func (l *listServer) admit(reader peer.Incarnation, now time.Time) bool {
	for id, lastRequest := range l.readers {
		if now.Sub(lastRequest) > readerTimeout {
			delete(l.readers, id)
		}
	}
	if _, reading := l.readers[reader]; !reading && len(l.readers) >= maxReaders {
		return false
	}
	l.readers[reader] = now
	return true
}

// serve answers a request for a part.
func (l *listServer) serve(request partRequest, table *pool.Table, now time.Time) (partResponse, error) {
	if !table.Loaded() {
		return partResponse{Refused: true}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admit(request.Reader, now) {
		return partResponse{Refused: true, Referral: l.referral()}, nil
	}
	if l.snapshot == nil || now.Sub(l.snapshot.createdAt) > snapshotMaxAge && table.LastChangeRevision() > l.snapshot.asOf {
		entries, asOf := table.Entries(now)
		l.snapshot = snapshotOf(entries, asOf, now)
	}
	s := l.snapshot
	if request.Part < 0 || request.Part >= len(s.parts) {
		return partResponse{PartCount: len(s.parts)}, nil
	}
	if request.Part == len(s.parts)-1 {
		l.noteFinished(request.Reader) // readers request the parts in order
	}
	entries, err := s.part(request.Part)
	return partResponse{PartCount: len(s.parts), AsOf: s.asOf, AgeMS: now.Sub(s.createdAt).Milliseconds(), Entries: entries, HasVersions: true}, err
}

// dropExpired releases a snapshot older than snapshotTTL.
func (l *listServer) dropExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.snapshot != nil && now.Sub(l.snapshot.createdAt) > snapshotTTL {
		l.snapshot = nil
	}
}
