package limit

import "math"

// Demand is what one entry VM's callers ask of one contract.
type Demand struct {
	// Requests and Tokens are per second, InFlight a number.
	Requests float64 `json:"r,omitempty"`
	Tokens   float64 `json:"t,omitempty"`
	InFlight float64 `json:"f,omitempty"`
}

// Split names a way to split a contract's limit over the entry VMs.
type Split string

// The ways. SplitByDemand is the product's own.
const (
	SplitByDemand Split = "by-demand"
	SplitEven     Split = "even"
)

// Share is this entry VM's part of a limit. own is the demand here, others the
// demands that peers told of, unknown the number of entry VMs that are listed
// but told nothing: they are taken to have as much demand as this one, so that
// a VM that is cut off from its peers falls back to an even split instead of
// taking the whole limit for itself.
//
// While all demands together stay below the limit, each VM gets its demand and
// an even part of the rest; above it, a part in proportion to its demand.
func Share(split Split, limit, own float64, others []float64, unknown int) float64 {
	n, total := together(own, others, unknown)
	return part(split, limit, own, total, n)
}

func together(own float64, others []float64, unknown int) (n int, total float64) {
	total = own * float64(1+unknown)
	for _, d := range others {
		total += d
	}
	return 1 + len(others) + unknown, total
}

// part is what falls to one of n entry VMs with a demand out of a total.
func part(split Split, limit, demand, total float64, n int) float64 {
	even := limit / float64(n)
	if split == SplitEven {
		return even
	}
	if total <= limit {
		return demand + (limit-total)/float64(n)
	}
	// A VM that has no demand yet keeps a small part, for a caller that comes
	// before the next exchange of demands.
	floor := even * idleShare
	return floor + (limit-floor*float64(n))*demand/total
}

// WholeShare is this entry VM's part of a limit that can't be divided, such as
// requests in flight. Others are in an order that all VMs share, with rank of
// them before this one. Each VM rounds the sum of the parts up to its own, so
// that together they give the limit; if each rounded its own part up, a limit
// of 10 over nine VMs would let 18 in.
//
// Where the limit allows it each VM with demand has at least 1: a caller that
// comes to a VM without any would be refused there for good. A VM without
// demand lets one in on trust until the next exchange of demands. Nothing is
// kept back for it: of a limit of 24, eight idle VMs would keep a third.
func IntegerShare(split Split, limit int, own float64, others []float64, rank, unknown int) int {
	n := 1 + len(others) + unknown
	least := 1.0
	if limit < n {
		least = 0
	}
	rest := float64(limit)
	beyond := make([]float64, len(others))
	for i, d := range others {
		beyond[i] = math.Max(0, d-least)
		rest -= math.Min(1, d) * least
	}
	ownBeyond := math.Max(0, own-least)
	rest -= math.Min(1, own) * least * float64(1+unknown)
	_, total := together(ownBeyond, beyond, unknown)
	before := roundingSlack
	for i, d := range beyond[:rank] {
		before += part(split, rest, d, total, n) + math.Min(1, others[i])*least
	}
	mine := part(split, rest, ownBeyond, total, n) + math.Min(1, own)*least
	whole := int(before+mine) - int(before)
	if whole == 0 && (own == 0 || least > 0) {
		return 1
	}
	return whole
}

// roundingSlack is above the error of adding up parts that give a whole.
const roundingSlack = 1e-6

// idleShare is the part of an even split that stays with a VM without demand.
const idleShare = 0.05
