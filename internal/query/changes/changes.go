// Package changes reads accepted configuration changes from the table service.
// Package command/change writes them with the same key layout.
package changes

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
)

// Partitions of the table for the configuration.
const (
	// PartitionConfig holds the head row and the last change of each item.
	PartitionConfig = "config"
	// PartitionChange holds the changes by revision.
	PartitionChange = "change"
	// PartitionChangeID holds the revision of each change by its ID.
	PartitionChangeID = "change_id"
)

// PageSize is the maximum number of changes per read.
const PageSize = 200

// HeadKey is the key of the row whose version is the revision of the last change.
func HeadKey() backing.Key { return backing.Key{Partition: PartitionConfig, Sort: "head"} }

// ItemRowKey is the key of the row with the last change of an item.
func ItemRowKey(kind config.Kind, name string) backing.Key {
	return backing.Key{Partition: PartitionConfig, Sort: "item/" + config.ItemKey(kind, name)}
}

// ChangeKey is the key of the row of a change.
func ChangeKey(r config.Revision) backing.Key {
	return backing.Key{Partition: PartitionChange, Sort: sortKey(r)}
}

// ChangeIDKey is the key of the row that maps a change ID to its revision.
func ChangeIDKey(id string) backing.Key {
	return backing.Key{Partition: PartitionChangeID, Sort: id}
}

// sortKey pads a revision with zeros, so that the lexical order of the sort keys is
// the numerical order of the revisions.
func sortKey(r config.Revision) string { return fmt.Sprintf("%020d", uint64(r)) }

// Head returns the revision of the last accepted change; zero before the first.
func Head(ctx context.Context, table backing.Table) (config.Revision, error) {
	row, err := table.Get(ctx, HeadKey())
	if err != nil || row == nil {
		return 0, err
	}
	return config.Revision(row.Version), nil
}

// ReadAfter reads up to limit changes after a revision, in order. It fails if one
// is missing.
func ReadAfter(ctx context.Context, table backing.Table, after config.Revision, limit int) ([]config.Change, error) {
	rows, err := table.Scan(ctx, PartitionChange, sortKey(after), limit)
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
			return nil, fmt.Errorf("changes: found revision %d, expected %d: %w", change.Revision, want, backing.ErrUnknown)
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

// CatchUp applies all later accepted changes to a state. It returns the new state
// and the changes that it applied, so that the caller can forward them. After an
// error both contain what was read before the error.
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
