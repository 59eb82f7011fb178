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
	for i := range p.Routes {
		if err := p.Routes[i].checkStages(); err != nil {
			return err
		}
	}
	for _, s := range p.Services {
		if s.Batch != nil && s.Batch.Size < 1 {
			return fmt.Errorf("service %q: batch size is %d, must be at least 1", s.Name, s.Batch.Size)
		}
	}
	return nil
}

// Check returns an error if requests of the route can't be handled.
func (r *Route) Check() error {
	for _, s := range r.Split {
		if s.Weight < 0 {
			return fmt.Errorf("route %q: weight of service %q is %d", r.Name, s.Service, s.Weight)
		}
	}
	return r.checkStages()
}

func (r *Route) checkStages() error {
	if !hasValidOrder(r.Stages) {
		return fmt.Errorf("route %q: stages depend on each other in a cycle or on a stage that does not exist", r.Name)
	}
	return nil
}

// uses reports whether the route's requests or stages go to one of some services.
func (r *Route) uses(services map[string]bool) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return services[s.Service] }) ||
		slices.ContainsFunc(r.Stages, func(s Stage) bool { return services[s.Service] })
}

// Refused returns a route for the same requests that refuses them.
func (r *Route) Refused() Route {
	return Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: NonIdempotent, Attempts: 1, Public: true, Unusable: true}
}

// RefuseRoutesTo replaces the routes to some services, which can't be used, by those that refuse their requests.
func (p *Plan) RefuseRoutesTo(services map[string]bool) {
	for i := range p.Routes {
		if r := &p.Routes[i]; !r.Unusable && r.uses(services) {
			p.Unusable = append(p.Unusable, fmt.Sprintf("route %q: one of its services can't be used", r.Name))
			p.Routes[i] = r.Refused()
		}
	}
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
