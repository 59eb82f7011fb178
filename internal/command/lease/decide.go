package lease

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Row is the body of a lease's row.
type Row struct {
	Holder peer.Incarnation `json:"holder"`
	// TermMS is how long other processes must wait before they may take the
	// lease over, in milliseconds.
	TermMS int64 `json:"term_ms"`
	// Released is set if the holder gave the lease up and sends no more orders.
	Released bool `json:"released,omitempty"`
}

func (r Row) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

// ObservedRow is a lease's row as last read.
type ObservedRow struct {
	Row     Row
	Version uint64
	// Since is a time after the row was first read at this version.
	Since Instant
}

// AcquireDecision says whether to try to acquire a lease, and the condition of
// the write.
type AcquireDecision struct {
	// Acquire is false if the lease must not be requested yet.
	Acquire bool
	If      backing.Condition
	Version uint64
}

// Decide returns whether and how to acquire a lease whose row was last read as
// observed; nil means that there is no row.
//
// The lease of another process may be requested only after its version has been
// unchanged for a whole term on our own monotonic clock. By then the holder's
// term, which it counts from before its request, has ended on any clock. Our
// own row may be renewed at any time, since no other process holds the lease
// while it is in force. We also find our own row if the answer to an earlier
// request was lost.
func Decide(self peer.Incarnation, observed *ObservedRow, now Instant) AcquireDecision {
	if observed == nil {
		return AcquireDecision{Acquire: true, If: backing.IfAbsent}
	}
	ours := observed.Row.Holder == self
	waited := now.Mono-observed.Since.Mono >= observed.Row.term()
	if ours || observed.Row.Released || waited {
		return AcquireDecision{Acquire: true, If: backing.IfVersion, Version: observed.Version}
	}
	return AcquireDecision{}
}

// Observe returns the observation after a row was read. The waiting time
// continues only if the version has not changed.
func Observe(before *ObservedRow, row Row, version uint64, now Instant) *ObservedRow {
	if before != nil && before.Version == version {
		return before
	}
	return &ObservedRow{Row: row, Version: version, Since: now}
}
