package plan

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder holds the plan in force. It never goes back to an older version: plans arrive from the
// store, from peers and from repeated reads in any order, and a caller that has seen the effect of
// a change must not see it undone.
type Holder struct {
	// MemoryBytes is how much memory the process may use; 0 if unknown. It is set before the first plan.
	MemoryBytes int

	current atomic.Pointer[Plan]
	mu      sync.Mutex // serializes Apply; no other lock is taken while it is held
	// former has the services that paths of streams have lost. It is replaced, not changed.
	former atomic.Pointer[formerServices]
}

// Current returns the plan in force; nil before the first one is known.
func (h *Holder) Current() *Plan { return h.current.Load() }

// Version returns the version of the plan in force, 0 before the first one.
func (h *Holder) Version() uint64 {
	if p := h.current.Load(); p != nil {
		return p.Version
	}
	return 0
}

// Service returns a service of the plan in force; nil if there is none with this name.
func (h *Holder) Service(name string) *Service {
	if p := h.current.Load(); p != nil {
		return p.Service(name)
	}
	return nil
}

// Limits returns the limits of the plan in force; zero before the first one.
func (h *Holder) Limits() Limits {
	if p := h.current.Load(); p != nil {
		return p.Limits
	}
	return Limits{}
}

// Apply puts a plan in force if it is newer than the current one, and reports whether it was. Limits that the process
// can't bear are recorded as unusable, and those in force stay.
func (h *Holder) Apply(p *Plan) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && p.Version <= old.Version {
		return false
	}
	p.Unusable = append(p.Limits.keepBearable(h.Limits(), h.MemoryBytes), p.Unusable...)
	p.Index()
	h.remember(h.current.Load(), p, time.Now())
	h.current.Store(p)
	return true
}
