package plan

import (
	"strings"
	"time"
)

// formerMemory is how long after a route has changed its services callers may still take up streams that began before.
const formerMemory = 2 * time.Minute

// formerService is a service of a route with streams that may be resumed, in an earlier plan.
type formerService struct{ host, prefix, service string }

// formerServices has the times at which they were last in force.
type formerServices map[formerService]time.Time

// remember records the services of a plan's routes before another plan replaces it. The caller holds mu.
func (h *Holder) remember(p *Plan, now time.Time) {
	former := formerServices{}
	if before := h.former.Load(); before != nil {
		for f, at := range *before {
			if now.Sub(at) <= formerMemory {
				former[f] = at
			}
		}
	}
	if p != nil {
		for i := range p.Routes {
			r := &p.Routes[i]
			if r.Kind != Stream || !r.Resumable {
				continue
			}
			for _, share := range r.Split {
				former[formerService{r.Host, r.Prefix, share.Service}] = now
			}
		}
	}
	h.former.Store(&former)
}

// WasElsewhere reports whether streams of a path may have begun at another service under an earlier plan, in which the path
// may have had another route.
func (h *Holder) WasElsewhere(host, path, service string, now time.Time) bool {
	former := h.former.Load()
	if former == nil {
		return false
	}
	for f, at := range *former {
		if f.service != service && f.host == host && strings.HasPrefix(path, f.prefix) && now.Sub(at) <= formerMemory {
			return true
		}
	}
	return false
}
