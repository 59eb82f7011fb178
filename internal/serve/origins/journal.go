package origins

import (
	"hash/fnv"
	"slices"
	"strconv"
)

// shardCount is the number of parts into which streams are divided. Each has one process that writes its
// records to the table.
const shardCount = 8

// shardOf returns the shard of a stream.
func shardOf(key Key) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % shardCount)
}

// segment is a row with records that this process writes. It is rewritten as long as it isn't full.
type segment struct {
	shard, number int
	entries       []entry
	expires       uint32
	// changes counts the additions, saved how many of them are in the table.
	changes, saved int
}

// stray is a row that may appear after a write that got no answer.
type stray struct {
	key     string
	expires uint32
}

// strayTime is how long after its last record a stray is dropped, in seconds.
const strayTime = 30

// journal holds the records that this process writes to the table. It isn't safe for concurrent use.
type journal struct {
	process  string
	segments []*segment
	known    map[Key]entry
	strays   []stray
	lastID   int
}

func newJournal(process string) *journal {
	return &journal{process: process, known: map[Key]entry{}}
}

// add adds a record. It reports false if there is no room.
func (j *journal) add(e entry) bool {
	if was, known := j.known[e.key]; known && was.origin == e.origin && was.expires >= e.expires {
		return true
	}
	if len(j.known) >= maxRecords || len(e.origin.Service) > maxNameBytes || len(e.origin.Version) > maxNameBytes {
		return false
	}
	j.known[e.key] = e
	s := j.open(shardOf(e.key))
	s.entries = append(s.entries, e)
	s.expires = max(s.expires, e.expires)
	s.changes++
	return true
}

// open returns the segment of a shard that isn't full.
func (j *journal) open(shard int) *segment {
	for _, s := range j.segments {
		if s.shard == shard && len(s.entries) < maxSegmentEntries {
			return s
		}
	}
	s := &segment{shard: shard, number: j.nextNumber()}
	j.segments = append(j.segments, s)
	return s
}

func (j *journal) nextNumber() int {
	j.lastID++
	return j.lastID
}

func (j *journal) keyOf(s *segment) string {
	return segmentPrefix(s.shard, j.process) + strconv.Itoa(s.number)
}

// dirty reports whether there are records that aren't in the table.
func (j *journal) dirty() bool {
	for _, s := range j.segments {
		if s.changes > s.saved {
			return true
		}
	}
	return false
}

// flush is one write of the journal.
type flush struct {
	sent    []*segment
	changes []int // of the segments sent, when they were encoded
	expired []*segment
	strays  int
	// now is when it was prepared, in seconds of the table's clock.
	now uint32
	Changes
}

// prepare returns the rows to write and to drop, at most limit. now is in seconds of the table's clock.
func (j *journal) prepare(now uint32, limit int) flush {
	f := flush{now: now}
	for _, s := range j.segments {
		if len(f.Puts)+len(f.Drops) >= limit {
			break
		}
		switch {
		case s.expires < now:
			f.expired = append(f.expired, s)
			if s.saved > 0 {
				f.Drops = append(f.Drops, Row{Key: j.keyOf(s)})
			}
		case s.changes > s.saved:
			value, err := encodeSegment(s.entries)
			if err != nil {
				s.saved = s.changes
				continue
			}
			f.sent, f.changes = append(f.sent, s), append(f.changes, s.changes)
			f.Puts = append(f.Puts, Row{Key: j.keyOf(s), Value: value})
		}
	}
	for _, s := range j.strays {
		if s.expires+strayTime >= now || len(f.Puts)+len(f.Drops) >= limit {
			break
		}
		f.strays++
		f.Drops = append(f.Drops, Row{Key: s.key})
	}
	return f
}

// written records that a write has been applied.
func (j *journal) written(f flush) {
	for i, s := range f.sent {
		s.saved = f.changes[i]
	}
	j.strays = j.strays[f.strays:]
	gone := map[*segment]bool{}
	for _, s := range f.expired {
		if s.expires >= f.now { // it has got records since its row was dropped
			s.saved = 0
			continue
		}
		gone[s] = true
		j.forget(s)
	}
	kept := j.segments[:0]
	for _, s := range j.segments {
		if !gone[s] {
			kept = append(kept, s)
		}
	}
	j.segments = kept
}

// forget removes the records of a segment.
func (j *journal) forget(s *segment) {
	for _, e := range s.entries {
		if j.known[e.key] == e {
			delete(j.known, e.key)
		}
	}
	s.entries = nil
}

// expire removes the records of expired segments from memory. Their rows are dropped with the next write. now is in
// seconds of the table's clock.
func (j *journal) expire(now uint32) {
	for _, s := range j.segments {
		if s.expires < now {
			j.forget(s)
		}
	}
}

// unanswered records that a write may be applied later. Its segments get new keys: a write that is late must not
// replace or drop a newer row.
func (j *journal) unanswered(f flush) {
	for _, s := range slices.Concat(f.sent, f.expired) {
		j.strays = append(j.strays, stray{key: j.keyOf(s), expires: s.expires})
		s.number, s.saved = j.nextNumber(), 0
	}
}

// lost has all records written again: the table has come back without them.
func (j *journal) lost() {
	for _, s := range j.segments {
		s.saved = 0
	}
}
