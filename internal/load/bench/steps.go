package bench

import (
	"fmt"
	"slices"

	"github.com/vanillagate/vanillagate/internal/load/experiment"
)

// PresentPolicy is the product's own policy; all others are baselines.
const PresentPolicy = "present"

// Policies are the product's own policy and the baselines, in the order in
// which they are run and shown.
var Policies = []string{
	PresentPolicy, "random", "round-robin", "least-in-flight", "no-admission", "retry-without-budget",
}

// AblationPolicies are the product's policy with one part switched off or as it was
// before, run only where they are named.
var AblationPolicies = []string{"better-of-two", "with-reports", "no-hedge", "no-ejection", "no-affinity"}

// StepID names one step.
type StepID struct {
	Scenario string
	Policy   string
	Seed     uint64
}

// Selection narrows the steps down; empty fields select everything.
type Selection struct {
	Policies  []string
	Scenarios []string
	Seeds     []uint64
	// Quick selects the quick scenarios and one seed of each.
	Quick bool
}

// Steps lists what is to be run. All scenarios of one policy and seed stand
// together, and the policies take turns within a seed, so that a slow spell of
// the machine does not fall on one policy only.
func Steps(scenarios []*experiment.Scenario, pick Selection) ([]StepID, error) {
	if err := pick.check(scenarios); err != nil {
		return nil, err
	}
	var steps []StepID
	for turn := 0; ; turn++ {
		found := false
		for _, policy := range pick.policies() {
			for _, s := range scenarios {
				seeds := pick.seeds(s)
				if !pick.wants(s) || turn >= len(seeds) {
					continue
				}
				found = true
				steps = append(steps, StepID{Scenario: s.Name, Policy: policy, Seed: seeds[turn]})
			}
		}
		if !found {
			return steps, nil
		}
	}
}

func (p Selection) check(scenarios []*experiment.Scenario) error {
	for _, name := range p.Scenarios {
		if !slices.ContainsFunc(scenarios, func(s *experiment.Scenario) bool { return s.Name == name }) {
			return fmt.Errorf("bench: no scenario %q", name)
		}
	}
	for _, name := range p.Policies {
		if !slices.Contains(Policies, name) && !slices.Contains(AblationPolicies, name) {
			return fmt.Errorf("bench: no policy %q", name)
		}
	}
	return nil
}

func (p Selection) policies() []string {
	if len(p.Policies) > 0 {
		return p.Policies
	}
	return Policies
}

func (p Selection) wants(s *experiment.Scenario) bool {
	if len(p.Scenarios) > 0 {
		return slices.Contains(p.Scenarios, s.Name)
	}
	return !p.Quick || s.Quick
}

func (p Selection) seeds(s *experiment.Scenario) []uint64 {
	seeds := s.Seeds
	if len(p.Seeds) > 0 {
		seeds = p.Seeds
	}
	if p.Quick {
		return seeds[:1]
	}
	return seeds
}
