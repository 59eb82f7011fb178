// Package pool knows the targets of every service: where they are, whether
// they may get work, and what this process has seen of each.
package pool

import "time"

// State is what a target says of itself.
type State string

// The states.
const (
	// Ready targets take work.
	Ready State = "ready"
	// Draining targets finish what they have and take nothing new.
	Draining State = "draining"
)

// Entry is what the list of targets holds of one.
type Entry struct {
	// ID is the target's name in the list. A target that starts again may come
	// back under it.
	ID string
	// Born is the Unix millisecond of the target's start, 0 where it isn't
	// told. Another Born under the same ID is another run, which knows nothing
	// of what the earlier one had.
	Born int64
	// Service is the pool that it belongs to.
	Service string
	// Address is its IP:port.
	Address string
	Zone    string
	// Slots is how many requests it works on at once.
	Slots int
	State State
	// ColdLeft is for how long the target stays cold after the entry was read: it
	// bears fewer requests until then.
	ColdLeft time.Duration `json:",omitempty"`
	// Revision of the list's row, growing with each change of any row.
	Revision uint64
}

// WithElapsed is the entry some time after it was read.
func (e Entry) WithElapsed(by time.Duration) Entry {
	e.ColdLeft = max(e.ColdLeft-by, 0)
	return e
}

// Change is one change of the list.
type Change struct {
	Entry
	// Removed tells that the entry is gone. Only ID and Revision are set.
	Removed bool
}

// sameRun tells whether two entries are the same run of the same target.
func sameRun(a, b Entry) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Address == b.Address && a.Service == b.Service
}
