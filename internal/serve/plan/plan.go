// Package plan is the configuration that is in force: which requests go to
// which services, what a route promises, who holds which key. A Plan is never
// changed once it is made; a new version replaces it whole.
package plan

import (
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind string

// The kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered in events. They run at most once, unless
	// their route is resumable.
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

	byHost    map[string]map[string]*Route
	byName    map[string]*Service
	teamByKey map[string]*Team
}

// Route says what happens to requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another target after the last event that
	// arrived.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte within which an answer is in
	// time, Gap the longest pause between events of a stream for that.
	Objective time.Duration
	Gap       time.Duration
	// Priority is a rank; 0 is the most urgent.
	Priority int
	// Split divides the requests between services by weight.
	Split []Share
	// Attempts is the most targets that one request may run on.
	Attempts int
	Stages   []Stage
	// Public routes need no key.
	Public bool
}

// Repeatable tells whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Stage is work to be done before a request can run.
type Stage struct {
	Service string
	// After lists the stages, by index, whose results this one needs.
	After []int
	// ResultBytes is the usual size of one result.
	ResultBytes int
}

// Service is a pool of targets.
type Service struct {
	Name string
	// MaxConnections is what one target accepts from all callers together.
	MaxConnections int
	// ColdPerSecond is how many requests a second a cold target bears; 0 where none
	// is cold. ColdTime is how long a target stays cold after its start.
	ColdPerSecond float64       `json:",omitempty"`
	ColdTime      time.Duration `json:",omitempty"`
	// Batch is set for services that work on stages.
	Batch *Batch
	// Engine is set for model engines.
	Engine *Engine
}

// Batch is how a stage target works.
type Batch struct {
	// Size is the most items a call may carry.
	Size int
	// CallTime is what a call takes besides its items, ItemTime about what
	// each item adds.
	CallTime time.Duration
	ItemTime time.Duration
	// BufferBytes is the space for results at one target, Keep how long a result
	// stays there unless it is freed.
	BufferBytes int
	Keep        time.Duration
	// Queue is how many calls may wait at one target.
	Queue int
}

// MaxCallTime is what a call takes that carries as much as it may.
func (b *Batch) MaxCallTime() time.Duration {
	return b.CallTime + time.Duration(b.Size)*b.ItemTime
}

// Engine is how a model engine works.
type Engine struct {
	// Slots is how many requests run at once, CacheTokens what its memory holds.
	Slots       int
	CacheTokens int
}

// Team is a customer: its keys and its rank.
type Team struct {
	Name string
	Keys []string
	// Priority, where set, goes before the route's.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int
	// IdleTime is how long a connection may stay unused.
	IdleTime time.Duration
}

// Index makes the lookups. Call it once, before the plan is shared.
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
			p.teamByKey[key] = &p.Teams[i]
		}
	}
}

// Route gives the route of a host with the longest prefix that begins the
// path; nil where none does. The path is as the caller sent it.
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

// Service gives a service by name; nil where there is none.
func (p *Plan) Service(name string) *Service { return p.byName[name] }

// TeamByKey gives the team that holds a key; nil where none does.
func (p *Plan) TeamByKey(key string) *Team { return p.teamByKey[key] }

// Pick chooses a route's service for a request; draw lies in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Rank is a request's priority: the team's goes before the route's.
func Rank(r *Route, t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}
