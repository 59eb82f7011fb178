// Package place decides which target runs a request. It does no I/O and reads
// no clock.
package place

import (
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Part is one part of a prompt. Requests share parts.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what is known of a request to a model engine.
type Prompt struct {
	Model  string
	Input  int // tokens
	Output int // tokens at most
	// Parts of the prompt in order; the last one is the request's own.
	Parts []Part
}

// shared is the number of tokens that other requests may have had read, and
// the name of the last part of them.
func (p Prompt) shared() (tokens int, last string) {
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		tokens += part.Tokens
		last = part.ID
	}
	return tokens, last
}

// Affinity names what draws a prompt to the engine that has read its shared parts; empty
// where it has none.
func (p Prompt) Affinity() string {
	_, last := p.shared()
	return last
}

// SharedTokens is how many tokens of a prompt other requests may have had read.
func (p Prompt) SharedTokens() int {
	tokens, _ := p.shared()
	return tokens
}

// UnsharedTokens is the number of tokens that the engine of its affinity has not read yet.
func (p Prompt) UnsharedTokens() int {
	return max(p.Input-p.SharedTokens(), 0)
}

// Criteria is what decides where a request goes.
type Criteria struct {
	Prompt Prompt
	// Bytes of results that lie in each zone, to be fetched by the target.
	Bytes map[string]int
	// Zone of this process.
	Zone string
	// Avoid lists targets that were tried already, by ID.
	Avoid map[string]bool
	// NoAffinity means that shared prompts are sent anywhere.
	NoAffinity bool
}

// Weights in prompt tokens, the unit of an engine's work.
const (
	// runningTokens is what a running request costs those beside it: the engine's steps
	// take longer.
	runningTokens = 150
	// waitingTokens is the length of a usual prompt, for a request that waits.
	waitingTokens = 2500
	// bytesPerToken weighs bytes of results that cross zones against tokens that are read
	// again.
	bytesPerToken = 2500
	// AffinityWeight is how much more a token read again counts than one read at all: it
	// takes the engine's time and is paid for besides.
	AffinityWeight = 3
	// fullTokens keeps requests from an engine without a free slot while any
	// other has one.
	fullTokens = 100_000
	// coldWeight is how much more a prompt costs at a cold target, in parts of its
	// length: short ones go there first.
	coldWeight = 1
	// rampTokens is the handicap of a target that has just come back into use.
	rampTokens = 20_000
)

// ChooseEngine chooses a model engine: the one where the request costs least, in
// tokens to read before its first, with those that the engine has read already
// left out. Each shared prompt has one affine engine, the same in the eyes of all
// processes, so that they agree without exchange; one that is busy gives
// way. nil where no target is left.
func ChooseEngine(views []pool.View, w Criteria) *pool.Target {
	affine := ""
	if !w.NoAffinity {
		affine = affineEngine(views, w.Prompt)
	}
	total := 0
	for _, n := range w.Bytes {
		total += n
	}
	var best *pool.Target
	bestCost := 0.0
	for _, v := range views {
		if w.Avoid[v.ID] || v.Weight == 0 {
			continue
		}
		cost := engineCost(v, w.Prompt, affine == v.ID)
		cost += float64(total-w.Bytes[v.Zone]) / bytesPerToken
		if best == nil || cost < bestCost {
			best, bestCost = v.Target, cost
		}
	}
	if best == nil {
		return lastResort(views, w)
	}
	return best
}

// PrefillTokens is how many tokens of a prompt an engine has to read: the affine one has read
// the shared parts.
func PrefillTokens(views []pool.View, p Prompt, engine string) int {
	if affineEngine(views, p) == engine {
		return p.UnsharedTokens()
	}
	return p.Input
}

func engineCost(v pool.View, p Prompt, affine bool) float64 {
	running := max(v.InFlight, v.Report.Running)
	cost := float64(p.Input + v.Tokens + running*runningTokens + v.Report.Waiting*waitingTokens)
	if affine {
		cost -= AffinityWeight * float64(p.SharedTokens())
	}
	if v.Cold {
		cost += coldWeight * float64(p.Input)
	}
	if v.Slots > 0 && running >= v.Slots {
		cost += fullTokens
	}
	return cost + (1-v.Weight)*rampTokens
}

// AffinityZone gives the zone of the engine where a prompt's shared parts have been
// read; empty where it has none.
func AffinityZone(views []pool.View, p Prompt) string {
	affine := affineEngine(views, p)
	for _, v := range views {
		if v.ID == affine {
			return v.Zone
		}
	}
	return ""
}

// affineEngine gives the ID of the engine that has read a prompt's shared parts, by rendezvous;
// empty where it has none.
func affineEngine(views []pool.View, p Prompt) string {
	last := p.Affinity()
	if last == "" {
		return ""
	}
	affine := ""
	best := uint64(0)
	for _, v := range views {
		score := routing.Rendezvous(last, v.ID)
		if v.Weight > 0 && score >= best {
			best, affine = score, v.ID
		}
	}
	return affine
}

// crossZone is what another zone counts among a plain service's targets, in
// requests: a target in this process's zone is taken unless it has more to do.
const crossZone = 0.5

// coldRequest is what it counts that a plain service's target is cold, in requests.
const coldRequest = 1

// ChooseTarget chooses a target of a service whose requests are alike: the one with
// the least in hand for its slots. draw in [0, 1) decides between equals, so
// that processes don't all take the same one.
func ChooseTarget(views []pool.View, w Criteria, draw float64) *pool.Target {
	var best *pool.Target
	bestCost := 0.0
	start := int(draw * float64(len(views)))
	for i := range views {
		v := views[(start+i)%len(views)]
		if w.Avoid[v.ID] || v.Weight == 0 {
			continue
		}
		busy := float64(max(v.InFlight, v.Report.Running) + 2*v.Report.Waiting)
		cost := busy/float64(max(v.Slots, 1)) + 1 - v.Weight
		if v.Cold {
			cost += coldRequest / float64(max(v.Slots, 1))
		}
		if v.Zone != w.Zone {
			cost += crossZone / float64(max(v.Slots, 1))
		}
		if best == nil || cost < bestCost {
			best, bestCost = v.Target, cost
		}
	}
	if best == nil {
		return lastResort(views, w)
	}
	return best
}

// lastResort takes a target that is out of use rather than none: the signs
// against it may be this process's own link.
func lastResort(views []pool.View, w Criteria) *pool.Target {
	for _, v := range views {
		if !w.Avoid[v.ID] {
			return v.Target
		}
	}
	return nil
}
