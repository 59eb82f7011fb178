package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

const length = 10 * time.Second

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(mono, wall time.Duration) Instant { return Instant{Mono: mono, Wall: noon.Add(wall)} }

func TestTermHolds(t *testing.T) {
	term := Term{Token: 1, RequestedAt: at(0, 0), Length: length}
	cases := []struct {
		name string
		now  Instant
		want bool
	}{
		{"fresh", at(time.Second, time.Second), true},
		{"a tenth before its end", at(9*time.Second, 9*time.Second), false},
		{"over", at(time.Minute, time.Minute), false},
		{"suspended VM: monotonic clock stood still", at(time.Second, time.Minute), false},
		{"wall clock set back", at(5*time.Second, -time.Hour), false},
		{"wall clock set forward", at(time.Second, time.Hour), false},
		{"clocks drift a little", at(5*time.Second, 5500*time.Millisecond), true},
	}
	for _, c := range cases {
		assert.Equal(t, term.Holds(c.now), c.want, c.name)
	}
	assert.Equal(t, Term{Length: length}.Holds(at(0, 0)), false)
}

func TestDecide(t *testing.T) {
	other := Row{Holder: "b", TermMS: length.Milliseconds()}
	released := other
	released.Released = true
	cases := []struct {
		name string
		seen *ObservedRow
		now  Instant
		want AcquireDecision
	}{
		{"no row", nil, at(0, 0), AcquireDecision{Acquire: true, If: backing.IfAbsent}},
		{"own", &ObservedRow{Row: Row{Holder: "a"}, Version: 3}, at(0, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"released", &ObservedRow{Row: released, Version: 3}, at(0, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"waited a term", &ObservedRow{Row: other, Version: 3}, at(length, 0), AcquireDecision{Acquire: true, If: backing.IfVersion, Version: 3}},
		{"only the wall clock went on", &ObservedRow{Row: other, Version: 3}, at(time.Second, length), AcquireDecision{}},
		{"waited less", &ObservedRow{Row: other, Version: 3}, at(length-1, length), AcquireDecision{}},
	}
	for _, c := range cases {
		assert.Equal(t, Decide("a", c.seen, c.now), c.want, c.name)
	}
}

// process is a Manager with clocks that the test moves.
type process struct {
	*Manager
	now Instant
}

func newProcess(store *memory.Store, me string) *process {
	p := &process{now: at(0, 0)}
	p.Manager = NewManager(store, peer.Incarnation(me), func() Instant { return p.now }, length)
	return p
}

func (p *process) pass(d time.Duration) {
	p.now = Instant{Mono: p.now.Mono + d, Wall: p.now.Wall.Add(d)}
}

// A steward is paused for longer than its lease while another takes the pool.
// When it goes on it must find out before it orders anything, or two stewards
// would give an engine different orders.
func TestPausedHolderFindsOutBeforeItOrders(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	oldToken, holds := a.Check("llm")
	assert.Assert(t, holds)
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds = b.Check("llm")
	assert.Assert(t, !holds)
	a.pass(length)
	b.pass(length)
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	newToken, holds := b.Check("llm")
	assert.Assert(t, holds)
	assert.Assert(t, newToken > oldToken)
	_, holds = a.Check("llm")
	assert.Assert(t, !holds)
}

// The answer to a renewal is lost after it took effect. The holder goes on to
// the end of the term it knows of, and then holds again at the next cycle
// without waiting for its own row.
func TestLostAnswerOfARenewal(t *testing.T) {
	store := memory.New()
	a := newProcess(store, "a")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	a.pass(length / 2)
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	assert.ErrorIs(t, a.AcquireOrRenew(t.Context(), pools), backing.ErrUnknown)
	_, holds := a.Check("llm")
	assert.Assert(t, holds)
	a.pass(length / 2)
	_, holds = a.Check("llm")
	assert.Assert(t, !holds)
	store.SetFaults(nil)
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	_, holds = a.Check("llm")
	assert.Assert(t, holds)
}

// A steward that is stopped as planned must not leave its pool without
// a steward for a term.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
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

// The answer to the last renewal before a planned stop is lost. The lease is
// released all the same.
func TestReleaseAfterALostRenewal(t *testing.T) {
	store := memory.New()
	a, b := newProcess(store, "a"), newProcess(store, "b")
	pools := []string{"llm"}
	assert.NilError(t, a.AcquireOrRenew(t.Context(), pools))
	store.SetFaults(func(memory.Call) memory.Fault { return memory.LostAnswer })
	assert.ErrorIs(t, a.ask(t.Context(), "llm", Decide("a", a.seen["llm"], a.now)), backing.ErrUnknown)
	store.SetFaults(nil)
	assert.NilError(t, a.Release(t.Context()))
	assert.NilError(t, b.AcquireOrRenew(t.Context(), pools))
	_, holds := b.Check("llm")
	assert.Assert(t, holds)
}
