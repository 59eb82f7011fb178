package routing

import "time"

// Ejection decides when a target is taken out of use and how it returns.
type Ejection struct {
	// Failures is the number of consecutive failures that eject a target.
	Failures int
	// SlowFactor is how many times the pool's median call time a target has to
	// take, over at least SlowCalls calls, to be ejected as a straggler.
	SlowFactor float64
	SlowCalls  int
	// BaseDuration is the duration of the first ejection. It doubles with every
	// consecutive ejection, up to MaxDuration.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// Ramp is how long a target that returns takes to reach its full weight.
	Ramp time.Duration
	// MaxShare is the largest share of a pool that may be ejected at once.
	// Without it a slow network link of this VM would take every target out of
	// use.
	MaxShare float64
}

// DefaultEjection returns the default settings.
func DefaultEjection() Ejection {
	return Ejection{
		Failures: 3, SlowFactor: 3, SlowCalls: 5,
		BaseDuration: time.Second, MaxDuration: 30 * time.Second, Ramp: 4 * time.Second, MaxShare: 0.34,
	}
}

// Health is what this process has observed of one target.
type Health struct {
	FailuresInRow int
	// CallTime is the moving average of the duration of whole calls, Calls the
	// number of calls since the target returned.
	CallTime time.Duration
	Calls    int
	// Ejections counts ejections in a row. It starts again after more than
	// MaxDuration in use.
	Ejections int
	// EjectedUntil is the end of the last ejection, ReturnedAt when the target
	// was put back in use after it.
	EjectedUntil time.Time
	ReturnedAt   time.Time
}

// Reason says why a target is out of use.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""
	ReasonFailures  Reason = "failures in a row"
	ReasonStraggler Reason = "straggler"
)

// EjectReason returns why a target in use should be ejected now, or ReasonNone.
// out and size are the number of targets out of use and in the pool, median is
// the pool's median call time.
func (e Ejection) EjectReason(h Health, median time.Duration, out, size int) Reason {
	if float64(out+1) > e.MaxShare*float64(size) {
		return ReasonNone
	}
	if h.FailuresInRow >= e.Failures {
		return ReasonFailures
	}
	if h.Calls >= e.SlowCalls && median > 0 && float64(h.CallTime) > e.SlowFactor*float64(median) {
		return ReasonStraggler
	}
	return ReasonNone
}

// Eject returns the health of a target that is ejected at now.
func (e Ejection) Eject(h Health, now time.Time) Health {
	if !h.ReturnedAt.IsZero() && now.Sub(h.ReturnedAt) > e.MaxDuration {
		h.Ejections = 0
	}
	out := e.BaseDuration << min(h.Ejections, 10)
	out = min(out, e.MaxDuration)
	h.Ejections++
	h.EjectedUntil = now.Add(out)
	h.ReturnedAt = h.EjectedUntil
	h.FailuresInRow = 0
	h.Calls = 0
	return h
}

// Weight is 0 while the target is ejected, then grows to 1 over Ramp.
func (e Ejection) Weight(h Health, now time.Time) float64 {
	if now.Before(h.EjectedUntil) {
		return 0
	}
	if h.ReturnedAt.IsZero() || now.Sub(h.ReturnedAt) >= e.Ramp {
		return 1
	}
	share := float64(now.Sub(h.ReturnedAt)) / float64(e.Ramp)
	return max(share, 0.05)
}
