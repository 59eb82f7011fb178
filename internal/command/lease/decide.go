package lease

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Row is the body of a lease's row.
type Row struct {
	Holder peer.Incarnation `json:"holder"`
	// TermMS is how long each taker has to wait, in milliseconds.
	TermMS int64 `json:"term_ms"`
	// Released says that the holder gave the lease up and orders no more.
	Released bool `json:"released,omitempty"`
}

func (r Row) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

// ObservedRow is a lease's row as it was last read.
type ObservedRow struct {
	Row     Row
	Version uint64
	// Since is a moment after the row was first read at this version.
	Since Instant
}

// AcquireDecision is how a lease is asked for.
type AcquireDecision struct {
	// Acquire is false where the lease must not be asked for yet.
	Acquire bool
	If      backing.Condition
	Version uint64
}

// Decide says whether and how to ask for a lease whose row was last seen so;
// nil means that there is no row.
//
// Another's lease may be asked for only after its version stood unchanged for
// a whole term on our own monotonic clock. By then the holder's term, which it
// counts from before it asked, has ended on any clock. Our own row, which we
// also find where the answer to an earlier asking was lost, may be renewed at
// any time: nobody else holds while it stands.
func Decide(me peer.Incarnation, seen *ObservedRow, now Instant) AcquireDecision {
	if seen == nil {
		return AcquireDecision{Acquire: true, If: backing.IfAbsent}
	}
	ours := seen.Row.Holder == me
	waited := now.Mono-seen.Since.Mono >= seen.Row.term()
	if ours || seen.Row.Released || waited {
		return AcquireDecision{Acquire: true, If: backing.IfVersion, Version: seen.Version}
	}
	return AcquireDecision{}
}

// Observe notes a row that was just read. The wait of a taker goes on only
// where the version is the same as before.
func Observe(before *ObservedRow, row Row, version uint64, now Instant) *ObservedRow {
	if before != nil && before.Version == version {
		return before
	}
	return &ObservedRow{Row: row, Version: version, Since: now}
}
