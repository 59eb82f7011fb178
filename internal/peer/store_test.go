package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var storeStart = time.Unix(1_000_000, 0)

func testItem(key string, version uint64, ttl time.Duration) Item {
	return Item{Topic: TopicChange, Origin: "o", Key: key, Version: version, TTL: ttl, Body: []byte(`1`)}
}

func TestStoreKeepsTheHighestVersion(t *testing.T) {
	s := newStore(time.Minute)
	assert.Assert(t, s.put(testItem("k", 2, time.Minute), storeStart) != nil)
	assert.Assert(t, s.put(testItem("k", 2, time.Minute), storeStart) == nil)
	assert.Assert(t, s.put(testItem("k", 1, time.Minute), storeStart) == nil)
	assert.Assert(t, s.put(testItem("k", 3, time.Minute), storeStart) != nil)
	assert.Assert(t, s.put(testItem("j", 1, 0), storeStart) == nil)
	items := s.items(TopicChange, storeStart.Add(20*time.Second))
	assert.Equal(t, len(items), 1)
	assert.Equal(t, items[0].Version, uint64(3))
	assert.Equal(t, items[0].TTL, 40*time.Second)
}

// An item expires at one process a moment before it does at another one, which then sends
// it again. If it were taken for a new item, it would live again, and be passed back and
// forth for ever.
func TestExpiredItemStaysExpired(t *testing.T) {
	s := newStore(time.Minute)
	s.put(testItem("k", 2, time.Second), storeStart)
	s.sweep(storeStart.Add(2 * time.Second))
	assert.Equal(t, len(s.items(TopicChange, storeStart.Add(2*time.Second))), 0)
	assert.Assert(t, s.put(testItem("k", 2, time.Second), storeStart.Add(2*time.Second)) == nil)
	s.sweep(storeStart.Add(2 * time.Minute))
	assert.Equal(t, len(s.topicItems(TopicChange).entries), 0)
}

func TestStoreIsBounded(t *testing.T) {
	s := newStore(time.Minute)
	for i := range maxTopicItems + 10 {
		s.put(testItem(fmt.Sprint(i), 1, time.Minute+time.Duration(i)), storeStart)
	}
	assert.Equal(t, len(s.topicItems(TopicChange).entries), maxTopicItems)
	assert.Equal(t, s.evicted, 10)
	_, found := s.version(TopicChange, itemHash("o", "9"))
	assert.Assert(t, !found, "items that expire first are evicted first")
	big := testItem("big", 1, time.Minute)
	big.Body = make([]byte, MaxItemBytes+1)
	assert.Assert(t, s.put(big, storeStart) == nil)
}

// Two stores that received different items hold the same ones after one comparison.
func TestComparedStoresAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newStore(time.Minute), newStore(time.Minute)
		for range rapid.IntRange(0, 200).Draw(t, "items") {
			item := testItem(fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "key")), uint64(rapid.IntRange(1, 4).Draw(t, "version")), time.Minute)
			item.Topic = rapid.SampledFrom([]Topic{TopicChange, TopicStop}).Draw(t, "topic")
			rapid.SampledFrom([]*store{a, b}).Draw(t, "hears").put(item, storeStart)
		}
		give, want := a.compare(b.differing(a.digests()), storeStart)
		for _, item := range give {
			b.put(item, storeStart)
		}
		for _, item := range b.wanted(want, storeStart) {
			a.put(item, storeStart)
		}
		assert.DeepEqual(t, a.digests(), b.digests())
		assert.Equal(t, len(a.differing(b.digests())), 0)
	})
}

func TestPacedIntervalGrowsWithProcesses(t *testing.T) {
	cases := []struct {
		processes, bytes int
		want             time.Duration
	}{
		{1, 100, 100 * time.Millisecond},
		{9, 200, 1800 * time.Millisecond},
		{640, 200, 128 * time.Second},
	}
	for _, c := range cases {
		assert.Equal(t, pacedInterval(c.processes, c.bytes, 1000), c.want)
	}
}

// While a VM is paused its monotonic clock stops, and only the boot-time clock shows the
// pause. If only the process is stopped, both clocks go on. A step of the wall clock, as
// may happen on any VM, must not be taken for a freeze: the process would forget its peers.
func TestFreezeDetector(t *testing.T) {
	now := time.Now()
	start := instant{mono: now, boot: time.Hour}
	after := func(mono, boot time.Duration) instant { return instant{mono: now.Add(mono), boot: time.Hour + boot} }
	cases := []struct {
		name string
		next instant
		want bool
	}{
		{"tick", after(time.Second, time.Second), false},
		{"stopped", after(6*time.Second, 6*time.Second), true},
		{"paused", after(time.Second, 6*time.Second), true},
		{"no boot-time clock", instant{mono: now.Add(time.Second)}, false},
		{"wall clock set forward", instant{mono: now.Add(time.Second), boot: time.Hour + time.Second}, false},
	}
	for _, c := range cases {
		detector := newFreezeDetector(start, 5*time.Second)
		assert.Equal(t, detector.frozen(c.next), c.want, c.name)
	}
	// The clocks that are read aren't the wall clock.
	first, second := instantOf(time.Now()), instantOf(time.Now().Round(0).Add(time.Hour))
	assert.Assert(t, second.boot-first.boot < time.Second)
}

func TestHealthIsBounded(t *testing.T) {
	var h health
	h.better()
	assert.Equal(t, h.scaledTimeout(time.Second), time.Second)
	for range 20 {
		h.worse()
	}
	assert.Equal(t, h.scaledTimeout(time.Second), (maxHealthScore+1)*time.Second)
	h.better()
	assert.Equal(t, h.scaledTimeout(time.Second), maxHealthScore*time.Second)
}
