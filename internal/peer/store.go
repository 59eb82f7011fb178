package peer

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
)

// Bounds of what is kept of one topic. The item that expires first goes first.
const (
	maxTopicItems = 8192
	maxTopicBytes = 4 << 20
	// MaxItemBytes bounds the body of one item.
	MaxItemBytes = 64 << 10
	maxTTL       = 24 * time.Hour
	buckets      = 32
)

// stamp names an item and its version: the hash of origin and key, then the
// version.
type stamp [2]uint64

// store keeps the items of all topics. It isn't safe for concurrent use and
// does no I/O.
type store struct {
	shelves map[Topic]*shelf
	// remember is how long the version of an expired item is kept, so that a
	// copy that comes late isn't taken for news.
	remember time.Duration
	evicted  int
}

type shelf struct {
	entries map[uint64]*entry
	bytes   int
	// sums is the XOR of the marks of the live entries in each bucket.
	sums [buckets]uint32
}

type entry struct {
	Item
	hash    uint64
	expires time.Time
	live    bool
}

func newStore(remember time.Duration) *store {
	return &store{shelves: map[Topic]*shelf{}, remember: remember}
}

func itemHash(origin Incarnation, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(origin)) // a hash.Hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return member.MixBits(h.Sum64())
}

func (e *entry) stamp() stamp { return stamp{e.hash, e.Version} }

func (e *entry) mark() uint32 { return uint32(member.MixBits(e.hash + e.Version)) }

func bucketOf(hash uint64) int { return int(hash % buckets) }

func (s *store) shelf(topic Topic) *shelf {
	held := s.shelves[topic]
	if held == nil {
		held = &shelf{entries: map[uint64]*entry{}}
		s.shelves[topic] = held
	}
	return held
}

// put takes in an item whose TTL counts from now. It gives the entry if the
// item is news, else nil.
func (s *store) put(item Item, now time.Time) *entry {
	if item.TTL <= 0 || len(item.Body) > MaxItemBytes {
		return nil
	}
	shelf := s.shelf(item.Topic)
	hash := itemHash(item.Origin, item.Key)
	if held := shelf.entries[hash]; held != nil {
		if held.Version >= item.Version {
			return nil
		}
		shelf.drop(held)
	}
	item.TTL = min(item.TTL, maxTTL)
	added := &entry{Item: item, hash: hash, expires: now.Add(item.TTL), live: true}
	shelf.entries[hash] = added
	shelf.bytes += added.size()
	shelf.sums[bucketOf(hash)] ^= added.mark()
	s.bound(shelf)
	return added
}

func (e *entry) size() int { return len(e.Body) + len(e.Key) + len(e.Origin) }

// expire ends the life of an entry; its version is still remembered.
func (s *shelf) expire(e *entry) {
	if !e.live {
		return
	}
	s.bytes -= e.size()
	s.sums[bucketOf(e.hash)] ^= e.mark()
	e.live = false
	e.Body = nil
}

func (s *shelf) drop(e *entry) {
	s.expire(e)
	delete(s.entries, e.hash)
}

func (s *store) bound(shelf *shelf) {
	for len(shelf.entries) > maxTopicItems || shelf.bytes > maxTopicBytes {
		var first *entry
		for _, e := range shelf.entries {
			if first == nil || e.expires.Before(first.expires) {
				first = e
			}
		}
		shelf.drop(first)
		s.evicted++
	}
}

// sweep expires and forgets.
func (s *store) sweep(now time.Time) {
	for _, shelf := range s.shelves {
		for _, e := range shelf.entries {
			if !now.Before(e.expires) {
				shelf.expire(e)
			}
			if now.Sub(e.expires) > s.remember {
				shelf.drop(e)
			}
		}
	}
}

// remaining is the item with the TTL that it has left. Sending the TTL anew
// would let an item live for ever between processes that pass it back and
// forth.
func (e *entry) remaining(now time.Time) Item {
	item := e.Item
	item.TTL = e.expires.Sub(now)
	return item
}

func (s *store) items(topic Topic, now time.Time) []Item {
	held := s.shelves[topic]
	if held == nil {
		return nil
	}
	items := make([]Item, 0, len(held.entries))
	for _, e := range held.entries {
		if e.live && now.Before(e.expires) {
			items = append(items, e.remaining(now))
		}
	}
	return items
}

func (s *store) version(topic Topic, hash uint64) (uint64, bool) {
	held := s.shelves[topic]
	if held == nil || held.entries[hash] == nil {
		return 0, false
	}
	return held.entries[hash].Version, true
}

// itemDigest is the sums of a topic's buckets, 4 bytes each.
type itemDigest []byte

func (s *shelf) digest() itemDigest {
	digest := make(itemDigest, 0, buckets*4)
	for _, sum := range s.sums {
		digest = append(digest, byte(sum>>24), byte(sum>>16), byte(sum>>8), byte(sum))
	}
	return digest
}

func (d itemDigest) sum(bucket int) uint32 {
	if len(d) != buckets*4 {
		return 0
	}
	at := d[bucket*4:]
	return uint32(at[0])<<24 | uint32(at[1])<<16 | uint32(at[2])<<8 | uint32(at[3])
}

func (s *store) digests() map[Topic]itemDigest {
	digests := map[Topic]itemDigest{}
	for topic, shelf := range s.shelves {
		if shelf.sums != ([buckets]uint32{}) {
			digests[topic] = shelf.digest()
		}
	}
	return digests
}

// itemDiff is what a process holds in the buckets where digests differ.
type itemDiff struct {
	Buckets []int   `json:"b"`
	Stamps  []stamp `json:"s"`
}

// differing compares another's digests with ours.
func (s *store) differing(theirs map[Topic]itemDigest) map[Topic]itemDiff {
	differing := map[Topic]itemDiff{}
	for topic := range theirs {
		s.shelf(topic)
	}
	for topic, shelf := range s.shelves {
		var diff itemDiff
		differs := [buckets]bool{}
		for bucket, sum := range shelf.sums {
			if sum != theirs[topic].sum(bucket) {
				differs[bucket] = true
				diff.Buckets = append(diff.Buckets, bucket)
			}
		}
		if len(diff.Buckets) == 0 {
			continue
		}
		for _, e := range shelf.entries {
			if e.live && differs[bucketOf(e.hash)] {
				diff.Stamps = append(diff.Stamps, e.stamp())
			}
		}
		differing[topic] = diff
	}
	return differing
}

// compare tells what the other side lacks and what we want of it.
func (s *store) compare(theirs map[Topic]itemDiff, now time.Time) (give []Item, want map[Topic][]stamp) {
	want = map[Topic][]stamp{}
	for topic, diff := range theirs {
		shelf := s.shelf(topic)
		theirVersion := make(map[uint64]uint64, len(diff.Stamps))
		for _, st := range diff.Stamps {
			theirVersion[st[0]] = st[1]
			if held := shelf.entries[st[0]]; held == nil || held.Version < st[1] {
				want[topic] = append(want[topic], st)
			}
		}
		differs := [buckets]bool{}
		for _, bucket := range diff.Buckets {
			differs[((bucket%buckets)+buckets)%buckets] = true
		}
		for _, e := range shelf.entries {
			version, known := theirVersion[e.hash]
			lacks := !known || version < e.Version
			if e.live && differs[bucketOf(e.hash)] && lacks {
				give = append(give, e.remaining(now))
			}
		}
	}
	return give, want
}

// wanted gives the live items that another asked for.
func (s *store) wanted(want map[Topic][]stamp, now time.Time) []Item {
	var items []Item
	for topic, stamps := range want {
		for _, st := range stamps {
			held := s.shelf(topic).entries[st[0]]
			if held != nil && held.live && now.Before(held.expires) {
				items = append(items, held.remaining(now))
			}
		}
	}
	return items
}

// wireItem is an Item on the wire, short, with the TTL in milliseconds.
type wireItem struct {
	Topic   Topic           `json:"t"`
	Origin  Incarnation     `json:"o"`
	Key     string          `json:"k,omitempty"`
	Version uint64          `json:"v"`
	TTL     int64           `json:"l"`
	Body    json.RawMessage `json:"b,omitempty"`
}

func toWire(item Item) wireItem {
	millis := math.Ceil(float64(item.TTL) / float64(time.Millisecond))
	return wireItem{
		Topic: item.Topic, Origin: item.Origin, Key: item.Key,
		Version: item.Version, TTL: int64(millis), Body: item.Body,
	}
}

func (w wireItem) item() Item {
	return Item{
		Topic: w.Topic, Origin: w.Origin, Key: w.Key, Version: w.Version,
		TTL: time.Duration(min(w.TTL, maxTTL.Milliseconds())) * time.Millisecond, Body: w.Body,
	}
}

// size estimates the bytes of an item on the wire.
func (w wireItem) size() int {
	const names = 40
	return names + len(w.Topic) + len(w.Origin) + len(w.Key) + len(w.Body)
}
