package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	testTimeouts = Timeouts{Suspect: 10 * time.Second, Leaving: 20 * time.Second, Tombstone: time.Minute}
	start        = time.Unix(1_000_000, 0)
	self         = record("self", 100)
)

func record(id string, started uint64) Record {
	return Record{ID: id, Start: started, PeerAddress: "addr-" + id, Zone: "a", Region: "r1"}
}

func withState(r Record, state State, seq uint64) Record {
	r.State = state
	r.Seq = seq
	return r
}

func withAddress(r Record, address string) Record {
	r.PeerAddress = address
	return r
}

type timedClaim struct {
	after time.Duration
	claim Record
}

func TestClaimPrecedence(t *testing.T) {
	x := record("x", 1)
	cases := []struct {
		name   string
		claims []timedClaim
		want   State
	}{
		{"first seen alive", []timedClaim{{0, x}}, Alive},
		{"first claim says dead", []timedClaim{{0, withState(x, Dead, 0)}}, Dead},
		{"suspicion supersedes alive with the same seq", []timedClaim{{0, x}, {0, withState(x, Suspect, 0)}, {0, x}}, Suspect},
		{"refutation supersedes suspicion", []timedClaim{{0, withState(x, Suspect, 0)}, {0, withState(x, Alive, 1)}}, Alive},
		{"old suspicion is ignored", []timedClaim{{0, withState(x, Alive, 2)}, {0, withState(x, Suspect, 1)}}, Alive},
		{"death of a live member only makes it suspect", []timedClaim{{0, x}, {0, withState(x, Dead, 0)}}, Suspect},
		{"death shortly after that is not accepted", []timedClaim{{0, x}, {0, withState(x, Dead, 0)}, {time.Second, withState(x, Dead, 1)}}, Suspect},
		{"death is accepted after time to refute", []timedClaim{{0, withState(x, Suspect, 0)}, {5 * time.Second, withState(x, Dead, 0)}}, Dead},
		{"death of a leaving member is accepted", []timedClaim{{0, withState(x, Leaving, 1)}, {0, withState(x, Dead, 1)}}, Dead},
		{"newer claim revives a dead member", []timedClaim{{0, withState(x, Dead, 3)}, {0, withState(x, Alive, 4)}}, Alive},
		{"old claim does not revive a dead member", []timedClaim{{0, withState(x, Dead, 3)}, {0, withState(x, Alive, 3)}}, Dead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(self, testTimeouts)
			for _, step := range c.claims {
				table.Apply(step.claim, start.Add(step.after))
			}
			got, found := table.Get("x")
			assert.Assert(t, found)
			assert.Equal(t, got.State, c.want)
		})
	}
}

func TestExpire(t *testing.T) {
	table := NewTable(self, testTimeouts)
	table.Apply(record("suspect", 1), start)
	table.Apply(withState(record("leaving", 1), Leaving, 1), start)
	changed := table.MarkSuspect("suspect", start)
	assert.Equal(t, changed[0].State, Suspect)
	assert.Equal(t, len(table.MarkSuspect("suspect", start)), 0)
	steps := []struct {
		after            time.Duration
		suspect, leaving State
	}{
		{9 * time.Second, Suspect, Leaving},
		{10 * time.Second, Dead, Leaving},
		{20 * time.Second, Dead, Dead},
	}
	for _, step := range steps {
		table.Expire(start.Add(step.after))
		suspect, _ := table.Get("suspect")
		leaving, _ := table.Get("leaving")
		assert.Equal(t, suspect.State, step.suspect, "after %s", step.after)
		assert.Equal(t, leaving.State, step.leaving, "after %s", step.after)
	}
	table.Expire(start.Add(70 * time.Second))
	_, found := table.Get("suspect")
	assert.Assert(t, !found, "the tombstone wasn't removed")
}

func TestOneAddressHasOneLiveIncarnation(t *testing.T) {
	old, fresh := record("old", 1), withAddress(record("fresh", 2), "addr-old")
	for name, order := range map[string][]Record{"old first": {old, fresh}, "fresh first": {fresh, old}} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(self, testTimeouts)
			for _, claim := range order {
				table.Apply(claim, start)
			}
			// The old process refutes its death, as one that wakes from a freeze does.
			table.Apply(withState(old, Alive, 9), start)
			living := table.LiveMembers()
			assert.Equal(t, len(living), 1)
			assert.Equal(t, living[0].ID, "fresh")
		})
	}
}

func TestSelfRaisesStartAboveOtherAtOwnAddress(t *testing.T) {
	table := NewTable(self, testTimeouts)
	changed := table.Apply(withAddress(record("old", 500), self.PeerAddress), start)
	assert.Equal(t, changed[len(changed)-1].ID, "self")
	assert.Equal(t, table.Self().Start, uint64(501))
	assert.Equal(t, len(table.LiveMembers()), 0)
	other := NewTable(record("other", 1), testTimeouts)
	other.Apply(self, start)
	other.Apply(withAddress(record("old", 500), self.PeerAddress), start)
	other.Apply(table.Self(), start)
	assert.Equal(t, other.LiveMembers()[0].ID, "self")
}

// Whatever is claimed of a process, in whatever order: once it hears the claim, it can refute
// it so that others accept that it is alive.
func TestLiveProcessCanAlwaysRefute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewTable(record("x", 5), testTimeouts)
		other := NewTable(self, testTimeouts)
		other.Apply(x.Self(), start)
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			claim := withState(x.Self(), State(rapid.IntRange(0, 3).Draw(t, "state")), uint64(rapid.IntRange(0, 6).Draw(t, "seq")))
			other.Apply(claim, now)
			other.Expire(now)
		}
		known, found := other.Get("x")
		if !found {
			return
		}
		x.Apply(known, now)
		other.Apply(x.Self(), now)
		known, _ = other.Get("x")
		assert.Equal(t, known.State, Alive)
	})
}

// Two processes that received different claims and then compare their views by digest and
// stamps agree, except on suspicion, after a few comparisons.
func TestComparedViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(record("a", 1), testTimeouts), NewTable(record("b", 1), testTimeouts)
		for range rapid.IntRange(0, 40).Draw(t, "claims") {
			claim := record(fmt.Sprint("m", rapid.IntRange(0, 9).Draw(t, "id")), 1)
			// The zone of an incarnation doesn't change.
			claim.Zone = []string{"a", "b"}[Hash(claim.ID)%2]
			claim = withState(claim, State(rapid.IntRange(0, 2).Draw(t, "state")), uint64(rapid.IntRange(0, 3).Draw(t, "seq")))
			rapid.SampledFrom([]*Table{a, b}).Draw(t, "hears").Apply(claim, start)
		}
		for range 3 {
			syncViews(a, b)
			syncViews(b, a)
		}
		assert.DeepEqual(t, a.Digest(), b.Digest())
		assert.Equal(t, len(a.DifferingStamps(b.Digest())), 0)
	})
}

func syncViews(a, b *Table) {
	give, want := a.CompareStamps(b.DifferingStamps(a.Digest()))
	for _, r := range give {
		b.Apply(r, start)
	}
	for _, r := range b.RecordsByHash(want) {
		a.Apply(r, start)
	}
}

func TestResetReturnsAddressesOnly(t *testing.T) {
	table := NewTable(self, testTimeouts)
	table.Apply(record("x", 1), start)
	table.Apply(withState(record("y", 1), Dead, 0), start)
	assert.DeepEqual(t, table.Reset(), []string{"addr-x"})
	assert.Equal(t, len(table.LiveMembers()), 0)
	assert.DeepEqual(t, table.Digest(), NewTable(self, testTimeouts).Digest())
}

// Guards against processes with equal records whose digests differ after a rejected claim of a death.
func TestDigestFollowsARejectedDeathClaim(t *testing.T) {
	x := record("x", 1)
	rejected, direct := NewTable(self, testTimeouts), NewTable(self, testTimeouts)
	rejected.Apply(withState(x, Suspect, 0), start)
	rejected.Apply(withState(x, Dead, 1), start.Add(time.Second))
	rejected.Apply(withState(x, Alive, 2), start.Add(2*time.Second))
	direct.Apply(withState(x, Alive, 2), start)
	assert.DeepEqual(t, rejected.Digest(), direct.Digest())
}
