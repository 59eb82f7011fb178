package limit

import "math"

// Demand is the load that the callers of one entry VM ask for under one
// contract.
type Demand struct {
	// Requests and Tokens are rates per second, InFlight is a count.
	Requests float64 `json:"r,omitempty"`
	Tokens   float64 `json:"t,omitempty"`
	InFlight float64 `json:"f,omitempty"`
}

// Split names a way to divide a contract's limit among the entry VMs.
type Split string

// The splits. SplitByDemand is the default; SplitEven is a baseline for
// measurements.
const (
	SplitByDemand Split = "by-demand"
	SplitEven     Split = "even"
)

// Share returns this entry VM's share of a limit. own is the demand here,
// others the demands reported by peers, unknown the number of entry VMs that
// are listed but have reported nothing. These are assumed to have as much
// demand as this one, so that a VM cut off from its peers falls back to an even
// split instead of taking the whole limit for itself.
//
// While the total demand is below the limit, each VM gets its demand and an
// even part of the rest; above it, a share in proportion to its demand.
func Share(split Split, limit, own float64, others []float64, unknown int) float64 {
	n, total := totalDemand(own, others, unknown)
	return proportionalShare(split, limit, own, total, n)
}

func totalDemand(own float64, others []float64, unknown int) (n int, total float64) {
	total = own * float64(1+unknown)
	for _, d := range others {
		total += d
	}
	return 1 + len(others) + unknown, total
}

// proportionalShare returns the share of one of n entry VMs with the given
// demand out of a total.
func proportionalShare(split Split, limit, demand, total float64, n int) float64 {
	even := limit / float64(n)
	if split == SplitEven {
		return even
	}
	if total <= limit {
		return demand + (limit-total)/float64(n)
	}
	// A VM without demand keeps a small share, for a caller that comes before
	// the next exchange of demands.
	floor := even * idleShare
	return floor + (limit-floor*float64(n))*demand/total
}

// IntegerShare returns this entry VM's share of a limit on a count, such as
// requests in flight. others are in an order that all VMs share, and rank of
// them come before this one. Each VM rounds the cumulative sums of the shares
// before and after its own and takes the difference, so that all shares add up
// to the limit. If each VM rounded its own share up, a limit of 10 over nine
// VMs would admit 18.
//
// Where the limit is large enough, each VM with demand gets at least 1:
// otherwise callers that come to that VM would be refused every time. A VM
// without demand admits one request until the next exchange of demands. No part
// of the limit is reserved for that: eight idle VMs would hold back a third of
// a limit of 24.
func IntegerShare(split Split, limit int, own float64, others []float64, rank, unknown int) int {
	n := 1 + len(others) + unknown
	guaranteed := 1.0
	if limit < n {
		guaranteed = 0
	}
	remaining := float64(limit)
	excess := make([]float64, len(others))
	for i, d := range others {
		excess[i] = math.Max(0, d-guaranteed)
		remaining -= math.Min(1, d) * guaranteed
	}
	ownExcess := math.Max(0, own-guaranteed)
	remaining -= math.Min(1, own) * guaranteed * float64(1+unknown)
	_, total := totalDemand(ownExcess, excess, unknown)
	cumulative := roundingSlack
	for i, d := range excess[:rank] {
		cumulative += proportionalShare(split, remaining, d, total, n) + math.Min(1, others[i])*guaranteed
	}
	ownShare := proportionalShare(split, remaining, ownExcess, total, n) + math.Min(1, own)*guaranteed
	whole := int(cumulative+ownShare) - int(cumulative)
	if whole == 0 && (own == 0 || guaranteed > 0) {
		return 1
	}
	return whole
}

// roundingSlack exceeds the floating-point error of adding up shares to an
// integer.
const roundingSlack = 1e-6

// idleShare is the part of an even split that a VM without demand keeps.
const idleShare = 0.05
