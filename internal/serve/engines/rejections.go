package engines

import (
	"math"
	"time"
)

// The decisions of this file address engines that reject many of the requests sent to them for some time,
// while others accept theirs. Where each process finds out by itself which engines reject, requests are
// sent to several of these in vain and refused although time is left.

const (
	// rejectionMemory is the time constant with which requests are forgotten. Faults that make engines
	// reject last for seconds to minutes.
	rejectionMemory = 2 * time.Second
	// minRejectionSamples is the number of requests from which on a share is known.
	minRejectionSamples = 4
	// minAnnouncedRejection is the least share that is announced: an engine that is full for a moment
	// stays below.
	minAnnouncedRejection = 0.2
	// MostlyRejecting is the share of rejected requests from which on an engine is a last resort, and
	// a service's engines are claimed before stages run.
	MostlyRejecting = 0.5
	// retryRejecting is how often an engine that mostly rejects requests gets one although others are left.
	retryRejecting = 2 * time.Second
	// nearlyAll is the share from which on an engine accepts so few requests that it doesn't count as one
	// that is left.
	nearlyAll = 0.9
	// shortBudget is the part of the retry budget below which less urgent requests give way.
	shortBudget = 0.25
	// minDecayWait and maxDecayWait bound the time after which a refused caller is told to come back.
	minDecayWait = 500 * time.Millisecond
	maxDecayWait = 2 * time.Second
)

// rejectionShare is the share of rejected ones among the latest requests to one engine. The zero value
// has seen none.
type rejectionShare struct {
	requests, rejected float64
	count              int
	at                 time.Time
}

// decay forgets requests by their age.
func (r *rejectionShare) decay(now time.Time) {
	if r.count == 0 {
		r.at = now
		return
	}
	keep := math.Exp(-float64(max(now.Sub(r.at), 0)) / float64(rejectionMemory))
	r.requests *= keep
	r.rejected *= keep
	r.at = now
	if r.requests < 1.0/minRejectionSamples {
		*r = rejectionShare{at: now}
	}
}

// add records one request.
func (r *rejectionShare) add(rejected bool, now time.Time) {
	r.decay(now)
	r.count++
	r.requests++
	if rejected {
		r.rejected++
	}
}

// share returns the share of rejected requests; 0 if too few are known. Where an engine gets no more
// requests because of it, the share decays, so that the engine is tried again.
func (r rejectionShare) share(now time.Time) float64 {
	if r.count < minRejectionSamples {
		return 0
	}
	r.decay(now)
	return r.rejected / max(r.requests, minRejectionSamples)
}

// announcedShare returns what is left of an announced share some time after it was received: it counts fully
// until the next announcement is due and then decays.
func announcedShare(share float64, age, interval time.Duration) float64 {
	late := max(age-interval, 0)
	share *= math.Exp(-float64(late) / float64(rejectionMemory))
	if share < minAnnouncedRejection {
		return 0
	}
	return share
}

// ServiceRejections is what a process knows of a service whose engines reject requests.
type ServiceRejections struct {
	// Mean and Least are the mean and the least share of rejected requests over the engines.
	Mean, Least float64
}

// Mostly reports whether half or more of the requests to the service are rejected.
func (s ServiceRejections) Mostly() bool { return s.Mean >= MostlyRejecting }

// Admits decides whether a request is admitted before its stages run. No request is if all engines reject
// nearly everything. If the retry budget is short, requests of the first rank get through with their chance,
// and the chance of others falls with their rank. budgetLeft is the part of the budget that is left, random a
// random number in [0, 1).
func (s ServiceRejections) Admits(rank int, budgetLeft, random float64) bool {
	switch {
	case !s.Mostly():
		return true
	case s.Least >= nearlyAll:
		return false
	case budgetLeft >= shortBudget || rank <= 0:
		return true
	default:
		return random < math.Pow(1-s.Mean, float64(rank))
	}
}

// LeavesRetry decides whether a request that was rejected leaves what is left of a short retry budget to
// those of the first rank.
func (s ServiceRejections) LeavesRetry(rank int, budgetLeft float64) bool {
	return s.Mostly() && rank > 0 && budgetLeft < shortBudget
}

// DecayTime returns the time in which the engine that rejects the least gets requests again if none reach it.
func (s ServiceRejections) DecayTime() time.Duration {
	wait := time.Duration(math.Log(max(s.Least/MostlyRejecting, 1)) * float64(rejectionMemory))
	return min(max(wait, minDecayWait), maxDecayWait)
}
