package routing

import "time"

// Ejection decides when a target is taken out of use and how it comes back.
type Ejection struct {
	// Failures in a row that eject.
	Failures int
	// SlowFactor is how many times slower than the pool's median call a target
	// has to be, over at least SlowCalls calls, to be ejected as a straggler.
	SlowFactor float64
	SlowCalls  int
	// Base is the first time out; it doubles with every ejection in a row, up
	// to Longest.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// Ramp is how long a target that came back takes to its full weight.
	Ramp time.Duration
	// MaxShare is the largest share of a pool that may be out at once. Without
	// it a slow link of this VM's own would take every target out of use.
	MaxShare float64
}

// DefaultEjection has the settings of the product.
func DefaultEjection() Ejection {
	return Ejection{
		Failures: 3, SlowFactor: 3, SlowCalls: 5,
		BaseDuration: time.Second, MaxDuration: 30 * time.Second, Ramp: 4 * time.Second, MaxShare: 0.34,
	}
}

// Health is what this process has seen of one target.
type Health struct {
	FailuresInRow int
	// CallTime is the moving average of whole calls, Calls how many went in
	// since the target came back.
	CallTime time.Duration
	Calls    int
	// Ejections in a row without a calm Longest between them.
	Ejections    int
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

// Judge says whether a target in use should be ejected now. out and size are
// the number of targets out of use and in the pool, median the pool's median
// call time.
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

// Eject gives the health of a target that goes out of use at now.
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

// Weight is 0 while the target is out, then grows to 1 over Ramp.
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
