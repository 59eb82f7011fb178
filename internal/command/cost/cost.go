// Package cost writes down what requests cost, so that each stage's cost can
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

// DefaultPeriod is how often a process writes its cost. What it gathered since
// is lost when it dies.
const DefaultPeriod = 10 * time.Second

// maxEntries bounds a row: 1000 entries of about 250 bytes stay below the
// table's bound of 400 KB.
const maxEntries = 1000

// Recorder gathers cost in memory and writes it in rows. Use New.
type Recorder struct {
	table backing.Table
	me    peer.Incarnation
	now   func() time.Time
	log   *zap.Logger

	gathering sync.Mutex // guards open; a leaf
	open      map[costs.Key]*costs.Amount

	// flushing is taken before gathering. It guards the fields below.
	flushing sync.Mutex
	sealed   []backing.Write
	sequence uint64
	indexed  backing.Key // of the last row of the index
}

// New builds a Recorder for one process.
func New(table backing.Table, me peer.Incarnation, log *zap.Logger) *Recorder {
	return &Recorder{
		table: table,
		me:    me,
		now:   time.Now,
		log:   logging.WithComponent(log, "cost"),
		open:  map[costs.Key]*costs.Amount{},
	}
}

// Add notes what one call at a target cost. It does not wait for the store.
func (r *Recorder) Add(key costs.Key, amount costs.Amount) {
	r.gathering.Lock()
	defer r.gathering.Unlock()
	sum := r.open[key]
	if sum == nil {
		sum = &costs.Amount{}
		r.open[key] = sum
	}
	sum.Add(amount)
}

// Run writes every period until the context ends. Call Flush afterwards.
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
			r.log.Warn("cost can't be written and is kept", zap.Error(err))
		}
	}
}

// Flush writes all that was gathered. Rows whose answer was lost are written
// again unchanged before anything else: the row may stand already, and what
// was gathered since must go into another one, or it would count twice. Until
// the store takes them the rest goes on gathering, in memory bounded by the
// number of customers and stages.
func (r *Recorder) Flush(ctx context.Context) error {
	r.flushing.Lock()
	defer r.flushing.Unlock()
	if err := r.send(ctx); err != nil {
		return err
	}
	r.seal()
	return r.send(ctx)
}

func (r *Recorder) send(ctx context.Context) error {
	for len(r.sealed) > 0 {
		next := r.sealed[:min(len(r.sealed), rowsAtOnce)]
		if _, err := r.table.Commit(ctx, next); err != nil {
			return err
		}
		r.sealed = r.sealed[len(next):]
	}
	return nil
}

// rowsAtOnce keeps a transaction below the table's bound of 4 MB.
const rowsAtOnce = 10

// seal turns what was gathered into rows that are not changed any more.
func (r *Recorder) seal() {
	r.gathering.Lock()
	gathered := r.open
	r.open = map[costs.Key]*costs.Amount{}
	r.gathering.Unlock()
	if len(gathered) == 0 {
		return
	}
	at := r.now().UTC()
	if index := costs.IndexKey(r.me, at); index != r.indexed {
		r.put(index, costs.IndexRow{Incarnation: r.me})
		r.indexed = index
	}
	row := costs.Row{At: at}
	for key, amount := range gathered {
		row.Entries = append(row.Entries, costs.Entry{Key: key, Amount: *amount})
		if len(row.Entries) == maxEntries {
			r.putRow(row)
			row.Entries = nil
		}
	}
	if len(row.Entries) > 0 {
		r.putRow(row)
	}
}

func (r *Recorder) putRow(row costs.Row) {
	r.sequence++
	r.put(costs.RowKey(r.me, r.sequence), row)
}

func (r *Recorder) put(key backing.Key, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("cost: encode %T: %v", body, err))
	}
	r.sealed = append(r.sealed, backing.Write{Row: backing.Row{Key: key, Body: raw}, If: backing.Always})
}
