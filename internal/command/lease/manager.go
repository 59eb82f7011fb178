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

// Partition is the table partition of the leases; the sort key is the pool's
// name.
const Partition = "lease"

// pageSize is the number of leases that one read returns.
const pageSize = 1000

// cyclesPerLeaseTerm is how often per term a holder renews its leases and other
// processes check them.
const cyclesPerLeaseTerm = 4

// Manager acquires and renews the leases of pools.
type Manager struct {
	table  backing.Table
	self   peer.Incarnation
	clock  Clock
	length time.Duration
	// observed is used only by AcquireOrRenew and Release, which must not run
	// concurrently.
	observed map[string]*ObservedRow

	mu    sync.Mutex // guards terms
	terms map[string]Term
}

// NewManager returns a Manager for one process. length is the term, which must
// be the same for all stewards. A holder that disappears is replaced after
// about one and a quarter terms.
func NewManager(table backing.Table, self peer.Incarnation, clock Clock, length time.Duration) *Manager {
	return &Manager{
		table:    table,
		self:     self,
		clock:    clock,
		length:   length,
		observed: map[string]*ObservedRow{},
		terms:    map[string]Term{},
	}
}

// Period is the interval at which to call AcquireOrRenew.
func (m *Manager) Period() time.Duration { return m.length / cyclesPerLeaseTerm }

// Check returns the fencing token of a pool's lease if this process certainly
// holds it now. Call it immediately before each order, not once for several
// orders.
func (m *Manager) Check(pool string) (token uint64, holds bool) {
	m.mu.Lock()
	term := m.terms[pool]
	m.mu.Unlock()
	if !term.Holds(m.clock()) {
		return 0, false
	}
	return term.Token, true
}

// AcquireOrRenew reads the leases and requests those of the given pools that
// are free or already our own. A pool whose request fails doesn't keep the
// others from being renewed; the error joins those of all pools.
func (m *Manager) AcquireOrRenew(ctx context.Context, pools []string) error {
	if err := m.read(ctx); err != nil {
		return err
	}
	var errs []error
	for _, pool := range pools {
		decision := Decide(m.self, m.observed[pool], m.clock())
		if !decision.Acquire {
			continue
		}
		if err := m.acquire(ctx, pool, decision); err != nil {
			errs = append(errs, fmt.Errorf("lease: pool %s: %w", pool, err))
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errors.Join(errs...)
}

// VisitAll calls visit for the row of each lease, and ends at its first error.
func VisitAll(ctx context.Context, table backing.Table, visit func(backing.Row) error) error {
	return backing.ScanAll(ctx, table, Partition, "", pageSize, visit)
}

func (m *Manager) read(ctx context.Context) error {
	return VisitAll(ctx, m.table, func(row backing.Row) error { return m.observe(row, m.clock()) })
}

func (m *Manager) observe(row backing.Row, now Instant) error {
	body, err := Decode(row)
	if err != nil {
		return err
	}
	m.observed[row.Sort] = Observe(m.observed[row.Sort], body, row.Version, now)
	return nil
}

// acquire makes one request for a lease. If its answer is lost, the previous
// term remains valid until its end. The next call then finds the row, which is
// our own if the request took effect, and requests the lease again: a term
// never starts from a lost answer.
func (m *Manager) acquire(ctx context.Context, pool string, decision AcquireDecision) error {
	requestedAt := m.clock()
	body := Row{Holder: m.self, TermMS: m.length.Milliseconds()}
	write := m.leaseWrite(pool, body, decision)
	conflicts, err := m.table.Commit(ctx, []backing.Write{write})
	if err != nil {
		return err
	}
	if len(conflicts) > 0 {
		return nil
	}
	version := backing.NextVersion(write)
	m.observed[pool] = &ObservedRow{Row: body, Version: version, Since: m.clock()}
	m.setTerm(pool, Term{Token: version, RequestedAt: requestedAt, Length: m.length})
	return nil
}

func (m *Manager) leaseWrite(pool string, body Row, decision AcquireDecision) backing.Write {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("lease: encode row: %v", err))
	}
	key := backing.Key{Partition: Partition, Sort: pool}
	return backing.Write{Row: backing.Row{Key: key, Body: raw}, If: decision.If, Version: decision.Version}
}

func (m *Manager) setTerm(pool string, term Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terms[pool] = term
}

// Release gives up all leases of this process, so that another process need not
// wait for the end of their terms. Call it when no order is in flight any more.
func (m *Manager) Release(ctx context.Context) error {
	m.mu.Lock()
	held := m.terms
	m.terms = map[string]Term{}
	m.mu.Unlock()
	var errs []error
	for pool, term := range held {
		errs = append(errs, m.release(ctx, pool, term.Token))
	}
	return errors.Join(errs...)
}

// release writes again if the row is our own at a later version: then the
// answer to our last renewal was lost.
func (m *Manager) release(ctx context.Context, pool string, version uint64) error {
	body := Row{Holder: m.self, TermMS: m.length.Milliseconds(), Released: true}
	for {
		decision := AcquireDecision{If: backing.IfVersion, Version: version}
		conflicts, err := m.table.Commit(ctx, []backing.Write{m.leaseWrite(pool, body, decision)})
		if err != nil || len(conflicts) == 0 {
			return err
		}
		found := conflicts[0].Found
		if found == nil || found.Version == version {
			return nil
		}
		row, err := Decode(*found)
		if err != nil || row.Holder != m.self || row.Released {
			return err
		}
		version = found.Version
	}
}

// Decode decodes the body of a lease's row.
func Decode(row backing.Row) (Row, error) {
	var body Row
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return body, fmt.Errorf("lease: decode row of pool %s: %w", row.Sort, err)
	}
	return body, nil
}
