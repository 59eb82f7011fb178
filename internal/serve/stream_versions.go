package serve

import (
	"maps"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// streamVersions tells the versions of the services whose streams may be resumed. It implements origins.Versions.
type streamVersions struct {
	*pool.Table
	plans *plan.Holder
}

// Loaded reports whether the targets and the configuration are known.
func (v streamVersions) Loaded() bool { return v.Table.Loaded() && v.plans.Current() != nil }

// Generation grows with every change of the targets or the configuration.
func (v streamVersions) Generation() uint64 { return v.Table.Generation() + v.plans.Version() }

// ListedVersions returns the versions of each service that has streams.
func (v streamVersions) ListedVersions() map[string][]string {
	listed := v.Table.ListedVersions()
	p := v.plans.Current()
	if p == nil {
		return nil
	}
	maps.DeleteFunc(listed, func(service string, _ []string) bool { return !resumes(p, service) })
	return listed
}

// resumes reports whether a route with streams that may be resumed uses a service.
func resumes(p *plan.Plan, service string) bool {
	for i := range p.Routes {
		if r := &p.Routes[i]; r.Kind == plan.Stream && r.Resumable && r.Includes(service) {
			return true
		}
	}
	return false
}
