// Package shape describes a deployment for load tests: its availability zones,
// entry VMs and pools, the contracts of its customers, and the mix of their
// calls. It is read from a checked-in file. The fleet file for the stand-in
// processes and the configuration of the entry VMs are derived from it.
package shape

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Shape describes a deployment and its load.
type Shape struct {
	Name  string `json:"name"`
	About string `json:"about"`
	// Zones are the availability zones; entry VMs and targets are assigned to them
	// round-robin.
	Zones   []string `json:"zones"`
	Region  string   `json:"region"`
	Entries int      `json:"entries"`
	// VMListLagMS is how far the VM list lags behind, in milliseconds.
	VMListLagMS int `json:"vm_list_lag_ms"`
	// StoreLatencyMS is the latency of calls to the table and object store.
	StoreLatencyMS int `json:"store_latency_ms"`
	// CapacityPerSecond is the measured number of requests of Mix that the pools
	// can serve. Loads are specified as a share of it.
	CapacityPerSecond float64           `json:"capacity_per_second"`
	Pools             []Pool            `json:"pools"`
	Pipelines         []config.Pipeline `json:"pipelines"`
	Services          []config.Service  `json:"services"`
	Customers         []Customer        `json:"customers"`
	Mix               Mix               `json:"mix"`
}

// Pool is the configuration of a pool and its number of targets.
type Pool struct {
	config.Pool
	Count int `json:"count"`
	// Engine and Service are cost parameters, passed to the stand-ins
	// unchanged.
	Engine  json.RawMessage `json:"engine,omitempty"`
	Service json.RawMessage `json:"service,omitempty"`
}

// Customer is a customer and its share of the load.
type Customer struct {
	// Key is the customer's bearer key. It is only used in load tests.
	Key string `json:"key"`
	// Share is the customer's weight in the load; shares needn't add up to 1.
	Share    float64         `json:"share"`
	Contract config.Contract `json:"contract"`
}

// Mix specifies the types of calls that customers make, as weights, and their
// parameters.
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
	// The number of tokens of an answer is random between MinTokens and MaxTokens,
	// both inclusive.
	MinTokens int `json:"least_tokens"`
	MaxTokens int `json:"most_tokens"`
	// Prefixes is the number of long prefixes that the inputs of one customer
	// share; zero means that no two inputs share a prefix.
	Prefixes int `json:"prefixes"`
	// InputWords is the length of an input in words.
	InputWords int `json:"input_words"`
	// TimeoutMS is the timeout of pipeline calls, ServiceTimeoutMS that of calls of
	// the plain service.
	TimeoutMS        int `json:"timeout_ms"`
	ServiceTimeoutMS int `json:"service_timeout_ms"`
}

// Read reads and validates a shape file. Unknown fields are errors, so that a
// misspelled field doesn't silently get its default.
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

// DecodeFile decodes a JSON file; unknown fields are errors.
func DecodeFile(path string, target any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (s *Shape) check() error {
	var errs []error
	require := func(good bool, text string) {
		if !good {
			errs = append(errs, errors.New(text))
		}
	}
	require(s.Name != "", "name is empty")
	require(len(s.Zones) > 0, "zones is empty")
	require(s.Entries > 0, "entries must be above 0")
	require(s.CapacityPerSecond > 0, "capacity_per_second must be above 0")
	require(len(s.Customers) > 0, "customers is empty")
	for _, p := range s.Pools {
		require(p.Name != "" && p.Count > 0, "a pool needs a name and a count above 0")
	}
	for _, c := range s.Customers {
		require(c.Key != "" && c.Contract.Customer != "", "a customer needs a key and a contract with its name")
	}
	errs = append(errs, s.Mix.Check())
	return errors.Join(errs...)
}

// Check returns the validation errors of a mix.
func (m Mix) Check() error {
	var errs []error
	if m.JSON+m.Stream+m.Read+m.Confirm <= 0 {
		errs = append(errs, errors.New("mix: the sum of the weights must be above 0"))
	}
	if m.JSON+m.Stream > 0 && (m.Pipeline == "" || m.TimeoutMS <= 0) {
		errs = append(errs, errors.New("mix: pipeline calls need pipeline and timeout_ms"))
	}
	if m.Read+m.Confirm > 0 && (m.Service == "" || m.ServiceTimeoutMS <= 0) {
		errs = append(errs, errors.New("mix: service calls need service and service_timeout_ms"))
	}
	if m.MinTokens < 1 || m.MaxTokens < m.MinTokens {
		errs = append(errs, errors.New("mix: least_tokens must be at least 1 and most_tokens at least least_tokens"))
	}
	return errors.Join(errs...)
}

// Pool looks up a pool by name.
func (s *Shape) Pool(name string) (Pool, bool) {
	for _, p := range s.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// Zone returns the availability zone of the entry VM or target with the
// given index.
func (s *Shape) Zone(index int) string { return s.Zones[index%len(s.Zones)] }
