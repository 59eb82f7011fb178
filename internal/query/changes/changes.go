// Package changes reads accepted configuration changes from the table
// service. Its key layout is shared with command/change, which writes them.
package changes

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
)

// Partitions of the table that hold the configuration.
const (
	// PartitionConfig holds the head and the last change of each item.
	PartitionConfig = "config"
	// PartitionChange holds the changes by revision.
	PartitionChange = "change"
	// PartitionChangeID holds the revision of each change by its ID.
	PartitionChangeID = "change_id"
)

// PageSize is how many changes one read asks for.
const PageSize = 200

// HeadKey is the row whose version is the revision of the last change.
func HeadKey() backing.Key { return backing.Key{Partition: PartitionConfig, Sort: "head"} }

// ItemRowKey is the row of an item's last change.
func ItemRowKey(kind config.Kind, name string) backing.Key {
	return backing.Key{Partition: PartitionConfig, Sort: "item/" + config.ItemKey(kind, name)}
}

// ChangeKey is the row of a change.
func ChangeKey(r config.Revision) backing.Key {
	return backing.Key{Partition: PartitionChange, Sort: sortOf(r)}
}

// ChangeIDKey is the row that finds a change by its ID.
func ChangeIDKey(id string) backing.Key {
	return backing.Key{Partition: PartitionChangeID, Sort: id}
}

// sortOf orders rows as their numbers are ordered.
func sortOf(r config.Revision) string { return fmt.Sprintf("%020d", uint64(r)) }

// Head is the revision of the last accepted change; zero before the first.
func Head(ctx context.Context, table backing.Table) (config.Revision, error) {
	row, err := table.Get(ctx, HeadKey())
	if err != nil || row == nil {
		return 0, err
	}
	return config.Revision(row.Version), nil
}

// ReadAfter reads up to limit changes above a revision, in order, without gaps.
func ReadAfter(ctx context.Context, table backing.Table, after config.Revision, limit int) ([]config.Change, error) {
	rows, err := table.Scan(ctx, PartitionChange, sortOf(after), limit)
	if err != nil {
		return nil, err
	}
	found := make([]config.Change, 0, len(rows))
	for i, row := range rows {
		change, err := decode(row)
		if err != nil {
			return nil, err
		}
		if want := after + config.Revision(i) + 1; change.Revision != want {
			return nil, fmt.Errorf("changes: revision %d where %d was due: %w", change.Revision, want, backing.ErrUnknown)
		}
		found = append(found, change)
	}
	return found, nil
}

func decode(row backing.Row) (config.Change, error) {
	var change config.Change
	if err := json.Unmarshal(row.Body, &change); err != nil {
		return change, fmt.Errorf("changes: row %s: %w: %w", row.Sort, backing.ErrUnknown, err)
	}
	return change, nil
}

// CatchUp brings a state up to the last accepted change and returns the changes
// that it applied, so that the caller can pass them on. After an error both
// hold what had been read before it.
func CatchUp(ctx context.Context, table backing.Table, from *config.State) (*config.State, []config.Change, error) {
	var all []config.Change
	state := from
	for {
		page, err := ReadAfter(ctx, table, state.Revision, PageSize)
		if err != nil {
			return state, all, err
		}
		next, err := state.Apply(page...)
		if err != nil {
			return state, all, err
		}
		state = next
		all = append(all, page...)
		if len(page) < PageSize {
			return state, all, nil
		}
	}
}
