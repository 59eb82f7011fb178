// Package ratelimit bounds the requests that all processes together send to a target that takes only a
// limited rate, without a coordinator. A target that has just started, or has become cold again, crashes if
// it gets more requests than its service's cold rate; a target in need states a rate itself.
//
// If a target takes n requests a second, n processes hold a permit for it: those that
// rank first by rendezvous hashing over the members. Each uses its permit once in a little over a
// second. If there are fewer processes than permits, they all hold one and use it more often. A
// process that sees only some of the members uses permits as rarely as if the members that it
// doesn't see continued to use theirs.
package ratelimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// Rule is the request rate that a service's cold targets can handle.
type Rule struct {
	// PerSecond is the number of requests a second for one target; 0 means no bound.
	PerSecond float64
	// Time is how long a target stays cold after its start.
	Time time.Duration
}

// IsCold reports whether a target must be treated as cold: it reports so, or it may have restarted
// or become cold unnoticed.
func (r Rule) IsCold(v pool.View, now time.Time) bool {
	if r.PerSecond <= 0 {
		return false
	}
	return now.Before(v.ColdUntil) || now.Before(v.UnobservedUntil.Add(r.Time))
}

// Rate holds how many requests a second a target takes from all processes together: while it is cold, and as
// it has stated; 0 for no limit.
type Rate struct{ Cold, Stated float64 }

// RateOf returns the rate that a target takes now.
func (r Rule) RateOf(v pool.View, now time.Time) Rate {
	rate := Rate{Stated: v.RateLimit}
	if r.IsCold(v, now) {
		rate.Cold = r.PerSecond
	}
	return rate
}

// coldTrackerShare is the share of a cold target's rate that its tracker hands out. The rest is for processes
// that the tracker doesn't answer, and for a second tracker while processes see different members. Of a
// stated rate, it is pool.StatedRateShare.
const coldTrackerShare = 0.6

// Limited reports whether there is a limit.
func (r Rate) Limited() bool { return r.Cold > 0 || r.Stated > 0 }

// Total returns the requests a second of all processes; 0 for no limit.
func (r Rate) Total() float64 { return lower(r.Cold, r.Stated) }

// Tracked returns the part of the rate that the target's tracker hands out.
func (r Rate) Tracked() float64 {
	return lower(coldTrackerShare*r.Cold, pool.StatedRateShare*r.Stated)
}

// Untracked returns the part of the rate that is left for processes that the tracker doesn't answer.
func (r Rate) Untracked() float64 {
	return lower((1-coldTrackerShare)*r.Cold, (1-pool.StatedRateShare)*r.Stated)
}

// lower returns the lower of two limits, of which 0 is none.
func lower(a, b float64) float64 {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

const (
	// pauseFactor is the shortest pause between two requests of a permit holder, as a multiple of
	// the permit's period. It allows for requests that overtake each other.
	pauseFactor = 1.2
	// startupDelay is how long a process that has just started knows too few of its peers to hold
	// permits.
	startupDelay = 600 * time.Millisecond
	// partitionShare is the part of its permits that a group of processes uses after it lost sight
	// of others: the number of permit holders in the group is then random and may be above average.
	partitionShare = 0.7
)

// Limiter decides when this process may send a request to a target with a limited rate. It is safe for
// concurrent use.
type Limiter struct {
	network peer.Network
	// recentMax returns the highest recent number of processes, 0 while it is unknown.
	recentMax func() int
	started   time.Time

	mu sync.Mutex // guards the fields below; no other lock is taken while it is held
	// next holds the time of this process's next permitted request to a target, by target ID.
	next map[string]time.Time
	// deferred holds until when this process doesn't ask a target's tracker again, by target ID.
	deferred map[string]time.Time
	// ranks holds this process's rank for a target, by target ID, as of view.
	ranks map[string]int
	view  *peer.View
}

// New returns a limiter. recentMax returns the highest recent number of processes; while it is 0, the
// number is unknown and the limiter gives no permits.
func New(network peer.Network, recentMax func() int, now time.Time) *Limiter {
	return &Limiter{network: network, recentMax: recentMax, started: now, next: map[string]time.Time{}, deferred: map[string]time.Time{}}
}

// Defer records that the target's tracker gives no permission before the given time.
func (l *Limiter) Defer(target string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.deferred[target] = until
}

// DeferredFor returns how long this process doesn't ask a target's tracker; 0 if it may.
func (l *Limiter) DeferredFor(target string, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.deferred[target].Sub(now), 0)
}

// Allowed reports whether this process may send a request now to a target that takes perSecond requests a
// second; 0 means no limit.
func (l *Limiter) Allowed(target string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, allowed := l.permit(target, perSecond, now)
	return allowed
}

// Take uses the permit for a target, if this process may send a request now, and reports whether it
// may. See Allowed.
func (l *Limiter) Take(target string, perSecond float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause, allowed := l.permit(target, perSecond, now)
	if allowed {
		l.next[target] = now.Add(pause)
	}
	return allowed
}

// permit returns the pause after a request sent now, and whether one may be sent. The caller holds
// mu.
func (l *Limiter) permit(target string, perSecond float64, now time.Time) (time.Duration, bool) {
	recentMax := l.recentMax()
	if now.Sub(l.started) < startupDelay || recentMax == 0 {
		return 0, false
	}
	view := l.network.View()
	known := 1 + len(view.Members)
	p := permits{known: known, recentMax: max(known, recentMax), rank: l.rank(view, target), lot: lot(target, view.Self.Incarnation)}
	pause, holds := p.pause(perSecond)
	return pause, holds && !now.Before(l.next[target])
}

// rank returns the number of members that rank before this process for a target. The caller holds
// mu.
func (l *Limiter) rank(view *peer.View, target string) int {
	if l.view != view {
		l.view, l.ranks = view, map[string]int{}
	}
	rank, found := l.ranks[target]
	if !found {
		rank = rankOf(view, target)
		l.ranks[target] = rank
	}
	return rank
}

// Prune removes the targets whose pause is over.
func (l *Limiter) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	over := func(_ string, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(l.next, over)
	maps.DeleteFunc(l.deferred, over)
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

// lot returns a pseudo-random number in [0, 1) that is fixed for each pair of target and process.
func lot(target string, self peer.Incarnation) float64 {
	return float64(member.Hash(target+"\x00"+string(self))>>11) / (1 << 53)
}

// permits holds the inputs that determine a process's permits for one target.
type permits struct {
	// known is the number of processes that this one knows, including itself; recentMax is the
	// highest recent number of processes.
	known, recentMax int
	// rank of this process for the target; 0 is the first.
	rank int
	// lot in [0, 1) decides who holds the remaining fraction of a permit.
	lot float64
}

// pause returns the time between two requests of this process, and whether it may send any.
func (p permits) pause(perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return 0, true
	}
	held := perSecond
	if p.known < p.recentMax {
		held *= partitionShare * float64(p.known) / float64(p.recentMax)
	}
	period := 1.0
	if perSecond < 1 {
		held, period = held/perSecond, 1/perSecond
	}
	if held >= float64(p.known) {
		period, held = float64(p.known)/held, float64(p.known)
	}
	whole := math.Floor(held)
	holds := float64(p.rank) < whole || (float64(p.rank) == whole && p.lot < held-whole)
	return time.Duration(pauseFactor * period * float64(time.Second)), holds
}
