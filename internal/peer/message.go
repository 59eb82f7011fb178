package peer

import "github.com/vanillagate/vanillagate/internal/member"

// JSON-RPC methods of this package. All others are registered with Node.Handle by
// the packages that use it.
const (
	// methodPing, methodAck and methodGossip are notifications that carry a message.
	// Everything queued for a link goes into the next of them.
	methodPing   = "ping"
	methodAck    = "ack"
	methodGossip = "gossip"
	// methodProbe asks a member to ping another one (SWIM's indirect probe).
	methodProbe = "probe"
	// methodDigest and methodExchange compare two views and exchange the differences.
	methodDigest   = "digest"
	methodExchange = "exchange"
)

// message is the content of a notification.
type message struct {
	// Pings are numbers that the receiver returns as Acks.
	Pings []uint64 `json:"n,omitempty"`
	Acks  []uint64 `json:"a,omitempty"`
	// Events are membership changes.
	Events []member.Record `json:"e,omitempty"`
	Items  []wireItem      `json:"i,omitempty"`
	// Have announces items that the sender holds and doesn't push over this link. Want
	// requests some of them and makes the link eager (Plumtree's IHAVE and GRAFT).
	Have map[Topic][]stamp `json:"h,omitempty"`
	Want map[Topic][]stamp `json:"w,omitempty"`
	// Prune asks the receiver to only announce items over this link.
	Prune bool `json:"p,omitempty"`
	// Closing announces that the sender is about to close the link.
	Closing bool `json:"x,omitempty"`
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
	return !m.Prune && !m.Closing && len(m.Pings)+len(m.Acks)+len(m.Events)+len(m.Items)+len(m.Have)+len(m.Want) == 0
}

// Limits of one message: events, bytes of items, and stamps.
const (
	maxEvents    = 64
	maxItemBytes = 96 << 10
	maxStamps    = 512
)

// probeRequest asks a member to ping another one.
type probeRequest struct {
	Record member.Record `json:"record"`
}

type probeAnswer struct {
	Reached bool `json:"reached"`
	// Unsure means that the ping timed out at a process that is short of CPU, which says
	// nothing about the member.
	Unsure bool `json:"unsure,omitempty"`
}

// digestRequest is a digest of the sender's view.
type digestRequest struct {
	Zones  map[string]uint64    `json:"z"`
	Topics map[Topic]itemDigest `json:"t,omitempty"`
}

// digestAnswer lists what the receiver holds in the parts where the views differ.
type digestAnswer struct {
	Zones  map[string][]member.VersionStamp `json:"z,omitempty"`
	Topics map[Topic]itemDiff               `json:"t,omitempty"`
}

func (a digestAnswer) empty() bool { return len(a.Zones)+len(a.Topics) == 0 }

// exchangeRequest sends what the receiver lacks and requests what the sender lacks.
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
