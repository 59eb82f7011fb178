// Package snapshot writes a copy of the configuration to the object store. A
// VM that starts while the table service is down begins from it.
package snapshot

import (
	"context"
	"encoding/json"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
	query "github.com/vanillagate/vanillagate/internal/query/snapshot"
)

// Outcome says what became of a snapshot.
type Outcome int

// The outcomes.
const (
	// Written means that the snapshot stands, or stood for a moment.
	Written Outcome = iota
	// Kept means that one of the same or a higher revision stood there.
	Kept
	// Unavailable means that the store could not be read or written.
	Unavailable
)

// Write puts the state unless a snapshot of the same or a higher revision
// stands there. The store has no conditional put, so between our read and our
// put another process may put a higher revision that we then replace by a
// lower one. That lasts until the next snapshot. It does not bring an old
// configuration back: a reader takes the highest revision of table, peers and
// snapshot, a process only ever moves to a higher revision, and who starts from
// the lower one while table and peers are away goes on as soon as one of them
// answers.
func Write(ctx context.Context, objects backing.ObjectStore, state *config.State) (Outcome, error) {
	standing, err := query.Read(ctx, objects)
	if err != nil {
		return Unavailable, err
	}
	if standing.Revision >= state.Revision {
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
