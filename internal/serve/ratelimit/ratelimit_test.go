package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

var start = time.Unix(1000, 0)

// bound is the users' bound on the requests to one cold target in any second.
const (
	perSecond = 14.0
	bound     = perSecond*1.5 + 5
)

// rateLimiter is a way to bound the requests to cold targets.
type rateLimiter interface {
	Take(target string, perSecond float64, now time.Time) bool
}

// newLimiters returns the limiters of n processes that were recentMax at their peak. Each process
// knows only those of its own group.
func newLimiters(n, groups, recentMax int) []rateLimiter {
	clusters := make([]*servetest.Cluster, groups)
	for i := range clusters {
		clusters[i] = &servetest.Cluster{}
	}
	var list []rateLimiter
	for i := range n {
		node := clusters[i%groups].Add(fmt.Sprintf("vm-%d", i), "z")
		list = append(list, New(node, func() int { return recentMax }, start.Add(-time.Minute)))
	}
	return list
}

// newEvenShares returns limiters that give each of n processes an even share of the rate, with a
// burst of one request.
func newEvenShares(n int) []rateLimiter {
	var list []rateLimiter
	for range n {
		list = append(list, &evenShare{pause: time.Duration(float64(n) / perSecond * float64(time.Second)), next: map[string]time.Time{}})
	}
	return list
}

type evenShare struct {
	pause time.Duration
	next  map[string]time.Time
}

// Take implements rateLimiter.
func (e *evenShare) Take(target string, _ float64, now time.Time) bool {
	if now.Before(e.next[target]) {
		return false
	}
	e.next[target] = now.Add(e.pause)
	return true
}

// simulate runs ten seconds in which requests arrive at random processes and try cold targets in
// random order until one takes them. It returns the most requests that one target got in a second,
// and the total rate of requests taken.
func simulate(seed uint64, limiters []rateLimiter, targets int, rate float64) (most int, taken float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	arrivals := map[string][]time.Time{}
	total := 0
	const length = 10 * time.Second
	for now := start; now.Sub(start) < length; now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
		limiter := limiters[random.IntN(len(limiters))]
		for _, i := range random.Perm(targets) {
			target := fmt.Sprintf("engine-%d", i)
			if limiter.Take(target, perSecond, now) {
				late := time.Duration(random.Float64() * float64(50*time.Millisecond))
				arrivals[target] = append(arrivals[target], now.Add(late))
				total++
				break
			}
		}
	}
	for _, list := range arrivals {
		most = max(most, servetest.MostWithin(list, time.Second))
	}
	return most, float64(total) / length.Seconds()
}

// Guards against many processes without coordination sending their requests to a few engines that
// have just come back, and crashing them.
func TestColdTargetStaysWithinBound(t *testing.T) {
	for _, n := range []int{1, 3, 14, 85, 300} {
		for _, groups := range []int{1, 2, 5} {
			if groups > n {
				continue
			}
			for seed := range uint64(4) {
				most, _ := simulate(seed, newLimiters(n, groups, n), 2, 2000)
				assert.Assert(t, float64(most) <= bound, "%d processes in %d groups, seed %d: %d in a second", n, groups, seed, most)
			}
		}
	}
}

// All processes are cut off from each other at the same time. Together they must still keep the
// bound.
func TestPartitionedProcessesStayWithinBoundTogether(t *testing.T) {
	for seed := range uint64(10) {
		most, _ := simulate(seed, newLimiters(85, 85, 85), 5, 2000)
		assert.Assert(t, float64(most) <= bound, "seed %d: %d in a second", seed, most)
	}
}

// Compares permits with even shares. If only cold engines are available, permits serve more than
// half of the load. If many requests wait for a single cold engine, permits keep the bound and even
// shares exceed it.
func TestPermitsComparedWithEvenShares(t *testing.T) {
	const engines, rate = 30, 258
	permitsMost, permitsTaken := simulate(1, newLimiters(85, 1, 85), engines, rate)
	sharesMost, sharesTaken := simulate(1, newEvenShares(85), engines, rate)
	t.Logf("permits: %d at most, %.0f a second taken; even shares: %d, %.0f", permitsMost, permitsTaken, sharesMost, sharesTaken)
	assert.Assert(t, permitsTaken > rate/2, "%.0f a second", permitsTaken)
	burstPermits, _ := simulate(2, newLimiters(85, 1, 85), 1, 2000)
	burstShares, _ := simulate(2, newEvenShares(85), 1, 2000)
	t.Logf("one cold engine, 2,000 requests a second: permits %d at most, even shares %d", burstPermits, burstShares)
	assert.Assert(t, float64(burstPermits) <= bound && float64(burstShares) > bound)
}

// A process that has just started knows no peers yet and would take all permits for itself.
func TestNewProcessHoldsNoPermit(t *testing.T) {
	limiter := New((&servetest.Cluster{}).Add("a", "z"), func() int { return 1 }, start)
	assert.Assert(t, !limiter.Take("e", perSecond, start.Add(startupDelay/2)))
	assert.Assert(t, limiter.Take("e", perSecond, start.Add(startupDelay)))
}

// A target that can handle less than one request a second must still get some.
func TestRatesBelowOnePerSecondLeaveAPermit(t *testing.T) {
	holders := 0
	for rank := range 10 {
		pause, holds := permits{known: 10, recentMax: 10, rank: rank}.pause(0.25)
		if holds {
			holders++
			assert.Assert(t, pause >= 4*time.Second)
		}
	}
	assert.Equal(t, holders, 1)
	_, holds := permits{known: 1, recentMax: 1}.pause(0)
	assert.Assert(t, holds, "no bound")
}

// A target that got no requests for a while may have restarted, even if its entry is old.
func TestUnobservedTargetCountsAsCold(t *testing.T) {
	rule := Rule{PerSecond: perSecond, Time: 3 * time.Second}
	for _, tc := range []struct {
		view pool.View
		cold bool
	}{
		{pool.View{}, false},
		{pool.View{ColdUntil: start.Add(time.Second)}, true},
		{pool.View{ColdUntil: start}, false},
		{pool.View{UnobservedUntil: start.Add(-2 * time.Second)}, true},
		{pool.View{UnobservedUntil: start.Add(-3 * time.Second)}, false},
	} {
		assert.Equal(t, rule.IsCold(tc.view, start), tc.cold, "%+v", tc)
	}
	assert.Assert(t, !Rule{Time: time.Second}.IsCold(pool.View{UnobservedUntil: start}, start), "a service without a bound")
}
