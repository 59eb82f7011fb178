// Package pool tracks the targets of every service: their addresses, whether they may receive
// requests, and the load and health that this process has observed.
package pool

import (
	"errors"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// State is the state that a target reports in its list entry.
type State string

const (
	// Ready targets accept requests.
	Ready State = "ready"
	// Draining targets finish their current requests and accept no new ones.
	Draining State = "draining"
)

// Entry is one target's row in the target list that the store keeps.
type Entry struct {
	// ID is the target's name in the list. A restarted target may reuse it.
	ID string
	// Born is the start time of the target in Unix milliseconds, 0 if it isn't reported. A
	// different Born under the same ID is another run, which has none of the earlier run's requests
	// and results.
	Born int64
	// Service is the service that the target belongs to.
	Service string
	// Address is the target's IP:port.
	Address string
	Zone    string
	// Version is the version of the target's software. Versions have no order. It is empty if the entry
	// comes from a process of an earlier release, which doesn't pass it on.
	Version string `json:",omitempty"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	State State
	// ColdLeft is how long the target stays cold, counted from when the entry was read. A cold
	// target can handle fewer requests.
	ColdLeft time.Duration `json:",omitempty"`
	// Revision is the list revision of the row's last change. It grows with each change of any row.
	Revision revision.Revision
}

// WithElapsed returns the entry with ColdLeft reduced by the time since it was read.
func (e Entry) WithElapsed(elapsed time.Duration) Entry {
	e.ColdLeft = max(e.ColdLeft-elapsed, 0)
	return e
}

// Change is one change of the target list.
type Change struct {
	Entry
	// Removed is set if the entry was removed. Only ID and Revision are set then.
	Removed bool
}

// withVersionOf returns the entry with the version of the known one, if it is of the same run and has no version
// itself.
func (e Entry) withVersionOf(known Entry) Entry {
	filled := e
	filled.Version = known.Version
	if e.Version == "" && sameRun(filled, known) {
		return filled
	}
	return e
}

// sameRun reports whether two entries describe the same run of the same target.
func sameRun(a, b Entry) bool {
	return a.ID == b.ID && a.Born == b.Born && a.Address == b.Address && a.Service == b.Service && a.Version == b.Version
}

const (
	// maxTextBytes limits the texts of an entry, and maxSlots its slots. They are far more than those of any target.
	maxTextBytes = 1 << 10
	maxSlots     = 1 << 20
	// maxBorn is the last millisecond of the year 9999.
	maxBorn = 253402300799999
)

// ErrUnusable means that an entry doesn't describe a target that requests can be sent to.
var ErrUnusable = errors.New("pool: entry isn't usable")

// Check returns an error that wraps ErrUnusable if no requests can be sent to the entry's target. IDs and addresses
// become part of header lines. It doesn't look at the form of the address, which depends on the platform.
func (e Entry) Check() error {
	for name, text := range map[string]string{"ID": e.ID, "service": e.Service, "address": e.Address} {
		if text == "" {
			return fmt.Errorf("%w: %s is empty", ErrUnusable, name)
		}
	}
	for name, text := range map[string]string{"ID": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "version": e.Version} {
		if len(text) > maxTextBytes || strings.ContainsFunc(text, unicode.IsControl) {
			return fmt.Errorf("%w: %s is too long or has control characters", ErrUnusable, name)
		}
	}
	switch {
	case e.Slots < 1 || e.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots", ErrUnusable, e.Slots)
	case e.Born < 0 || e.Born > maxBorn:
		return fmt.Errorf("%w: born at %d", ErrUnusable, e.Born)
	case e.State != Ready && e.State != Draining:
		return fmt.Errorf("%w: state %q", ErrUnusable, e.State)
	}
	return nil
}

// Usable returns the change, or the removal of its entry if that isn't usable. err says why.
func (c Change) Usable() (usable Change, err error) {
	if c.Removed {
		return c, nil
	}
	if err := c.Check(); err != nil {
		return Change{Entry: Entry{ID: c.ID, Revision: c.Revision}, Removed: true}, err
	}
	return c, nil
}
