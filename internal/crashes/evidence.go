package crashes

import "time"

const (
	// evidenceTTL is how long a crash counts.
	evidenceTTL = 10 * time.Minute
	// sameCrashTime is the time within which reports that a target died are about the same crash.
	sameCrashTime = time.Second
	// maxCrashes, maxRunsPerCrash and maxTraitsHeld limit the evidence. The oldest crash goes first.
	maxCrashes      = 256
	maxRunsPerCrash = 256
	maxTraitsHeld   = 16 << 10
)

// crash is the crash of a target and the requests that it was running, as far as they may be the cause.
type crash struct {
	target string
	at     time.Time
	runs   []Traits
}

// evidence is what a collector knows of crashes. The zero value is empty.
type evidence struct {
	crashes []*crash // in the order of their first reports
	traits  int      // of all runs
}

// add records that a target died while it ran a request.
func (e *evidence) add(target string, t Traits, at time.Time) {
	c := e.crashOf(target, at)
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

// crashOf returns the crash of a target at a time, which it adds if it isn't known.
func (e *evidence) crashOf(target string, at time.Time) *crash {
	for _, c := range e.crashes {
		if c.target == target && c.at.Sub(at).Abs() < sameCrashTime {
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		e.dropOldest()
	}
	c := &crash{target: target, at: at}
	e.crashes = append(e.crashes, c)
	return c
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
