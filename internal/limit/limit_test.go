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
		{"single VM", SplitByDemand, 50, nil, 0, 100},
		{"unused share goes to others", SplitByDemand, 50, []float64{10, 0}, 0, 50 + 40.0/3},
		{"above the limit in proportion to demand", SplitByDemand, 300, []float64{100}, 0, 2.5 + 95*0.75},
		{"cut off: others are assumed to have equal demand", SplitByDemand, 300, nil, 2, 5.0/3 + 95.0/3},
		{"even", SplitEven, 300, []float64{0, 0, 0}, 0, 25},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := Share(tc.split, 100, tc.own, tc.others, tc.unknown)
			assert.Assert(t, math.Abs(got-tc.want) < 1e-9, "got %f, want %f", got, tc.want)
		})
	}
}

func TestSharesAddUpToAtMostLimit(t *testing.T) {
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

func TestContractLimitsAreEnforced(t *testing.T) {
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

func TestTokenRateIsCorrectedWhenRequestEnds(t *testing.T) {
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

// A burst arrives before its first request has generated a token. If tokens
// were charged only when a request ends, the whole burst would be admitted and
// the customer would get many times its tokens.
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

func TestTokenLimitDoesNotApplyToCallsWithoutTokens(t *testing.T) {
	c := NewCustomers(SplitByDemand)
	contract := config.Contract{Customer: "a", TokensPerSecond: 10}
	now := time.Unix(100, 0)
	_, _, _ = c.Admit(contract, 100, now)
	_, got, _ := c.Admit(contract, 100, now)
	assert.Equal(t, got, OverTokenRate)
	_, got, _ = c.Admit(contract, 0, now)
	assert.Equal(t, got, Admitted)
}

// A new entry VM must grant a customer only its share, not the whole limit once
// more.
func TestNewProcessStartsWithItsShare(t *testing.T) {
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

// The customer uses its limit at other entry VMs, or may do so at VMs that have
// not reported. A full bucket here would come on top of that.
func TestNewProcessStartsNearlyEmptyWherePeersMayHaveDemand(t *testing.T) {
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

func TestIntegerSharesAddUpToLimit(t *testing.T) {
	for _, limit := range []int{3, 4, 10, 31} {
		for _, demands := range [][]float64{{0, 0, 0}, {50, 0, 0}, {0, 0, 50}, {9, 9, 9}, {1, 2, 30}, {3, 3, 0}} {
			total, idle := 0, 0
			for i := range demands {
				others := slices.Delete(slices.Clone(demands), i, i+1)
				share := IntegerShare(SplitByDemand, limit, demands[i], others, i, 0)
				assert.Assert(t, share >= 1, "%v: %d", demands, share)
				total += share
				if demands[i] == 0 {
					idle++
				}
			}
			assert.Assert(t, total >= limit && total <= limit+idle, "%d of %d: %v", total, limit, demands)
		}
	}
}

func TestIntegerSharesOfLimitBelowNumberOfVMs(t *testing.T) {
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

func TestQueueOrdersRequestsOfOneCustomerByDeadline(t *testing.T) {
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

// One customer sends a burst while another sends a single request. Without the
// fair queue that request would wait behind the whole burst.
func TestBurstDoesNotStarveOthers(t *testing.T) {
	q := newFairQueue()
	for range 1000 {
		q.push(&waiter{customer: "burst", weight: 1})
	}
	q.push(&waiter{customer: "calm", weight: 1})
	got := popCustomers(q, 3)
	assert.Equal(t, got["calm"], 1)
}

func TestAdaptiveLimitFollowsDeadlines(t *testing.T) {
	tests := []struct {
		name      string
		took      time.Duration
		inService int
		want      func(before, after int) bool
	}{
		{"grows when times are short and the limit is in use", 400 * time.Millisecond, 64, func(b, a int) bool { return a > b }},
		{"stays when the limit is little used", 400 * time.Millisecond, 10, func(b, a int) bool { return a == b }},
		{"stays between the thresholds", 750 * time.Millisecond, 64, func(b, a int) bool { return a == b }},
		{"shrinks when times are long", 900 * time.Millisecond, 64, func(b, a int) bool { return a < b }},
		{"shrinks when deadlines are missed", 2 * time.Second, 64, func(b, a int) bool { return a < b }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := NewAdaptiveLimit()
			before := a.Limit()
			for range sampleSize {
				a.Observe(tc.took, time.Second, tc.inService)
			}
			assert.Assert(t, tc.want(before, a.Limit()), "from %d to %d", before, a.Limit())
		})
	}
}

// Answers differ widely in length. A limit that follows plain latency mistakes
// long answers for queueing, shrinks to its minimum and refuses most callers
// although the targets are idle.
func TestLongAnswersDoNotShrinkLimit(t *testing.T) {
	a := NewAdaptiveLimit()
	before := a.Limit()
	for i := range 50 * sampleSize {
		took := 50 * time.Millisecond
		if i%3 == 0 {
			took = 500 * time.Millisecond
		}
		a.Observe(took, time.Second, a.Limit())
	}
	assert.Assert(t, a.Limit() > before, "%d", a.Limit())
}

func TestRequestThatWouldMissDeadlineIsRefusedAtOnce(t *testing.T) {
	l := NewConcurrencyLimiter(false)
	l.adaptive.limit = 1
	l.completionInterval = time.Second
	permit, refusal := l.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
	assert.Assert(t, permit != nil && refusal == nil)
	start := time.Now()
	_, refusal = l.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(500 * time.Millisecond)})
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.RetryAfter, time.Second)
	assert.Assert(t, time.Since(start) < 400*time.Millisecond)
}

// One customer's burst fills the queue. A request of another customer with
// little time left must not be refused: if its wait were estimated from the
// whole queue it would be, though its turn is next.
func TestBurstDoesNotCauseRefusalOfOthers(t *testing.T) {
	l := NewConcurrencyLimiter(false)
	l.adaptive.limit, l.adaptive.Min = 1, 1
	l.completionInterval = 10 * time.Millisecond
	permit, _ := l.Acquire(context.Background(), AcquireRequest{Customer: "burst", Weight: 30, Deadline: time.Now().Add(time.Hour)})
	for range 100 {
		l.queue.push(&waiter{customer: "burst", weight: 30, deadline: time.Now().Add(time.Hour), result: make(chan bool, 1)})
	}
	calm := AcquireRequest{Customer: "calm", Weight: 45, Deadline: time.Now().Add(200 * time.Millisecond)}
	assert.Assert(t, l.refuseIfLate(calm, time.Now()) == nil)
	burst := AcquireRequest{Customer: "burst", Weight: 30, Deadline: time.Now().Add(200 * time.Millisecond)}
	assert.Assert(t, l.refuseIfLate(burst, time.Now()) != nil)
	permit.Release(false)
}

// Requests that waited in the queue have little time left when they are
// admitted. Their calls are fast all the same, so the limit must not shrink.
func TestQueueWaitDoesNotShrinkLimit(t *testing.T) {
	l := NewConcurrencyLimiter(false)
	before := l.adaptive.Limit()
	now := time.Now()
	for range sampleSize {
		l.addInService("", 1)
		(&Permit{limiter: l, since: now.Add(-300 * time.Millisecond), allowed: time.Second}).Release(true)
	}
	assert.Assert(t, l.adaptive.Limit() >= before)
}

// The engines' own queues order by the contracts' priorities. Without
// OverShare, a burst of a high-priority customer would make all others wait
// there until their deadlines, although the limiter admitted everyone by
// weight.
func TestOverShareIsReportedWhenPlacesAreShort(t *testing.T) {
	tests := []struct {
		name        string
		limit       float64
		burst, calm int
		wantBurst   bool
		wantCalm    bool
	}{
		{"places are short", 20, 15, 3, true, false},
		{"both within their shares", 20, 9, 9, false, false},
		{"places are free", 100, 15, 3, false, false},
		{"single customer", 20, 18, 0, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			l := NewConcurrencyLimiter(false)
			l.adaptive.limit = tc.limit
			for range tc.burst {
				l.addInService("burst", 1)
			}
			for range tc.calm {
				l.addInService("calm", 1)
			}
			assert.Equal(t, l.addInService("burst", 1), tc.wantBurst)
			if tc.calm > 0 {
				assert.Equal(t, l.addInService("calm", 1), tc.wantCalm)
			}
		})
	}
}

func TestReleaseAdmitsNextWaitingRequest(t *testing.T) {
	l := NewConcurrencyLimiter(false)
	l.adaptive.limit, l.adaptive.Min = 1, 1
	first, _ := l.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
	got := make(chan *Permit)
	go func() {
		permit, _ := l.Acquire(context.Background(), AcquireRequest{Customer: "a", Deadline: time.Now().Add(time.Hour)})
		got <- permit
	}()
	for l.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	first.Release(false)
	permit := <-got
	assert.Assert(t, permit != nil)
	permit.Release(false)
	assert.Equal(t, l.Stats().InService, 0)
}
