package run

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// These tests simulate the load on the stage pools of a whole deployment in virtual time.
// Processes, gatherers and reservations are the real code; the pools are a model with
// parameters of existing deployments.

// requestKind is one kind of request of a simulated load.
type requestKind struct {
	name      string
	perSecond float64
	route     plan.Route
	// pieces draws the number of pieces of each stage.
	pieces func(*rand.Rand) []int
	// burst multiplies perSecond from burstFrom to burstTo.
	burst float64
	// engine is how long an engine takes to the first event; 0 means engineTime.
	engine time.Duration
	// prompt is the length of the prompts in tokens.
	prompt int
}

const (
	loadTime  = 24 * time.Second
	burstFrom = 8 * time.Second
	burstTo   = 14 * time.Second
	// engineTime is how long an engine takes to read the prompt after the stages, unless
	// the kind sets another time. The results of the stages are held for that time.
	engineTime = 150 * time.Millisecond
)

// site is a simulated deployment and its load.
type site struct {
	services []plan.Service
	kinds    []requestKind
	vms      int
	// perZone is how many targets each service has in each zone; perService overrides it by
	// service.
	perZone    []int
	perService map[string][]int
	// missing is the number of targets that are not available, by service.
	missing     map[string]int
	slowFactors map[string]float64
	fail        func(gather.Item) bool
	// writeDelay is the delay before a call is written to the connection.
	writeDelay time.Duration
	// unconfigured is how many processes don't know any of the services yet.
	unconfigured int
	// patience is how long callers wait for an answer; 0 means the route's timeout. comeBack means
	// that refused callers come back once. pieceKey returns a request's piece key; nil means "k".
	patience time.Duration
	comeBack bool
	pieceKey func(id string) string
	// length is the duration of the load; 0 means loadTime.
	length time.Duration
	// withNodes runs concurrently with the load and gets the processes' network nodes.
	withNodes func([]*servetest.Node)
	// withExecutors runs concurrently with the load and gets the processes and the pools.
	withExecutors func([]*Executor, *servetest.FakeTargets)
}

// policy says which mechanisms are disabled in a simulation.
type policy struct{ leaveOut leaveout.Set }

// disabling returns a policy that disables the given mechanisms.
func disabling(names ...leaveout.Mechanism) policy { return policy{leaveOut: leaveout.Of(names...)} }

// tally counts the outcomes of the requests of one kind.
// returned counts the callers that came back, returnedInTime those answered in time then.
type tally struct{ asked, inTime, late, refused, returned, returnedInTime int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

// simulated is the result of a simulation.
type simulated struct {
	kinds map[string]tally
	pools *servetest.FakeTargets
	held  int
	// places counts the places for returning callers.
	places gather.PlaceCounts
	// refused has the requests that got no answer from an engine.
	refused map[string]bool
}

func batchService(name string, size int, item float64, bufferMB float64) plan.Service {
	return plan.Service{Name: name, Batch: &plan.Batch{
		Size: size, CallTime: 240 * time.Millisecond, ItemTime: time.Duration(item * float64(time.Millisecond)),
		BufferBytes: int(bufferMB * 1e6), Keep: 4 * time.Second, Queue: 2,
	}}
}

// reservoir is the load of a deployment whose second stage is the bottleneck.
func reservoir() site {
	chain := []plan.Stage{
		{Service: "intake", ResultBytes: 8000},
		{Service: "notify", After: []int{0}, ResultBytes: 60000},
		{Service: "ops", After: []int{1}, ResultBytes: 6000},
	}
	withBig := []plan.Stage{
		{Service: "intake", ResultBytes: 800000},
		{Service: "intake", ResultBytes: 8000},
		{Service: "notify", After: []int{1}, ResultBytes: 60000},
		{Service: "ops", After: []int{2}, ResultBytes: 6000},
	}
	return site{
		vms: 8, perZone: []int{2, 2, 1},
		services: []plan.Service{
			batchService("intake", 8, 26, 9.6), batchService("notify", 34, 6.1, 3.7), batchService("ops", 26, 7.9, 0.28),
		},
		kinds: []requestKind{
			{name: "notice", perSecond: 9.2, route: streamRoute("notice", 0, 2700, withBig), pieces: func(r *rand.Rand) []int {
				big := 0
				if r.Float64() < 0.4 {
					big = 1 + r.IntN(2)
				}
				return []int{big, 1, 8, 4 + r.IntN(5)}
			}},
			{name: "explain", perSecond: 14.8, route: streamRoute("explain", 1, 2000, chain), pieces: func(r *rand.Rand) []int {
				return []int{1, 8, 4 + r.IntN(5)}
			}},
			{name: "label", perSecond: 13.6, route: streamRoute("label", 2, 990, withBig[:1]), pieces: func(r *rand.Rand) []int {
				if r.Float64() > 0.7 {
					return []int{0}
				}
				return []int{1 + r.IntN(4)}
			}},
		},
	}
}

func streamRoute(name string, rank, objectiveMS int, stages []plan.Stage) plan.Route {
	return plan.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: plan.Stream, Priority: rank, Stages: stages, Attempts: 1,
		Objective: time.Duration(objectiveMS) * time.Millisecond, Timeout: 15 * time.Second,
		Split: []plan.Share{{Service: "engines", Weight: 1}},
	}
}

// simulate runs a load. It must be called in a synctest bubble.
func simulate(seed uint64, s site, p policy) simulated {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{}, SlowFactors: s.slowFactors, Fail: s.fail, WriteDelay: s.writeDelay}
	for _, service := range s.services {
		pools.Services[service.Name] = service.Batch
	}
	executors, nodes := s.start(runCtx, p, pools)
	time.Sleep(3 * time.Second)
	if s.withNodes != nil {
		go s.withNodes(nodes)
	}
	if s.withExecutors != nil {
		go s.withExecutors(executors, pools)
	}
	out := simulated{kinds: map[string]tally{}, pools: pools, refused: map[string]bool{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, k := range s.kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		all.Go(func() {
			start := time.Now()
			for n := 0; time.Since(start) < s.duration(); n++ {
				rate := k.perSecond
				if at := time.Since(start); k.burst > 0 && at >= burstFrom && at < burstTo {
					rate *= k.burst
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				at := executors[random.IntN(len(executors))]
				if i := slices.Index(executors, at); i < s.unconfigured || !nodes[i].Running() {
					continue // its callers use other processes
				}
				pieces, id := k.pieces(random), fmt.Sprintf("%s-%d", k.name, n)
				key, later, delay := "k", at, time.Duration(0)
				if s.pieceKey != nil {
					key = s.pieceKey(id)
				}
				if s.comeBack {
					later, delay = executors[random.IntN(len(executors))], time.Duration(random.IntN(30))*time.Millisecond
				}
				all.Go(func() {
					deadline := time.Now().Add(cmp.Or(s.patience, k.route.Timeout))
					got, retryAfter := attemptBefore(runCtx, at, k, id, key, pieces, deadline)
					returned := s.comeBack && got == refused && retryAfter > 0
					if returned {
						time.Sleep(min(retryAfter, time.Until(deadline)/3) + delay)
						got, _ = attemptBefore(runCtx, later, k, id+"-again", key, pieces, deadline)
					}
					mu.Lock()
					defer mu.Unlock()
					sum := out.kinds[k.name]
					sum.asked++
					if returned {
						sum.returned++
					}
					if returned && got == inTime {
						sum.returnedInTime++
					}
					switch got {
					case inTime:
						sum.inTime++
					case late:
						sum.late++
					default:
						sum.refused++
						out.refused[id] = true
					}
					out.kinds[k.name] = sum
				})
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	out.held = pools.HeldBytes()
	for _, e := range executors {
		_, counts := e.Stages.Gatherer().Places(time.Now())
		out.places.Add(counts)
	}
	return out
}

type outcome int

const (
	refused outcome = iota
	late
	inTime
)

// ask runs the stages of one request and waits for the engine.
func ask(runCtx context.Context, e *Executor, k requestKind, id string, pieces []int) outcome {
	got, _ := attemptBefore(runCtx, e, k, id, "k", pieces, time.Now().Add(k.route.Timeout))
	return got
}

// attemptBefore is ask with a piece key and a deadline. It also returns when a caller that is
// refused should come back.
func attemptBefore(runCtx context.Context, e *Executor, k requestKind, id, pieceKey string, pieces []int, deadline time.Time) (outcome, time.Duration) {
	start := time.Now()
	route := k.route
	j := &job{
		Executor: e, route: &route, service: "engines", deadline: deadline, tried: map[string]bool{},
		req: &Request{
			ID: id, Pieces: pieces, PieceKey: pieceKey, Arrived: start, Prompt: place.Prompt{Input: k.prompt},
		},
	}
	j.ctx, j.cancel = context.WithDeadlineCause(runCtx, j.deadline, ErrTimeout)
	defer j.cleanUp()
	if reply := j.prepare(); reply != nil {
		return refused, reply.RetryAfter
	}
	engine := cmp.Or(k.engine, engineTime)
	time.Sleep(engine)
	e.firstEventModel.record(j.service, j.req.Prompt, engine)
	if time.Since(start) <= route.Objective {
		return inTime, 0
	}
	return late, 0
}

func (s site) duration() time.Duration {
	if s.length > 0 {
		return s.length
	}
	return loadTime
}

// start creates the processes.
func (s site) start(runCtx context.Context, p policy, pools *servetest.FakeTargets) (executors []*Executor, nodes []*servetest.Node) {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	for i := range s.vms {
		node := cluster.Add(fmt.Sprintf("vm-%d", i), zoneName(i%len(s.perZone)))
		executors = append(executors, s.process(runCtx, p, node, pools, i < s.unconfigured))
		nodes = append(nodes, node)
	}
	return executors, nodes
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (s site) process(runCtx context.Context, p policy, node *servetest.Node, pools *servetest.FakeTargets, unconfigured bool) *Executor {
	table := pool.New(zap.NewNop())
	table.Reset(s.entries(), 1, time.Now())
	plans := &plan.Holder{}
	services := []plan.Service{{Name: "engines"}}
	if !unconfigured {
		services = append(services, s.services...)
	}
	plans.Apply(&plan.Plan{Version: 1, Services: services})
	return &Executor{
		Log: zap.NewNop(), Plans: plans, Table: table, Zone: node.Self().Zone,
		Budget: quota.New(quota.Rule{}, time.Now()), LeaveOut: p.leaveOut,
		Stages: gather.New(gather.Options{
			Log: zap.NewNop(), Network: node, Table: table, LeaveOut: p.leaveOut,
			Gatherer: gather.NewGatherer(runCtx, zap.NewNop(), table, plans, pools),
		}),
	}
}

func (s site) entries() []pool.Entry {
	var list []pool.Entry
	for _, service := range s.services {
		n := 0
		perZone := s.perZone
		if own := s.perService[service.Name]; own != nil {
			perZone = own
		}
		for zone, count := range perZone {
			for range count {
				n++
				if n <= s.missing[service.Name] {
					continue
				}
				list = append(list, pool.Entry{
					ID: fmt.Sprintf("%s-%d", service.Name, n), Service: service.Name, Zone: zoneName(zone),
					Address: fmt.Sprintf("10.0.0.%d:%s", n, service.Name), Slots: 1, State: pool.Ready, Revision: 1,
				})
			}
		}
	}
	return list
}

func report(t *testing.T, name string, p simulated) {
	t.Helper()
	for _, k := range []string{"notice", "explain", "label"} {
		sum := p.kinds[k]
		t.Logf("%s: %s asked %d, in time %.3f, late %d, refused %d", name, k, sum.asked, sum.share(), sum.late, sum.refused)
	}
	for service, calls := range p.pools.Calls {
		t.Logf("%s: %s %d calls of %.1f items", name, service, calls, float64(p.pools.Items[service])/float64(calls))
	}
}

// Each of eight processes gets a few requests a second. If each sends its own items to the
// stage targets, every call carries the items of one request only and the pools are
// overloaded under an ordinary load: callers wait for seconds or are refused.
func TestGatheringAcrossProcessesServesOrdinaryLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gathered := simulate(1, reservoir(), policy{})
		report(t, "with sharing", gathered)
		for name, sum := range gathered.kinds {
			assert.Assert(t, sum.share() > 0.97, "%s: %+v", name, sum)
		}
		assert.Equal(t, gathered.held, 0, "results were not freed")
	})
	synctest.Test(t, func(t *testing.T) {
		alone := simulate(1, reservoir(), disabling(leaveout.Sharing))
		report(t, "without sharing", alone)
		assert.Assert(t, alone.kinds["explain"].share() < 0.85, "as many are in time without sharing: %+v", alone.kinds)
	})
}

// A burst of three times the requests of one kind meets a pool with one of five targets
// missing. If all requests are accepted, they delay one another: for ten seconds three of
// four answers are late, including those of the other kinds. A caller that is refused at
// once can retry or ask elsewhere.
func TestBurstOnReducedPoolServesWhatFitsInTime(t *testing.T) {
	load := reservoir()
	load.kinds[1].burst = 3
	load.missing = map[string]int{"notify": 1}
	with, without := map[string]tally{}, map[string]tally{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			p := simulate(seed, load, policy{})
			report(t, "with reservations", p)
			addTallies(with, p)
			assert.Equal(t, p.held, 0, "results were not freed")
		})
		synctest.Test(t, func(t *testing.T) {
			p := simulate(seed, load, disabling(leaveout.Reservations))
			report(t, "without reservations", p)
			addTallies(without, p)
		})
	}
	assert.Assert(t, with["notice"].share() > 0.9, "%+v", with)
	assert.Assert(t, with["label"].share() > 0.95, "%+v", with)
	assert.Assert(t, with["explain"].share() > without["explain"].share()+0.06, "%+v %+v", with, without)
	assert.Assert(t, with["explain"].late < without["explain"].late/2, "%+v %+v", with, without)
}

// simulateAll runs a load and checks that more than the given share of each kind's requests
// is answered in time.
func simulateAll(t *testing.T, name string, seed uint64, load site, share float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := simulate(seed, load, policy{})
		report(t, name, p)
		for kind, k := range p.kinds {
			assert.Assert(t, k.share() > share, "%s: %+v", kind, k)
		}
	})
}

func addTallies(sums map[string]tally, p simulated) {
	for name, k := range p.kinds {
		sum := sums[name]
		sums[name] = tally{
			sum.asked + k.asked, sum.inTime + k.inTime, sum.late + k.late, sum.refused + k.refused,
			sum.returned + k.returned, sum.returnedInTime + k.returnedInTime,
		}
	}
}

// The VM of a process that gathers for a pool is paused for three seconds while its peers
// still consider it alive. Items that were sent to it would wait with it, and so would all
// requests.
func TestPausedGathererFailsOver(t *testing.T) {
	load := reservoir()
	load.withNodes = func(nodes []*servetest.Node) {
		time.Sleep(8 * time.Second)
		for _, n := range nodes[:2] {
			n.Freeze()
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes[:2] {
			n.Thaw()
		}
	}
	simulateAll(t, "two of eight paused", 4, load, 0.85)
}

// Processes that gather items are killed one after the other. The owners of the items
// submit them to the next gatherer.
func TestItemsOfDeadGathererAreResubmitted(t *testing.T) {
	load := reservoir()
	load.withNodes = func(nodes []*servetest.Node) {
		for _, n := range nodes[:3] {
			time.Sleep(4 * time.Second)
			n.Kill()
		}
	}
	simulateAll(t, "three of eight killed", 5, load, 0.85)
}

// A new configuration has reached some processes but not yet others. The gatherers of a new
// service that don't know it would refuse its requests until the last process has received
// the configuration.
func TestGathererWithoutTheServiceFailsOver(t *testing.T) {
	load := reservoir()
	load.unconfigured, load.length = 3, 6*time.Second
	simulateAll(t, "three of eight without the services", 9, load, 0.9)
}

// One stage target of five is four times slower. The items in its calls wait for a second
// and a half.
func TestSlowStageTargetAffectsFewRequests(t *testing.T) {
	load := reservoir()
	load.slowFactors = map[string]float64{"notify-1": 4}
	synctest.Test(t, func(t *testing.T) {
		p := simulate(6, load, policy{})
		report(t, "one slow target", p)
		assert.Assert(t, p.kinds["notice"].share() > 0.9, "%+v", p.kinds)
		assert.Assert(t, p.kinds["explain"].share() > 0.85, "%+v", p.kinds)
	})
}

// All targets of a stage take two and a half times as long as configured: the pool is
// overloaded, or the configuration is wrong. There is no faster target to wait for;
// avoiding all of them would refuse every request.
func TestPoolOfSlowTargetsIsUsed(t *testing.T) {
	load := reservoir()
	load.length = 8 * time.Second
	load.slowFactors = map[string]float64{}
	for i := range 5 {
		load.slowFactors[fmt.Sprintf("ops-%d", i+1)] = 2.5
	}
	for i := range load.kinds {
		load.kinds[i].perSecond /= 3
	}
	synctest.Test(t, func(t *testing.T) {
		p := simulate(10, load, policy{})
		report(t, "all targets slow", p)
		for name, k := range p.kinds {
			assert.Assert(t, k.refused*10 < k.asked, "%s: %+v", name, k)
		}
		assert.Assert(t, p.kinds["notice"].share() > 0.9, "%+v", p.kinds)
	})
}

// One item in a hundred fails at its target. Its request doesn't fail: the item is run
// again at another target.
func TestFailedItemsAreRetriedElsewhere(t *testing.T) {
	load := reservoir()
	n := 0
	load.fail = func(gather.Item) bool {
		n++
		return n%100 == 0
	}
	synctest.Test(t, func(t *testing.T) {
		p := simulate(7, load, policy{})
		report(t, "one in a hundred fails", p)
		for name, k := range p.kinds {
			assert.Assert(t, k.share() > 0.84, "%s: %+v", name, k)
			assert.Assert(t, k.refused*25 < k.asked, "%s: %+v", name, k)
		}
	})
}

// A deployment ten times as large: sixty processes, and pools that are divided into shards
// by zone, so that no process gathers for a whole large pool.
func TestLargeDeploymentIsServedInTime(t *testing.T) {
	load := reservoir()
	load.length = 5 * time.Second
	load.vms, load.perZone = 60, []int{18, 18, 14}
	for i := range load.kinds {
		load.kinds[i].perSecond *= 10
	}
	simulateAll(t, "ten times as large", 8, load, 0.95)
}

// All processes start at the same moment, after a loss of power. For some hundred
// milliseconds none knows any other. If each gathered for itself in that time, every target
// would be called by all of them, and most calls would find it full.
func TestNewProcessWaitsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runCtx, stop := context.WithCancel(context.Background())
		defer stop()
		load := reservoir()
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{}}
		for _, service := range load.services {
			pools.Services[service.Name] = service.Batch
		}
		cluster := &servetest.Cluster{Delay: time.Millisecond}
		e := load.process(runCtx, policy{}, cluster.Add("first", "a"), pools, false)
		got := make(chan outcome, 1)
		go func() { got <- ask(runCtx, e, load.kinds[1], "r", []int{1, 8, 6}) }()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, pools.CallCount("intake"), 0)
		load.process(runCtx, policy{}, cluster.Add("second", "a"), pools, false)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, pools.CallCount("intake"), 1)
		assert.Equal(t, <-got, inTime)
		time.Sleep(time.Second)

		alone := load.process(runCtx, policy{}, (&servetest.Cluster{}).Add("alone", "a"), pools, false)
		assert.Equal(t, ask(runCtx, alone, load.kinds[1], "s", []int{1, 8, 6}), inTime)
	})
}

// The gatherers' VMs are small and pause for 100 ms between preparing a call and writing
// it. If inputs are freed in that time, they are gone when the call arrives, and each such
// request runs its stages again.
func TestInputsAreKeptForSlowGatherer(t *testing.T) {
	load := reservoir()
	load.writeDelay = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := simulate(12, load, policy{})
		report(t, "calls written late", p)
		// Items of requests that were refused may still be processed and miss their inputs.
		// Nobody waits for them.
		for request, items := range p.pools.MissingInputs {
			assert.Check(t, p.refused[request], "%s: the inputs of %d items were gone", request, items)
		}
	})
}

// Engines take half a second to the first event of the kind with the longest prompts. If
// its stages were scheduled for a fifth of a second, all its answers would be late in a
// burst, when everything finishes just in time.
func TestStageDeadlinesAllowForEngineTime(t *testing.T) {
	load := reservoir()
	load.kinds = slices.Clone(load.kinds)
	load.kinds[0].engine = 500 * time.Millisecond
	load.kinds[0].prompt = 20_000
	load.kinds[0].burst = 3
	synctest.Test(t, func(t *testing.T) {
		p := simulate(14, load, policy{})
		report(t, "slow engines", p)
		// Measured shares: 0.78 to 0.79 with one estimate for all engines and nearly all of
		// a shard's rate reserved, 0.90 to 0.93 with estimates by route and four fifths
		// reserved, 0.95 to 0.96 with estimates by length of the prompt.
		assert.Assert(t, p.kinds["notice"].share() > 0.92)
	})
}
