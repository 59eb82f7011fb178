package gather

import (
	"github.com/vanillagate/vanillagate/internal/peer"
)

// Methods of calls between processes.
const (
	methodSubmit  = "gather.submit"
	methodResults = "gather.done"
	methodCancel  = "gather.cancel"
	methodFree    = "gather.free"
	methodCheck   = "gather.check"
	methodReserve = "gather.ask"
	methodPlace   = "gather.place"
)

type submitCall struct {
	Owner peer.Incarnation `json:"owner"`
	Shard Shard            `json:"cell"`
	Items []Item           `json:"items"`
}

type reserveCall struct {
	Shard   Shard  `json:"cell"`
	Request string `json:"request"`
	Stage   int    `json:"stage"`
	Rank    int    `json:"rank"`
	Items   int    `json:"items"`
	Due     Millis `json:"due"`
	Serial  uint64 `json:"serial"`
	// Team is missing in calls of processes of an earlier version.
	Team string `json:"team,omitempty"`
	// PieceKey is CallerIdentity of the team and the request's key, which may be long. Unlike Caller,
	// it is also set where the request gets no place. Calls of an earlier version have none, either.
	PieceKey string `json:"piece_key,omitempty"`
	Returning
}

// Returning is what a reservation states of a request that may come back if it is refused. A
// process of an earlier version sends and reads none of it.
type Returning struct {
	// Caller is the request's identity across attempts; empty if it has none.
	Caller string `json:"caller,omitempty"`
	// Latest is the time left until the stage must be finished to meet the request's deadline,
	// Left the time left until that deadline.
	Latest Millis `json:"latest,omitempty"`
	Left   Millis `json:"left,omitempty"`
	// PlaceOnly means that the request may only use a place that it has, or get one.
	PlaceOnly bool `json:"place_only,omitempty"`
}

// placeCall asks for a place at the time of the request's places at other shards, or releases the
// one that the request has. It replaces the reservation of the same attempt.
type placeCall struct {
	reserveCall
	// At is the time until the place; 0 releases it.
	At Millis `json:"at"`
}

type resultsCall struct {
	Allocator
	Results []Result `json:"results"`
}

type cancelCall struct {
	Shard   Shard  `json:"cell"`
	Request string `json:"request"`
	// UpTo is the last serial that is cancelled.
	UpTo uint64 `json:"up_to"`
}

type freeCall struct {
	freeKey
	Handles []string `json:"handles"`
}

// freeAck says which results were freed while a reader may still fail. A process of an earlier
// version sends the zero value, which lists none.
type freeAck struct {
	All      bool     `json:"all,omitempty"`
	Released []string `json:"released,omitempty"`
}

func newFreeAck(call freeCall, released []string) freeAck {
	switch {
	case call.Final:
		return freeAck{} // the readers are done and need no answer
	case len(released) == len(call.Handles):
		return freeAck{All: true}
	default:
		return freeAck{Released: released}
	}
}

// releasedFrom returns the results that were freed of the handles sent in the call.
func (a freeAck) releasedFrom(handles []string) []string {
	if a.All {
		return handles
	}
	return a.Released
}

// freeKey groups the results that are freed with one message.
type freeKey struct {
	Allocator
	// Final is false while a reader of the results may still fail.
	Final bool `json:"final,omitempty"`
}

type checkCall struct {
	Shard Shard `json:"cell"`
	Keys  []Key `json:"keys"`
}
