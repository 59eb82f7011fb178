// Package snapshot reads the copy of the configuration in the object store, which
// is used while the table service is down.
package snapshot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/config"
)

// Name is the object that holds the snapshot.
const Name = "config/snapshot.json"

// Read returns the snapshot, or the empty state if none has been written yet.
func Read(ctx context.Context, objects backing.ObjectStore) (*config.State, error) {
	raw, err := objects.Get(ctx, Name)
	if errors.Is(err, backing.ErrNotFound) {
		return config.NewState(), nil
	}
	if err != nil {
		return nil, err
	}
	return Decode(raw)
}

// Decode decodes a state. Maps that are missing from it become empty, not nil.
func Decode(raw []byte) (*config.State, error) {
	state := config.NewState()
	if err := json.Unmarshal(raw, state); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", backing.ErrUnknown, err)
	}
	// Apply without changes copies the maps, which turns nil maps into empty ones.
	return state.Apply()
}
