package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// partTimeout bounds the asking for one part.
	partTimeout = 2 * time.Second
	// partTries is how often one process is asked for the same part.
	partTries = 2
	// mostReferrals is how often a process that is refused follows to another one that has
	// the list.
	mostReferrals = 4
	// mostParts bounds how many parts a peer may divide the list into.
	mostParts = 1 << 12
)

// gathered are the parts of the list that this process has so far. The zero value has
// none.
type gathered struct {
	begun time.Time
	parts [][]pool.Entry // nil for those that are missing
	asOf  uint64         // the oldest part's
	left  int
}

// missing is the first part that is missing.
func (g *gathered) missing() int {
	for i, part := range g.parts {
		if part == nil {
			return i
		}
	}
	return 0
}

// add takes in a part. Where another process divides the list otherwise, it starts anew.
func (g *gathered) add(number int, a partAnswer, now time.Time) error {
	if len(g.parts) != a.Of {
		*g = gathered{begun: now, parts: make([][]pool.Entry, a.Of), left: a.Of}
	}
	if number >= a.Of || g.parts[number] != nil {
		return nil
	}
	var entries []pool.Entry
	if err := unpack(a.Entries, &entries); err != nil {
		return err
	}
	if entries == nil {
		entries = []pool.Entry{} // an empty part is no missing one
	}
	age := time.Duration(a.AgeMS) * time.Millisecond
	for i := range entries {
		entries[i] = entries[i].WithElapsed(age)
	}
	if g.left == a.Of || a.AsOf < g.asOf {
		g.asOf = a.AsOf
	}
	g.parts[number] = entries
	g.left--
	return nil
}

func (g *gathered) whole() bool { return len(g.parts) > 0 && g.left == 0 }

func (g *gathered) entries() []pool.Entry {
	var all []pool.Entry
	for _, part := range g.parts {
		all = append(all, part...)
	}
	return all
}

// refusedError means that a peer doesn't tell the list now, but another may.
type refusedError struct{ try peer.Incarnation }

// Error says so.
func (refusedError) Error() string { return "the peer doesn't tell the list now" }

// fetchLists gathers the whole list whenever it is needed.
func (f *Follower) fetchLists(ctx context.Context) {
	for {
		select {
		case whom := <-f.peers.holders:
			f.fetchList(ctx, whom)
		case <-ctx.Done():
			return
		}
	}
}

// fetchList asks one process for the parts that are missing. What it gave before it
// failed is kept for the next one.
func (f *Follower) fetchList(ctx context.Context, whom peer.Incarnation) {
	g := &f.peers.gathered
	if time.Since(g.begun) > mostReadTime {
		*g = gathered{}
	}
	referrals := 0
	for !g.whole() {
		err := f.fetchPart(ctx, whom, g)
		var refused refusedError
		if errors.As(err, &refused) && refused.try != "" && referrals < mostReferrals {
			whom = refused.try
			referrals++
			continue
		}
		if err != nil {
			f.log.Debug("Peer's list of targets broke off.", zap.String("member", string(whom)), zap.Int("missing", g.left), zap.Error(err))
			return
		}
	}
	now := time.Now()
	f.log.Info("List of targets came from peers.", zap.Int("parts", len(g.parts)), zap.Uint64("revision", g.asOf),
		zap.Duration("took", now.Sub(g.begun)))
	f.noteOutage(now)
	f.table.ResetFromPeer(g.entries(), g.asOf, now)
	f.targetFeed.learn(g.asOf)
	*g = gathered{}
	f.peers.drainHolders()
}

func (f *Follower) fetchPart(ctx context.Context, whom peer.Incarnation, g *gathered) error {
	number := g.missing()
	call := partCall{Reader: f.peers.network.Self().Incarnation, Part: number}
	var answer partAnswer
	var err error
	for range partTries {
		answer, err = f.askForPart(ctx, whom, call)
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	switch {
	case err != nil:
		return err
	case answer.Refused || answer.Of < 1 || answer.Of > mostParts:
		return refusedError{try: answer.Try}
	}
	return g.add(number, answer, time.Now())
}

func (f *Follower) askForPart(ctx context.Context, whom peer.Incarnation, call partCall) (partAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var answer partAnswer
	err := f.peers.network.Call(ctx, whom, methodList, call, &answer)
	return answer, err
}
