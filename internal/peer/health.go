package peer

import "time"

// maxHealthScore is the upper bound of health.score.
const maxHealthScore = 7

// health is a local health score, as in the Lifeguard extensions to SWIM. A process that is
// short of CPU sees answers late and would suspect healthy members; the suspicions
// and their refutations would cost more CPU on every process. So it waits longer for
// answers the more often its probes fail or it is suspected itself. The zero value
// is healthy.
type health struct {
	score int
	// overloadedTicks is the number of ticks for which this process still counts as short
	// of CPU.
	overloadedTicks int
}

const (
	// A tick that is late by more than minLateness, and by more than the period divided
	// by latenessDivisor, shows a shortage of CPU. A ping and its answer wait for the CPU
	// about four times at each end.
	minLateness     = 20 * time.Millisecond
	latenessDivisor = 8
	// ticksAfterLateness is the number of ticks after a late one for which a process counts
	// as short of CPU.
	ticksAfterLateness = 2
)

// tick records how much later than planned a tick came.
func (h *health) tick(lateness, period time.Duration) {
	if lateness > max(minLateness, period/latenessDivisor) {
		h.overloadedTicks = ticksAfterLateness
		return
	}
	h.overloadedTicks = max(h.overloadedTicks-1, 0)
}

// overloaded reports whether this process is so short of CPU that a missing answer says
// nothing about the other process.
func (h *health) overloaded() bool { return h.overloadedTicks > 0 }

func (h *health) worse() { h.score = min(h.score+1, maxHealthScore) }

func (h *health) better() { h.score = max(h.score-1, 0) }

// scaledTimeout extends a timeout according to the health score.
func (h *health) scaledTimeout(base time.Duration) time.Duration {
	return base * time.Duration(1+h.score)
}
