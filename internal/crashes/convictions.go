package crashes

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

const (
	// convictionTTL is how long a conviction is in force, answeredTTL how long if requests with its traits were
	// answered before: something else may have changed. Targets may have been mended meanwhile.
	convictionTTL = 24 * time.Hour
	answeredTTL   = 10 * time.Minute
	// maxConvictions limits the convictions that a process keeps.
	maxConvictions = 256
	// maxConvictedTraits limits the traits of one conviction.
	maxConvictedTraits = 16
)

// Conviction says that requests with all of a set of traits crash their targets.
type Conviction struct {
	// Traits are sorted.
	Traits []Trait `json:"traits"`
	// Crashes is the number of targets that crashed when it was made.
	Crashes int `json:"crashes"`
	// Revision decides between two versions of the conviction of the same traits: the higher one holds.
	Revision uint64 `json:"revision"`
	// Answered means that requests with the traits were answered before.
	Answered bool `json:"answered,omitempty"`
	// Lifted means that the conviction is no longer in force.
	Lifted bool `json:"lifted,omitempty"`
}

// Key identifies the conviction's set of traits.
func (c Conviction) Key() string {
	h := fnv.New64a()
	for _, t := range c.Traits {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], uint64(t))
		_, _ = h.Write(b[:]) // a hash.Hash never fails
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

func (c Conviction) ttl() time.Duration {
	if c.Answered {
		return answeredTTL
	}
	return convictionTTL
}

// Names returns the traits as texts.
func (c Conviction) Names() []string {
	list := make([]string, 0, len(c.Traits))
	for _, t := range c.Traits {
		list = append(list, t.String())
	}
	return list
}

// valid reports whether a conviction from elsewhere can be used.
func (c Conviction) valid() bool {
	return len(c.Traits) > 0 && len(c.Traits) <= maxConvictedTraits && slices.IsSorted(c.Traits) &&
		c.Revision <= maxRevision && c.Crashes >= 0
}

// maxRevision bounds the revisions of convictions from elsewhere: one that can't be followed by a higher one could
// never be lifted.
const maxRevision = 1 << 60

// knownConviction is a conviction as one process holds it.
type knownConviction struct {
	Conviction
	since time.Time
}

// convictionSet holds the convictions that a process knows. Lifted ones are kept for their revisions.
type convictionSet struct{ byKey map[string]*knownConviction }

func newConvictionSet() *convictionSet {
	return &convictionSet{byKey: map[string]*knownConviction{}}
}

// merge adds a conviction and reports whether it is newer than what was known.
func (s *convictionSet) merge(c Conviction, now time.Time) bool {
	if !c.valid() {
		return false
	}
	known := s.byKey[c.Key()]
	if known != nil && known.Revision >= c.Revision {
		return false
	}
	if known == nil && len(s.byKey) >= maxConvictions {
		s.evict()
	}
	s.byKey[c.Key()] = &knownConviction{Conviction: c, since: now}
	return true
}

// add puts a conviction in force, whatever was known of its traits, and returns it with its revision.
func (s *convictionSet) add(c Conviction, now time.Time) Conviction {
	if known := s.byKey[c.Key()]; known != nil {
		c.Revision = known.Revision
	}
	c.Revision++
	s.merge(c, now)
	return c
}

// inForce reports whether the traits of a conviction are convicted.
func (s *convictionSet) inForce(c Conviction) bool {
	known := s.byKey[c.Key()]
	return known != nil && !known.Lifted
}

func (s *convictionSet) clone() *convictionSet { return &convictionSet{byKey: maps.Clone(s.byKey)} }

// evict removes a conviction: first those that are lifted, then those of contents, the oldest first.
func (s *convictionSet) evict() {
	rank := func(c *knownConviction) int {
		switch {
		case c.Lifted:
			return 0
		case c.Traits[0].IsContent():
			return 1
		default:
			return 2
		}
	}
	first := ""
	for key, c := range s.byKey {
		other := s.byKey[first]
		if other == nil || rank(c) < rank(other) || rank(c) == rank(other) && c.since.Before(other.since) {
			first = key
		}
	}
	delete(s.byKey, first)
}

// expire removes the convictions that were lifted long ago, or that no collector has lifted although their
// time is over. It reports whether there were any.
func (s *convictionSet) expire(now time.Time) bool {
	removed := false
	for key, c := range s.byKey {
		if now.Sub(c.since) > c.ttl()+evidenceTTL {
			delete(s.byKey, key)
			removed = true
		}
	}
	return removed
}

// active lists the convictions in force.
func (s *convictionSet) active() []*knownConviction {
	var list []*knownConviction
	for _, c := range s.byKey {
		if !c.Lifted {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *knownConviction) int { return slices.Compare(a.Traits, b.Traits) })
	return list
}

// convictionIndex finds the conviction of a request. It is immutable. The time that this takes doesn't
// grow with the number of convictions.
type convictionIndex struct {
	// byTrait holds the convictions by their first traits.
	byTrait map[Trait][]Conviction
}

func (s *convictionSet) index() *convictionIndex {
	x := &convictionIndex{byTrait: map[Trait][]Conviction{}}
	for _, c := range s.active() {
		x.byTrait[c.Traits[0]] = append(x.byTrait[c.Traits[0]], c.Conviction)
	}
	return x
}

// find returns the conviction that holds for a request.
func (x *convictionIndex) find(t Traits) (Conviction, bool) {
	if len(x.byTrait) == 0 {
		return Conviction{}, false
	}
	for _, c := range x.byTrait[t.Content] {
		return c, true
	}
	return x.findParts(t)
}

// findParts is find for convictions of parts.
func (x *convictionIndex) findParts(t Traits) (Conviction, bool) {
	for _, part := range t.Parts {
		for _, c := range x.byTrait[part] {
			if t.hasAll(c.Traits) {
				return c, true
			}
		}
	}
	return Conviction{}, false
}
