package peer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/member"
)

// A whole fleet starts and joins through one seed. The seed must not announce every
// member to every other one: they find each other by comparing views, which sends each
// record once.
func TestJoinAnnouncementsAreLimited(t *testing.T) {
	n, err := New(Options{Self: Member{Zone: "a", Region: "r"}, Keys: []string{testKey}, Period: time.Second})
	assert.NilError(t, err)
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	announced := 0
	for i := range 2000 {
		joined := member.Record{ID: fmt.Sprint("m", i), Start: 1, PeerAddress: fmt.Sprint("10.0.0.1:", i), Zone: "a", Region: "r"}
		announced += len(n.limitJoins(n.applyClaims([]member.Record{joined}, now), isJoin, now))
	}
	assert.Equal(t, announced, maxJoinsAnnounced)
	assert.Equal(t, n.table.MemberCount(), 2000)
	assert.Assert(t, n.compareScheduled, "a comparison must be scheduled for the members that weren't announced")
	suspect := member.Record{ID: "m7", Start: 1, PeerAddress: "10.0.0.1:7", Zone: "a", Region: "r", State: member.Suspect}
	assert.Equal(t, len(n.limitJoins(n.applyClaims([]member.Record{suspect}, now), isJoin, now)), 1, "a suspicion is always announced")
}

// Pings of a process that is short of CPU time out. It must not consider others dead
// because of that.
func TestLateTicksShowCPUShortage(t *testing.T) {
	var h health
	const period = 500 * time.Millisecond
	h.tick(0, period)
	assert.Assert(t, !h.overloaded())
	h.tick(10*time.Millisecond, period)
	assert.Assert(t, !h.overloaded(), "slight lateness is normal")
	h.tick(100*time.Millisecond, period)
	for range ticksAfterLateness - 1 {
		assert.Assert(t, h.overloaded())
		h.tick(0, period)
	}
	h.tick(0, period)
	assert.Assert(t, !h.overloaded(), "the shortage is over")
}
