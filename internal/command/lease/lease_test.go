package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

const termLength = 10 * time.Second

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func instantAt(mono, wall time.Duration) Instant { return Instant{Mono: mono, Wall: noon.Add(wall)} }

func TestTermHolds(t *testing.T) {
	term := Term{Token: 1, RequestedAt: instantAt(0, 0), Length: termLength}
	cases := []struct {
		name string
		now  Instant
		want bool
	}{
		{"fresh", instantAt(time.Second, time.Second), true},
		{"a tenth before its end", instantAt(9*time.Second, 9*time.Second), false},
		{"over", instantAt(time.Minute, time.Minute), false},
		{"suspended VM: monotonic clock stopped", instantAt(time.Second, time.Minute), false},
		{"wall clock set back", instantAt(5*time.Second, -time.Hour), false},
		{"wall clock set forward", instantAt(time.Second, time.Hour), false},
		{"clocks drift a little", instantAt(5*time.Second, 5500*time.Millisecond), true},
	}
	for _, c := range cases {
		assert.Equal(t, term.Holds(c.now), c.want, c.name)
	}
	assert.Equal(t, Term{Length: termLength}.Holds(instantAt(0, 0)), false)
}

func TestDecide(t *testing.T) {
	other := Row{Holder: "b", TermMS: termLength.Milliseconds()}
	released := other
	released.Released = true
	cases := []struct {
		name string
		seen *ObservedRow
		now  Instant
		want AcquireDecision
	}{
		{"no row", nil, instantAt(0, 0), AcquireDecision{Acquire: true, If: backing.IfAbsent}},
		{"own", &ObservedRow{Row: Row{Holder: "a"}, Version: 3}, instantAt(0, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"released", &ObservedRow{Row: released, Version: 3}, instantAt(0, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"waited a term", &ObservedRow{Row: other, Version: 3}, instantAt(termLength, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"only the wall clock advanced", &ObservedRow{Row: other, Version: 3}, instantAt(time.Second, termLength), AcquireDecision{}},
		{"waited less than a term", &ObservedRow{Row: other, Version: 3}, instantAt(termLength-1, termLength), AcquireDecision{}},
	}
	for _, c := range cases {
		assert.Equal(t, Decide("a", c.seen, c.now), c.want, c.name)
	}
}

// process is a Manager with clocks that the test sets.
type process struct {
	*Manager
	now Instant
}

func newProcess(store *memory.Store, me string) *process {
	p := &process{now: instantAt(0, 0)}
	p.Manager = NewManager(store, peer.Incarnation(me), func() Instant { return p.now }, termLength)
	return p
}

func (p *process) advance(d time.Duration) {
	p.now = Instant{Mono: p.now.Mono + d, Wall: p.now.Wall.Add(d)}
}

// A steward is paused for longer than its lease while another one takes over
// the pool. When it resumes it must notice that before it sends orders, or two
// stewards would send an engine conflicting orders.
func TestPausedHolderLosesLease(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	oldToken, holds := a.Check("llm")
	assert.Assert(t, holds)
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds = b.Check("llm")
	assert.Assert(t, !holds)
	a.advance(termLength)
	b.advance(termLength)
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	newToken, holds := b.Check("llm")
	assert.Assert(t, holds)
	assert.Assert(t, newToken > oldToken)
	_, holds = a.Check("llm")
	assert.Assert(t, !holds)
}

// The answer to a renewal is lost after the write took effect. The holder keeps
// the lease until the end of the term it knows of, and acquires it again in the
// next cycle without waiting for its own row to expire.
func TestRenewalWithLostAnswer(t *testing.T) {
	store := memory.New()
	a := newProcess(store, "a")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	a.advance(termLength / 2)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	assert.ErrorIs(t, a.AcquireOrRenew(t.Context(), pools), backing.ErrUnknown)
	_, holds := a.Check("llm")
	assert.Assert(t, holds)
	a.advance(termLength / 2)
	_, holds = a.Check("llm")
	assert.Assert(t, !holds)
	store.SetFaults(nil)
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	_, holds = a.Check("llm")
	assert.Assert(t, holds)
}

// A planned stop of a steward must not leave its pool without a steward for a
// whole term.
func TestReleasedLeaseIsAcquiredImmediately(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	assert.NilError(t, a.Release(t.Context()))
	_, holds := a.Check("llm")
	assert.Assert(t, !holds)
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds = b.Check("llm")
	assert.Assert(t, holds)
	token, _ := b.Check("llm")
	assert.Equal(t, token, uint64(3))
}

// The answer to the last renewal before a planned stop is lost. The lease must
// be released nevertheless.
func TestReleaseAfterRenewalWithLostAnswer(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	assert.ErrorIs(t, a.acquire(t.Context(), "llm", Decide("a", a.observed["llm"], a.now)), backing.ErrUnknown)
	store.SetFaults(nil)
	assert.NilError(t, a.Release(t.Context()))
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds := b.Check("llm")
	assert.Assert(t, holds)
}

// Guards against a pool whose renewal fails and costs all pools after it their leases.
func TestFailedRenewalDoesNotKeepOthersFromBeingRenewed(t *testing.T) {
	store := memory.New()
	a := newProcess(store, "a")
	pools := []string{"encoder", "llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	a.advance(termLength / 2)
	store.SetFaults(func(c memory.Call) memory.Fault {
		if c.Write && c.Writes[0].Row.Sort == "encoder" {
			return memory.NotRun
		}
		return memory.None
	})
	assert.Assert(t, a.AcquireOrRenew(t.Context(), pools) != nil)
	a.advance(termLength * 3 / 4)
	_, holds := a.Check("llm")
	assert.Assert(t, holds, "the other pool's lease wasn't renewed")
}

// Guards against leases beyond the first page that are never read, and look free.
func TestLeasesBeyondTheFirstPageAreRead(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	var pools []string
	for i := range pageSize + 1 {
		pools = append(pools, fmt.Sprintf("pool-%04d", i))
	}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	assert.NilError(t, a.Release(t.Context()))
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds := b.Check(pools[pageSize])
	assert.Assert(t, holds)
}
