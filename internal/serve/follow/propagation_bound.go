package follow

import "time"

// PropagationBound is the time within which a change that the store has accepted must take
// effect in every process that the store can reach. The intervals at which processes call
// the store and poll their peers are derived from it, because store calls have a cost and
// peer polls take processor time on both sides.
type PropagationBound time.Duration

// DefaultPropagationBound applies to deployments that don't configure a bound.
const DefaultPropagationBound = PropagationBound(2 * time.Second)

// SetPropagationBound changes the bound; it may be called at any time.
func (f *Follower) SetPropagationBound(b PropagationBound) { f.bound.Store(int64(b)) }

func (f *Follower) propagationBound() PropagationBound { return PropagationBound(f.bound.Load()) }

func (b PropagationBound) fraction(percent time.Duration) time.Duration {
	return time.Duration(b) * percent / 100
}

// longPollTime is how long the store holds a watch call that has no changes to return. It
// is short because a store may go silent and never answer the calls that it holds, even
// though it answers new ones; a process notices this only when its call ends.
func (b PropagationBound) longPollTime() time.Duration { return b.fraction(50) }

// longPollGrace is how much later than longPollTime the answer may arrive.
func (b PropagationBound) longPollGrace() time.Duration { return b.fraction(30) }

// contactTTL is how long the last contact with the store, direct or relayed by a watcher,
// counts as current. The data that a watcher relays is usually at most longPollTime plus
// one poll interval old. The rest of the bound is left for this process's own store call.
func (b PropagationBound) contactTTL() time.Duration { return b.fraction(75) }

// discoveryTime is how long a newly started process discovers its peers before it acts as a
// watcher.
func (b PropagationBound) discoveryTime() time.Duration { return b.fraction(25) }

// readDelay is how long a newly started process discovers its peers before it works out
// which processes read the initial state from the store. Discovery may still be incomplete
// by then; in that case a few more processes read. It is also the interval between the read
// turns of the other watchers.
func (b PropagationBound) readDelay() time.Duration { return b.fraction(15) }

// peerPollInterval is how often a process polls a watcher for updates.
func (b PropagationBound) peerPollInterval() time.Duration { return b.fraction(15) }

// batchPause is the pause after changes of targets. When many targets start at once, their
// entries are written one by one, and without the pause each entry would cost every watcher
// a store call.
func (b PropagationBound) batchPause() time.Duration { return b.fraction(10) }

// partialOutageMargin is how long after this process's first failed call the store must
// still have served a watcher for the outage to count as partial. It is longer than
// watchers take to notice an outage.
func (b PropagationBound) partialOutageMargin() time.Duration {
	return b.longPollTime() + b.longPollGrace()
}
