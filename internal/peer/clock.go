package peer

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is one moment on two clocks: CLOCK_MONOTONIC, which stops while the VM is
// paused, and CLOCK_BOOTTIME, which doesn't. Wall-clock time isn't used, because
// operators and time services step it by seconds: a process that mistook such a step
// for a freeze would forget its peers and give callers no address but its own.
type instant struct {
	mono time.Time
	boot time.Duration
}

func instantOf(now time.Time) instant { return instant{mono: now, boot: sinceBoot()} }

// sinceBoot returns the time since the VM's boot, pauses included. It returns 0 where
// the system has no such clock; then only the monotonic clock counts.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// freezeDetector detects that this process was frozen, by SIGSTOP or a paused VM.
type freezeDetector struct {
	last  instant
	limit time.Duration
}

func newFreezeDetector(now instant, limit time.Duration) freezeDetector {
	return freezeDetector{last: now, limit: limit}
}

// frozen reports whether more than the limit has passed on either clock since the
// last tick.
func (c *freezeDetector) frozen(now instant) bool {
	return now.mono.Sub(c.last.mono) > c.limit || now.boot-c.last.boot > c.limit
}

func (c *freezeDetector) tick(now instant) { c.last = now }
