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

// TestMain has the models draw from one seed, deep enough to find the faults
// that were put in by hand, unless flags say otherwise. The verdict is then the
// same each time.
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
// and whose processes are paused and suspended at any point. The Managers are
// the real ones.
type machine struct {
	t     *rapid.T
	store *memory.Store
	now   time.Duration // true time
	procs []*modelProc
	// delayed are writes whose sender was told nothing and that may yet take
	// effect.
	delayed [][]backing.Write
	// orders were sent and not yet carried out.
	orders []modelOrder
	// seen is the highest token that the engine has seen.
	seen    uint64
	holders map[uint64]peer.Incarnation // of each token under which an order was sent
}

type modelOrder struct {
	from  peer.Incarnation
	token uint64
}

type modelProc struct {
	*Manager
	m    *machine
	name peer.Incarnation
	// rate is how fast the monotonic clock runs.
	rate float64
	mono time.Duration
	wall time.Duration
	// suspends says that this VM is suspended now and then; else its wall clock
	// is set now and then. Both at once can cancel out, and no clock could tell.
	suspends  bool
	suspended bool
	inCall    bool
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, store: memory.New(), holders: map[uint64]peer.Incarnation{}}
	for i := range 3 {
		p := &modelProc{
			m:        m,
			name:     peer.Incarnation(fmt.Sprint(i)),
			rate:     rapid.Float64Range(0.96, 1.04).Draw(t, "rate"),
			suspends: rapid.Bool().Draw(t, "suspends"),
		}
		p.Manager = NewManager(modelTable{p}, p.name, p.clock, length)
		m.procs = append(m.procs, p)
	}
	return m
}

func (p *modelProc) clock() Instant { return Instant{Mono: p.mono, Wall: noon.Add(p.wall)} }

func (m *machine) advance(d time.Duration) {
	m.now += d
	for _, p := range m.procs {
		p.wall += d
		if !p.suspended {
			p.mono += time.Duration(float64(d) * p.rate)
		}
	}
}

func (m *machine) drawPause(name string) {
	if rapid.IntRange(0, 3).Draw(m.t, name+" happens") > 0 {
		return
	}
	m.advance(time.Duration(rapid.Int64Range(0, int64(2*length)).Draw(m.t, name)))
}

func (m *machine) pick() *modelProc {
	p := rapid.SampledFrom(m.procs).Draw(m.t, "process")
	if p.suspended || p.inCall {
		m.t.Skip("process can't act")
	}
	return p
}

// modelTable is what one process sees of the store. Time passes, and another
// process may act, before and after each call.
type modelTable struct{ p *modelProc }

var errModel = errors.New("model")

func (t modelTable) Get(ctx context.Context, key backing.Key) (*backing.Row, error) {
	return t.p.m.store.Get(ctx, key)
}

func (t modelTable) Scan(ctx context.Context, partition, after string, limit int) ([]backing.Row, error) {
	t.p.m.meanwhile("before a read")
	rows, err := t.p.m.store.Scan(ctx, partition, after, limit)
	t.p.m.meanwhile("after a read")
	return rows, err
}

func (t modelTable) Commit(ctx context.Context, writes []backing.Write) ([]backing.Conflict, error) {
	m := t.p.m
	m.meanwhile("before a write")
	switch rapid.SampledFrom([]string{"answered", "answered", "lost", "delayed", "refused"}).Draw(m.t, "fate") {
	case "lost":
		_, _ = m.store.Commit(ctx, writes)
		m.meanwhile("after a lost answer")
		return nil, backing.ErrUnknown
	case "delayed":
		m.delayed = append(m.delayed, writes)
		m.meanwhile("after a delayed write")
		return nil, backing.ErrUnknown
	case "refused":
		return nil, errors.Join(errModel, backing.ErrNotRun)
	default:
		conflicts, err := m.store.Commit(ctx, writes)
		m.meanwhile("after a write")
		return conflicts, err
	}
}

// meanwhile lets another process make a whole cycle, time pass, and another
// process act again.
func (m *machine) meanwhile(when string) {
	m.another(when + " first")
	m.drawPause(when)
	m.check()
	m.another(when + " then")
}

func (m *machine) another(when string) {
	if rapid.IntRange(0, 3).Draw(m.t, when+" another acts") > 0 {
		return
	}
	p := rapid.SampledFrom(m.procs).Draw(m.t, when+" process")
	if !p.inCall && !p.suspended {
		p.cycle()
	}
}

func (p *modelProc) cycle() {
	p.inCall = true
	defer func() { p.inCall = false }()
	_ = p.AcquireOrRenew(context.Background(), []string{modelPool}) // its errors are the store's
}

// check is the promise: at no moment do two processes hold the lease.
func (m *machine) check() {
	var holding []peer.Incarnation
	for _, p := range m.procs {
		if p.suspended {
			continue // it does nothing; what it believes when it wakes counts
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
	m.advance(time.Duration(rapid.Int64Range(0, int64(length)).Draw(t, "wait")))
}

func (m *machine) Suspend(*rapid.T) {
	p := m.pick()
	if !p.suspends {
		m.t.Skip("not of that sort")
	}
	p.suspended = true
}

func (m *machine) Resume(*rapid.T) {
	for _, p := range m.procs {
		p.suspended = false
	}
}

func (m *machine) SetWallClock(t *rapid.T) {
	p := m.pick()
	if p.suspends {
		t.Skip("not of that sort")
	}
	p.wall += time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "jump"))
}

func (m *machine) Restart(t *rapid.T) {
	i := rapid.IntRange(0, len(m.procs)-1).Draw(t, "process")
	p := m.procs[i]
	if p.inCall {
		t.Skip("in a call")
	}
	p.name += "'"
	p.Manager = NewManager(modelTable{p}, p.name, p.clock, length)
}

func (m *machine) Release(*rapid.T) {
	p := m.pick()
	p.inCall = true
	_ = p.Manager.Release(context.Background())
	p.inCall = false
}

// LateWrite has a delayed write take effect, if its condition still holds.
func (m *machine) LateWrite(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "write")
	writes := m.delayed[i]
	m.delayed = append(m.delayed[:i:i], m.delayed[i+1:]...)
	_, _ = m.store.Commit(context.Background(), writes)
}

// Order checks the lease and sends an order; the order may be on its way for
// any time.
func (m *machine) Order(t *rapid.T) {
	p := m.pick()
	token, holds := p.Check(modelPool)
	if !holds {
		t.Skip("no lease")
	}
	if other, found := m.holders[token]; found && other != p.name {
		t.Fatalf("token %d was given to %s and %s", token, other, p.name)
	}
	m.holders[token] = p.name
	m.orders = append(m.orders, modelOrder{from: p.name, token: token})
}

// Deliver carries an order out at an engine that checks fencing tokens.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.orders) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.orders)-1).Draw(t, "order")
	o := m.orders[i]
	m.orders = append(m.orders[:i:i], m.orders[i+1:]...)
	if o.token < m.seen {
		return // refused
	}
	if before := m.holders[m.seen]; m.seen > 0 && o.token == m.seen && before != o.from {
		t.Fatalf("orders of %s and %s under token %d", before, o.from, o.token)
	}
	m.seen = o.token
}

// Stewards renew, take over, crash and are suspended in any order while the
// store loses answers and takes writes late. Never may two of them hold the
// lease of a pool, nor order under the same token: engines would be ordered
// back and forth, or an old order would pass for a new one.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}
