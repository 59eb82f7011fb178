// Package gather collects the work items of all processes into batches for stage targets.
//
// A stage target runs one call at a time, and a call takes nearly the same time whatever the
// number of its items. A single process sees too few requests to fill a call, and if each
// process sent its own small calls, the targets would be overloaded several times over. So the
// targets of a service are divided into shards, and for each shard one process, its gatherer,
// collects the items of all processes. Every process computes the same gatherer from the live
// members and the shard, submits its items to it, and gets the results back. There is no
// consensus and no stored state: while processes see different members, two of them may gather
// for one shard, which makes batches smaller, and when a gatherer dies, its items are submitted
// to the next one.
package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Key identifies an item: one piece of one stage of one request.
type Key struct {
	Request string `json:"r"`
	Stage   int    `json:"s"`
	Piece   int    `json:"p"`
}

// Item is a unit of work for a stage target.
type Item struct {
	Key
	// Source is the input key of a stage without predecessors. For other stages, Inputs lists
	// the handles of the results of all pieces of the predecessors.
	Source string   `json:"src,omitempty"`
	Inputs []string `json:"in,omitempty"`
	// Due is the time left until the result is due, Expires the time left until the request's
	// deadline.
	Due     Millis `json:"due"`
	Expires Millis `json:"exp"`
	// Rank is the request's priority; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// Bytes is the expected size of the result.
	Bytes int `json:"b,omitempty"`
	// Zone is the preferred zone, empty for any. CrossZoneBytes is about how many bytes cross
	// zones if the item is processed in another one.
	Zone           string `json:"z,omitempty"`
	CrossZoneBytes int    `json:"x,omitempty"`
	// Serial grows with each submission by one owner. A cancellation names the last serial that
	// it covers, so that it leaves a later attempt of the same request alone if that overtakes
	// it.
	Serial uint64 `json:"n,omitempty"`
	// LastReader means that no other stage needs the inputs, so that the gatherer of this item
	// has them freed. InputAllocator keeps account of their space.
	LastReader     bool      `json:"last,omitempty"`
	InputAllocator Allocator `json:"io,omitzero"`
}

// groupKey identifies the items of one stage of one request, which share their inputs.
type groupKey struct {
	Request string
	Stage   int
}

func (k Key) group() groupKey { return groupKey{Request: k.Request, Stage: k.Stage} }

// Millis is a duration in milliseconds. Processes send each other durations instead of times
// because their clocks differ.
type Millis int64

// ToMillis converts a duration to whole milliseconds, rounded towards zero.
func ToMillis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts milliseconds to a duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Reason says why an item has no result. The zero value means that it has one.
type Reason string

// Reasons for which an item has no result.
const (
	// Completed: the item has a result.
	Completed Reason = ""
	// Late: the item can't be processed in time.
	Late Reason = "late"
	// InputGone: an input of the item no longer exists.
	InputGone Reason = "gone"
	// NoSpace: the target has no buffer space for the result.
	NoSpace Reason = "room"
	// TargetFailed: the target failed to process the item, or the call failed.
	TargetFailed Reason = "error"
	// GathererCutOff: the gatherer is cut off from the service; others aren't.
	GathererCutOff Reason = "gatherer cut off"
	// NoTargetInShard: the shard has no targets, but other shards of the service have.
	NoTargetInShard Reason = "moved"
	// NoTarget: the service has no target that takes work.
	NoTarget Reason = "no target"
)

// Result is the outcome of an item.
type Result struct {
	Key
	// Handle identifies the result at the target that holds it: IP:port/name.
	Handle string `json:"h,omitempty"`
	// Zone is the zone of that target.
	Zone   string `json:"z,omitempty"`
	Reason Reason `json:"why,omitempty"`
	// gatherer is the process that had the item processed; it is set on arrival.
	gatherer peer.Incarnation
}

// Allocator identifies the process and shard that keep account of the space that results take:
// those that had the results created. Results are freed there and nowhere else. Another process
// may gather for the shard by then; if results were freed through that one, the allocator would
// go on counting them, treat its targets' buffers as full until the results expire, and leave
// targets idle for four seconds.
type Allocator struct {
	Shard    Shard            `json:"cell"`
	Gatherer peer.Incarnation `json:"by,omitempty"`
}

// Allocator returns the allocator of a result that belongs to a shard.
func (r Result) Allocator(shard Shard) Allocator {
	return Allocator{Shard: shard, Gatherer: r.gatherer}
}

// Shard identifies a group of targets for which one process gathers.
type Shard struct {
	Service string `json:"service"`
	// Zone is the availability zone of the shard's targets; empty if the shard is the whole
	// service.
	Zone string `json:"zone,omitempty"`
	// Part numbers the shards within a zone, from 0.
	Part int `json:"part,omitempty"`
}
