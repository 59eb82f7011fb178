package bench

import (
	"fmt"
	"slices"

	"github.com/vanillagate/vanillagate/internal/load/experiment"
)

// PresentPolicy is the policy for routing, admission and retries that
// vanillagate uses; all other policies are compared with it.
const PresentPolicy = "present"

// Policies lists PresentPolicy and the baseline policies, in the order in which
// they are run and shown.
var Policies = []string{
	PresentPolicy, "random", "round-robin", "least-in-flight", "no-admission", "retry-without-budget",
}

// AblationPolicies are variants of PresentPolicy with one mechanism disabled or
// replaced by its earlier version. They run only if selected by name.
var AblationPolicies = []string{"better-of-two", "with-reports", "no-hedge", "no-ejection", "no-affinity"}

// StepID identifies one step.
type StepID struct {
	Scenario string
	Policy   string
	Seed     uint64
}

// Selection filters the steps to run; empty fields select everything.
type Selection struct {
	Policies  []string
	Scenarios []string
	Seeds     []uint64
	// Quick selects the quick scenarios and the first seed of each.
	Quick bool
}

// Steps returns the steps to run. They are grouped by seed position and then by
// policy, so that a temporary slowdown of the machine does not affect only one
// policy.
func Steps(scenarios []*experiment.Scenario, selection Selection) ([]StepID, error) {
	if err := selection.check(scenarios); err != nil {
		return nil, err
	}
	var steps []StepID
	for seedIndex := 0; ; seedIndex++ {
		found := false
		for _, policy := range selection.policies() {
			for _, s := range scenarios {
				seeds := selection.seeds(s)
				if !selection.includes(s) || seedIndex >= len(seeds) {
					continue
				}
				found = true
				steps = append(steps, StepID{Scenario: s.Name, Policy: policy, Seed: seeds[seedIndex]})
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

func (p Selection) includes(s *experiment.Scenario) bool {
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
