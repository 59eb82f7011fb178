package limit

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/config"
)

func TestShare(t *testing.T) {
	tests := []struct {
		name    string
		split   Split
		own     float64
		others  []float64
		unknown int
		want    float64
	}{
		{"alone", SplitByDemand, 50, nil, 0, 100},
		{"unused share is lent", SplitByDemand, 50, []float64{10, 0}, 0, 50 + 40.0/3},
		{"under load in proportion", SplitByDemand, 300, []float64{100}, 0, 2.5 + 95*0.75},
		{"cut off: as if the others had as much", SplitByDemand, 300, nil, 2, 5.0/3 + 95.0/3},
		{"even", SplitEven, 300, []float64{0, 0, 0}, 0, 25},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := Share(tc.split, 100, tc.own, tc.others, tc.unknown)
			assert.Assert(t, math.Abs(got-tc.want) < 1e-9, "got %f, want %f", got, tc.want)
		})
	}
}

func TestSharesNeverExceedLimitTogether(t *testing.T) {
	for _, demands := range [][]float64{{0, 0, 0}, {10, 20, 30}, {100, 200, 1}, {1000, 0, 0}} {
		total := 0.0
		for i := range demands {
			var others []float64
			for j, d := range demands {
				if j != i {
					others = append(others, d)
				}
			}
			total += Share(SplitByDemand, 100, demands[i], others, 0)
		}
		assert.Assert(t, total <= 100+1e-9, "%v give %f", demands, total)
	}
}

func TestContractLimitsHold(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name     string
		contract config.Contract
		want     Decision
		admitted int
	}{
		{"no limits", config.Contract{Customer: "a"}, Admitted, 50},
		{"rate", config.Contract{Customer: "a", RequestsPerSecond: 5}, OverRate, 5},
		{"in flight", config.Contract{Customer: "a", InFlight: 3}, OverInFlight, 3},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := NewCustomers(SplitByDemand)
			admitted := 0
			var last Decision
			for range 50 {
				var wait time.Duration
				_, last, wait = c.Admit(tc.contract, 0, now)
				if last == Admitted {
					admitted++
					continue
				}
				assert.Assert(t, wait > 0)
			}
			assert.Equal(t, admitted, tc.admitted)
			assert.Equal(t, last, tc.want)
		})
	}
}

func TestTokenRateIsCorrectedAfterwards(t *testing.T) {
	c := NewCustomers(SplitByDemand)
	contract := config.Contract{Customer: "a", TokensPerSecond: 100}
	now := time.Unix(100, 0)
	grant, got, _ := c.Admit(contract, 50, now)
	assert.Equal(t, got, Admitted)
	c.Done(grant, 150, now)
	_, got, wait := c.Admit(contract, 200, now)
	assert.Equal(t, got, OverTokenRate)
	assert.Assert(t, wait > 500*time.Millisecond && wait < time.Second)
	_, got, _ = c.Admit(contract, 200, now.Add(wait))
	assert.Equal(t, got, Admitted)
}

// Many requests come at once, before the first has generated a token. If each
// were let in because nothing was charged yet, the customer would get many
// times its tokens.
func TestTokensAreReservedForBursts(t *testing.T) {
	c := NewCustomers(SplitByDemand)
	contract := config.Contract{Customer: "a", TokensPerSecond: 100}
	now := time.Unix(100, 0)
	admitted := 0
	for range 50 {
		if _, got, _ := c.Admit(contract, 20, now); got == Admitted {
			admitted++
		}
	}
	assert.Equal(t, admitted, 5)
}

func TestTokenLimitLetsOtherCallsIn(t *testing.T) {
	c := NewCustomers(SplitByDemand)
	contract := config.Contract{Customer: "a", TokensPerSecond: 10}
	now := time.Unix(100, 0)
	_, _, _ = c.Admit(contract, 100, now)
	_, got, _ := c.Admit(contract, 100, now)
	assert.Equal(t, got, OverTokenRate)
	_, got, _ = c.Admit(contract, 0, now)
	assert.Equal(t, got, Admitted)
}

// A fresh entry VM gives a customer that comes to it first its part, not the
// whole limit once more.
func TestFreshProcessStartsWithItsPart(t *testing.T) {
	c := NewCustomers(SplitByDemand)
	now := time.Unix(100, 0)
	c.Rebalance(PeerView{Peers: make([]PeerDemand, 3)}, now)
	contract := config.Contract{Customer: "a", RequestsPerSecond: 40, Burst: 40}
	admitted := 0
	for range 50 {
		if _, got, _ := c.Admit(contract, 0, now); got == Admitted {
			admitted++
		}
	}
	assert.Equal(t, admitted, 10)
}

// The customer uses its limit at other entry VMs, or may do so unheard. A full
// bucket here would come on top of it.
func TestFreshProcessStartsLowWhereOthersServe(t *testing.T) {
	for _, view := range []PeerView{{Unknown: 3}, {Peers: []PeerDemand{{"a": {Requests: 40}}}}} {
		c := NewCustomers(SplitByDemand)
		now := time.Unix(100, 0)
		c.Rebalance(view, now)
		admitted := 0
		for range 50 {
			if _, got, _ := c.Admit(config.Contract{Customer: "a", RequestsPerSecond: 40}, 0, now); got == Admitted {
				admitted++
			}
		}
		assert.Equal(t, admitted, 2)
	}
}

func TestWholeSharesGiveTheLimit(t *testing.T) {
	for _, limit := range []int{3, 4, 10, 31} {
		for _, demands := range [][]float64{{0, 0, 0}, {50, 0, 0}, {0, 0, 50}, {9, 9, 9}, {1, 2, 30}, {3, 3, 0}} {
			total, idle := 0, 0
			for i := range demands {
				others := slices.Delete(slices.Clone(demands), i, i+1)
				mine := IntegerShare(SplitByDemand, limit, demands[i], others, i, 0)
				assert.Assert(t, mine >= 1, "%v: %d", demands, mine)
				total += mine
				if demands[i] == 0 {
					idle++
				}
			}
			assert.Assert(t, total >= limit && total <= limit+idle, "%d of %d: %v", total, limit, demands)
		}
	}
}

func TestWholeShareOfALimitBelowTheNumberOfVMs(t *testing.T) {
	for _, demands := range [][]float64{{5, 5, 5}, {1, 9, 3}} {
		total := 0
		for i := range demands {
			others := slices.Delete(slices.Clone(demands), i, i+1)
			total += IntegerShare(SplitByDemand, 2, demands[i], others, i, 0)
		}
		assert.Equal(t, total, 2)
	}
}

func popCustomers(q *fairQueue, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[q.pop().customer]++
	}
	return counts
}

func TestQueueServesByShare(t *testing.T) {
	q := newFairQueue()
	for range 60 {
		q.push(&waiter{customer: "big", weight: 2})
		q.push(&waiter{customer: "small", weight: 1})
	}
	got := popCustomers(q, 30)
	assert.Assert(t, got["big"] >= 19 && got["big"] <= 21, "%v", got)
}

func TestQueueServesOwnByDeadline(t *testing.T) {
	q := newFairQueue()
	base := time.Unix(100, 0)
	for _, s := range []int{3, 1, 2} {
		q.push(&waiter{customer: "a", weight: 1, deadline: base.Add(time.Duration(s) * time.Second)})
	}
	for _, s := range []int{1, 2, 3} {
		assert.Equal(t, q.pop().deadline, base.Add(time.Duration(s)*time.Second))
	}
	assert.Assert(t, q.pop() == nil)
}

// One customer sends a burst while another goes on at its usual pace. Without
// the fair queue the other's requests would stand behind the whole burst.
func TestBurstDoesNotStarveOthers(t *testing.T) {
	q := newFairQueue()
	for range 1000 {
		q.push(&waiter{customer: "burst", weight: 1})
	}
	q.push(&waiter{customer: "calm", weight: 1})
	got := popCustomers(q, 3)
	assert.Equal(t, got["calm"], 1)
}

func TestAdaptiveFollowsDeadlines(t *testing.T) {
	tests := []struct {
		name      string
		took      time.Duration
		inService int
		want      func(before, after int) bool
	}{
		{"grows while calm and full", 400 * time.Millisecond, 64, func(b, a int) bool { return a > b }},
		{"stays while little is asked", 400 * time.Millisecond, 10, func(b, a int) bool { return a == b }},
		{"stays in between", 750 * time.Millisecond, 64, func(b, a int) bool { return a == b }},
		{"shrinks when tight", 900 * time.Millisecond, 64, func(b, a int) bool { return a < b }},
		{"shrinks when late", 2 * time.Second, 64, func(b, a int) bool { return a < b }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := NewAdaptiveLimit()
			before := a.Limit()
			for range observations {
				a.Observe(tc.took, time.Second, tc.inService)
			}
			assert.Assert(t, tc.want(before, a.Limit()), "from %d to %d", before, a.Limit())
		})
	}
}

// Answers differ in length by far. A limit that follows how long requests take
// takes the long ones for a queue, shrinks to its least and turns most callers
// away from idle targets.
func TestAdaptiveTakesNoLongAnswerForAQueue(t *testing.T) {
	a := NewAdaptiveLimit()
	before := a.Limit()
	for i := range 50 * observations {
		took := 50 * time.Millisecond
		if i%3 == 0 {
			took = 500 * time.Millisecond
		}
		a.Observe(took, time.Second, a.Limit())
	}
	assert.Assert(t, a.Limit() > before, "%d", a.Limit())
}

func TestGateRefusesAtOnceWhatCannotBeInTime(t *testing.T) {
	g := NewConcurrencyLimiter(false)
	g.adaptive.limit = 1
	g.pace = time.Second
	pass, refusal := g.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
	assert.Assert(t, pass != nil && refusal == nil)
	start := time.Now()
	_, refusal = g.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(500 * time.Millisecond)})
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.RetryAfter, time.Second)
	assert.Assert(t, time.Since(start) < 400*time.Millisecond)
}

// A customer's burst stands before the gate. A calm customer comes with a little
// time: if its wait were reckoned by the whole queue it would be refused for the
// burst's sake, though its turn is next.
func TestBurstDoesNotHaveOthersRefused(t *testing.T) {
	g := NewConcurrencyLimiter(false)
	g.adaptive.limit, g.adaptive.Min = 1, 1
	g.pace = 10 * time.Millisecond
	pass, _ := g.Acquire(context.Background(), AcquireRequest{Customer: "burst", Weight: 30, Deadline: time.Now().Add(time.Hour)})
	for range 100 {
		g.queue.push(&waiter{customer: "burst", weight: 30, deadline: time.Now().Add(time.Hour), decided: make(chan bool, 1)})
	}
	calm := AcquireRequest{Customer: "calm", Weight: 45, Deadline: time.Now().Add(200 * time.Millisecond)}
	assert.Assert(t, g.refuse(calm, time.Now()) == nil)
	burst := AcquireRequest{Customer: "burst", Weight: 30, Deadline: time.Now().Add(200 * time.Millisecond)}
	assert.Assert(t, g.refuse(burst, time.Now()) != nil)
	pass.Release(false)
}

// Requests that waited at the gate have little time left when they are let in.
// Their calls are quick all the same, so that the gate must not shrink.
func TestWaitAtGateIsNoSlowTarget(t *testing.T) {
	g := NewConcurrencyLimiter(false)
	before := g.adaptive.Limit()
	now := time.Now()
	for range observations {
		g.serve("", 1)
		(&Permit{gate: g, since: now.Add(-300 * time.Millisecond), allowed: time.Second}).Release(true)
	}
	assert.Assert(t, g.adaptive.Limit() >= before)
}

// The engines' own queues go by the contracts' priorities. A burst of an urgent
// customer would have everybody else wait there to their deadlines, though the
// gate has let all in by share.
func TestCustomerOverItsShareIsTold(t *testing.T) {
	tests := []struct {
		name        string
		limit       float64
		burst, calm int
		wantBurst   bool
		wantCalm    bool
	}{
		{"places are short", 20, 15, 3, true, false},
		{"both within their shares", 20, 9, 9, false, false},
		{"places enough", 100, 15, 3, false, false},
		{"alone", 20, 18, 0, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := NewConcurrencyLimiter(false)
			g.adaptive.limit = tc.limit
			for range tc.burst {
				g.serve("burst", 1)
			}
			for range tc.calm {
				g.serve("calm", 1)
			}
			assert.Equal(t, g.serve("burst", 1), tc.wantBurst)
			if tc.calm > 0 {
				assert.Equal(t, g.serve("calm", 1), tc.wantCalm)
			}
		})
	}
}

func TestGateHandsPlaceOn(t *testing.T) {
	g := NewConcurrencyLimiter(false)
	g.adaptive.limit, g.adaptive.Min = 1, 1
	first, _ := g.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
	got := make(chan *Permit)
	go func() {
		pass, _ := g.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
		got <- pass
	}()
	for g.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Release(false)
	pass := <-got
	assert.Assert(t, pass != nil)
	pass.Release(false)
	assert.Equal(t, g.Stats().InService, 0)
}
