// Package config defines the configuration that operators change: contracts,
// pools, pipelines, services and planned stops. A State is the result of
// applying all accepted Changes in the order of their revisions.
package config

import (
	"encoding/json"
	"slices"
	"time"
)

// Revision is the number of an accepted change, starting at 1. Zero means that
// no change has been accepted yet.
type Revision uint64

// Kind is the kind of item that a Change replaces or deletes.
type Kind string

// The kinds of items.
const (
	KindContract Kind = "contract"
	KindPool     Kind = "pool"
	KindPipeline Kind = "pipeline"
	KindService  Kind = "service"
	KindStop     Kind = "stop"
)

// Contract holds the limits, priority and share agreed with one customer. A
// zero limit means "no limit".
type Contract struct {
	Customer string `json:"customer"`
	// KeyHashes are lower-case hex SHA-256 hashes of the bearer keys in use.
	KeyHashes []string `json:"key_hashes"`
	// RequestsPerSecond limits admitted requests across all entry VMs.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is how many requests may be admitted at once above the rate; zero
	// means the number for one second.
	Burst int `json:"burst,omitempty"`
	// InFlight limits concurrent requests across all entry VMs.
	InFlight int `json:"in_flight,omitempty"`
	// TokensPerSecond limits generated tokens across all entry VMs.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Share is the customer's weight under load; zero counts as 1.
	Share int `json:"share,omitempty"`
	// Priority is passed to the engines: 0 (most urgent, the default) to 9.
	Priority int `json:"priority,omitempty"`
	// Balance weighs cost (0) against attainment (1), the share of requests
	// answered completely and in time; any value in between is allowed. Nil
	// means 1.
	Balance *float64 `json:"balance,omitempty"`
}

// TargetKind is the kind of a pool's targets, which determines their protocol.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine    TargetKind = "engine"
	TargetEncoder   TargetKind = "encoder"
	TargetRetriever TargetKind = "retriever"
	TargetReranker  TargetKind = "reranker"
	TargetService   TargetKind = "service"
)

// Pool is a group of interchangeable targets. Its members come from the VM
// list.
type Pool struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// Model, Version, Adapter and Role are what the steward makes the engines
	// load; empty means whatever the target serves.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// AlsoVersions are versions whose answers are accepted besides Version
	// while the engines are updated one after another. If empty, only Version
	// is accepted.
	AlsoVersions []string `json:"also_versions,omitempty"`
	// ChecksFencing says that the targets refuse an order or a request with an
	// outdated fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Accepts returns whether answers of a version may be used. If the pool or the
// target names no version, every version is accepted.
func (p Pool) Accepts(version string) bool {
	if p.Version == "" || version == "" || version == p.Version {
		return true
	}
	return slices.Contains(p.AlsoVersions, version)
}

// Stage is one step of a pipeline.
type Stage struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// MaxTokens limits the generated tokens; zero means 64. Only generation
	// stages use it.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Instructions is the text at the start of a generation's prompt; if empty,
	// a short default is used. Only generation stages use it.
	Instructions string `json:"instructions,omitempty"`
	// TopK is how many documents a retriever or reranker returns; zero means 4.
	TopK int `json:"top_k,omitempty"`
}

// Pipeline is an ordered list of stages that share one deadline.
type Pipeline struct {
	Name   string  `json:"name"`
	Stages []Stage `json:"stages"`
	// DefaultTimeoutMS applies if the caller sets no timeout; zero means 4000.
	DefaultTimeoutMS int `json:"default_timeout_ms,omitempty"`
}

// Route is a group of calls that a plain service accepts.
type Route struct {
	Method string `json:"method"`
	// PathPrefix matches the path after the service's name; "/" matches all
	// paths.
	PathPrefix string `json:"path_prefix"`
	// NonIdempotent calls run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// Service is a plain HTTP service to which the system routes requests.
type Service struct {
	Name   string  `json:"name"`
	Pool   string  `json:"pool"`
	Routes []Route `json:"routes"`
}

// StopKind is the kind of process that a planned stop is about.
type StopKind string

// The kinds of planned stops.
const (
	StopTarget StopKind = "target"
	StopVM     StopKind = "vm"
)

// Stop is an announced planned stop. It is in force until it is deleted.
type Stop struct {
	ID      string   `json:"id"`
	Subject StopKind `json:"on"`
	// Address is the IP:port of the target, or of the entry VM's listener for
	// callers.
	Address string    `json:"address"`
	Reason  string    `json:"reason,omitempty"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// Change is one accepted replacement or deletion of an item. Changes are
// totally ordered by Revision, without gaps.
type Change struct {
	// ID is chosen by the client that requests the change. A writer whose
	// answer was lost uses it to find out whether the change was accepted.
	ID       string   `json:"id"`
	Revision Revision `json:"revision"`
	Kind     Kind     `json:"kind"`
	Name     string   `json:"name"`
	Deleted  bool     `json:"deleted,omitempty"`
	// Body is the new item as JSON; absent for a deletion.
	Body json.RawMessage `json:"body,omitempty"`
	By   string          `json:"by"`
	At   time.Time       `json:"at"`
}
