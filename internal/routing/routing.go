// Package routing decides which target a call goes to. It makes decisions only:
// callers supply the candidates and the random source.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Candidate is a target that may take a call, as seen from one entry VM.
type Candidate struct {
	// InFlight is the number of calls that this process has in flight at the
	// target.
	InFlight int
	// ReportedLoad is the load that the target last reported, in calls running
	// and waiting, less this process's own calls at that time; zero without a
	// report.
	ReportedLoad float64
	// ReportAge is the age of that report, not counting the reporting lag.
	ReportAge time.Duration
	// CallTime is the moving average of the call time at this target; zero if
	// unknown.
	CallTime time.Duration
	// SameZone says that the target is in this process's availability zone.
	SameZone bool
	// PrefillSaved is the prefill time that the target's prefix cache would
	// save.
	PrefillSaved time.Duration
	// Concurrency is the number of calls that the target serves at once; zero
	// counts as 1.
	Concurrency float64
	// Weight is 1 in normal service and less while a target that was ejected
	// returns gradually.
	Weight float64
}

// Policy picks one of the candidates, of which there is at least one.
type Policy interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// PolicyName is the name of a Policy in settings.
type PolicyName string

// The policies. Default is the one in normal use, the others are baselines for
// measurements.
const (
	Default       PolicyName = "present"
	Random        PolicyName = "random"
	RoundRobin    PolicyName = "round-robin"
	LeastInFlight PolicyName = "least-in-flight"
	PowerOfTwo    PolicyName = "better-of-two"
	// WithReports is the default policy with weight given to load reports.
	WithReports PolicyName = "with-reports"
)

// New returns the policy of a name.
func New(name PolicyName) (Policy, error) {
	switch name {
	case Default:
		return LeastExpectedLoad{Estimate: DefaultEstimate()}, nil
	case WithReports:
		estimate := DefaultEstimate()
		estimate.ReportWeight = reportWeight
		return LeastExpectedLoad{Estimate: estimate}, nil
	case PowerOfTwo:
		return PowerOfTwoChoices{Estimate: DefaultEstimate()}, nil
	case Random:
		return randomPolicy{}, nil
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastInFlight:
		return leastInFlight{}, nil
	default:
		return nil, fmt.Errorf("routing: unknown policy %q", name)
	}
}
