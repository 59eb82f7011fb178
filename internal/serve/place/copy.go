package place

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// minCopyTokens is the number of shared tokens from which on they are copied. An engine of
	// average speed reads fewer of them within 3 ms, in which it could set up a copy.
	minCopyTokens = 256
	// copyGain is how many times longer reading the shared tokens must take than copying them. The
	// bandwidth is that of an idle link, and the source may have evicted the tokens.
	copyGain = 4
	// copyWeight is the cost of each shared token that an engine copies, compared with an engine that
	// holds it. Copying a token costs about a tenth of reading it again (AffinityWeight).
	copyWeight = 0.3
)

// CopyPays reports whether an engine that doesn't hold the shared tokens of a prompt should copy
// them. It addresses prompts with long shared parts that meet uneven engines: if another engine has
// to read these parts again, affinity binds the prompts to an engine that is slow or busy. copyTime
// and readTime are how long an engine takes to copy and to read the shared tokens.
func CopyPays(sharedTokens int, copyTime, readTime time.Duration) bool {
	return sharedTokens >= minCopyTokens && copyGain*copyTime < readTime
}

// Usable returns those of the engines that hold the shared parts of a prompt from which they can be
// copied: no ejected ones, and none at which this request has failed.
func Usable(holders []pool.View, avoid map[string]bool) []pool.View {
	var list []pool.View
	for _, v := range holders {
		if v.Weight > 0 && !avoid[v.ID] {
			list = append(list, v)
		}
	}
	return list
}

// Affine returns the view of the affine engine of a prompt; false if there is none.
func Affine(views []pool.View, p Prompt) (pool.View, bool) {
	id := affineEngine(views, p)
	for _, v := range views {
		if id != "" && v.ID == id {
			return v, true
		}
	}
	return pool.View{}, false
}

// CopySource returns the engine from which another one copies the shared parts of a prompt: the
// first of the sources in its zone, else the first one. Engines of different software versions don't
// copy from each other, since their caches may differ. It returns nil if the engine is one of the
// sources or can copy from none.
func CopySource(sources []pool.View, engine *pool.Target) *pool.Target {
	var first *pool.Target
	for _, s := range sources {
		switch {
		case s.ID == engine.ID:
			return nil
		case s.Version != engine.Version:
		case first == nil, first.Zone != engine.Zone && s.Zone == engine.Zone:
			first = s.Target
		}
	}
	return first
}

// Holds reports whether an engine is one of the sources.
func Holds(sources []pool.View, engine string) bool {
	for _, s := range sources {
		if s.ID == engine {
			return true
		}
	}
	return false
}

// discount returns the tokens that are deducted from an engine's cost because it doesn't have to
// read the shared parts of the prompt. affine is the ID of the engine that is preferred if none can
// be copied from; else it is empty.
func (c Criteria) discount(v pool.View, affine string) float64 {
	weight := 0.0
	switch {
	case c.NoAffinity:
	case affine == v.ID, Holds(c.Sources, v.ID):
		weight = AffinityWeight
	case CopySource(c.Sources, v.Target) != nil:
		weight = AffinityWeight - copyWeight
	}
	if weight == 0 {
		return 0
	}
	return weight * float64(c.Prompt.SharedTokens())
}
