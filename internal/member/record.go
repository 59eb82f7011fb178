// Package member maintains the membership of the system: which of two claims about a process
// wins, when a suspected process is declared dead, and to which members a process keeps links.
// It does no I/O and reads no clock.
package member

import "hash/fnv"

// State is the claimed state of one incarnation. Of two claims with the same Seq, the one with
// the greater State wins.
type State uint8

// The states. The zero value is Alive.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// Record is a claim about one incarnation. It is short when encoded because every process
// holds and sends hundreds of them.
type Record struct {
	// ID identifies the incarnation: one run of one process.
	ID string `json:"i"`
	// Start orders the incarnations at one address: the one with the highest Start is running,
	// all others are dead. It is the start time in Unix microseconds, raised by the process
	// when it hears of a higher one at its own address.
	Start uint64 `json:"s"`
	// PeerAddress is the address for other processes, CallerAddress the one for callers.
	PeerAddress   string `json:"p"`
	CallerAddress string `json:"c,omitempty"`
	Zone          string `json:"z"`
	Region        string `json:"r"`
	// CPUPercent is the VM's share of one core in percent, 0 if unknown.
	CPUPercent int `json:"w,omitempty"`
	// Seq is incremented each time the process refutes a claim about itself.
	Seq   uint64 `json:"q,omitempty"`
	State State  `json:"t,omitempty"`
}

// ZoneKey identifies the zone of a record within the whole system.
func (r Record) ZoneKey() string { return r.Region + "/" + r.Zone }

// supersedes reports whether claim a replaces claim b about the same incarnation.
func supersedes(a, b Record) bool {
	if a.Seq != b.Seq {
		return a.Seq > b.Seq
	}
	return a.State > b.State
}

// isLaterRun reports whether a is the later of two runs at the same address.
func isLaterRun(a, b Record) bool {
	if a.Start != b.Start {
		return a.Start > b.Start
	}
	return a.ID > b.ID
}

// Hash returns the position of an incarnation on the hash ring. It is the same in all
// processes.
func Hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash.Hash never fails
	return MixBits(h.Sum64())
}

// MixBits spreads the bits of x, so that similar names get distant hashes.
func MixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// RendezvousScore returns the rendezvous hashing score of a holder for an item, both given by
// their hashes.
func RendezvousScore(item, holder uint64) uint64 { return MixBits(item ^ holder) }
