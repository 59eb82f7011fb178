package target

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Fence remembers the highest fencing token seen for each of some names.
// Targets that don't check tokens let everything pass. What was seen survives
// a crash of the target, as a fence that forgets would be none.
type Fence struct {
	checks bool

	mu      sync.Mutex // guards highest; a leaf
	highest map[string]uint64
}

// NewFence builds a fence that checks tokens, or one that ignores them.
func NewFence(checks bool) *Fence {
	return &Fence{checks: checks, highest: map[string]uint64{}}
}

// Check is true unless the call carries an older token than was seen for the
// name; then it has been answered with 409. A call without a token passes.
func (f *Fence) Check(c *Call, name string) bool {
	text := c.Request.Header.Get(targetapi.HeaderFencingToken)
	if !f.checks || text == "" {
		return true
	}
	token, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		c.Refuse(http.StatusBadRequest, "fencing-token", "Fencing token is no number", text)
		return false
	}
	if f.raise(name, token) {
		return true
	}
	c.Refuse(http.StatusConflict, "fenced", "Fencing token is old", text)
	return false
}

// raise is false when a higher token was seen.
func (f *Fence) raise(name string, token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest[name] {
		return false
	}
	f.highest[name] = token
	return true
}
