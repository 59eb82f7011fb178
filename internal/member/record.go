// Package member decides who is a member of the system: which of two claims
// about a process stands, when a suspected process is held to be dead, and to
// whom a process keeps links. It does no I/O and reads no clock.
package member

import "hash/fnv"

// State is what is claimed of one incarnation. Of two claims with the same
// Seq the greater State stands.
type State uint8

// The states. The zero value is Alive.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Record is a claim about one incarnation, short on the wire because every
// process holds and sends hundreds of them.
type Record struct {
	// ID is the incarnation: one run of one process.
	ID string `json:"i"`
	// Start orders the incarnations at one address: the highest is the one
	// that runs, all others are dead. Unix microseconds of the start, raised
	// by the process when it hears of a higher one at its own address.
	Start      uint64 `json:"s"`
	PeerAddr   string `json:"p"`
	CallerAddr string `json:"c,omitempty"`
	Zone       string `json:"z"`
	Region     string `json:"r"`
	// CPUShare is the VM's share of a core in percent, 0 where it isn't told.
	CPUShare int `json:"w,omitempty"`
	// Seq grows each time the process contradicts a claim about itself.
	Seq   uint64 `json:"q,omitempty"`
	State State  `json:"t,omitempty"`
}

// ZoneKey names the zone of a record within the whole system.
func (r Record) ZoneKey() string { return r.Region + "/" + r.Zone }

// stands tells whether claim a replaces claim b about the same incarnation.
func stands(a, b Record) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// later tells whether a is the later run of two at the same address.
func later(a, b Record) bool {
	if a.Start != b.Start {
		return a.Start > b.Start
	}
	return a.ID > b.ID
}

// Hash places an incarnation on the ring. All processes compute the same.
func Hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash.Hash never fails
	return MixBits(h.Sum64())
}

// MixBits spreads the bits of x, so that similar names don't lie side by side.
func MixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RendezvousScore ranks a holder for an item by rendezvous, both given by their hashes.
func RendezvousScore(item, holder uint64) uint64 { return MixBits(item ^ holder) }
