// Package peer connects the system's own processes: authenticated JSON-RPC
// links, membership messages and the spreading of soft state.
package peer

import (
	"context"
	"encoding/json"
	"time"
)

// Incarnation names one run of one process. A VM replaced at the same address
// has another incarnation.
type Incarnation string

// Topic is a sort of soft state that processes spread to each other.
type Topic string

// The topics in use.
const (
	// TopicChange carries accepted configuration changes.
	TopicChange Topic = "change"
	// TopicStop carries announced planned stops before they are in force.
	TopicStop Topic = "stop"
	// TopicSuspect carries fingerprints of requests suspected of crashing
	// their targets.
	TopicSuspect Topic = "suspect"
	// TopicDemand carries each process's demand per contract.
	TopicDemand Topic = "demand"
	// TopicInForce carries the revision that each process has in force.
	TopicInForce Topic = "in_force"
)

// Item is one piece of soft state. Of two items with the same Topic, Origin
// and Key the one with the higher Version stands. It expires TTL after it was
// received.
type Item struct {
	Topic   Topic           `json:"topic"`
	Origin  Incarnation     `json:"origin"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	TTL     time.Duration   `json:"ttl"`
	Body    json.RawMessage `json:"body"`
}

// MemberState is what this process believes of another.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Dead    MemberState = "dead"
)

// Member is one process of the system as seen from here.
type Member struct {
	Incarnation Incarnation `json:"incarnation"`
	// PeerAddress is the IP:port of its peer side, CallerAddress of its side
	// towards callers (empty for a steward).
	PeerAddress   string      `json:"peer_address"`
	CallerAddress string      `json:"caller_address,omitempty"`
	Zone          string      `json:"zone"`
	Region        string      `json:"region"`
	State         MemberState `json:"state"`
	// Power is the VM's share of a core in percent, 0 where it isn't told.
	Power int `json:"power,omitempty"`
}

// Network is what the rest of a process sees of its peers.
type Network interface {
	// Self is this process.
	Self() Member
	// Members lists the other processes that are not dead.
	Members() []Member
	// View is what Self and Members give. It is the same until one of them
	// changes, so that what is derived from it can be kept as long.
	View() *View
	// Publish spreads an item of this process at once. Version must grow for
	// each Topic and Key.
	Publish(topic Topic, key string, version uint64, ttl time.Duration, body any) error
	// Items lists the unexpired items of a topic, those of this process too.
	Items(topic Topic) []Item
	// Subscribe has fn called, one call at a time, with every new item of a
	// topic that comes from another process. Call before Start.
	Subscribe(topic Topic, fn func(Item))
	// Handle answers calls of a method. Call before Start.
	Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error))
	// Call asks one member.
	Call(ctx context.Context, to Incarnation, method string, params, result any) error
}

// HandleCall answers calls of a method, decoded. Call before Start.
func HandleCall[T any](network Network, method string, fn func(T) (any, error)) {
	network.Handle(method, func(_ context.Context, params json.RawMessage) (any, error) {
		var call T
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, err
		}
		return fn(call)
	})
}
