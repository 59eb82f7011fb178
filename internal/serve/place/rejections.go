package place

import "github.com/vanillagate/vanillagate/internal/serve/pool"

const (
	// minAccepted is the least share of accepted requests by which an engine's cost is divided.
	minAccepted = 0.1
	// lastResortRejecting is the share of rejected requests from which on an engine is chosen only if no
	// other is left.
	lastResortRejecting = 0.5
)

// acceptedCost returns the cost of a request at an engine that rejects a share of its requests: it has to
// be sent as often until one is accepted.
func acceptedCost(cost, rejecting float64) float64 {
	if rejecting <= 0 {
		return cost
	}
	return cost / max(1-rejecting, minAccepted)
}

// lastResort reports whether an engine is chosen only if no other is left.
func lastResort(v pool.View) bool { return v.Rejecting >= lastResortRejecting }
