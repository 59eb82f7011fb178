// Package lease gives one steward at a time the right to order the engines of
// a pool. A lease is a row of the table service; the row's version is the
// fencing token that its holder sends with every order.
package lease

import "time"

// Instant is a moment on both clocks of a process.
type Instant struct {
	// Mono is monotonic, from an arbitrary start. It may stand still while the
	// whole VM is suspended.
	Mono time.Duration
	// Wall is the time of day. It may be set forward or back.
	Wall time.Time
}

// Clock tells the time of one process.
type Clock func() Instant

// SystemClock is the clock of this process.
func SystemClock() Clock {
	start := time.Now()
	return func() Instant {
		now := time.Now()
		return Instant{Mono: now.Sub(start), Wall: now.Round(0)}
	}
}

// Term is a lease that was granted. The zero value does not hold.
type Term struct {
	Token uint64
	// RequestedAt is the moment before the lease was asked for. Counting from the
	// answer would let the term end later here than where others count.
	RequestedAt Instant
	Length      time.Duration
}

// marginParts is the part of a term that is left unused, and the difference
// between the two clocks that counts as a jump: a tenth. It covers clocks that
// run at different speeds on holder and taker.
const marginParts = 10

// Holds says whether the term has certainly not ended. A holder that was
// paused finds out here: its monotonic clock went on, or, where the VM was
// suspended and that clock stood still, the wall clock jumped ahead of it.
// A jump of either clock, also backwards, counts as the end.
func (t Term) Holds(now Instant) bool {
	if t.Token == 0 {
		return false
	}
	margin := t.Length / marginParts
	mono := now.Mono - t.RequestedAt.Mono
	wall := now.Wall.Sub(t.RequestedAt.Wall)
	if (mono - wall).Abs() > margin {
		return false
	}
	return mono >= 0 && mono < t.Length-margin && wall < t.Length-margin
}
