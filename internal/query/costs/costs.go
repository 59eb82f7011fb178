// Package costs sums the costs of requests by customer, pipeline and stage.
// Package command/cost writes the rows with the same layout.
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

// PartitionIndex holds one row per process and day on which the process wrote cost
// rows, since the table service can't list partitions.
const PartitionIndex = "cost"

// dayFormat is the prefix of the sort keys of the index, which sorts it by time.
const dayFormat = "2006-01-02"

// Partition is the name of the partition with the cost rows of one process, which
// are sorted by sequence number.
func Partition(writer peer.Incarnation) string { return PartitionIndex + "/" + string(writer) }

// RowKey is the key of one cost row. Writing a row again under the same key does
// not count it twice.
func RowKey(writer peer.Incarnation, sequence uint64) backing.Key {
	return backing.Key{Partition: Partition(writer), Sort: fmt.Sprintf("%020d", sequence)}
}

// IndexKey is the key of the index row of a process for the day of a time.
func IndexKey(writer peer.Incarnation, at time.Time) backing.Key {
	return backing.Key{Partition: PartitionIndex, Sort: at.UTC().Format(dayFormat) + "/" + string(writer)}
}

// IndexRow is the body of an index row.
type IndexRow struct {
	Incarnation peer.Incarnation `json:"incarnation"`
}

// Key identifies what a cost is attributed to. Calls to a plain service have its
// name as both pipeline and stage.
type Key struct {
	Customer string `json:"customer"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
}

// WasteReason is the reason why the result of a call at a target was not used.
type WasteReason string

// Amount is the cost of a number of calls at targets.
type Amount struct {
	// Requests counts the calls whose results were used.
	Requests int64 `json:"requests"`
	// EngineUS is the processing time of all calls in microseconds, as reported by
	// the targets or estimated.
	EngineUS int64 `json:"engine_us"`
	// EstimatedUS is the part of EngineUS that is estimated, because the call was
	// cancelled or broke before the target reported its time.
	EstimatedUS      int64 `json:"estimated_us,omitempty"`
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	// WastedUS is the part of EngineUS spent on unused results, by reason.
	WastedUS map[WasteReason]int64 `json:"wasted_us,omitempty"`
	// WastedCalls counts the calls with unused results, by reason.
	WastedCalls map[WasteReason]int64 `json:"wasted_calls,omitempty"`
}

// Add adds b to a.
func (a *Amount) Add(b Amount) {
	a.Requests += b.Requests
	a.EngineUS += b.EngineUS
	a.EstimatedUS += b.EstimatedUS
	a.PromptTokens += b.PromptTokens
	a.CompletionTokens += b.CompletionTokens
	a.CachedTokens += b.CachedTokens
	addByReason(&a.WastedUS, b.WastedUS)
	addByReason(&a.WastedCalls, b.WastedCalls)
}

func addByReason(to *map[WasteReason]int64, from map[WasteReason]int64) {
	if *to == nil && len(from) > 0 {
		*to = map[WasteReason]int64{}
	}
	for reason, n := range from {
		(*to)[reason] += n
	}
}

// Entry is the cost attributed to one key.
type Entry struct {
	Key
	Amount
}

// Row is the body of a cost row: the costs that one process accumulated until At
// since its previous row.
type Row struct {
	At      time.Time `json:"at"`
	Entries []Entry   `json:"entries"`
}

// Report is the sum of the cost rows within a period.
type Report struct {
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	Entries []Entry   `json:"entries"`
}

// pageSize is the maximum number of rows per read.
const pageSize = 500

// Sum adds up the rows whose time is at or after since and before until.
func Sum(ctx context.Context, table backing.Table, since, until time.Time) (Report, error) {
	sums := map[Key]*Amount{}
	writers, err := writersSince(ctx, table, since)
	if err != nil {
		return Report{}, err
	}
	for _, writer := range writers {
		err := backing.ScanAll(ctx, table, Partition(writer), "", pageSize, func(row backing.Row) error {
			return addRow(sums, row, since, until)
		})
		if err != nil {
			return Report{}, err
		}
	}
	return Report{Since: since, Until: until, Entries: sortedEntries(sums)}, nil
}

// writersSince lists, without duplicates, the processes that wrote cost rows on
// the day of since or later.
func writersSince(ctx context.Context, table backing.Table, since time.Time) ([]peer.Incarnation, error) {
	var writers []peer.Incarnation
	err := backing.ScanAll(ctx, table, PartitionIndex, since.UTC().Format(dayFormat), pageSize, func(row backing.Row) error {
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

func sortedEntries(sums map[Key]*Amount) []Entry {
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
