package target

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Fence stores the highest fencing token seen for each name. Fences of targets
// that don't check tokens accept every call. The tokens survive a crash of the
// target; otherwise calls with old tokens would be accepted after a restart.
type Fence struct {
	checks bool

	mu      sync.Mutex // guards highest; no other lock is taken while it is held
	highest map[string]uint64
}

// NewFence creates a fence that checks tokens, or one that ignores them.
func NewFence(checks bool) *Fence {
	return &Fence{checks: checks, highest: map[string]uint64{}}
}

// Check reports whether the call may run. If its token is lower than one seen
// before for the name it answers with 409, if the token is malformed with 400,
// and returns false. A call without a token may run.
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
	if f.advance(name, token) {
		return true
	}
	c.Refuse(http.StatusConflict, "fenced", "Fencing token is old", text)
	return false
}

// advance stores the token as the highest one seen for the name. It returns
// false if a higher one was seen before.
func (f *Fence) advance(name string, token uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if token < f.highest[name] {
		return false
	}
	f.highest[name] = token
	return true
}
