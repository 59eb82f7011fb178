package plan

import (
	"maps"
	"strings"
	"time"
)

// formerMemory is how long after paths have changed their services callers may still take up streams that began before.
const formerMemory = 2 * time.Minute

// formerService is a service at which streams of the paths with a prefix could begin, and no longer can.
type formerService struct{ host, prefix, service string }

// formerServices has the times until which they could.
type formerServices map[formerService]time.Time

// remember records what changes for paths with streams that may be resumed when a plan replaces another one. The caller
// holds mu.
func (h *Holder) remember(before, next *Plan, now time.Time) {
	if before == nil {
		return
	}
	former := formerServices{}
	if known := h.former.Load(); known != nil {
		former = maps.Clone(*known)
		maps.DeleteFunc(former, func(_ formerService, until time.Time) bool { return now.Sub(until) > formerMemory })
	}
	for _, p := range []*Plan{before, next} {
		for i := range p.Routes {
			former.add(before, next, p.Routes[i].Host, p.Routes[i].Prefix, now)
		}
	}
	h.former.Store(&former)
}

// add records the services that a prefix loses. Another route may have taken it over.
func (f formerServices) add(before, next *Plan, host, prefix string, now time.Time) {
	was, is := before.Route(host, prefix), next.Route(host, prefix)
	if was == nil || was.Kind != Stream || !was.Resumable {
		return
	}
	for _, share := range was.Split {
		if share.Weight > 0 && (is == nil || !is.Includes(share.Service)) {
			f[formerService{host, prefix, share.Service}] = now
		}
	}
}

// WasElsewhere reports whether streams of a path may have begun at another service under an earlier plan, in which the path
// may have had another route.
func (h *Holder) WasElsewhere(host, path, service string, now time.Time) bool {
	former := h.former.Load()
	if former == nil {
		return false
	}
	for f, until := range *former {
		if f.service != service && f.host == host && strings.HasPrefix(path, f.prefix) && now.Sub(until) <= formerMemory {
			return true
		}
	}
	return false
}
