// Package shape describes a deployment: its availability zones, entry VMs,
// pools, what operators agreed with its customers, and what its customers ask
// for. It is read from a checked-in file, from which the stand-ins' fleet file
// and the entry VMs' configuration follow.
package shape

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Shape is a deployment.
type Shape struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// Zones are the availability zones; entry VMs and targets take turns.
	Zones   []string `json:"zones"`
	Region  string   `json:"region"`
	Entries int      `json:"entries"`
	// VMListLagMS is how old the served VM list is.
	VMListLagMS int `json:"vm_list_lag_ms"`
	// StoreLatencyMS is what a call of the table or object store takes.
	StoreLatencyMS int `json:"store_latency_ms"`
	// CapacityPerSecond is how many requests of Mix the pools can serve, as
	// measured. Loads are given as a share of it.
	CapacityPerSecond float64           `json:"capacity_per_second"`
	Pools             []Pool            `json:"pools"`
	Pipelines         []config.Pipeline `json:"pipelines"`
	Services          []config.Service  `json:"services"`
	Customers         []Customer        `json:"customers"`
	Mix               Mix               `json:"mix"`
}

// Pool is a pool of targets.
type Pool struct {
	config.Pool
	Count int `json:"count"`
	// Engine and Service are cost parameters, passed to the stand-ins as they
	// are.
	Engine  json.RawMessage `json:"engine,omitempty"`
	Service json.RawMessage `json:"service,omitempty"`
}

// Customer is one customer and its part of the load.
type Customer struct {
	// Key is the customer's bearer key. It is a secret of a test bench only.
	Key string `json:"key"`
	// Share is the customer's part of the load; the shares are weights.
	Share    float64         `json:"share"`
	Contract config.Contract `json:"contract"`
}

// Mix says which calls the customers make, as weights, and what they look like.
type Mix struct {
	Pipeline string `json:"pipeline"`
	// JSON and Stream weigh pipeline calls by how they are answered.
	JSON   float64 `json:"json"`
	Stream float64 `json:"stream"`
	// Read and Confirm weigh calls of the plain service: GET below ReadPath,
	// which may be repeated, and POST to ConfirmPath, which may not.
	Service     string  `json:"service"`
	Read        float64 `json:"read"`
	ReadPath    string  `json:"read_path"`
	Confirm     float64 `json:"confirm"`
	ConfirmPath string  `json:"confirm_path"`
	// The tokens of an answer are drawn between these, both included.
	MinTokens int `json:"least_tokens"`
	MaxTokens int `json:"most_tokens"`
	// Prefixes is how many long starts the inputs of one customer share; zero
	// means that no two inputs start alike.
	Prefixes int `json:"prefixes"`
	// InputWords is the length of an input.
	InputWords int `json:"input_words"`
	// TimeoutMS is a caller's time for a pipeline, ServiceTimeoutMS for a
	// plain service.
	TimeoutMS        int `json:"timeout_ms"`
	ServiceTimeoutMS int `json:"service_timeout_ms"`
}

// Read reads and checks a shape file. Unknown fields are errors, so that a
// misspelt one is not taken for its default.
func Read(path string) (*Shape, error) {
	var s Shape
	if err := DecodeFile(path, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &s, nil
}

// DecodeFile reads a JSON file without unknown fields.
func DecodeFile(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (s *Shape) check() error {
	var wrong []error
	need := func(good bool, text string) {
		if !good {
			wrong = append(wrong, errors.New(text))
		}
	}
	need(s.Name != "", "name is empty")
	need(len(s.Zones) > 0, "zones is empty")
	need(s.Entries > 0, "entries must be above 0")
	need(s.CapacityPerSecond > 0, "capacity_per_second must be above 0")
	need(len(s.Customers) > 0, "customers is empty")
	for _, p := range s.Pools {
		need(p.Name != "" && p.Count > 0, "a pool needs a name and a count above 0")
	}
	for _, c := range s.Customers {
		need(c.Key != "" && c.Contract.Customer != "", "a customer needs a key and a contract with its name")
	}
	wrong = append(wrong, s.Mix.Check())
	return errors.Join(wrong...)
}

// Check tells what is wrong with a mix.
func (m Mix) Check() error {
	var wrong []error
	if m.JSON+m.Stream+m.Read+m.Confirm <= 0 {
		wrong = append(wrong, errors.New("mix: the weights add up to nothing"))
	}
	if m.JSON+m.Stream > 0 && (m.Pipeline == "" || m.TimeoutMS <= 0) {
		wrong = append(wrong, errors.New("mix: pipeline calls need pipeline and timeout_ms"))
	}
	if m.Read+m.Confirm > 0 && (m.Service == "" || m.ServiceTimeoutMS <= 0) {
		wrong = append(wrong, errors.New("mix: service calls need service and service_timeout_ms"))
	}
	if m.MinTokens < 1 || m.MaxTokens < m.MinTokens {
		wrong = append(wrong, errors.New("mix: least_tokens must be 1 or more and most_tokens no less"))
	}
	return errors.Join(wrong...)
}

// Pool finds a pool by name.
func (s *Shape) Pool(name string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Zone is the availability zone of the entry VM or target at a place.
func (s *Shape) Zone(place int) string { return s.Zones[place%len(s.Zones)] }
