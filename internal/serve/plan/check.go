package plan

import (
	"fmt"
	"slices"
)

// Check returns an error if the plan can't be used. A plan comes from an operator or from a peer of
// another version. Cyclic stages would be followed forever; a dependency on a stage that doesn't
// exist, or a batch size below 1, would crash the process at the first request that needs it, and
// the next process when the caller retries.
func (p *Plan) Check() error {
	if err := p.Limits.Check(); err != nil {
		return err
	}
	for i := range p.Routes {
		if !hasValidOrder(p.Routes[i].Stages) {
			return fmt.Errorf("route %q: stages depend on each other in a cycle or on a stage that does not exist", p.Routes[i].Name)
		}
	}
	for _, s := range p.Services {
		if s.Batch != nil && s.Batch.Size < 1 {
			return fmt.Errorf("service %q: batch size is %d, must be at least 1", s.Name, s.Batch.Size)
		}
	}
	return nil
}

// hasValidOrder reports whether the stages can be ordered so that each comes after those that it
// depends on.
func hasValidOrder(stages []Stage) bool {
	done := make([]bool, len(stages))
	for range stages {
		for i, s := range stages {
			done[i] = done[i] || allDone(s.After, done)
		}
	}
	return !slices.Contains(done, false)
}

func allDone(after []int, done []bool) bool {
	for _, a := range after {
		if a < 0 || a >= len(done) || !done[a] {
			return false
		}
	}
	return true
}
