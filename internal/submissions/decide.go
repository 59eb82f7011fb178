package submissions

import "github.com/vanillagate/vanillagate/internal/problem"

// Claim is the state of an idempotency key's claim in the table service.
type Claim int

// The states of a claim that matter here.
const (
	// ClaimUnknown: the table service did not answer in time.
	ClaimUnknown Claim = iota
	// ClaimFree: no submission holds the key, or only the refused one itself.
	ClaimFree
	// ClaimHeld: another submission holds the key and may have run.
	ClaimHeld
	// ClaimFinished: a submission under the key ran.
	ClaimFinished
)

// Facts is what is known when a submission under a key was refused and
// certainly did not run itself.
type Facts struct {
	// FirstSubmission: the caller states that it has not submitted the key
	// before.
	FirstSubmission bool
	Claim           Claim
	// Reports holds what this process and each peer that answered know of the
	// key.
	Reports []KeyHistory
	// PeerSilent says that a live entry process did not answer, or that there
	// are too many to ask.
	PeerSilent bool
	// PeerUnknown says that the VM list has a live entry VM that this process
	// does not know as a peer: one of the two has just started, or the VM is
	// dead and the list lags.
	PeerUnknown bool
}

// Decide returns whether a submission under the key is known to have run, known
// not to have run, or neither.
//
// If the claim could be read, only submissions under way count: a submission is
// recorded in the table before it is dispatched. A process that is gone can't
// dispatch any more, and neither does one that only appears to be gone: it
// gives up its claim sooner than its peers consider it dead.
//
// If the claim could not be read, every process that may have dispatched a
// submission has to be asked. None may be missing, and at least one must have
// observed its peers for the whole window.
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
	observed := false
	for _, k := range f.Reports {
		if k.Open || k.Sent {
			return problem.Unknown
		}
		if f.Claim == ClaimUnknown && (k.Incomplete || k.PeerLost) {
			return problem.Unknown
		}
		observed = observed || k.PeersObserved
	}
	if f.Claim == ClaimUnknown && !observed {
		return problem.Unknown
	}
	return problem.NotRun
}
