package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/memory"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// TestMain runs the model with a fixed seed, so that the result is
// reproducible, and with enough checks and steps to find deliberately inserted
// faults. Flags override these settings.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.steps": "120"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const modelPool = "llm"

// machine is a system of stewards whose store loses, delays and refuses calls
// and whose processes are paused and suspended at any point. It uses real
// Managers.
type machine struct {
	t         *rapid.T
	store     *memory.Store
	now       time.Duration // true time
	processes []*modelProc
	// delayed are writes without an answer that may still take effect.
	delayed [][]backing.Write
	// orders have been sent and not yet executed.
	orders []modelOrder
	// highestToken is the highest token that the engine has received.
	highestToken uint64
	senders      map[uint64]peer.Incarnation // by the tokens under which orders were sent
}

type modelOrder struct {
	from  peer.Incarnation
	token uint64
}

type modelProc struct {
	*Manager
	m    *machine
	name peer.Incarnation
	// rate is the speed of the monotonic clock relative to true time.
	rate float64
	mono time.Duration
	wall time.Duration
	// canSuspend selects whether this VM is suspended at times or its wall
	// clock is set at times. Never both: the two effects can cancel each other,
	// and no clock could detect that.
	canSuspend bool
	suspended  bool
	inCall     bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, store: memory.New(), senders: map[uint64]peer.Incarnation{}}
	for i := range 3 {
		p := &modelProc{
			m:          m,
			name:       peer.Incarnation(fmt.Sprint(i)),
			rate:       rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
			canSuspend: rapid.Bool().Draw(t, "suspends"),
		}
		p.Manager = NewManager(modelTable{p}, p.name, p.clock, termLength)
		m.processes = append(m.processes, p)
	}
	return m
}

func (p *modelProc) clock() Instant { return Instant{Mono: p.mono, Wall: noon.Add(p.wall)} }

func (m *machine) advance(d time.Duration) {
	m.now += d
	for _, p := range m.processes {
		p.wall += d
		if !p.suspended {
			p.mono += time.Duration(float64(d) * p.rate)
		}
	}
}

func (m *machine) maybeAdvance(name string) {
	if rapid.IntRange(0, 3).Draw(m.t, name+" happens") > 0 {
		return
	}
	m.advance(time.Duration(rapid.Int64Range(0, int64(2*termLength)).Draw(m.t, name)))
}

func (m *machine) pick() *modelProc {
	p := rapid.SampledFrom(m.processes).Draw(m.t, "process")
	if p.suspended || p.inCall {
		m.t.Skip("process is suspended or in a call")
	}
	return p
}

// modelTable is the store as accessed by one process. Before and after each
// call, time may pass and another process may run.
type modelTable struct{ p *modelProc }

var errModel = errors.New("model")

func (t modelTable) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	return t.p.m.store.Get(ctx, key)
}

func (t modelTable) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	t.p.m.interleave("before a read")
	rows, err := t.p.m.store.Scan(ctx, partition, after, limit)
	t.p.m.interleave("after a read")
	return rows, err
}

func (t modelTable) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	m := t.p.m
	m.interleave("before a write")
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "delayed", "refused"}).Draw(m.t, "result") {
	case "lost":
		_, _ = m.store.Commit(ctx, writes)
		m.interleave("after a lost answer")
		return nil, backing.ErrUnknown
	case "delayed":
		m.delayed = append(m.delayed, writes)
		m.interleave("after a delayed write")
		return nil, backing.ErrUnknown
	case "refused":
		return nil, errors.Join(errModel, backing.ErrNotRun)
	default:
		conflicts, err := m.store.Commit(ctx, writes)
		m.interleave("after a write")
		return conflicts, err
	}
}

// interleave may run a whole cycle of another process, let time pass, and run
// another process again.
func (m *machine) interleave(when string) {
	m.maybeRunAnother(when + " first")
	m.maybeAdvance(when)
	m.check()
	m.maybeRunAnother(when + " then")
}

func (m *machine) maybeRunAnother(when string) {
	if rapid.IntRange(0, 3).Draw(m.t, when+" another acts") > 0 {
		return
	}
	p := rapid.SampledFrom(m.processes).Draw(m.t, when+" process")
	if !p.inCall && !p.suspended {
		p.cycle()
	}
}

func (p *modelProc) cycle() {
	p.inCall = true
	defer func() { p.inCall = false }()
	_ = p.AcquireOrRenew(context.Background(), []string{modelPool}) // its errors come from the store
}

// check verifies that no two processes hold the lease at the same time.
func (m *machine) check() {
	var holding []peer.Incarnation
	for _, p := range m.processes {
		if p.suspended {
			continue // it does nothing while suspended; its state counts once it resumes
		}
		if _, holds := p.Check(modelPool); holds {
			holding = append(holding, p.name)
		}
	}
	if len(holding) > 1 {
		m.t.Fatalf("at %s the lease is held by %v", m.now, holding)
	}
}

func (m *machine) Check(*rapid.T) { m.check() }

func (m *machine) Cycle(*rapid.T) { m.pick().cycle() }

func (m *machine) Wait(t *rapid.T) {
	m.advance(time.Duration(rapid.Int64Range(0, int64(termLength)).Draw(t, "wait")))
}

func (m *machine) Suspend(*rapid.T) {
	p := m.pick()
	if !p.canSuspend {
		m.t.Skip("not possible for this process")
	}
	p.suspended = true
}

func (m *machine) Resume(*rapid.T) {
	for _, p := range m.processes {
		p.suspended = false
	}
}

func (m *machine) SetWallClock(t *rapid.T) {
	p := m.pick()
	if p.canSuspend {
		t.Skip("not possible for this process")
	}
	p.wall += time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "jump"))
}

func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.processes)-1).Draw(t, "process")
	p := m.processes[i]
	if p.inCall {
		t.Skip("in a call")
	}
	p.name += "'"
	p.Manager = NewManager(modelTable{p}, p.name, p.clock, termLength)
}

func (m *machine) Release(*rapid.T) {
	p := m.pick()
	p.inCall = true
	_ = p.Manager.Release(context.Background())
	p.inCall = false
}

// LateWrite applies a delayed write if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "write")
	writes := m.delayed[i]
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
	_, _ = m.store.Commit(context.Background(), writes)
}

// Order checks the lease and sends an order, which may be in transit for any
// time.
func (m *machine) Order(t *rapid.T) {
	p := m.pick()
	token, holds := p.Check(modelPool)
	if !holds {
		t.Skip("no lease")
	}
	if other, found := m.senders[token]; found && other != p.name {
		t.Fatalf("token %d was given to %s and %s", token, other, p.name)
	}
	m.senders[token] = p.name
	m.orders = append(m.orders, modelOrder{from: p.name, token: token})
}

// Deliver executes an order at an engine that checks fencing tokens.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.orders) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.orders)-1).Draw(t, "order")
	o := m.orders[i]
	m.orders = append(m.orders[:i:i], m.orders[i+1:]...)
	if o.token < m.highestToken {
		return // refused
	}
	if before := m.senders[m.highestToken]; m.highestToken > 0 && o.token == m.highestToken && before != o.from {
		t.Fatalf("orders of %s and %s under token %d", before, o.from, o.token)
	}
	m.highestToken = o.token
}

// Stewards renew, take over, crash and are suspended in any order while the
// store loses answers and applies writes late. Two of them must never hold the
// lease of a pool at the same time or send orders under the same token: engines
// would receive conflicting orders, or an old order would be accepted as a new
// one.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
