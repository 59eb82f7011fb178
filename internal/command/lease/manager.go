package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Partition holds the leases by the name of the pool.
const Partition = "lease"

// MaxLeases bounds how many leases one read of the partition returns.
const MaxLeases = 1000

// cyclesPerTerm is how often in a term a holder renews and a taker looks.
const cyclesPerTerm = 4

// Manager asks for the leases of pools and renews them.
type Manager struct {
	table  backing.Table
	me     peer.Incarnation
	clock  Clock
	length time.Duration
	// seen is used by Cycle and Release alone, which must not run at once.
	seen map[string]*ObservedRow

	mu    sync.Mutex // guards terms
	terms map[string]Term
}

// NewManager builds a Manager for one process. length is the term, the same
// for all stewards; a holder that vanishes is replaced after about one and
// a quarter terms.
func NewManager(table backing.Table, me peer.Incarnation, clock Clock, length time.Duration) *Manager {
	return &Manager{
		table:  table,
		me:     me,
		clock:  clock,
		length: length,
		seen:   map[string]*ObservedRow{},
		terms:  map[string]Term{},
	}
}

// Period is how often to call Cycle.
func (m *Manager) Period() time.Duration { return m.length / cyclesPerTerm }

// Check returns the fencing token of a pool's lease if this process certainly
// holds it now. Call it right before each order, not once for many.
func (m *Manager) Check(pool string) (token uint64, holds bool) {
	m.mu.Lock()
	term := m.terms[pool]
	m.mu.Unlock()
	if !term.Holds(m.clock()) {
		return 0, false
	}
	return term.Token, true
}

// AcquireOrRenew reads the leases and asks for those of the pools that are free or our
// own. An error ends it early; terms that were granted go on until they end.
func (m *Manager) AcquireOrRenew(ctx context.Context, pools []string) error {
	if err := m.read(ctx); err != nil {
		return err
	}
	for _, pool := range pools {
		ask := Decide(m.me, m.seen[pool], m.clock())
		if !ask.Acquire {
			continue
		}
		if err := m.ask(ctx, pool, ask); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) read(ctx context.Context) error {
	rows, err := m.table.Scan(ctx, Partition, "", MaxLeases)
	if err != nil {
		return err
	}
	now := m.clock()
	for _, row := range rows {
		if err := m.observe(row, now); err != nil {
			return err
		}
	}
	return nil
}

func (m *Manager) observe(row backing.Row, now Instant) error {
	body, err := Decode(row)
	if err != nil {
		return err
	}
	m.seen[row.Sort] = Observe(m.seen[row.Sort], body, row.Version, now)
	return nil
}

// ask makes one asking. Where its answer is lost the term before it goes on to
// its end, and the next cycle finds the row, which is our own if the asking
// took effect, and asks anew: a term never begins with a lost answer.
func (m *Manager) ask(ctx context.Context, pool string, ask AcquireDecision) error {
	asked := m.clock()
	body := Row{Holder: m.me, TermMS: m.length.Milliseconds()}
	write := m.write(pool, body, ask)
	conflicts, err := m.table.Commit(ctx, []backing.Write{write})
	if err != nil {
		return err
	}
	if len(conflicts) > 0 {
		return nil
	}
	version := backing.NextVersion(write)
	m.seen[pool] = &ObservedRow{Row: body, Version: version, Since: m.clock()}
	m.set(pool, Term{Token: version, RequestedAt: asked, Length: m.length})
	return nil
}

func (m *Manager) write(pool string, body Row, ask AcquireDecision) backing.Write {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("lease: encode: %v", err))
	}
	key := backing.Key{Partition: Partition, Sort: pool}
	return backing.Write{Row: backing.Row{Key: key, Body: raw}, If: ask.If, Version: ask.Version}
}

func (m *Manager) set(pool string, term Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terms[pool] = term
}

// Release gives up every lease that this process holds, so that another need
// not wait for its end. Call it when no order is on its way any more.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.terms
	m.terms = map[string]Term{}
	m.mu.Unlock()
	var failed []error
	for pool, term := range held {
		failed = append(failed, m.release(ctx, pool, term.Token))
	}
	return errors.Join(failed...)
}

// release writes a second time where the row is our own at a later version:
// then the answer to our last renewal was lost.
func (m *Manager) release(ctx context.Context, pool string, version uint64) error {
	body := Row{Holder: m.me, TermMS: m.length.Milliseconds(), Released: true}
	for {
		ask := AcquireDecision{If: backing.IfVersion, Version: version}
		conflicts, err := m.table.Commit(ctx, []backing.Write{m.write(pool, body, ask)})
		if err != nil || len(conflicts) == 0 {
			return err
		}
		found := conflicts[0].Found
		if found == nil || found.Version == version {
			return nil
		}
		row, err := Decode(*found)
		if err != nil || row.Holder != m.me || row.Released {
			return err
		}
		version = found.Version
	}
}

// Decode reads the body of a lease's row.
func Decode(row backing.Row) (Row, error) {
	var body Row
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return body, fmt.Errorf("lease: row %s: %w", row.Sort, err)
	}
	return body, nil
}
