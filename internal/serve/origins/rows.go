package origins

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Rows is a table of rows outside of the processes, in which origins outlive all of them.
type Rows interface {
	// ReadOrigins returns all rows.
	ReadOrigins(ctx context.Context) (Contents, error)
	// WriteOrigins applies all changes or none. The error is ErrConflict or ErrRejected if certainly none was
	// applied. After other errors they may be applied later.
	WriteOrigins(ctx context.Context, changes Changes) (Moment, error)
	// Era returns the latest known era of the table. A table that comes back from a copy, without what was
	// written since, is in a later era.
	Era() uint64
}

// Errors of Rows.
var (
	// ErrConflict means that a row to drop has another revision than expected.
	ErrConflict = errors.New("row has changed")
	// ErrRejected means that the table refused a call.
	ErrRejected = errors.New("call was rejected")
)

// Row is a row of the table.
type Row struct {
	Key   string
	Value []byte
	// Revision changes with each write of the row.
	Revision uint64
}

// Moment is when the table answered.
type Moment struct {
	Era uint64
	// Now is the time of the table's steady clock.
	Now time.Duration
}

// Contents is the content of the table at some moment.
type Contents struct {
	Moment
	Rows []Row
}

// Changes are changes of the table that are applied together.
type Changes struct {
	Puts []Row
	// Drops are the rows to remove. Those with a Revision must have it.
	Drops []Row
}

// Empty reports whether there is nothing to change.
func (c Changes) Empty() bool { return len(c.Puts) == 0 && len(c.Drops) == 0 }

const (
	prefixVersion = "v/"
	prefixSegment = "s/"
	// maxKeyBytes is the largest length of a row's key.
	maxKeyBytes = 200
)

// versionRow is the value of the row of a version at which streams may have begun.
type versionRow struct {
	Service string `json:"service"`
	Version string `json:"version"`
	// CompleteMS is the time of the table's clock from which the rows of the service have all versions of
	// streams that can still be taken up.
	CompleteMS int64 `json:"complete_ms"`
	// Era is the era of the table in which the row was written, 0 if it is unknown.
	Era uint64 `json:"era,omitempty"`
}

// fromCopy reports whether the row is older than the table's return from a copy, which may lack other rows.
func (r versionRow) fromCopy(era uint64) bool { return r.Era > 0 && r.Era < era }

// versionKey returns the key of the row of a version.
func versionKey(o Origin) string {
	key := prefixVersion + url.PathEscape(o.Service) + "/" + url.PathEscape(o.Version)
	if len(key) > maxKeyBytes {
		sum := sha256.Sum256([]byte(o.Service + "\x00" + o.Version))
		return prefixVersion + "sha256/" + base64.RawURLEncoding.EncodeToString(sum[:])
	}
	return key
}

// entry is the record of one stream in the table.
type entry struct {
	key    Key
	origin Origin
	// expires is in seconds of the table's clock.
	expires uint32
}

// segmentRow is the value of a row with records.
type segmentRow struct {
	Origins []Origin `json:"origins"`
	// Records has recordBytes for each record: the key, the index of its origin and its expiry.
	Records []byte `json:"records"`
}

const (
	keyBytes    = 16
	recordBytes = keyBytes + 2 + 4
	// maxSegmentEntries keeps a row at about 4 KB.
	maxSegmentEntries = 128
	// maxNameBytes limits the services and versions that are kept, and so the size of a row.
	maxNameBytes = 150
)

// encodeSegment returns the value of the row that holds the records.
func encodeSegment(entries []entry) ([]byte, error) {
	var row segmentRow
	index := map[Origin]int{}
	for _, e := range entries {
		at, known := index[e.origin]
		if !known {
			at = len(row.Origins)
			index[e.origin] = at
			row.Origins = append(row.Origins, e.origin)
		}
		key, err := base64.RawStdEncoding.DecodeString(string(e.key))
		if err != nil || len(key) != keyBytes {
			return nil, fmt.Errorf("invalid key %q", e.key)
		}
		row.Records = append(row.Records, key...)
		row.Records = binary.BigEndian.AppendUint16(row.Records, uint16(at))
		row.Records = binary.BigEndian.AppendUint32(row.Records, e.expires)
	}
	return json.Marshal(row)
}

var errSegment = errors.New("invalid segment")

// decodeSegment returns the records that a row holds.
func decodeSegment(value []byte) ([]entry, error) {
	var row segmentRow
	if err := json.Unmarshal(value, &row); err != nil {
		return nil, err
	}
	if len(row.Records)%recordBytes != 0 {
		return nil, errSegment
	}
	entries := make([]entry, 0, len(row.Records)/recordBytes)
	for rest := row.Records; len(rest) > 0; rest = rest[recordBytes:] {
		at := int(binary.BigEndian.Uint16(rest[keyBytes:]))
		if at >= len(row.Origins) {
			return nil, errSegment
		}
		entries = append(entries, entry{
			key: Key(base64.RawStdEncoding.EncodeToString(rest[:keyBytes])), origin: row.Origins[at],
			expires: binary.BigEndian.Uint32(rest[keyBytes+2:]),
		})
	}
	return entries, nil
}

// segmentPrefix returns the start of the keys of a process's segments in a shard.
func segmentPrefix(shard int, process string) string {
	return prefixSegment + strconv.Itoa(shard) + "/" + process + "/"
}

// processName returns the part of a segment's key that names its process.
func processName(incarnation string) string {
	name := url.PathEscape(incarnation)
	if len(name) > maxKeyBytes/2 {
		sum := sha256.Sum256([]byte(incarnation))
		return base64.RawURLEncoding.EncodeToString(sum[:])
	}
	return name
}

// snapshot is what the rows of the table say.
type snapshot struct {
	versions []versionRow
	// revisions has the revision of the row of each version.
	revisions map[Origin]uint64
	entries   map[Key]entry
	// segments has the segments, with the expiry of their last record.
	segments []storedSegment
	// unreadable has the keys of the rows that can't be decoded.
	unreadable []string
}

type storedSegment struct {
	row     Row
	expires uint32
}

// decode decodes the rows of the table.
func decode(rows []Row) snapshot {
	s := snapshot{revisions: map[Origin]uint64{}, entries: map[Key]entry{}}
	for _, row := range rows {
		switch {
		case strings.HasPrefix(row.Key, prefixVersion):
			var v versionRow
			if err := json.Unmarshal(row.Value, &v); err != nil || v.Service == "" {
				s.unreadable = append(s.unreadable, row.Key)
				continue
			}
			s.versions = append(s.versions, v)
			s.revisions[v.origin()] = row.Revision
		case strings.HasPrefix(row.Key, prefixSegment):
			entries, err := decodeSegment(row.Value)
			if err != nil {
				s.unreadable = append(s.unreadable, row.Key)
				continue
			}
			stored := storedSegment{row: row}
			for _, e := range entries {
				stored.expires = max(stored.expires, e.expires)
				if e.expires >= s.entries[e.key].expires {
					s.entries[e.key] = e
				}
			}
			s.segments = append(s.segments, stored)
		}
	}
	return s
}

func (r versionRow) origin() Origin { return Origin{Service: r.Service, Version: r.Version} }

// origins returns the versions in the table.
func (s *snapshot) origins() []Origin {
	list := make([]Origin, 0, len(s.versions))
	for _, v := range s.versions {
		list = append(list, v.origin())
	}
	return list
}

func (r versionRow) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and a number can be encoded
	}
	return value
}
