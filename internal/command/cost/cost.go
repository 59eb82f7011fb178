// Package cost records the cost of requests, so that the cost of each stage can
// be attributed to the customer it served.
package cost

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/query/costs"
)

// DefaultPeriod is the interval at which a process writes its costs. Costs not
// yet written are lost if the process dies.
const DefaultPeriod = 10 * time.Second

// maxEntriesPerRow limits the size of a row: 1000 entries of about 250 bytes
// stay below the table's limit of 400 KB.
const maxEntriesPerRow = 1000

// Recorder accumulates costs in memory and writes them to the table. Use New.
type Recorder struct {
	table backing.Table
	self  peer.Incarnation
	now   func() time.Time
	log   *zap.Logger

	totalsMu sync.Mutex // guards totals; no other lock is taken while it is held
	totals   map[costs.Key]*costs.Amount

	// flushMu is taken before totalsMu. It guards the fields below.
	flushMu  sync.Mutex
	unsent   []backing.Write
	sequence uint64
	indexed  backing.Key // key of the last index row written
}

// New returns a Recorder for one process.
func New(table backing.Table, self peer.Incarnation, log *zap.Logger) *Recorder {
	return &Recorder{
		table:  table,
		self:   self,
		now:    time.Now,
		log:    logging.WithComponent(log, "cost"),
		totals: map[costs.Key]*costs.Amount{},
	}
}

// Add adds the cost of one call to a target. It does not wait for the store.
func (r *Recorder) Add(key costs.Key, amount costs.Amount) {
	r.totalsMu.Lock()
	defer r.totalsMu.Unlock()
	sum := r.totals[key]
	if sum == nil {
		sum = &costs.Amount{}
		r.totals[key] = sum
	}
	sum.Add(amount)
}

// Run writes the costs every period until the context ends. Call Flush
// afterwards.
func (r *Recorder) Run(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := r.Flush(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("Costs could not be written; retrying in the next period.", zap.Error(err))
		}
	}
}

// Flush writes all accumulated costs. Rows whose answer was lost are first
// written again unchanged: the row may have been stored, so costs that were
// added since must go into another row or would be counted twice. While the
// store is unavailable further costs accumulate in memory, bounded by the
// number of customers and stages.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flushMu.Lock()
	defer r.flushMu.Unlock()
	if err := r.commitUnsent(ctx); err != nil {
		return err
	}
	r.encodeTotals()
	return r.commitUnsent(ctx)
}

func (r *Recorder) commitUnsent(ctx context.Context) error {
	for len(r.unsent) > 0 {
		next := r.unsent[:min(len(r.unsent), maxRowsPerCommit)]
		if _, err := r.table.Commit(ctx, next); err != nil {
			return err
		}
		r.unsent = r.unsent[len(next):]
	}
	return nil
}

// maxRowsPerCommit keeps a transaction below the table's limit of 4 MB.
const maxRowsPerCommit = 10

// encodeTotals moves the accumulated costs into rows that no longer change.
func (r *Recorder) encodeTotals() {
	r.totalsMu.Lock()
	collected := r.totals
	r.totals = map[costs.Key]*costs.Amount{}
	r.totalsMu.Unlock()
	if len(collected) == 0 {
		return
	}
	at := r.now().UTC()
	if index := costs.IndexKey(r.self, at); index != r.indexed {
		r.enqueueWrite(index, costs.IndexRow{Incarnation: r.self})
		r.indexed = index
	}
	row := costs.Row{At: at}
	for key, amount := range collected {
		row.Entries = append(row.Entries, costs.Entry{Key: key, Amount: *amount})
		if len(row.Entries) == maxEntriesPerRow {
			r.enqueueRow(row)
			row.Entries = nil
		}
	}
	if len(row.Entries) > 0 {
		r.enqueueRow(row)
	}
}

func (r *Recorder) enqueueRow(row costs.Row) {
	r.sequence++
	r.enqueueWrite(costs.RowKey(r.self, r.sequence), row)
}

func (r *Recorder) enqueueWrite(key backing.Key, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("cost: encode %T: %v", body, err))
	}
	r.unsent = append(r.unsent, backing.Write{Row: backing.Row{Key: key, Body: raw}, If: backing.Always})
}
