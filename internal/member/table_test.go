package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var (
	testLimits = Limits{SuspectFor: 10 * time.Second, LeavingFor: 20 * time.Second, TombstoneFor: time.Minute}
	start      = time.Unix(1_000_000, 0)
	self       = record("self", 100)
)

func record(id string, started uint64) Record {
	return Record{ID: id, Start: started, PeerAddr: "addr-" + id, Zone: "a", Region: "r1"}
}

func in(r Record, state State, seq uint64) Record {
	r.State = state
	r.Seq = seq
	return r
}

func at(r Record, address string) Record {
	r.PeerAddr = address
	return r
}

type claimAt struct {
	after time.Duration
	claim Record
}

func TestWhichClaimStands(t *testing.T) {
	x := record("x", 1)
	cases := []struct {
		name   string
		claims []claimAt
		want   State
	}{
		{"first seen alive", []claimAt{{0, x}}, Alive},
		{"first heard of as dead", []claimAt{{0, in(x, Dead, 0)}}, Dead},
		{"suspicion stands over life of the same seq", []claimAt{{0, x}, {0, in(x, Suspect, 0)}, {0, x}}, Suspect},
		{"contradiction stands over suspicion", []claimAt{{0, in(x, Suspect, 0)}, {0, in(x, Alive, 1)}}, Alive},
		{"old suspicion is nothing", []claimAt{{0, in(x, Alive, 2)}, {0, in(x, Suspect, 1)}}, Alive},
		{"death isn't believed of one held alive", []claimAt{{0, x}, {0, in(x, Dead, 0)}}, Suspect},
		{"nor soon after", []claimAt{{0, x}, {0, in(x, Dead, 0)}, {time.Second, in(x, Dead, 1)}}, Suspect},
		{"but when it had time to contradict", []claimAt{{0, in(x, Suspect, 0)}, {5 * time.Second, in(x, Dead, 0)}}, Dead},
		{"death of one that leaves", []claimAt{{0, in(x, Leaving, 1)}, {0, in(x, Dead, 1)}}, Dead},
		{"return from the dead", []claimAt{{0, in(x, Dead, 3)}, {0, in(x, Alive, 4)}}, Alive},
		{"no return by an old claim", []claimAt{{0, in(x, Dead, 3)}, {0, in(x, Alive, 3)}}, Dead},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(self, testLimits)
			for _, step := range c.claims {
				table.Apply(step.claim, start.Add(step.after))
			}
			got, found := table.Get("x")
			assert.Assert(t, found)
			assert.Equal(t, got.State, c.want)
		})
	}
}

func TestTimePasses(t *testing.T) {
	table := NewTable(self, testLimits)
	table.Apply(record("suspect", 1), start)
	table.Apply(in(record("leaving", 1), Leaving, 1), start)
	changed := table.Suspect("suspect", start)
	assert.Equal(t, changed[0].State, Suspect)
	assert.Equal(t, len(table.Suspect("suspect", start)), 0)
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
	assert.Assert(t, !found, "the tombstone is kept")
}

func TestOneAddressHasOneLivingIncarnation(t *testing.T) {
	old, fresh := record("old", 1), at(record("fresh", 2), "addr-old")
	for name, order := range map[string][]Record{"old first": {old, fresh}, "fresh first": {fresh, old}} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(self, testLimits)
			for _, claim := range order {
				table.Apply(claim, start)
			}
			// The old one contradicts, as a frozen process does that wakes.
			table.Apply(in(old, Alive, 9), start)
			living := table.LiveMembers()
			assert.Equal(t, len(living), 1)
			assert.Equal(t, living[0].ID, "fresh")
		})
	}
}

func TestLaterStartAtOwnAddressIsOutbid(t *testing.T) {
	table := NewTable(self, testLimits)
	changed := table.Apply(at(record("old", 500), self.PeerAddr), start)
	assert.Equal(t, changed[len(changed)-1].ID, "self")
	assert.Equal(t, table.Self().Start, uint64(501))
	assert.Equal(t, len(table.LiveMembers()), 0)
	other := NewTable(record("other", 1), testLimits)
	other.Apply(self, start)
	other.Apply(at(record("old", 500), self.PeerAddr), start)
	other.Apply(table.Self(), start)
	assert.Equal(t, other.LiveMembers()[0].ID, "self")
}

// Whatever is claimed of a process, in whatever order, once it hears the
// claim it contradicts in a way that all believe.
func TestTheLivingCanAlwaysContradict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := NewTable(record("x", 5), testLimits)
		other := NewTable(self, testLimits)
		other.Apply(x.Self(), start)
		now := start
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second)
			claim := in(x.Self(), State(rapid.IntRange(0, 3).Draw(t, "state")), uint64(rapid.IntRange(0, 6).Draw(t, "seq")))
			other.Apply(claim, now)
			other.Expire(now)
		}
		held, found := other.Get("x")
		if !found {
			return
		}
		x.Apply(held, now)
		other.Apply(x.Self(), now)
		held, _ = other.Get("x")
		assert.Equal(t, held.State, Alive)
	})
}

// Two processes that heard different claims and then compare their views by
// digest and stamps come to believe the same, but for suspicion, within a few
// comparisons.
func TestComparedViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTable(record("a", 1), testLimits), NewTable(record("b", 1), testLimits)
		for range rapid.IntRange(0, 40).Draw(t, "claims") {
			claim := record(fmt.Sprint("m", rapid.IntRange(0, 9).Draw(t, "id")), 1)
			// The zone of an incarnation doesn't change.
			claim.Zone = []string{"a", "b"}[Hash(claim.ID)%2]
			claim = in(claim, State(rapid.IntRange(0, 2).Draw(t, "state")), uint64(rapid.IntRange(0, 3).Draw(t, "seq")))
			rapid.SampledFrom([]*Table{a, b}).Draw(t, "hears").Apply(claim, start)
		}
		for range 3 {
			exchange(a, b)
			exchange(b, a)
		}
		assert.DeepEqual(t, a.Digest(), b.Digest())
		assert.Equal(t, len(a.DifferingStamps(b.Digest())), 0)
	})
}

func exchange(a, b *Table) {
	give, want := a.CompareStamps(b.DifferingStamps(a.Digest()))
	for _, r := range give {
		b.Apply(r, start)
	}
	for _, r := range b.RecordsByHash(want) {
		a.Apply(r, start)
	}
}

func TestForgetLeavesOnlyAddresses(t *testing.T) {
	table := NewTable(self, testLimits)
	table.Apply(record("x", 1), start)
	table.Apply(in(record("y", 1), Dead, 0), start)
	assert.DeepEqual(t, table.Reset(), []string{"addr-x"})
	assert.Equal(t, len(table.LiveMembers()), 0)
	assert.DeepEqual(t, table.Digest(), NewTable(self, testLimits).Digest())
}
