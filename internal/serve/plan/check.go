package plan

import (
	"fmt"
	"slices"
)

// Check tells what in a plan can't be used; nil where all can. A plan
// comes from an operator or from a peer of another version. Stages that wait for
// each other would be followed without end, an index without a stage, or a batch
// without items, would end the process at the first request that needs it, and
// the next process when the caller sends it again.
func (p *Plan) Check() error {
	for i := range p.Routes {
		if !canBeDone(p.Routes[i].Stages) {
			return fmt.Errorf("route %q has stages that wait for each other or for none that there is", p.Routes[i].Name)
		}
	}
	for _, s := range p.Services {
		if s.Batch != nil && s.Batch.Size < 1 {
			return fmt.Errorf("service %q takes %d items a call", s.Name, s.Batch.Size)
		}
	}
	return nil
}

// canBeDone tells whether there is an order in which each stage comes after those
// that it needs.
func canBeDone(stages []Stage) bool {
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
