// Package snapshot writes a copy of the configuration to the object store. A VM
// that starts while the table service is down uses it as its initial
// configuration.
package snapshot

import (
	"context"
	"encoding/json"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	query "github.com/vanillagate/vanillagate/internal/query/snapshot"
)

// Outcome is the outcome of Write.
type Outcome int

// The outcomes.
const (
	// Written means that the snapshot was written; another process may have
	// replaced it since.
	Written Outcome = iota
	// Kept means that the existing snapshot has the same or a higher revision.
	Kept
	// Unavailable means that the snapshot could not be read, encoded or
	// written.
	Unavailable
)

// Write stores the state as the snapshot unless the existing one has the same
// or a higher revision. The store has no conditional put, so between our read
// and our put another process may write a higher revision, which we then
// replace with a lower one until the next snapshot is written. That does not
// restore an old configuration: a reader takes the highest revision of table,
// peers and snapshot, a process never returns to a lower revision, and a
// process that starts from the lower one while table and peers are unreachable
// catches up as soon as one of them answers.
func Write(ctx context.Context, objects backing.ObjectStore, state *config.State) (Outcome, error) {
	existing, err := query.Read(ctx, objects)
	if err != nil {
		return Unavailable, err
	}
	if existing.Revision >= state.Revision {
		return Kept, nil
	}
	raw, err := json.Marshal(state)
	if err != nil {
		return Unavailable, err
	}
	if err := objects.Put(ctx, query.Name, raw); err != nil {
		return Unavailable, err
	}
	return Written, nil
}
