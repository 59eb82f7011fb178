package follow

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/vanillagate/vanillagate/internal/jsonlist"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// What peers send may come from a process of another release, and its entries from other writers. An entry that isn't
// usable must not take the sound ones in the message with it.

// maxPeerItems limits the entries or changes of one message.
const maxPeerItems = 1 << 16

// peerEntries are entries as peers send them. Items that can't be decoded are left out.
type peerEntries []pool.Entry

// UnmarshalJSON implements json.Unmarshaler.
func (p *peerEntries) UnmarshalJSON(data []byte) error {
	list, err := jsonlist.Decode(data, maxPeerItems, func(json.RawMessage, error) (pool.Entry, bool) { return pool.Entry{}, false })
	*p = list
	return err
}

// peerChanges are changes as peers send them.
type peerChanges []pool.Change

// UnmarshalJSON implements json.Unmarshaler. An item that can't be decoded removes its entry, which names no usable
// target any longer.
func (p *peerChanges) UnmarshalJSON(data []byte) error {
	list, err := jsonlist.Decode(data, maxPeerItems, func(item json.RawMessage, _ error) (pool.Change, bool) {
		var row struct {
			ID       string
			Revision revision.Revision
		}
		err := json.Unmarshal(item, &row)
		return pool.Change{Entry: pool.Entry{ID: row.ID, Revision: row.Revision}, Removed: true}, err == nil
	})
	*p = list
	return err
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
