package crashes

import "time"

const (
	// maxRecentTraits limits each of the two generations of recentTraits.
	maxRecentTraits = 2048
	// maxPartsPerAnswer limits the parts of one answer that are remembered.
	maxPartsPerAnswer = 64
)

// recentTraits remembers when something last happened to traits, such as an answer to a request with
// them. It holds those to which it happened most recently, in two generations: when the newer one is
// full, the older one is dropped. The zero value is empty.
type recentTraits struct{ newer, older map[Trait]time.Time }

// record records that it happened to a trait.
func (a *recentTraits) record(t Trait, at time.Time) {
	if at.Before(a.last(t)) {
		return
	}
	if _, found := a.newer[t]; !found && len(a.newer) >= maxRecentTraits {
		a.older, a.newer = a.newer, nil
	}
	if a.newer == nil {
		a.newer = map[Trait]time.Time{}
	}
	a.newer[t] = at
}

// last returns when it last happened to a trait; zero if that isn't known.
func (a *recentTraits) last(t Trait) time.Time {
	if at, found := a.newer[t]; found {
		return at
	}
	return a.older[t]
}
