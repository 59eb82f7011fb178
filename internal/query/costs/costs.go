// Package costs sums what requests cost, by customer and stage. Its row layout
// is shared with command/cost, which writes the rows.
package costs

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// PartitionIndex holds a row for each day on which a process wrote cost rows,
// since the table can't list its partitions.
const PartitionIndex = "cost"

// dayFormat makes the rows of the index sort by time.
const dayFormat = "2006-01-02"

// Partition holds the cost rows of one process by sequence number.
func Partition(of peer.Incarnation) string { return PartitionIndex + "/" + string(of) }

// RowKey is the key of one cost row. A row that is written again under its key
// counts once.
func RowKey(of peer.Incarnation, sequence uint64) backing.Key {
	return backing.Key{Partition: Partition(of), Sort: fmt.Sprintf("%020d", sequence)}
}

// IndexKey is the key of a process's row in the index.
func IndexKey(of peer.Incarnation, at time.Time) backing.Key {
	return backing.Key{Partition: PartitionIndex, Sort: at.UTC().Format(dayFormat) + "/" + string(of)}
}

// IndexRow is the body of a row of the index.
type IndexRow struct {
	Incarnation peer.Incarnation `json:"incarnation"`
}

// Key says whose cost it is and what for. Calls of a plain service stand under
// its name as pipeline and stage.
type Key struct {
	Customer string `json:"customer"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
}

// WasteReason says why a call at a target was of no use.
type WasteReason string

// Amount is what calls at targets cost. The zero value is nothing.
type Amount struct {
	// Requests counts the calls that were of use.
	Requests int64 `json:"requests"`
	// EngineUS is the time that targets say all calls took, in microseconds.
	EngineUS int64 `json:"engine_us"`
	// EstimatedUS is the part of EngineUS that no target told: of calls that
	// were cancelled or broke.
	EstimatedUS      int64 `json:"estimated_us,omitempty"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	// WastedUS is the part of EngineUS that was of no use, by reason.
	WastedUS map[WasteReason]int64 `json:"wasted_us,omitempty"`
	// WastedCalls counts the calls that were of no use, by reason.
	WastedCalls map[WasteReason]int64 `json:"wasted_calls,omitempty"`
}

// Add adds another amount.
func (a *Amount) Add(b Amount) {
	a.Requests += b.Requests
	a.EngineUS += b.EngineUS
	a.EstimatedUS += b.EstimatedUS
	a.PromptTokens += b.PromptTokens
	a.CompletionTokens += b.CompletionTokens
	a.CachedTokens += b.CachedTokens
	addAll(&a.WastedUS, b.WastedUS)
	addAll(&a.WastedCalls, b.WastedCalls)
}

func addAll(to *map[WasteReason]int64, from map[WasteReason]int64) {
	if *to == nil && len(from) > 0 {
		*to = map[WasteReason]int64{}
	}
	for reason, n := range from {
		(*to)[reason] += n
	}
}

// Entry is the amount of one key.
type Entry struct {
	Key
	Amount
}

// Row is the body of a cost row: what came together up to a moment.
type Row struct {
	At      time.Time `json:"at"`
	Entries []Entry   `json:"entries"`
}

// Report is what rows within a time cost together.
type Report struct {
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	Entries []Entry   `json:"entries"`
}

// pageSize is how many rows one read asks for.
const pageSize = 500

// Sum adds up the rows written from since on and before until.
func Sum(ctx context.Context, table backing.Table, since, until time.Time) (Report, error) {
	sums := map[Key]*Amount{}
	writers, err := writersSince(ctx, table, since)
	if err != nil {
		return Report{}, err
	}
	for _, writer := range writers {
		err := scan(ctx, table, Partition(writer), "", func(row backing.Row) error {
			return addRow(sums, row, since, until)
		})
		if err != nil {
			return Report{}, err
		}
	}
	return Report{Since: since, Until: until, Entries: sorted(sums)}, nil
}

// writersSince lists each process once that wrote on the day of since or later.
func writersSince(ctx context.Context, table backing.Table, since time.Time) ([]peer.Incarnation, error) {
	var writers []peer.Incarnation
	err := scan(ctx, table, PartitionIndex, since.UTC().Format(dayFormat), func(row backing.Row) error {
		var body IndexRow
		if err := json.Unmarshal(row.Body, &body); err != nil {
			return fmt.Errorf("costs: index row %s: %w", row.Sort, err)
		}
		writers = append(writers, body.Incarnation)
		return nil
	})
	slices.Sort(writers)
	return slices.Compact(writers), err
}

func scan(ctx context.Context, table backing.Table, partition, after string, take func(backing.Row) error) error {
	for {
		rows, err := table.Scan(ctx, partition, after, pageSize)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := take(row); err != nil {
				return err
			}
			after = row.Sort
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

func addRow(sums map[Key]*Amount, row backing.Row, since, until time.Time) error {
	var body Row
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return fmt.Errorf("costs: row %s/%s: %w", row.Partition, row.Sort, err)
	}
	if body.At.Before(since) || !body.At.Before(until) {
		return nil
	}
	for _, entry := range body.Entries {
		if sums[entry.Key] == nil {
			sums[entry.Key] = &Amount{}
		}
		sums[entry.Key].Add(entry.Amount)
	}
	return nil
}

func sorted(sums map[Key]*Amount) []Entry {
	entries := make([]Entry, 0, len(sums))
	for key, amount := range sums {
		entries = append(entries, Entry{Key: key, Amount: *amount})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return a.compare(b.Key) })
	return entries
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Customer, o.Customer), cmp.Compare(k.Pipeline, o.Pipeline), cmp.Compare(k.Stage, o.Stage))
}
