package reach

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// maxChecked is how many targets of a service a check connects to.
	maxChecked = 8
	// maxCheckTime is how long a check may take that counts.
	maxCheckTime = connectTimeout + 100*time.Millisecond
	// suspiciousTargets is how many targets of a service have to refuse or ignore connections
	// within suspicionTime for a check.
	suspiciousTargets = 2
	suspicionTime     = 2 * time.Second
	// A VM is cut off from a service if it connects to fewer than one in cutOffDivisor of the
	// targets checked, and until it connects to one in connectedDivisor.
	cutOffDivisor    = 4
	connectedDivisor = 2
)

// failures has the time of the last failed connection to each target of a service.
type failures map[string]time.Time

// suspicious reports whether connections have failed at so many of a service's targets that a
// check is due. It forgets failures that are too old.
func (f failures) suspicious(targets int, now time.Time) bool {
	for id, at := range f {
		if now.Sub(at) > suspicionTime {
			delete(f, id)
		}
	}
	return len(f) >= max(1, min(suspiciousTargets, targets))
}

// check is the result of connecting to targets of a service.
type check struct {
	tried     int
	connected []*pool.Target
	// late is set if the check took so much longer than connectTimeout that this process must have
	// stood still. Its failures say nothing of the network.
	late bool
}

// cutOff decides whether this VM is cut off from the service; was is the decision before.
func (c check) cutOff(was bool) bool {
	switch {
	case c.late:
		return was
	case c.tried == 0:
		return false
	case was:
		return connectedDivisor*len(c.connected) < c.tried
	default:
		return cutOffDivisor*len(c.connected) < c.tried
	}
}
