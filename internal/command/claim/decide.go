package claim

// Decision is how a request proceeds that finds a claim under its key.
type Decision int

// The decisions.
const (
	// Proceed: the claim is our own, and its version is our token.
	Proceed Decision = iota + 1
	// Reclaim: the claim was released; replace it by compare-and-set.
	Reclaim
	// TakeOver: the holder is silent and the targets check fencing tokens;
	// replace the claim by compare-and-set, which increases the token.
	TakeOver
	// Replay: return the recorded answer.
	Replay
	// Wait: another request holds the claim; only its outcome may be returned.
	Wait
	// Refuse: the key was used for a different request.
	Refuse
)

// Facts are the inputs of Decide besides the existing row and the request.
type Facts struct {
	// TakeOverAllowed is set if every target of the pool refuses a request
	// whose fencing token is lower than the highest it has seen for the key,
	// and the operators of the pool accept that the request may run once for
	// each token. It must be false for all other pools.
	TakeOverAllowed bool
	// HolderSilent is set if the row has not changed for silenceTimeout on this
	// process's own clock.
	HolderSilent bool
}

// Decide returns how to proceed with an existing claim.
//
// A claim of another request is never taken over if the targets don't check
// fencing tokens, however long its holder has been silent: the holder may be
// paused between claiming and sending and would send when it resumes, so that
// the request would run twice. The caller then correctly gets "unknown".
func Decide(found Row, mine Request, facts Facts) Decision {
	own := found.Holder == mine.holder()
	switch {
	case found.Fingerprint != mine.Fingerprint && found.State != Released:
		return Refuse
	case found.State == Finished:
		return Replay
	case found.State == Released:
		return Reclaim
	case own:
		return Proceed
	case facts.TakeOverAllowed && facts.HolderSilent:
		return TakeOver
	default:
		return Wait
	}
}
