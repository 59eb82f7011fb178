package submissions

import "github.com/vanillagate/vanillagate/internal/problem"

// Claim is what the table service says of a key.
type Claim int

// The states of a claim as far as they matter here.
const (
	// Unread: the table service gave no answer in time.
	ClaimUnknown Claim = iota
	// Free: no submission holds the key, or only the one that asks.
	ClaimFree
	// Held: another submission holds the key, and may have run.
	ClaimHeld
	// Finished: a submission under the key ran.
	ClaimFinished
)

// Facts are what is known when a submission under a key was refused and
// certainly did not run itself.
type Facts struct {
	// First: the caller says that it never submitted the key before.
	FirstSubmission bool
	Claim           Claim
	// Known is what this process and each peer that answered know.
	Reports []KeyHistory
	// Silent says that a live entry process gave no answer, or that there are
	// more of them than are asked.
	PeerSilent bool
	// Unseen says that the VM list has a live entry VM that this process does
	// not know as a peer: it has just started, or this process has.
	PeerUnknown bool
}

// Decide says what is certain of the key.
//
// With the table service's answer, only those count that are under way: one
// that was dispatched stands in the table first. A process that is gone can't
// dispatch any more, and one that only seems gone doesn't either: it gives its
// claim up after a time that is shorter than peers take to hold it for dead.
//
// Without that answer everybody who may have dispatched has to be asked, so
// that nobody may be missing and somebody must have watched all along.
func Decide(f Facts) problem.Execution {
	if f.FirstSubmission {
		return problem.NotRun
	}
	if f.Claim == ClaimFinished {
		return problem.Ran
	}
	if f.Claim == ClaimHeld || f.PeerSilent || f.PeerUnknown {
		return problem.Unknown
	}
	watched := false
	for _, k := range f.Reports {
		if k.Open || k.Sent {
			return problem.Unknown
		}
		if f.Claim == ClaimUnknown && (k.Incomplete || k.PeerLost) {
			return problem.Unknown
		}
		watched = watched || k.PeersObserved
	}
	if f.Claim == ClaimUnknown && !watched {
		return problem.Unknown
	}
	return problem.NotRun
}
