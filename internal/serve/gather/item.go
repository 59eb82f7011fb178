// Package gather fills the batches of stage targets from the requests of all
// processes.
//
// A stage target works on one call at a time, and a call takes nearly the same
// time whatever it carries. One process alone sees too few requests to fill a
// call; if each sent what it has, the pools would be overloaded several times
// over. So for each shard of targets one process gathers: all processes compute
// the same one from the live members, hand it their items, and get the results
// back. Nothing of it is agreed or kept: when members are seen differently two
// processes gather for a while, which costs batch size, and when a gatherer
// dies its items are handed to the next.
package gather

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Key names an item: one piece of one stage of one request.
type Key struct {
	Request string `json:"r"`
	Stage   int    `json:"s"`
	Piece   int    `json:"p"`
}

// Item is work for a stage target.
type Item struct {
	Key
	// Source names what a stage without predecessors works on; Inputs are the
	// results of all pieces of the predecessors otherwise.
	Source string   `json:"src,omitempty"`
	Inputs []string `json:"in,omitempty"`
	// Due is how long from now the result is in time, Expires how long from now
	// its request's deadline is.
	Due     Millis `json:"due"`
	Expires Millis `json:"exp"`
	// Rank is the request's priority; 0 is the most urgent.
	Rank int `json:"rank,omitempty"`
	// Bytes is about how large the result will be.
	Bytes int `json:"b,omitempty"`
	// Zone is where the item is best made, Cross about how many bytes cross zones
	// if it is made elsewhere; empty for anywhere.
	Zone           string `json:"z,omitempty"`
	CrossZoneBytes int    `json:"x,omitempty"`
	// Serial grows with each handing over by one owner, so that a cancellation
	// that is overtaken by a new try of the same request leaves that alone.
	Serial uint64 `json:"n,omitempty"`
	// LastReader means that no other stage needs the inputs: whoever gathers for this
	// one gives back their space, of which InputOf keeps account.
	LastReader     bool      `json:"last,omitempty"`
	InputAllocator Allocator `json:"io,omitzero"`
}

// groupKey names the items of one stage of one request, which share their
// inputs.
type groupKey struct {
	Request string
	Stage   int
}

func (k Key) group() groupKey { return groupKey{Request: k.Request, Stage: k.Stage} }

// Millis is a duration in ms as sent between processes, whose clocks differ.
type Millis int64

// ToMillis rounds down.
func ToMillis(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Duration converts back.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Reason says why an item has no result.
type Reason string

// The reasons. The zero value means that there is a result.
const (
	// Made: the result is there.
	Made Reason = ""
	// Late: it can't be made before its request's deadline.
	Late Reason = "late"
	// InputGone: an input no longer exists.
	InputGone Reason = "gone"
	// NoSpace: the target has no space for the result.
	NoSpace Reason = "room"
	// TargetFailed: the target failed, as often as it was tried.
	TargetFailed Reason = "error"
	// Moved: the shard has no targets any more, others of the service have.
	Moved Reason = "moved"
	// NoTarget: the service has no target that takes work.
	NoTarget Reason = "no target"
)

// Result is what became of an item.
type Result struct {
	Key
	// Handle names the result at its maker, IP:port/name.
	Handle string `json:"h,omitempty"`
	// Zone is its maker's.
	Zone   string `json:"z,omitempty"`
	Reason Reason `json:"why,omitempty"`
	// gatherer is the process that had it made; set where it arrives.
	gatherer peer.Incarnation
}

// Allocator is who keeps account of the space that results take: the process that
// had them made, for one shard. They are given back there and nowhere else. In the
// eyes of others another process may gather for the shard by then; were they given
// back to that one, their maker would go on taking its targets' buffers for full
// until the results lapse, and leave targets idle for four seconds.
type Allocator struct {
	Shard    Shard            `json:"cell"`
	Gatherer peer.Incarnation `json:"by,omitempty"`
}

// Allocator tells who keeps account of a result of a shard.
func (r Result) Allocator(shard Shard) Allocator {
	return Allocator{Shard: shard, Gatherer: r.gatherer}
}

// Shard is a group of targets that one process gathers for.
type Shard struct {
	Service string `json:"service"`
	// Zone limits the shard to the targets of one availability zone; empty is
	// the whole service.
	Zone string `json:"zone,omitempty"`
	// Part numbers the shards of a zone that is divided further, from 0.
	Part int `json:"part,omitempty"`
}
