package limit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
)

// Verdict says whether a contract lets a request in.
type Decision string

// The verdicts.
const (
	Admitted       Decision = "admitted"
	OverRate       Decision = "over the contract's requests per second"
	OverInFlight   Decision = "over the contract's requests in flight"
	OverTokenRate  Decision = "over the contract's tokens per second"
	demandHalfLife          = time.Second
	// inFlightRetry is when to come back after OverInFlight.
	inFlightRetry = 250 * time.Millisecond
	// smallestBurst is what each entry VM may let in at once however small its
	// part is. With 1 a bucket stands full while it waits for the next caller,
	// and a customer at its limit got a fifth less than agreed.
	smallestBurst = 2.0
)

// Customers holds each customer's state of limits in this process.
type Customers struct {
	split Split

	mu     sync.Mutex // guards byName and all fields of the customers; a leaf
	byName map[string]*customer
	view   PeerView
}

type customer struct {
	contract config.Contract
	requests *Bucket
	tokens   *Bucket
	// inFlightPart is this process's part of the contract's limit now.
	inFlightPart int
	inFlight     int
	asked        meter // requests that came, let in or not
	askedTokens  meter // tokens that they are expected to generate
	refusedAt    time.Time
	// meanTokens and meanTime are moving averages of the requests that ended;
	// zero while unknown. meanTokens is of those that generate.
	meanTokens float64
	meanTime   time.Duration
}

// Grant is the right of one request to be served. End it by Done.
type Grant struct {
	customer string
	since    time.Time
	// reserved is what was taken out of the token rate in advance, of at most
	// most tokens.
	reserved float64
	most     int
}

// NewCustomers makes an empty table.
func NewCustomers(split Split) *Customers {
	return &Customers{split: split, byName: map[string]*customer{}}
}

// Admit counts a request that may generate so many tokens, 0 for one that
// generates none, and says whether the contract lets it in, and if not when to
// come back. An admitted one must be ended by Done.
func (c *Customers) Admit(contract config.Contract, most int, now time.Time) (Grant, Decision, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.get(contract, now)
	expected := cu.expected(most)
	cu.asked.add(1, now)
	cu.askedTokens.add(expected, now)
	verdict, wait := cu.admit(expected, now)
	if verdict != Admitted {
		cu.refusedAt = now
		return Grant{}, verdict, wait
	}
	cu.inFlight++
	return Grant{customer: contract.Customer, since: now, reserved: expected, most: most}, Admitted, 0
}

// Done ends an admitted request that generated so many tokens. The token rate
// is corrected by what was expected too much or too little.
func (c *Customers) Done(g Grant, tokens int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cu := c.byName[g.customer]
	if cu == nil {
		return
	}
	cu.inFlight--
	cu.meanTime = time.Duration(blend(float64(cu.meanTime), float64(now.Sub(g.since))))
	if g.most == 0 {
		return
	}
	if tokens > 0 {
		cu.meanTokens = blend(cu.meanTokens, float64(tokens))
	}
	if cu.tokens != nil {
		cu.tokens.Charge(float64(tokens)-g.reserved, now)
	}
}

// newestWeight is the weight of the newest value in a moving average.
const newestWeight = 0.1

func blend(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + newestWeight*(newest-mean)
}

// expected is how many tokens a request will generate: as many as others did.
// They are taken out of the rate when it is let in. If they were only taken
// when it ends, a burst of requests would all come in before the first has
// cost anything, and the customer would get many times the agreed tokens.
func (cu *customer) expected(most int) float64 {
	if cu.meanTokens == 0 {
		return float64(most)
	}
	return math.Min(cu.meanTokens, float64(most))
}

func (cu *customer) admit(tokens float64, now time.Time) (Decision, time.Duration) {
	if cu.contract.InFlight > 0 && cu.inFlight >= cu.inFlightPart {
		return OverInFlight, inFlightRetry
	}
	limited := cu.tokens != nil && tokens > 0
	if limited && cu.tokens.levelAt(now) <= 0 {
		return OverTokenRate, cu.tokens.until(1)
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

// get gives the customer's state, made anew where the contract changed. It
// starts with its part as of the last exchange of demands, never with the whole
// limit: each entry VM that a customer comes to first would give it all of it
// once more.
func (c *Customers) get(contract config.Contract, now time.Time) *customer {
	cu := c.byName[contract.Customer]
	if cu == nil {
		cu = &customer{}
		c.byName[contract.Customer] = cu
	} else if !limitsDiffer(cu.contract, contract) {
		return cu
	}
	cu.adopt(contract, now)
	cu.rebalance(c.split, c.view, now)
	if c.view.wanted(contract.Customer) {
		cu.startLow()
	}
	return cu
}

// wanted says that other entry VMs may have callers of a customer.
func (v PeerView) wanted(name string) bool {
	return v.Unknown > 0 || slices.ContainsFunc(v.Peers, func(p PeerDemand) bool { return p[name] != Demand{} })
}

// startLow has the buckets start with next to nothing, for a customer that gets
// its limit from other entry VMs: full ones here would be on top of it.
func (cu *customer) startLow() {
	if cu.requests != nil {
		cu.requests.level = min(cu.requests.level, smallestBurst)
	}
	if cu.tokens != nil {
		cu.tokens.level = min(cu.tokens.level, smallestBurst)
	}
}

func limitsDiffer(a, b config.Contract) bool {
	return a.RequestsPerSecond != b.RequestsPerSecond || a.Burst != b.Burst ||
		a.InFlight != b.InFlight || a.TokensPerSecond != b.TokensPerSecond
}

func (cu *customer) adopt(contract config.Contract, now time.Time) {
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

// burst is the part of the contract's burst.
func (cu *customer) burst(part float64) float64 {
	burst := float64(cu.contract.Burst)
	if burst == 0 {
		burst = cu.contract.RequestsPerSecond
	}
	return math.Max(smallestBurst, burst*part)
}

// PeerDemand is what a peer told, by customer.
type PeerDemand map[string]Demand

// View is what this process knows of the other entry VMs.
type PeerView struct {
	// Peers told their demands. They are in an order that all entry VMs share,
	// and Rank is how many of them stand before this one.
	Peers []PeerDemand
	Rank  int
	// Unknown is how many more are listed and told nothing.
	Unknown int
}

// Rebalance takes this process's part of each contract's limits anew from its
// own demand and the peers'.
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
		cu.inFlightPart = IntegerShare(split, cu.contract.InFlight, own.InFlight, inFlight, view.Rank, view.Unknown)
	}
}

// demand is what callers ask for here, let in or not. What was let in alone
// would say little: it never exceeds the part that this VM has now, so that a
// VM with many refused callers would never get more than its part.
func (cu *customer) demand(now time.Time) Demand {
	rate := cu.asked.rate(now)
	return Demand{
		Requests: rate,
		Tokens:   cu.askedTokens.rate(now),
		// By Little's law, and at least what is there.
		InFlight: math.Max(float64(cu.inFlight)+boolTo(now.Sub(cu.refusedAt) < demandHalfLife), rate*cu.meanTime.Seconds()),
	}
}

func boolTo(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// Demands gives what this process tells its peers: customers with any demand.
func (c *Customers) Demands(now time.Time) PeerDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := PeerDemand{}
	for name, cu := range c.byName {
		d := cu.demand(now)
		if d.Requests > demandNoise || d.Tokens > demandNoise || d.InFlight > 0 {
			out[name] = Demand{Requests: round2(d.Requests), Tokens: round2(d.Tokens), InFlight: round2(d.InFlight)}
		}
	}
	return out
}

// demandNoise is the rate below which a customer isn't told of.
const demandNoise = 0.01

func round2(x float64) float64 { return math.Round(x*100) / 100 }

// AtLimit lists the customers that were refused within the last few seconds.
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

// meter is a moving rate per second.
type meter struct {
	value float64
	last  time.Time
}

func (m *meter) add(n float64, now time.Time) {
	m.decay(now)
	m.value += n * math.Ln2 / demandHalfLife.Seconds()
}

func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.value
}

func (m *meter) decay(now time.Time) {
	elapsed := now.Sub(m.last)
	m.last = now
	if elapsed > 0 {
		m.value *= math.Exp2(-float64(elapsed) / float64(demandHalfLife))
	}
}
