// Package routing decides which target a call goes to. It holds decisions
// only: callers bring the candidates and a source of random numbers.
package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Candidate is a target that may take a call, as seen from one entry VM.
type Candidate struct {
	// InFlight is how many calls this process has at the target now.
	InFlight int
	// Reported is the load that the target reported last, in calls running and
	// waiting, less those of this process at that time; zero without a report.
	ReportedLoad float64
	// ReportAge is how old that report is, the reporting lag not included.
	ReportAge time.Duration
	// CallTime is what a call at this target takes now (moving average); zero
	// where nothing is known.
	CallTime time.Duration
	// SameZone says that the target is in this process's availability zone.
	SameZone bool
	// PrefillSaved is the time that the target's prefix cache would save.
	PrefillSaved time.Duration
	// Full is how many calls the target serves at once; zero counts as 1.
	Concurrency float64
	// Weight is 1 in normal service and less while a target that was ejected
	// is let back in gradually.
	Weight float64
}

// Policy picks one of at least one candidates.
type Policy interface {
	Pick(candidates []Candidate, random *rand.Rand) int
}

// Name names a Policy in settings.
type PolicyName string

// The names of the policies. Present is the product's own, the others are the
// baselines it is measured against.
const (
	Default       PolicyName = "present"
	Random        PolicyName = "random"
	RoundRobin    PolicyName = "round-robin"
	LeastInFlight PolicyName = "least-in-flight"
	PowerOfTwo    PolicyName = "better-of-two"
	// WithReports is the present policy that weighs the targets' load reports.
	WithReports PolicyName = "with-reports"
)

// New makes the policy of a name.
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
