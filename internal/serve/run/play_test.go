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

// These tests play the load of a whole deployment's stage pools in virtual
// time: processes, gatherers and reservations are the product's, the pools a model
// with the figures of today's sites.

// kind is one kind of request of a played load.
type kind struct {
	name      string
	perSecond float64
	route     plan.Route
	// pieces draws how many pieces each stage has.
	pieces func(*rand.Rand) []int
	// burst multiplies perSecond from burstFrom to burstTo.
	burst float64
	// engine is how long an engine takes to the first event; 0 is engineTime.
	engine time.Duration
	// prompt is the length of its prompts in tokens.
	prompt int
}

const (
	playTime  = 24 * time.Second
	burstFrom = 8 * time.Second
	burstTo   = 14 * time.Second
	// engineTime is how long results are held after the stages, unless a kind
	// has another time: reading the prompt.
	engineTime = 150 * time.Millisecond
)

// site is what a load is played on.
type site struct {
	services []plan.Service
	kinds    []kind
	vms      int
	// perZone is how many targets each service has in each zone; perService
	// overrides it by service.
	perZone    []int
	perService map[string][]int
	// away are targets that are gone, by service.
	away map[string]int
	slow map[string]float64
	fail func(gather.Item) bool
	// stall is how long a call takes to be written.
	stall time.Duration
	// behind are how many processes know none of the services yet.
	behind int
	// length of the load; 0 is playTime.
	length time.Duration
	// meanwhile is called beside the load with the processes' networks.
	meanwhile func([]*servetest.Node)
	// orders is called beside the load with the processes and the pools.
	orders func([]*Executor, *servetest.FakeTargets)
}

// policy is how the stages are run: what is left out of it.
type policy struct{ leaveOut leaveout.Set }

// leaving is the policy without some mechanisms.
func leaving(names ...leaveout.Mechanism) policy { return policy{leaveOut: leaveout.Of(names...)} }

// tally counts what callers of one kind got.
type tally struct{ asked, inTime, late, refused int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

// played is the outcome of a played load.
type played struct {
	kinds map[string]tally
	pools *servetest.FakeTargets
	held  int
	// refused are the requests that were given up.
	refused map[string]bool
}

func batchService(name string, size int, item float64, bufferMB float64) plan.Service {
	return plan.Service{Name: name, Batch: &plan.Batch{
		Size: size, CallTime: 240 * time.Millisecond, ItemTime: time.Duration(item * float64(time.Millisecond)),
		BufferBytes: int(bufferMB * 1e6), Keep: 4 * time.Second, Queue: 2,
	}}
}

// reservoir is the load of a site whose second stage binds.
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
		kinds: []kind{
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

// play plays a load. Run it in a synctest bubble.
func play(seed uint64, s site, p policy) played {
	life, stop := context.WithCancel(context.Background())
	defer stop()
	pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{}, Slow: s.slow, Fail: s.fail, Stall: s.stall}
	for _, service := range s.services {
		pools.Services[service.Name] = service.Batch
	}
	executors, nodes := s.start(life, p, pools)
	time.Sleep(3 * time.Second)
	if s.meanwhile != nil {
		go s.meanwhile(nodes)
	}
	if s.orders != nil {
		go s.orders(executors, pools)
	}
	out := played{kinds: map[string]tally{}, pools: pools, refused: map[string]bool{}}
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
				if i := slices.Index(executors, at); i < s.behind || !nodes[i].Running() {
					continue // its callers go elsewhere
				}
				pieces, id := k.pieces(random), fmt.Sprintf("%s-%d", k.name, n)
				all.Go(func() {
					got := ask(life, at, k, id, pieces)
					mu.Lock()
					defer mu.Unlock()
					sum := out.kinds[k.name]
					sum.asked++
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
	return out
}

type outcome int

const (
	refused outcome = iota
	late
	inTime
)

// ask sends one request through its stages.
func ask(life context.Context, e *Executor, k kind, id string, pieces []int) outcome {
	start := time.Now()
	route := k.route
	j := &job{
		Executor: e, route: &route, service: "engines", deadline: start.Add(route.Timeout), tried: map[string]bool{},
		req: &Request{
			ID: id, Pieces: pieces, PieceKey: "k", Arrived: start, Prompt: place.Prompt{Input: k.prompt},
		},
	}
	j.ctx, j.cancel = context.WithDeadlineCause(life, j.deadline, ErrTimeout)
	defer j.end()
	if j.prepare() != nil {
		return refused
	}
	engine := cmp.Or(k.engine, engineTime)
	time.Sleep(engine)
	e.firstEvents.note(j.service, j.req.Prompt, engine)
	if time.Since(start) <= route.Objective {
		return inTime
	}
	return late
}

func (s site) duration() time.Duration {
	if s.length > 0 {
		return s.length
	}
	return playTime
}

// start makes the processes.
func (s site) start(life context.Context, p policy, pools *servetest.FakeTargets) (executors []*Executor, nodes []*servetest.Node) {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	for i := range s.vms {
		node := cluster.Add(fmt.Sprintf("vm-%d", i), zoneName(i%len(s.perZone)))
		executors = append(executors, s.process(life, p, node, pools, i < s.behind))
		nodes = append(nodes, node)
	}
	return executors, nodes
}

func zoneName(i int) string { return string(rune('a' + i)) }

func (s site) process(life context.Context, p policy, node *servetest.Node, pools *servetest.FakeTargets, behind bool) *Executor {
	table := pool.New(zap.NewNop())
	table.Reset(s.entries(), 1, time.Now())
	plans := &plan.Holder{}
	services := []plan.Service{{Name: "engines"}}
	if !behind {
		services = append(services, s.services...)
	}
	plans.Apply(&plan.Plan{Version: 1, Services: services})
	return &Executor{
		Log: zap.NewNop(), Plans: plans, Table: table, Zone: node.Self().Zone,
		Budget: quota.New(quota.Rule{}, time.Now()), LeaveOut: p.leaveOut,
		Stages: gather.New(gather.Options{
			Log: zap.NewNop(), Network: node, Table: table, LeaveOut: p.leaveOut,
			Gatherer: gather.NewGatherer(life, zap.NewNop(), table, plans, pools),
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
				if n <= s.away[service.Name] {
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

func report(t *testing.T, name string, p played) {
	t.Helper()
	for _, k := range []string{"notice", "explain", "label"} {
		sum := p.kinds[k]
		t.Logf("%s: %s asked %d, in time %.3f, late %d, refused %d", name, k, sum.asked, sum.share(), sum.late, sum.refused)
	}
	for service, calls := range p.pools.Calls {
		t.Logf("%s: %s %d calls of %.1f items", name, service, calls, float64(p.pools.Items[service])/float64(calls))
	}
}

// Eight processes see a few requests a second each. If each sends its own items
// to the stage targets, the calls carry one request's items and the pools are
// overloaded on an ordinary day: callers wait for seconds or are refused.
func TestGatheringOverAllProcessesServesAnOrdinaryLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gathered := play(1, reservoir(), policy{})
		report(t, "gathered", gathered)
		for name, sum := range gathered.kinds {
			assert.Assert(t, sum.share() > 0.97, "%s: %+v", name, sum)
		}
		assert.Equal(t, gathered.held, 0, "results were left behind")
	})
	synctest.Test(t, func(t *testing.T) {
		alone := play(1, reservoir(), leaving(leaveout.Sharing))
		report(t, "alone", alone)
		assert.Assert(t, alone.kinds["explain"].share() < 0.85, "alone serves as well: %+v", alone.kinds)
	})
}

// A burst of three times the requests of one kind meets a pool with one target of
// five away. If all of them are taken, all wait for one another: for ten seconds
// three of four answers come late, those of the other kinds too. A caller that
// is refused at once can come back or ask elsewhere.
func TestBurstOnAWeakenedPoolLeavesWhatItCanServeInTime(t *testing.T) {
	load := reservoir()
	load.kinds[1].burst = 3
	load.away = map[string]int{"notify": 1}
	present, without := map[string]tally{}, map[string]tally{}
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			p := play(seed, load, policy{})
			report(t, "present", p)
			add(present, p)
			assert.Equal(t, p.held, 0, "results were left behind")
		})
		synctest.Test(t, func(t *testing.T) {
			p := play(seed, load, leaving(leaveout.Reservations))
			report(t, "asks nobody", p)
			add(without, p)
		})
	}
	assert.Assert(t, present["notice"].share() > 0.9, "%+v", present)
	assert.Assert(t, present["label"].share() > 0.95, "%+v", present)
	assert.Assert(t, present["explain"].share() > without["explain"].share()+0.06, "%+v %+v", present, without)
	assert.Assert(t, present["explain"].late < without["explain"].late/2, "%+v %+v", present, without)
}

// playAll plays a load in which of each kind more than a share is to be in time.
func playAll(t *testing.T, name string, seed uint64, load site, share float64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := play(seed, load, policy{})
		report(t, name, p)
		for kind, k := range p.kinds {
			assert.Assert(t, k.share() > share, "%s: %+v", kind, k)
		}
	})
}

func add(sums map[string]tally, p played) {
	for name, k := range p.kinds {
		sum := sums[name]
		sums[name] = tally{sum.asked + k.asked, sum.inTime + k.inTime, sum.late + k.late, sum.refused + k.refused}
	}
}

// The process that gathers for a pool stands still for three seconds while its
// peers still take it for alive: its VM was paused. Items that were handed to it
// would wait with it, and every request with them.
func TestAFrozenGathererIsFailedOver(t *testing.T) {
	load := reservoir()
	load.meanwhile = func(nodes []*servetest.Node) {
		time.Sleep(8 * time.Second)
		for _, n := range nodes[:2] {
			n.Freeze()
		}
		time.Sleep(3 * time.Second)
		for _, n := range nodes[:2] {
			n.Thaw()
		}
	}
	playAll(t, "two of eight frozen", 4, load, 0.85)
}

// Processes die with what they gathered, one after the other. The owners of the
// items hand them to the next.
func TestItemsOfADeadGathererAreHandedOn(t *testing.T) {
	load := reservoir()
	load.meanwhile = func(nodes []*servetest.Node) {
		for _, n := range nodes[:3] {
			time.Sleep(4 * time.Second)
			n.Kill()
		}
	}
	playAll(t, "three of eight killed", 5, load, 0.85)
}

// A new configuration has reached some processes and not yet others. The ones
// that gather for a new service know nothing of it; its requests would be
// refused until the last process has heard.
func TestAGathererThatDoesNotKnowTheServiceIsFailedOver(t *testing.T) {
	load := reservoir()
	load.behind, load.length = 3, 6*time.Second
	playAll(t, "three of eight behind", 9, load, 0.9)
}

// One stage target of five works four times as slowly. Whoever is in its call
// waits a second and a half.
func TestASlowStageTargetHurtsFew(t *testing.T) {
	load := reservoir()
	load.slow = map[string]float64{"notify-1": 4}
	synctest.Test(t, func(t *testing.T) {
		p := play(6, load, policy{})
		report(t, "one slow", p)
		assert.Assert(t, p.kinds["notice"].share() > 0.9, "%+v", p.kinds)
		assert.Assert(t, p.kinds["explain"].share() > 0.85, "%+v", p.kinds)
	})
}

// All targets of a stage take twice and a half as long as their settings say:
// the pool is under strain, or the settings are wrong. There is no sounder
// target to wait for; passing all of them over would refuse every request.
func TestAPoolThatIsSlowAltogetherIsUsed(t *testing.T) {
	load := reservoir()
	load.length = 8 * time.Second
	load.slow = map[string]float64{}
	for i := range 5 {
		load.slow[fmt.Sprintf("ops-%d", i+1)] = 2.5
	}
	for i := range load.kinds {
		load.kinds[i].perSecond /= 3
	}
	synctest.Test(t, func(t *testing.T) {
		p := play(10, load, policy{})
		report(t, "all slow", p)
		for name, k := range p.kinds {
			assert.Assert(t, k.refused*10 < k.asked, "%s: %+v", name, k)
		}
		assert.Assert(t, p.kinds["notice"].share() > 0.9, "%+v", p.kinds)
	})
}

// One item in a hundred fails at its target. Its request isn't lost with it: the
// item is made again elsewhere.
func TestItemsThatFailAreMadeElsewhere(t *testing.T) {
	load := reservoir()
	n := 0
	load.fail = func(gather.Item) bool {
		n++
		return n%100 == 0
	}
	synctest.Test(t, func(t *testing.T) {
		p := play(7, load, policy{})
		report(t, "one in a hundred fails", p)
		for name, k := range p.kinds {
			assert.Assert(t, k.share() > 0.84, "%s: %+v", name, k)
			assert.Assert(t, k.refused*25 < k.asked, "%s: %+v", name, k)
		}
	})
}

// A site ten times as large: sixty processes, and pools that are divided into
// shards by zone, so that nobody gathers for all of a large pool.
func TestALargeSiteIsServedAlike(t *testing.T) {
	load := reservoir()
	load.length = 5 * time.Second
	load.vms, load.perZone = 60, []int{18, 18, 14}
	for i := range load.kinds {
		load.kinds[i].perSecond *= 10
	}
	playAll(t, "ten times", 8, load, 0.95)
}

// All processes start at the same moment, after a loss of power. For some
// hundred ms each knows no other; if each gathered for itself then, every target
// would be called by all of them, and most calls would find it full.
func TestAProcessThatHasJustStartedWaitsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		life, stop := context.WithCancel(context.Background())
		defer stop()
		load := reservoir()
		pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{}}
		for _, service := range load.services {
			pools.Services[service.Name] = service.Batch
		}
		cluster := &servetest.Cluster{Delay: time.Millisecond}
		e := load.process(life, policy{}, cluster.Add("first", "a"), pools, false)
		got := make(chan outcome, 1)
		go func() { got <- ask(life, e, load.kinds[1], "r", []int{1, 8, 6}) }()
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, pools.CallCount("intake"), 0)
		load.process(life, policy{}, cluster.Add("second", "a"), pools, false)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, pools.CallCount("intake"), 1)
		assert.Equal(t, <-got, inTime)
		time.Sleep(time.Second)

		alone := load.process(life, policy{}, (&servetest.Cluster{}).Add("alone", "a"), pools, false)
		assert.Equal(t, ask(life, alone, load.kinds[1], "s", []int{1, 8, 6}), inTime)
	})
}

// The gatherers' VMs are small and stand still for a tenth of a second between
// deciding on a call and writing it. Inputs that were given back meanwhile are
// gone when the call arrives, and each such request starts its stages over.
func TestInputsOutliveASlowGatherer(t *testing.T) {
	load := reservoir()
	load.stall = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p := play(12, load, policy{})
		report(t, "calls written late", p)
		// What was still on its way for a request that was given up may miss its
		// inputs: nobody waits for it.
		for request, items := range p.pools.Gone {
			assert.Check(t, p.refused[request], "%s: the inputs of %d items were gone", request, items)
		}
	})
}

// Engines take half a second to the first event of the kind with the longest
// prompts. If its stages are done as if it were a fifth, then in a burst, when
// everything is done just in time, its answers come late one and all.
func TestStagesLeaveEnginesTheirTime(t *testing.T) {
	load := reservoir()
	load.kinds = slices.Clone(load.kinds)
	load.kinds[0].engine = 500 * time.Millisecond
	load.kinds[0].prompt = 20_000
	load.kinds[0].burst = 3
	synctest.Test(t, func(t *testing.T) {
		p := play(14, load, policy{})
		report(t, "slow engines", p)
		// 0.78 to 0.79 with one figure for all engines and nearly all of a shard's
		// rate reserved, 0.90 to 0.93 with engines' times learnt by route and four
		// fifths reserved, 0.95 to 0.96 with times learnt by length.
		assert.Assert(t, p.kinds["notice"].share() > 0.92)
	})
}
