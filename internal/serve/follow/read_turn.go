package follow

import (
	"slices"
	"time"
)

// firstReaders is how many watchers read the initial state from the store at the same time.
// The other processes receive it from them.
const firstReaders = 2

// laterReaderDelaySteps is how many readDelay steps the other processes wait for the state
// from the first readers before their own turns to read begin.
const laterReaderDelaySteps = 3

// readTurn returns when a process that has lacked state since the given time reads it from
// the store itself. First only a few processes read, then gradually more: if a large fleet
// starts at once, the store would otherwise send the same megabytes to each process. Seeds
// read immediately. Any other process that has just started must first discover its peers.
func (f *Follower) readTurn(since time.Time) time.Time {
	if f.peers == nil || f.alwaysWatch || slices.Contains(f.seeds(), f.peers.network.Self().PeerAddress) {
		return since
	}
	step := f.propagationBound().readDelay()
	turn := since
	if since.Sub(f.started) < step {
		turn = turn.Add(step)
	}
	currentWatchers := f.peers.currentWatchers(f.peers.network.View())
	if currentWatchers.rank < firstReaders {
		return turn
	}
	// By then the first readers have usually shared the state.
	turn = turn.Add(laterReaderDelaySteps * step)
	if currentWatchers.includesSelf() {
		return turn.Add(time.Duration(currentWatchers.rank-firstReaders) * step)
	}
	return turn.Add(step + time.Duration(f.readJitter*float64(currentWatchers.nonWatcherRetry())))
}
