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
	// PieceKey is missing in calls of processes of an earlier version, too.
	PieceKey string `json:"piece_key,omitempty"`
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
