// Package config holds the typed configuration that operators agree on:
// contracts, pools, pipelines, services and planned stops. A State is the
// result of applying every accepted Change in order of its revision.
package config

import (
	"encoding/json"
	"slices"
	"time"
)

// Revision numbers accepted changes, starting at 1. Zero means that nothing
// has been accepted yet.
type Revision uint64

// Kind says which sort of item a Change replaces or deletes.
type Kind string

// The kinds of items.
const (
	KindContract Kind = "contract"
	KindPool     Kind = "pool"
	KindPipeline Kind = "pipeline"
	KindService  Kind = "service"
	KindStop     Kind = "stop"
)

// Contract is what an operator agreed with one customer. Every limit,
// priority and share follows from it. A zero limit means "no limit".
type Contract struct {
	Customer string `json:"customer"`
	// KeyHashes are lower-case hex SHA-256 hashes of the bearer keys in use.
	KeyHashes []string `json:"key_hashes"`
	// RequestsPerSecond limits admitted requests over all entry VMs together.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is how many requests may be admitted at once above the rate; zero
	// means one second's worth.
	Burst int `json:"burst,omitempty"`
	// InFlight limits requests being served over all entry VMs together.
	InFlight int `json:"in_flight,omitempty"`
	// TokensPerSecond limits generated tokens over all entry VMs together.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	// Share is the customer's weight under load; zero counts as 1.
	Share int `json:"share,omitempty"`
	// Priority is passed to the engines: 0 (most urgent) to 9. Default 0.
	Priority int `json:"priority,omitempty"`
	// Balance moves between cost (0) and attainment (1), in steps of any size.
	// Nil means 1, attainment.
	Balance *float64 `json:"balance,omitempty"`
}

// TargetKind is the protocol that a pool's targets speak.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine    TargetKind = "engine"
	TargetEncoder   TargetKind = "encoder"
	TargetRetriever TargetKind = "retriever"
	TargetReranker  TargetKind = "reranker"
	TargetService   TargetKind = "service"
)

// Pool is a group of like targets. Its members come from the VM list.
type Pool struct {
	Name string     `json:"name"`
	Kind TargetKind `json:"kind"`
	// Model, Version, Adapter and Role are what the steward has the engines
	// load; empty means "whatever the target serves".
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	// AlsoVersions are versions whose answers are accepted besides Version,
	// while the engines are changed over one after another. Empty accepts
	// Version alone.
	AlsoVersions []string `json:"also_versions,omitempty"`
	// ChecksFencing says that the targets refuse an order or a request that
	// carries an old fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Accepts says whether answers of a version may be used. A pool or a target
// that names no version takes any.
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
	// MaxTokens bounds a generation; zero means 64. Ignored by other kinds.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Instructions is the text that a generation's prompt begins with; empty
	// means a short one of the product's own. Ignored by other kinds.
	Instructions string `json:"instructions,omitempty"`
	// TopK is how many documents a retriever or reranker returns; zero means 4.
	TopK int `json:"top_k,omitempty"`
}

// Pipeline is an ordered list of stages that share one deadline.
type Pipeline struct {
	Name   string  `json:"name"`
	Stages []Stage `json:"stages"`
	// DefaultTimeoutMS applies where the caller names none; zero means 4000.
	DefaultTimeoutMS int `json:"default_timeout_ms,omitempty"`
}

// Route is one call of a plain service.
type Route struct {
	Method string `json:"method"`
	// PathPrefix matches the path below the service's name, "/" matches all.
	PathPrefix string `json:"path_prefix"`
	// NonIdempotent calls run at most once and need an Idempotency-Key.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
}

// Service is a plain HTTP service that the system routes to.
type Service struct {
	Name   string  `json:"name"`
	Pool   string  `json:"pool"`
	Routes []Route `json:"routes"`
}

// StopKind says what is planned to stop.
type StopKind string

// What a planned stop may concern.
const (
	StopTarget StopKind = "target"
	StopVM     StopKind = "vm"
)

// Stop is an announced planned stop. It is in force until it is deleted.
type Stop struct {
	ID      string   `json:"id"`
	Subject StopKind `json:"on"`
	// Address is the IP:port of the target, or of the entry VM's caller side.
	Address string    `json:"address"`
	Reason  string    `json:"reason,omitempty"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
}

// Change is one accepted replacement or deletion of an item. Changes are
// totally ordered by Revision, without gaps.
type Change struct {
	// ID is chosen by the one who asks for the change. It lets a writer whose
	// answer was lost find out whether the change was accepted.
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
