package pool

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against entries that requests can't be sent to, or whose texts would end a header line.
func TestUnusableEntriesBecomeRemovals(t *testing.T) {
	for name, change := range map[string]func(*Entry){
		"no ID":           func(e *Entry) { e.ID = "" },
		"no service":      func(e *Entry) { e.Service = "" },
		"no address":      func(e *Entry) { e.Address = "" },
		"line end in ID":  func(e *Entry) { e.ID = "a\r\nX: y" },
		"NUL in address":  func(e *Entry) { e.Address += "\x00" },
		"long zone":       func(e *Entry) { e.Zone = strings.Repeat("z", maxTextBytes+1) },
		"long version":    func(e *Entry) { e.Version = strings.Repeat("z", maxTextBytes+1) },
		"no slots":        func(e *Entry) { e.Slots = 0 },
		"too many slots":  func(e *Entry) { e.Slots = maxSlots + 1 },
		"born too early":  func(e *Entry) { e.Born = -1 },
		"born too late":   func(e *Entry) { e.Born = maxBorn + 1 },
		"unknown state":   func(e *Entry) { e.State = "gone" },
		"no state at all": func(e *Entry) { e.State = "" },
	} {
		e := entry("a", 7)
		usable, err := Change{Entry: e}.Usable()
		assert.NilError(t, err)
		assert.Equal(t, usable, Change{Entry: e})
		change(&e)
		usable, err = Change{Entry: e}.Usable()
		assert.Assert(t, errors.Is(err, ErrUnusable), name)
		assert.Equal(t, usable, Change{Entry: Entry{ID: e.ID, Revision: 7}, Removed: true}, name)
	}
}
