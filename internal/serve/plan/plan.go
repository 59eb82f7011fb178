// Package plan defines the configuration in force: routes from requests to services with their
// timeouts and objectives, the services, and the customers' keys. A Plan is not changed after it is
// indexed; a new version replaces it as a whole.
package plan

import (
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered with a stream of events. They run at most once unless their
	// route is resumable.
	Stream Kind = "stream"
)

// Plan is one version of the configuration.
type Plan struct {
	// Version grows with each change, not always by one.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
	// Unusable says which parts of the configuration couldn't be used, and why. Peers don't get it.
	Unusable []string `json:"-"`

	byHost    map[string]map[string]*Route
	byName    map[string]*Service
	teamByKey map[string]*Team
}

// Route configures how requests for a host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may continue at another target after the last event received.
	Resumable bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the time to the first byte within which a response counts as in time. Gap is the
	// longest pause between events for a stream to count as in time.
	Objective time.Duration
	Gap       time.Duration
	// Priority of the requests; 0 is the most urgent.
	Priority int
	// Split divides the requests between services by weight.
	Split []Share
	// Attempts is the maximum number of targets that one request may run on.
	Attempts int
	Stages   []Stage
	// Public routes need no API key.
	Public bool
	// Unusable routes can't be used as they are configured. Their requests are refused, as another route with a shorter
	// prefix would send them to a service that they aren't for.
	Unusable bool `json:",omitempty"`
}

// Repeatable reports whether a request that may already have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is one service's weight in a route's Split.
type Share struct {
	Service string
	Weight  int
}

// Stage is a preparatory step that runs before the request itself.
type Stage struct {
	Service string
	// After holds the indexes of the stages whose results this one needs.
	After []int
	// ResultBytes is the typical size of one result.
	ResultBytes int
}

// Service is a pool of targets.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one target accepts from all callers
	// together.
	MaxConnections int
	// HealthPath is the path at which the targets answer health checks; empty if they don't.
	HealthPath string `json:",omitempty"`
	// ColdPerSecond is how many requests a second a cold target can handle; 0 if the service's
	// targets are never cold. ColdTime is how long a target stays cold after its start.
	ColdPerSecond float64       `json:",omitempty"`
	ColdTime      time.Duration `json:",omitempty"`
	// Batch is set for services that run stages.
	Batch *Batch
	// Engine is set for model engines.
	Engine *Engine
}

// Batch describes how a target that runs stages processes its calls.
type Batch struct {
	// Size is the maximum number of items per call.
	Size int
	// CallTime is the fixed time of a call, ItemTime the approximate additional time per item.
	CallTime time.Duration
	ItemTime time.Duration
	// BufferBytes is the size of the result buffer at one target. Keep is how long a result stays
	// there unless it is freed.
	BufferBytes int
	Keep        time.Duration
	// Queue is the number of calls that may wait at one target.
	Queue int
}

// MaxCallTime returns the time of a call with the maximum number of items.
func (b *Batch) MaxCallTime() time.Duration {
	return b.CallTime + time.Duration(b.Size)*b.ItemTime
}

// Engine describes the capacity of a model engine.
type Engine struct {
	// Slots is the number of requests that run concurrently, CacheTokens the number of tokens that
	// the KV cache holds.
	Slots       int
	CacheTokens int
	// TokenBytes is the size of one cached prompt token, LinkMbps the bandwidth in Mbit/s at which an
	// engine copies cached tokens from another one. Engines copy none unless both are above 0.
	TokenBytes float64 `json:",omitempty"`
	LinkMbps   float64 `json:",omitempty"`
}

// CopyTime returns how long an engine takes to copy cached prompt tokens from another one; false if
// engines copy none.
func (e *Engine) CopyTime(tokens int) (time.Duration, bool) {
	if e == nil || e.TokenBytes <= 0 || e.LinkMbps <= 0 {
		return 0, false
	}
	const bitsPerByte, bitsPerMbit = 8, 1e6
	seconds := float64(tokens) * e.TokenBytes * bitsPerByte / (e.LinkMbps * bitsPerMbit)
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second)), true
}

// Team is a customer with its API keys and priority.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the route's if it is set.
	Priority *int
}

// Limits bounds callers' requests and connections. 0 stands for the default.
type Limits struct {
	// HeaderBytes bounds the header lines of a request, BodyBytes its body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a head may take from its first byte on.
	HeaderTime time.Duration
	// IdleTime is how long a connection may stay unused.
	IdleTime time.Duration
}

// Index builds the lookup maps. Call it once, before the plan is shared.
func (p *Plan) Index() {
	p.byHost = map[string]map[string]*Route{}
	for i := range p.Routes {
		r := &p.Routes[i]
		prefixes := p.byHost[r.Host]
		if prefixes == nil {
			prefixes = map[string]*Route{}
			p.byHost[r.Host] = prefixes
		}
		prefixes[r.Prefix] = r
	}
	p.byName = map[string]*Service{}
	for i := range p.Services {
		p.byName[p.Services[i].Name] = &p.Services[i]
	}
	p.teamByKey = map[string]*Team{}
	for i := range p.Teams {
		for _, key := range p.Teams[i].Keys {
			if key != "" { // requests without a key have none
				p.teamByKey[key] = &p.Teams[i]
			}
		}
	}
}

// Route returns the route for a host with the longest prefix of the path; nil if there is none. The
// path is matched as the caller sent it.
func (p *Plan) Route(host, path string) *Route {
	prefixes := p.byHost[host]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Service returns a service by name; nil if there is none.
func (p *Plan) Service(name string) *Service { return p.byName[name] }

// TeamByKey returns the team that holds an API key; nil if there is none.
func (p *Plan) TeamByKey(key string) *Team { return p.teamByKey[key] }

// Includes reports whether requests of the route may go to a service.
func (r *Route) Includes(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Pick returns a service of the route's Split for a request. random is a random number in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.Split {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// EffectivePriority returns a request's effective priority: the team's if it is set, otherwise the route's.
func EffectivePriority(r *Route, t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}
