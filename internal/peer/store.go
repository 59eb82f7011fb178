package peer

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
)

// Limits per topic. The item that expires first is evicted first.
const (
	maxTopicItems = 8192
	maxTopicBytes = 4 << 20
	// MaxItemBytes is the maximum size of an item's body.
	MaxItemBytes = 64 << 10
	maxTTL       = 24 * time.Hour
	buckets      = 32
)

// stamp identifies a version of an item: the hash of origin and key, then the
// version.
type stamp [2]uint64

// store holds the items of all topics. It isn't safe for concurrent use and does no
// I/O.
type store struct {
	topics map[Topic]*topicItems
	// tombstoneTTL is how long the version of an expired item is remembered, so that a
	// copy that arrives late isn't taken for a new item.
	tombstoneTTL time.Duration
	evicted      int
}

type topicItems struct {
	entries map[uint64]*entry
	bytes   int
	// sums holds the XOR of the checksums of the live entries in each bucket.
	sums [buckets]uint32
}

type entry struct {
	Item
	hash    uint64
	expires time.Time
	live    bool
}

func newStore(tombstoneTTL time.Duration) *store {
	return &store{topics: map[Topic]*topicItems{}, tombstoneTTL: tombstoneTTL}
}

func itemHash(origin Incarnation, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(origin)) // a hash.Hash never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return member.MixBits(h.Sum64())
}

func (e *entry) stamp() stamp { return stamp{e.hash, e.Version} }

func (e *entry) checksum() uint32 { return uint32(member.MixBits(e.hash + e.Version)) }

func bucketOf(hash uint64) int { return int(hash % buckets) }

func (s *store) topicItems(topic Topic) *topicItems {
	held := s.topics[topic]
	if held == nil {
		held = &topicItems{entries: map[uint64]*entry{}}
		s.topics[topic] = held
	}
	return held
}

// put stores an item whose TTL counts from now. It returns the entry if the item is new or
// a newer version, else nil.
func (s *store) put(item Item, now time.Time) *entry {
	if item.TTL <= 0 || len(item.Body) > MaxItemBytes {
		return nil
	}
	topicItems := s.topicItems(item.Topic)
	hash := itemHash(item.Origin, item.Key)
	if held := topicItems.entries[hash]; held != nil {
		if held.Version >= item.Version {
			return nil
		}
		topicItems.drop(held)
	}
	item.TTL = min(item.TTL, maxTTL)
	added := &entry{Item: item, hash: hash, expires: now.Add(item.TTL), live: true}
	topicItems.entries[hash] = added
	topicItems.bytes += added.size()
	topicItems.sums[bucketOf(hash)] ^= added.checksum()
	s.evict(topicItems)
	return added
}

func (e *entry) size() int { return len(e.Body) + len(e.Key) + len(e.Origin) }

// expire marks an entry as expired and drops its body; the version stays remembered.
func (s *topicItems) expire(e *entry) {
	if !e.live {
		return
	}
	s.bytes -= e.size()
	s.sums[bucketOf(e.hash)] ^= e.checksum()
	e.live = false
	e.Body = nil
}

func (s *topicItems) drop(e *entry) {
	s.expire(e)
	delete(s.entries, e.hash)
}

func (s *store) evict(topicItems *topicItems) {
	for len(topicItems.entries) > maxTopicItems || topicItems.bytes > maxTopicBytes {
		var first *entry
		for _, e := range topicItems.entries {
			if first == nil || e.expires.Before(first.expires) {
				first = e
			}
		}
		topicItems.drop(first)
		s.evicted++
	}
}

// sweep expires entries and drops those that were remembered long enough.
func (s *store) sweep(now time.Time) {
	for _, topicItems := range s.topics {
		for _, e := range topicItems.entries {
			if !now.Before(e.expires) {
				topicItems.expire(e)
			}
			if now.Sub(e.expires) > s.tombstoneTTL {
				topicItems.drop(e)
			}
		}
	}
}

// remaining returns the item with the TTL that it has left. If the original TTL were sent,
// an item that processes keep passing to each other would never expire.
func (e *entry) remaining(now time.Time) Item {
	item := e.Item
	item.TTL = e.expires.Sub(now)
	return item
}

func (s *store) items(topic Topic, now time.Time) []Item {
	held := s.topics[topic]
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
	held := s.topics[topic]
	if held == nil || held.entries[hash] == nil {
		return 0, false
	}
	return held.entries[hash].Version, true
}

// itemDigest holds the sums of a topic's buckets, 4 bytes each.
type itemDigest []byte

func (s *topicItems) digest() itemDigest {
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
	for topic, topicItems := range s.topics {
		if topicItems.sums != ([buckets]uint32{}) {
			digests[topic] = topicItems.digest()
		}
	}
	return digests
}

// itemDiff lists what a process holds in the buckets where the digests differ.
type itemDiff struct {
	Buckets []int   `json:"b"`
	Stamps  []stamp `json:"s"`
}

// differing compares the digests of a peer with this process's own.
func (s *store) differing(theirs map[Topic]itemDigest) map[Topic]itemDiff {
	differing := map[Topic]itemDiff{}
	for topic := range theirs {
		s.topicItems(topic)
	}
	for topic, topicItems := range s.topics {
		var diff itemDiff
		differs := [buckets]bool{}
		for bucket, sum := range topicItems.sums {
			if sum != theirs[topic].sum(bucket) {
				differs[bucket] = true
				diff.Buckets = append(diff.Buckets, bucket)
			}
		}
		if len(diff.Buckets) == 0 {
			continue
		}
		for _, e := range topicItems.entries {
			if e.live && differs[bucketOf(e.hash)] {
				diff.Stamps = append(diff.Stamps, e.stamp())
			}
		}
		differing[topic] = diff
	}
	return differing
}

// compare returns the items that the peer lacks and the stamps of those to request
// from it.
func (s *store) compare(theirs map[Topic]itemDiff, now time.Time) (send []Item, want map[Topic][]stamp) {
	want = map[Topic][]stamp{}
	for topic, diff := range theirs {
		topicItems := s.topicItems(topic)
		theirVersion := make(map[uint64]uint64, len(diff.Stamps))
		for _, st := range diff.Stamps {
			theirVersion[st[0]] = st[1]
			if held := topicItems.entries[st[0]]; held == nil || held.Version < st[1] {
				want[topic] = append(want[topic], st)
			}
		}
		differs := [buckets]bool{}
		for _, bucket := range diff.Buckets {
			differs[((bucket%buckets)+buckets)%buckets] = true
		}
		for _, e := range topicItems.entries {
			version, known := theirVersion[e.hash]
			lacks := !known || version < e.Version
			if e.live && differs[bucketOf(e.hash)] && lacks {
				send = append(send, e.remaining(now))
			}
		}
	}
	return send, want
}

// wanted returns the live items that a peer requested.
func (s *store) wanted(want map[Topic][]stamp, now time.Time) []Item {
	var items []Item
	for topic, stamps := range want {
		for _, st := range stamps {
			held := s.topicItems(topic).entries[st[0]]
			if held != nil && held.live && now.Before(held.expires) {
				items = append(items, held.remaining(now))
			}
		}
	}
	return items
}

// wireItem is the compact encoding of an Item, with the TTL in milliseconds.
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

// size estimates the encoded size of an item.
func (w wireItem) size() int {
	const names = 40
	return names + len(w.Topic) + len(w.Origin) + len(w.Key) + len(w.Body)
}
