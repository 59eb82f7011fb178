package follow

import "time"

// PropagationBound is within what time a change that the store has accepted must be in force
// at every process that it can reach. How often the store and peers are asked
// follows from it: each call of the store has its price, and each question to a
// peer costs both processor time.
type PropagationBound time.Duration

// DefaultPropagationBound is for deployments that state none.
const DefaultPropagationBound = PropagationBound(2 * time.Second)

// SetPropagationBound puts another bound in force.
func (f *Follower) SetPropagationBound(b PropagationBound) { f.bound.Store(int64(b)) }

func (f *Follower) within() PropagationBound { return PropagationBound(f.bound.Load()) }

func (b PropagationBound) part(percent time.Duration) time.Duration {
	return time.Duration(b) * percent / 100
}

// watchTime is how long the store holds a call without news. A store may go silent
// and never answer the calls that it holds, though it serves others again; only
// the end of a call shows it.
func (b PropagationBound) watchTime() time.Duration { return b.part(50) }

// watchSlack is how much later than that the answer may come.
func (b PropagationBound) watchSlack() time.Duration { return b.part(30) }

// trust is how long what the store told a watcher stands for its word here.
// Usually it is watchTime and a question's period old at most. What is left of the
// bound is for this process's own call of the store.
func (b PropagationBound) trust() time.Duration { return b.part(75) }

// settling is how long a process that has just read the whole learns who its peers
// are before it watches the store.
func (b PropagationBound) settling() time.Duration { return b.part(25) }

// meeting is how long a process that has just started learns who its peers are before it
// reckons who reads what nobody knows. It may know some of them only by then; a few more
// read then.
func (b PropagationBound) meeting() time.Duration { return b.part(15) }

// askPeriod is how often a process asks a watcher for news.
func (b PropagationBound) askPeriod() time.Duration { return b.part(15) }

// newsPause is waited after news of targets. When many start at once their entries
// come one by one, and each would cost a call from each watcher.
func (b PropagationBound) newsPause() time.Duration { return b.part(10) }

// servedLater is how long after this process's first failure a watcher must have
// been served for the outage not to be one for all: longer than watchers take to
// notice.
func (b PropagationBound) servedLater() time.Duration { return b.watchTime() + b.watchSlack() }
