// Package lease makes sure that at most one steward at a time sends orders to
// the engines of a pool. A lease is a row in the table service; the row's
// version is the fencing token that the holder sends with every order.
package lease

import "time"

// Instant is a point in time on both clocks of a process.
type Instant struct {
	// Mono is the monotonic clock, from an arbitrary start. It may stop while
	// the whole VM is suspended.
	Mono time.Duration
	// Wall is the wall clock. It may be set forward or back.
	Wall time.Time
}

// Clock returns the current time of one process.
type Clock func() Instant

// SystemClock returns the Clock of this process.
func SystemClock() Clock {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// Term is a granted lease. The zero value is not held.
type Term struct {
	Token uint64
	// RequestedAt is a time before the lease was requested. A term counted from
	// the answer could end later here than other processes assume.
	RequestedAt Instant
	Length      time.Duration
}

// marginDivisor sets the safety margin to a tenth of the term. The margin is
// left unused at the end of the term, and a larger difference between the two
// clocks counts as a jump. It covers clocks that run at different speeds on the
// holder and other processes.
const marginDivisor = 10

// Holds returns whether the term has certainly not ended. This is how a holder
// that was paused detects that it lost the lease: its monotonic clock advanced
// or, if the VM was suspended and that clock stopped, the wall clock jumped
// ahead of it. A jump of either clock, also backwards, counts as the end.
func (t Term) Holds(now Instant) bool {
	if t.Token == 0 {
		return false
	}
	margin := t.Length / marginDivisor
	mono := now.Mono - t.RequestedAt.Mono
	wall := now.Wall.Sub(t.RequestedAt.Wall)
	if (mono - wall).Abs() > margin {
		return false
	}
	return mono >= 0 && mono < t.Length-margin && wall < t.Length-margin
}
