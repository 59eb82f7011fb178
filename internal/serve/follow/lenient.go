package follow

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// What peers send may come from a process of another release, and its entries from other writers. An entry that isn't
// usable must not take the sound ones in the message with it.

// entryList is a list of entries or changes of entries. Items that can't be decoded are left out of it.
type entryList[T any] []T

// UnmarshalJSON implements json.Unmarshaler.
func (l *entryList[T]) UnmarshalJSON(data []byte) error {
	var list []T
	if json.Unmarshal(data, &list) == nil {
		*l = list
		return nil
	}
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	*l = make([]T, 0, len(items))
	for _, data := range items {
		var item T
		if json.Unmarshal(data, &item) == nil {
			*l = append(*l, item)
		}
	}
	return nil
}

// peerChange is a pool.Change as peers send it. If it can't be decoded, it removes the entry, which names no usable
// target any longer.
type peerChange pool.Change

// UnmarshalJSON implements json.Unmarshaler.
func (c *peerChange) UnmarshalJSON(data []byte) error {
	if json.Unmarshal(data, (*pool.Change)(c)) == nil {
		return nil
	}
	var row struct {
		ID       string
		Revision revision.Revision
	}
	if err := json.Unmarshal(data, &row); err != nil {
		return err
	}
	*c = peerChange{Entry: pool.Entry{ID: row.ID, Revision: row.Revision}, Removed: true}
	return nil
}

// peerChanges are changes as peers send them.
type peerChanges []pool.Change

// UnmarshalJSON implements json.Unmarshaler.
func (p *peerChanges) UnmarshalJSON(data []byte) error {
	var changes []pool.Change
	if json.Unmarshal(data, &changes) != nil {
		var list entryList[peerChange]
		if err := json.Unmarshal(data, &list); err != nil {
			return err
		}
		changes = changes[:0]
		for _, c := range list {
			changes = append(changes, pool.Change(c))
		}
	}
	*p = changes
	return nil
}

// usable returns the changes with those of entries that requests can't be sent to as removals.
func (p peerChanges) usable() []pool.Change {
	list := make([]pool.Change, 0, len(p))
	for _, c := range p {
		c, _ = c.Usable() // the process that read the entry from the store has logged why
		list = append(list, c)
	}
	return list
}

// usableEntries returns those entries that requests can be sent to, in the memory of the list.
func usableEntries(list []pool.Entry) []pool.Entry {
	return slices.DeleteFunc(list, func(e pool.Entry) bool { return e.Check() != nil }) // logged where it was read
}

// maxPeerTime caps the times that peers state: they are subtracted from the current time.
const maxPeerTime = 100 * 365 * 24 * time.Hour

// peerMillis returns a time that a peer states in milliseconds.
func peerMillis(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxPeerTime.Milliseconds())) * time.Millisecond
}
