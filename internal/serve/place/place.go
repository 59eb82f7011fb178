// Package place chooses the target that runs a request. It does no I/O and reads no clock.
package place

import (
	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Part is one segment of a prompt. Different requests may share segments.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to a model engine.
type Prompt struct {
	Model  string
	Input  int // tokens
	Output int // maximum tokens
	// Parts of the prompt in order. The last one is the request's own, the others may be shared.
	Parts []Part
}

// shared returns the number of tokens in the parts that other requests may have in common, and the
// ID of the last of these parts.
func (p Prompt) shared() (tokens int, last string) {
	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		tokens += part.Tokens
		last = part.ID
	}
	return tokens, last
}

// AffinityKey returns the key by which prompts with the same shared parts go to the same engine;
// empty if there are no shared parts.
func (p Prompt) AffinityKey() string {
	_, last := p.shared()
	return last
}

// SharedTokens returns the number of prompt tokens in parts that other requests may have in common.
func (p Prompt) SharedTokens() int {
	tokens, _ := p.shared()
	return tokens
}

// UnsharedTokens returns the number of tokens that even the affine engine, which has read the
// shared parts, has to read.
func (p Prompt) UnsharedTokens() int {
	return max(p.Input-p.SharedTokens(), 0)
}

// Criteria is the input of the choice, besides the targets.
type Criteria struct {
	Prompt Prompt
	// Bytes of stage results that the target has to fetch, by the zone in which they are stored.
	Bytes map[string]int
	// Zone of this process.
	Zone string
	// Avoid holds the IDs of the targets that were already tried.
	Avoid map[string]bool
	// NoAffinity disables the preference for the affine engine.
	NoAffinity bool
	// Sources are the engines from which others may copy the shared parts of the prompt; see
	// CopySource. Without any, nothing is copied.
	Sources []pool.View
}

// Costs in prompt tokens, the unit of an engine's work.
const (
	// runningTokens is the cost of each running request: it makes the steps of the engine, which
	// all its requests share, take longer.
	runningTokens = 150
	// waitingTokens is the cost of each waiting request: the length of a typical prompt.
	waitingTokens = 2500
	// bytesPerToken is the number of result bytes fetched from another zone that cost as much as
	// one token.
	bytesPerToken = 2500
	// AffinityWeight is the weight of each shared token that the affine engine doesn't have to read
	// again. It is above 1 because reading a token again takes the engine's time and is also paid
	// for.
	AffinityWeight = 3
	// fullPenalty keeps requests from an engine without a free slot while any other engine has one.
	fullPenalty = 100_000
	// coldWeight is the additional cost of a prompt at a cold target, as a multiple of its length,
	// so that cold targets get short prompts first.
	coldWeight = 1
	// rampPenalty is the cost of a target that has just come back into use. It shrinks as the
	// target's weight grows to 1.
	rampPenalty = 20_000
)

// ChooseEngine returns the model engine with the lowest cost for a request, in tokens to read
// before its first one; tokens that the engine has already read are deducted. Prompts with the same
// shared parts have one affine engine, which all processes compute alike without communication;
// when it is busy, another engine is cheaper. It returns nil if no target is left.
func ChooseEngine(views []pool.View, c Criteria) *pool.Target {
	affine := ""
	if !c.NoAffinity && len(c.Sources) == 0 {
		affine = affineEngine(views, c.Prompt)
	}
	total := 0
	for _, n := range c.Bytes {
		total += n
	}
	var best *pool.Target
	bestCost := 0.0
	bestRejects := false
	for _, v := range views {
		if c.Avoid[v.ID] || v.Weight == 0 {
			continue
		}
		rejects := lastResort(v)
		if best != nil && rejects && !bestRejects {
			continue
		}
		cost := engineCost(v, c.Prompt, c.discount(v, affine))
		cost += float64(total-c.Bytes[v.Zone]) / bytesPerToken
		if best == nil || cost < bestCost || bestRejects && !rejects {
			best, bestCost, bestRejects = v.Target, cost, rejects
		}
	}
	if best == nil {
		return fallbackTarget(views, c)
	}
	return best
}

// PrefillTokens returns the number of prompt tokens that an engine has to read: the affine engine
// has already read the shared parts.
func PrefillTokens(views []pool.View, p Prompt, engine string) int {
	if affineEngine(views, p) == engine {
		return p.UnsharedTokens()
	}
	return p.Input
}

func engineCost(v pool.View, p Prompt, discount float64) float64 {
	running := max(v.InFlight, v.Report.Running)
	cost := float64(p.Input + v.Tokens + running*runningTokens + v.Report.Waiting*waitingTokens)
	cost = acceptedCost(pacedCost(cost, v.Pace), v.Rejecting)
	cost -= discount
	if v.Cold {
		cost += coldWeight * float64(p.Input)
	}
	if v.Slots > 0 && running >= v.Slots {
		cost += fullPenalty
	}
	return cost + (1-v.Weight)*rampPenalty
}

// AffinityZone returns the zone of the affine engine of a prompt; empty if there is none.
func AffinityZone(views []pool.View, p Prompt) string {
	affine := affineEngine(views, p)
	for _, v := range views {
		if v.ID == affine {
			return v.Zone
		}
	}
	return ""
}

// affineEngine returns the ID of the engine that has read a prompt's shared parts, chosen by
// rendezvous hashing; empty if there is none.
func affineEngine(views []pool.View, p Prompt) string {
	last := p.AffinityKey()
	if last == "" {
		return ""
	}
	affine := ""
	best := uint64(0)
	for _, v := range views {
		score := routing.RendezvousScore(last, v.ID)
		if v.Weight > 0 && score >= best {
			best, affine = score, v.ID
		}
	}
	return affine
}

// crossZonePenalty is the cost of a target in another zone, in requests: a target in this process's
// zone is preferred unless it is busier.
const crossZonePenalty = 0.5

// coldPenalty is the cost of a cold target, in requests.
const coldPenalty = 1

// ChooseTarget returns the target with the lowest load per slot. It is for services whose requests
// are alike. random in [0, 1) decides between equal targets, so that processes don't all choose the
// same one. It returns nil if no target is left.
func ChooseTarget(views []pool.View, c Criteria, random float64) *pool.Target {
	var best *pool.Target
	bestCost := 0.0
	start := int(random * float64(len(views)))
	for i := range views {
		v := views[(start+i)%len(views)]
		if c.Avoid[v.ID] || v.Weight == 0 {
			continue
		}
		busy := float64(max(v.InFlight, v.Report.Running) + 2*v.Report.Waiting + v.Rejected)
		cost := busy/float64(max(v.Slots, 1)) + 1 - v.Weight
		if v.Cold {
			cost += coldPenalty / float64(max(v.Slots, 1))
		}
		if v.Zone != c.Zone {
			cost += crossZonePenalty / float64(max(v.Slots, 1))
		}
		if best == nil || cost < bestCost {
			best, bestCost = v.Target, cost
		}
	}
	if best == nil {
		return fallbackTarget(views, c)
	}
	return best
}

// fallbackTarget returns an ejected target rather than none: the failures that led to its ejection
// may be due to this process's own network link.
func fallbackTarget(views []pool.View, c Criteria) *pool.Target {
	for _, v := range views {
		if !c.Avoid[v.ID] {
			return v.Target
		}
	}
	return nil
}
