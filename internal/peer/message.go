package peer

import "github.com/vanillagate/vanillagate/internal/member"

// The methods between the processes of the system. All others belong to the
// parts that call Handle.
const (
	// methodPing, methodAck and methodGossip are notifications that carry a
	// message; whatever waits for a link goes along with the next of them.
	methodPing   = "ping"
	methodAck    = "ack"
	methodGossip = "gossip"
	// methodProbe asks a member to reach another.
	methodProbe = "probe"
	// methodDigest and methodExchange compare two whole views.
	methodDigest   = "digest"
	methodExchange = "exchange"
)

// message is a notification.
type message struct {
	// Pings ask for Acks with the same numbers.
	Pings []uint64 `json:"n,omitempty"`
	Acks  []uint64 `json:"a,omitempty"`
	// Events are changes of membership.
	Events []member.Record `json:"e,omitempty"`
	Items  []wireItem      `json:"i,omitempty"`
	// Have tells of items that the sender holds and doesn't push over this
	// link; Want asks for some of them, and for the link to be pushed to.
	Have map[Topic][]stamp `json:"h,omitempty"`
	Want map[Topic][]stamp `json:"w,omitempty"`
	// Prune asks that items be announced over this link, no longer pushed.
	Prune bool `json:"p,omitempty"`
	// Bye says that the sender is about to close a link it needs no longer.
	Bye bool `json:"x,omitempty"`
}

func (m message) method() string {
	switch {
	case len(m.Pings) > 0:
		return methodPing
	case len(m.Acks) > 0:
		return methodAck
	default:
		return methodGossip
	}
}

func (m message) empty() bool {
	return !m.Prune && !m.Bye && len(m.Pings)+len(m.Acks)+len(m.Events)+len(m.Items)+len(m.Have)+len(m.Want) == 0
}

// Bounds of one message.
const (
	maxEvents    = 64
	maxItemBytes = 96 << 10
	maxStamps    = 512
)

// probeRequest asks to reach a member.
type probeRequest struct {
	Record member.Record `json:"record"`
}

type probeAnswer struct {
	Reached bool `json:"reached"`
	// Unsure tells that the member was silent towards a process that is short of CPU, which
	// says nothing of it.
	Unsure bool `json:"unsure,omitempty"`
}

// digestRequest is a view in short.
type digestRequest struct {
	Zones  map[string]uint64    `json:"z"`
	Topics map[Topic]itemDigest `json:"t,omitempty"`
}

// digestAnswer is what the other holds where the views differ.
type digestAnswer struct {
	Zones  map[string][]member.VersionStamp `json:"z,omitempty"`
	Topics map[Topic]itemDiff               `json:"t,omitempty"`
}

func (a digestAnswer) empty() bool { return len(a.Zones)+len(a.Topics) == 0 }

// exchangeRequest gives what the other lacks and asks for what it has.
type exchangeRequest struct {
	Records     []member.Record   `json:"r,omitempty"`
	Items       []wireItem        `json:"i,omitempty"`
	WantRecords []uint64          `json:"wr,omitempty"`
	WantItems   map[Topic][]stamp `json:"wi,omitempty"`
}

func (r exchangeRequest) empty() bool {
	return len(r.Records)+len(r.Items)+len(r.WantRecords)+len(r.WantItems) == 0
}

type exchangeAnswer struct {
	Records []member.Record `json:"r,omitempty"`
	Items   []wireItem      `json:"i,omitempty"`
}
