// Package peer connects the system's own processes. It provides authenticated JSON-RPC
// links, SWIM-style membership, and the gossip of soft state.
package peer

import (
	"context"
	"encoding/json"
	"time"
)

// Incarnation identifies one run of one process. A VM that replaces another one
// at the same address has a different incarnation.
type Incarnation string

// Topic is a category of soft state that processes gossip.
type Topic string

// The topics.
const (
	// TopicChange carries accepted configuration changes.
	TopicChange Topic = "change"
	// TopicStop carries announced planned stops before they are in force.
	TopicStop Topic = "stop"
	// TopicSuspect carries fingerprints of requests suspected of crashing their
	// targets.
	TopicSuspect Topic = "suspect"
	// TopicConviction carries convictions of requests that crash their targets, TopicCrashQuestion
	// questions whether requests were answered all the same, and TopicCrashAnswer the answers to them.
	TopicConviction    Topic = "conviction"
	TopicCrashQuestion Topic = "crash_question"
	TopicCrashAnswer   Topic = "crash_answer"
	// TopicDemand carries each process's demand per contract.
	TopicDemand Topic = "demand"
	// TopicReach carries the services from which processes are cut off.
	TopicReach Topic = "reach"
	// TopicRate carries the request rates that targets have stated.
	TopicRate Topic = "rate"
	// TopicLeaving carries the targets that have said in their answers that they leave.
	TopicLeaving Topic = "leaving"
	// TopicEnginePace carries the usual paces of the engines that a process tracks.
	TopicEnginePace Topic = "engine_pace"
	// TopicInForce carries the configuration revision in force at each process.
	TopicInForce Topic = "in_force"
)

// Item is one piece of soft state. Of two items with the same Topic, Origin and
// Key, the one with the higher Version wins. An item expires TTL after it was
// received.
type Item struct {
	Topic   Topic           `json:"topic"`
	Origin  Incarnation     `json:"origin"`
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	TTL     time.Duration   `json:"ttl"`
	Body    json.RawMessage `json:"body"`
}

// MemberState is the state of a member as this process sees it.
type MemberState string

// The states of a member.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Leaving MemberState = "leaving"
	Dead    MemberState = "dead"
)

// Member is one process of the system as this process sees it.
type Member struct {
	Incarnation Incarnation `json:"incarnation"`
	// PeerAddress is the IP:port for peers, CallerAddress the one for callers (empty
	// for a steward).
	PeerAddress   string      `json:"peer_address"`
	CallerAddress string      `json:"caller_address,omitempty"`
	Zone          string      `json:"zone"`
	Region        string      `json:"region"`
	State         MemberState `json:"state"`
	// CPUPercent is the VM's share of one core in percent, 0 if unknown.
	CPUPercent int `json:"power,omitempty"`
}

// Network is the interface of a Node for the rest of the process.
type Network interface {
	// Self returns this process.
	Self() Member
	// Members returns the other processes that aren't dead.
	Members() []Member
	// View returns Self and Members together. It returns the same View until one of
	// them changes, so that results derived from it can be cached as long.
	View() *View
	// Stale reports whether this process has stood still and hasn't learned its peers again since.
	Stale() bool
	// Publish gossips an item of this process. Items of paced topics may be delayed, all
	// others are sent at once. Version must grow for each Topic and Key.
	Publish(topic Topic, key string, version uint64, ttl time.Duration, body any) error
	// Items returns the unexpired items of a topic, including those of this process.
	Items(topic Topic) []Item
	// Subscribe registers fn to be called with every new item of a topic that comes from
	// another process, one call at a time. Must be called before Start.
	Subscribe(topic Topic, fn func(Item))
	// Handle registers the handler of a method. Must be called before Start.
	Handle(method string, fn func(ctx context.Context, params json.RawMessage) (any, error))
	// Call calls a method of one member.
	Call(ctx context.Context, to Incarnation, method string, params, result any) error
}

// HandleCall registers a handler that gets the decoded parameters of a method. Must be
// called before Start.
func HandleCall[T any](network Network, method string, fn func(T) (any, error)) {
	network.Handle(method, func(_ context.Context, params json.RawMessage) (any, error) {
		var call T
		if err := json.Unmarshal(params, &call); err != nil {
			return nil, err
		}
		return fn(call)
	})
}
