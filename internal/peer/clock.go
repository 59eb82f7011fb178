package peer

import (
	"time"

	"golang.org/x/sys/unix"
)

// instant is a moment on two clocks: the monotonic one, which stands still in a
// paused VM, and the one that counts from the VM's start, which doesn't. Neither
// is the time of day, which operators and time services set by seconds: a
// process that took that for a freeze would forget its peers, and tell callers
// of no address but its own.
type instant struct {
	mono time.Time
	boot time.Duration
}

func instantOf(now time.Time) instant { return instant{mono: now, boot: sinceBoot()} }

// sinceBoot is the time since the VM's start, pauses included; 0 where the
// system has no such clock, and then only the monotonic clock counts.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// beatClock notices that this process stood still: SIGSTOP or a paused VM.
type beatClock struct {
	last  instant
	limit time.Duration
}

func newBeatClock(now instant, limit time.Duration) beatClock {
	return beatClock{last: now, limit: limit}
}

// jumped tells whether far more time than a beat passed since the last one on
// either clock.
func (c *beatClock) jumped(now instant) bool {
	return now.mono.Sub(c.last.mono) > c.limit || now.boot-c.last.boot > c.limit
}

func (c *beatClock) beat(now instant) { c.last = now }
