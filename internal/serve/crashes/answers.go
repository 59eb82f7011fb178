package crashes

import "time"

const (
	// maxAnsweredTraits limits each of the two generations of answeredTraits.
	maxAnsweredTraits = 2048
	// maxPartsPerAnswer limits the parts of one answer that are remembered.
	maxPartsPerAnswer = 64
)

// answeredTraits remembers when a request with a trait was last answered completely. It holds the traits
// answered most recently, in two generations: when the newer one is full, the older one is dropped.
// The zero value is empty.
type answeredTraits struct{ newer, older map[Trait]time.Time }

// record adds an answer to a request with a trait.
func (a *answeredTraits) record(t Trait, at time.Time) {
	if at.Before(a.last(t)) {
		return
	}
	if _, found := a.newer[t]; !found && len(a.newer) >= maxAnsweredTraits {
		a.older, a.newer = a.newer, nil
	}
	if a.newer == nil {
		a.newer = map[Trait]time.Time{}
	}
	a.newer[t] = at
}

// last returns when a request with a trait was last answered; zero if that isn't known.
func (a *answeredTraits) last(t Trait) time.Time {
	if at, found := a.newer[t]; found {
		return at
	}
	return a.older[t]
}
