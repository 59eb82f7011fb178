package limit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Decision says whether a contract admits a request.
type Decision string

// The decisions.
const (
	Admitted       Decision = "admitted"
	OverRate       Decision = "over the contract's requests per second"
	OverInFlight   Decision = "over the contract's requests in flight"
	OverTokenRate  Decision = "over the contract's tokens per second"
	demandHalfLife          = time.Second
	// inFlightRetry is the retry delay that a caller is given with
	// OverInFlight.
	inFlightRetry = 250 * time.Millisecond
	// minBurst is the least burst of each entry VM, however small its share of
	// the rate. With 1 a bucket stays full while it waits for the next caller,
	// and a customer at its limit got a fifth less than its contract says.
	minBurst = 2.0
)

// Customers holds the limit state of each customer in this process.
type Customers struct {
	split Split

	mu     sync.Mutex // guards the fields below and all customers; no other lock is taken under it
	byName map[string]*customer
	view   PeerView
}

type customer struct {
	contract config.Contract
	requests *Bucket
	tokens   *Bucket
	// inFlightShare is this process's current share of the contract's limit on
	// requests in flight.
	inFlightShare int
	inFlight      int
	requestRate   rateMeter // requests that arrived, admitted or not
	tokenRate     rateMeter // tokens that those requests are expected to generate
	refusedAt     time.Time
	// meanTokens and meanTime are moving averages over the requests that ended;
	// zero while unknown. meanTokens covers only requests that generate tokens.
	meanTokens float64
	meanTime   time.Duration
}

// Grant is the admission of one request under its contract. It must be ended
// with Customers.Done.
type Grant struct {
	customer string
	since    time.Time
	// reserved is the number of tokens taken out of the token rate at
	// admission. It is at most maxTokens, the most that the request may
	// generate.
	reserved  float64
	maxTokens int
}

// NewCustomers returns an empty table.
func NewCustomers(split Split) *Customers {
	return &Customers{split: split, byName: map[string]*customer{}}
}

// Admit counts a request that may generate up to maxTokens tokens, 0 for one
// that generates none. It returns whether the contract admits the request, and
// if not how long to wait before a retry. Every admitted request must be ended
// with Done.
func (c *Customers) Admit(contract config.Contract, maxTokens int, now time.Time) (Grant, Decision, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.getOrCreate(contract, now)
	expectedTokens := cu.expectedTokens(maxTokens)
	cu.requestRate.add(1, now)
	cu.tokenRate.add(expectedTokens, now)
	decision, wait := cu.admit(expectedTokens, now)
	if decision != Admitted {
		cu.refusedAt = now
		return Grant{}, decision, wait
	}
	cu.inFlight++
	return Grant{customer: contract.Customer, since: now, reserved: expectedTokens, maxTokens: maxTokens}, Admitted, 0
}

// Done ends an admitted request that generated the given number of tokens. The
// token rate is corrected by the difference from the number reserved at
// admission.
func (c *Customers) Done(g Grant, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.byName[g.customer]
	if cu == nil {
		return
	}
	cu.inFlight--
	cu.meanTime = time.Duration(movingAverage(float64(cu.meanTime), float64(now.Sub(g.since))))
	if g.maxTokens == 0 {
		return
	}
	if tokens > 0 {
		cu.meanTokens = movingAverage(cu.meanTokens, float64(tokens))
	}
	if cu.tokens != nil {
		cu.tokens.Charge(float64(tokens)-g.reserved, now)
	}
}

// newestWeight is the weight of the newest value in a moving average.
const newestWeight = 0.1

func movingAverage(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + newestWeight*(newest-mean)
}

// expectedTokens estimates how many tokens a request will generate from the
// mean of earlier ones. They are taken out of the rate at admission. If they
// were charged only when the request ends, a burst would be admitted whole
// before its first request is charged, and the customer would get many times
// its contracted tokens.
func (cu *customer) expectedTokens(maxTokens int) float64 {
	if cu.meanTokens == 0 {
		return float64(maxTokens)
	}
	return math.Min(cu.meanTokens, float64(maxTokens))
}

func (cu *customer) admit(tokens float64, now time.Time) (Decision, time.Duration) {
	if cu.contract.InFlight > 0 && cu.inFlight >= cu.inFlightShare {
		return OverInFlight, inFlightRetry
	}
	limited := cu.tokens != nil && tokens > 0
	if limited && cu.tokens.levelAt(now) <= 0 {
		return OverTokenRate, cu.tokens.timeUntil(1)
	}
	if cu.requests != nil {
		if ok, wait := cu.requests.Take(1, now); !ok {
			return OverRate, wait
		}
	}
	if limited {
		cu.tokens.Charge(tokens, now)
	}
	return Admitted, 0
}

func (b *Bucket) levelAt(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// getOrCreate returns the customer's state, with new buckets if the contract's
// limits changed. A new customer starts with its share as of the last exchange
// of demands, never with the whole limit: every entry VM that the customer
// calls for the first time would grant the whole limit again.
func (c *Customers) getOrCreate(contract config.Contract, now time.Time) *customer {
	cu := c.byName[contract.Customer]
	if cu == nil {
		cu = &customer{}
		c.byName[contract.Customer] = cu
	} else if !limitsDiffer(cu.contract, contract) {
		return cu
	}
	cu.applyContract(contract, now)
	cu.rebalance(c.split, c.view, now)
	if c.view.mayHaveDemand(contract.Customer) {
		cu.startNearlyEmpty()
	}
	return cu
}

// mayHaveDemand says whether other entry VMs may have callers of a customer:
// one reported demand, or one is listed but has not reported.
func (v PeerView) mayHaveDemand(name string) bool {
	return v.Unknown > 0 || slices.ContainsFunc(v.Peers, func(p PeerDemand) bool { return p[name] != Demand{} })
}

// startNearlyEmpty lowers the buckets to minBurst, for a customer that may be
// using its limit at other entry VMs: full buckets here would come on top of
// that.
func (cu *customer) startNearlyEmpty() {
	if cu.requests != nil {
		cu.requests.level = min(cu.requests.level, minBurst)
	}
	if cu.tokens != nil {
		cu.tokens.level = min(cu.tokens.level, minBurst)
	}
}

func limitsDiffer(a, b config.Contract) bool {
	return a.RequestsPerSecond != b.RequestsPerSecond || a.Burst != b.Burst ||
		a.InFlight != b.InFlight || a.TokensPerSecond != b.TokensPerSecond
}

func (cu *customer) applyContract(contract config.Contract, now time.Time) {
	cu.contract = contract
	cu.requests = nil
	cu.tokens = nil
	if contract.RequestsPerSecond > 0 {
		cu.requests = NewBucket(contract.RequestsPerSecond, cu.burst(1), now)
	}
	if contract.TokensPerSecond > 0 {
		cu.tokens = NewBucket(contract.TokensPerSecond, contract.TokensPerSecond, now)
	}
}

// burst returns this process's share of the contract's burst.
func (cu *customer) burst(share float64) float64 {
	burst := float64(cu.contract.Burst)
	if burst == 0 {
		burst = cu.contract.RequestsPerSecond
	}
	return math.Max(minBurst, burst*share)
}

// PeerDemand is the demand that a peer reported, by customer.
type PeerDemand map[string]Demand

// PeerView is what this process knows of the other entry VMs.
type PeerView struct {
	// Peers holds the reported demands, in an order that all entry VMs share.
	// Rank is the number of them that come before this VM in that order.
	Peers []PeerDemand
	Rank  int
	// Unknown is the number of further entry VMs that are listed but have
	// reported nothing.
	Unknown int
}

// Rebalance recomputes this process's share of each contract's limits from its
// own demand and that of its peers.
func (c *Customers) Rebalance(view PeerView, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = view
	for _, cu := range c.byName {
		cu.rebalance(c.split, view, now)
	}
}

func (cu *customer) rebalance(split Split, view PeerView, now time.Time) {
	own := cu.demand(now)
	name := cu.contract.Customer
	requests := make([]float64, len(view.Peers))
	tokens := make([]float64, len(view.Peers))
	inFlight := make([]float64, len(view.Peers))
	for i, p := range view.Peers {
		requests[i], tokens[i], inFlight[i] = p[name].Requests, p[name].Tokens, p[name].InFlight
	}
	if cu.requests != nil {
		rate := Share(split, cu.contract.RequestsPerSecond, own.Requests, requests, view.Unknown)
		cu.requests.Set(rate, cu.burst(rate/cu.contract.RequestsPerSecond), now)
	}
	if cu.tokens != nil {
		rate := Share(split, cu.contract.TokensPerSecond, own.Tokens, tokens, view.Unknown)
		cu.tokens.Set(rate, rate, now)
	}
	if cu.contract.InFlight > 0 {
		cu.inFlightShare = IntegerShare(split, cu.contract.InFlight, own.InFlight, inFlight, view.Rank, view.Unknown)
	}
}

// demand returns what callers ask of this process, admitted or not. Counting
// only admitted requests would not do: these never exceed the VM's current
// share, so a VM that refuses many callers would never get a larger one.
func (cu *customer) demand(now time.Time) Demand {
	rate := cu.requestRate.rate(now)
	return Demand{
		Requests: rate,
		Tokens:   cu.tokenRate.rate(now),
		// By Little's law, and at least the requests present now.
		InFlight: math.Max(float64(cu.inFlight)+boolToFloat(now.Sub(cu.refusedAt) < demandHalfLife), rate*cu.meanTime.Seconds()),
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Demands returns the demand to report to peers, for customers that have any.
func (c *Customers) Demands(now time.Time) PeerDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := PeerDemand{}
	for name, cu := range c.byName {
		d := cu.demand(now)
		if d.Requests > minReportedDemand || d.Tokens > minReportedDemand || d.InFlight > 0 {
			out[name] = Demand{Requests: round2(d.Requests), Tokens: round2(d.Tokens), InFlight: round2(d.InFlight)}
		}
	}
	return out
}

// minReportedDemand is the rate below which a customer is left out of the
// report.
const minReportedDemand = 0.01

func round2(x float64) float64 { return math.Round(x*100) / 100 }

// AtLimit lists the customers that were refused within atLimitWindow.
func (c *Customers) AtLimit(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, cu := range c.byName {
		if !cu.refusedAt.IsZero() && now.Sub(cu.refusedAt) < atLimitWindow {
			names = append(names, name)
		}
	}
	return names
}

const atLimitWindow = 10 * time.Second

// rateMeter is an exponentially decaying rate per second.
type rateMeter struct {
	value float64
	last  time.Time
}

func (m *rateMeter) add(n float64, now time.Time) {
	m.decay(now)
	m.value += n * math.Ln2 / demandHalfLife.Seconds()
}

func (m *rateMeter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}

func (m *rateMeter) decay(now time.Time) {
	elapsed := now.Sub(m.last)
	m.last = now
	if elapsed > 0 {
		m.value *= math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	}
}
