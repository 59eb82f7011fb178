package crashes

import "time"

const (
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// sameCrashTime is the time within which reports that a target died are about the same crash, if they don't tell
	// its starts apart.
	sameCrashTime = time.Second
	// maxCrashes, maxRunsPerCrash and maxTraitsHeld limit the evidence. The oldest crash goes first.
	maxCrashes      = 256
	maxRunsPerCrash = 256
	maxTraitsHeld   = 16 << 10
)

// crash is the crash of a target and the requests that it was running, as far as they may be the cause.
type crash struct {
	target string
	// born is when the target started, in Unix milliseconds; 0 if that isn't known.
	born int64
	// at is when the target was last known to run, until when it was known to have crashed.
	at, until time.Time
	runs      []Traits
}

// is reports whether two reports are about the same crash.
func (c *crash) is(other crash) bool {
	switch {
	case c.target != other.target:
		return false
	case c.born != 0 && other.born != 0:
		return c.born == other.born
	default:
		return latest(c.at, other.at).Sub(earliest(c.until, other.until)) < sameCrashTime
	}
}

// narrow takes over what another report tells of the time of the crash.
func (c *crash) narrow(other crash) {
	c.until = earliest(c.until, other.until)
	c.at = earliest(latest(c.at, other.at), c.until)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// evidence is what a collector knows of crashes. The zero value is empty.
type evidence struct {
	crashes []*crash // in the order of their first reports
	traits  int      // of all runs
}

// add records that a target died while it ran a request.
func (e *evidence) add(reported crash, t Traits) {
	c := e.find(reported)
	if len(c.runs) >= maxRunsPerCrash || len(t.Parts) >= maxTraitsHeld {
		return
	}
	for _, run := range c.runs {
		if run.Content == t.Content {
			return
		}
	}
	c.runs = append(c.runs, t)
	e.traits += 1 + len(t.Parts)
	for e.traits > maxTraitsHeld && len(e.crashes) > 1 {
		e.dropOldest()
	}
}

// find returns the crash that is reported, which it adds if it isn't known.
func (e *evidence) find(reported crash) *crash {
	for _, c := range e.crashes {
		if c.is(reported) {
			c.narrow(reported)
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.dropOldest()
	}
	e.crashes = append(e.crashes, &reported)
	return &reported
}

func (e *evidence) dropOldest() {
	for _, run := range e.crashes[0].runs {
		e.traits -= 1 + len(run.Parts)
	}
	e.crashes = e.crashes[1:]
}

// expire drops the crashes that no longer count.
func (e *evidence) expire(now time.Time) {
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].at) > evidenceTTL {
		e.dropOldest()
	}
}
