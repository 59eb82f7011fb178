// Package warmup bounds the requests that all processes together send to a cold
// target, without a coordinator. A target that has just started, or has become cold
// again, crashes if it gets more than its service's rate.
//
// As many processes as the target bears requests a second hold a turn there, the
// first by rendezvous over the members, and each of them uses its turn once in a
// little over a second. Where there are fewer processes than turns they all hold one
// and use it more often. A process that knows only a part of the members holds a turn
// as rarely as if the others, unseen, went on using theirs.
package warmup

import (
	"math"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Rule is how much a service's cold targets bear.
type Rule struct {
	// PerSecond is the requests a second at one target; 0 is no bound.
	PerSecond float64
	// Time is how long a target stays cold after its start.
	Time time.Duration
}

// IsCold tells whether a target must be taken for cold: it says so, or it may have
// started again or become cold unnoticed.
func (r Rule) IsCold(v pool.View, now time.Time) bool {
	if r.PerSecond <= 0 {
		return false
	}
	return now.Before(v.ColdUntil) || now.Before(v.UnobservedUntil.Add(r.Time))
}

const (
	// spacing is the shortest pause between two requests of one holder, in parts of
	// the time in which its turn comes. It covers requests that overtake each other.
	spacing = 1.2
	// settling is how long a process that has just started knows too little of its
	// peers to hold turns.
	settling = 600 * time.Millisecond
	// apart is the part of its turns that a group of processes uses which lost sight of
	// others. How many of its members hold one is by lot then.
	apart = 0.7
)

// Limiter gives this process's turns at cold targets. It is safe for concurrent use.
type Limiter struct {
	network peer.Network
	// most tells the highest number of processes lately.
	most    func() int
	started time.Time

	mu sync.Mutex // guards what follows; a leaf
	// next is when this process's turn at a target comes again, by ID.
	next map[string]time.Time
	// ranks are this process's at targets, by ID, as of view.
	ranks map[string]int
	view  *peer.View
}

// New makes a gate. most tells the highest number of processes lately.
func New(network peer.Network, most func() int, now time.Time) *Limiter {
	return &Limiter{network: network, most: most, started: now, next: map[string]time.Time{}}
}

// Allowed tells whether this process has a turn at a target now.
func (g *Limiter) Allowed(target string, rule Rule, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, open := g.turn(target, rule, now)
	return open
}

// Take uses the turn at a target, if there is one now.
func (g *Limiter) Take(target string, rule Rule, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pause, open := g.turn(target, rule, now)
	if open {
		g.next[target] = now.Add(pause)
	}
	return open
}

// turn gives the pause after the next turn, and whether that has come. The caller
// holds mu.
func (g *Limiter) turn(target string, rule Rule, now time.Time) (time.Duration, bool) {
	if now.Sub(g.started) < settling {
		return 0, false
	}
	view := g.network.View()
	known := 1 + len(view.Members)
	t := turns{known: known, most: max(known, g.most()), rank: g.rank(view, target), luck: luck(target, view.Self.Incarnation)}
	pause, holds := t.pause(rule.PerSecond)
	return pause, holds && !now.Before(g.next[target])
}

// rank is how many members precede this process at a target. The caller holds mu.
func (g *Limiter) rank(view *peer.View, target string) int {
	if g.view != view {
		g.view, g.ranks = view, map[string]int{}
	}
	rank, found := g.ranks[target]
	if !found {
		rank = rankOf(view, target)
		g.ranks[target] = rank
	}
	return rank
}

// Prune drops what is kept of targets whose turn has long come.
func (g *Limiter) Prune(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for target, next := range g.next {
		if now.After(next) {
			delete(g.next, target)
		}
	}
}

func rankOf(view *peer.View, target string) int {
	at := member.Hash(target)
	own := member.RendezvousScore(at, member.Hash(string(view.Self.Incarnation)))
	before := 0
	for _, m := range view.Members {
		if member.RendezvousScore(at, member.Hash(string(m.Incarnation))) > own {
			before++
		}
	}
	return before
}

// luck is a number in [0, 1), drawn once for each pair.
func luck(target string, self peer.Incarnation) float64 {
	return float64(member.Hash(target+"\x00"+string(self))>>11) / (1 << 53)
}

// turns is what decides on a process's turns at one target.
type turns struct {
	// known is how many processes this one knows, itself included, most the highest
	// number lately.
	known, most int
	// rank of this process at the target; 0 is the first.
	rank int
	// luck in [0, 1) decides where less than a whole turn is left.
	luck float64
}

// pause gives the time between two requests of this process, and whether it may send
// any.
func (t turns) pause(perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return 0, true
	}
	held := perSecond
	if t.known < t.most {
		held *= apart * float64(t.known) / float64(t.most)
	}
	period := 1.0
	if perSecond < 1 {
		held, period = held/perSecond, 1/perSecond
	}
	if held >= float64(t.known) {
		period, held = float64(t.known)/held, float64(t.known)
	}
	whole := math.Floor(held)
	holds := float64(t.rank) < whole || (float64(t.rank) == whole && t.luck < held-whole)
	return time.Duration(spacing * period * float64(time.Second)), holds
}
