package run

import (
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

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// limitedLoadShape describes a simulated service, some of whose targets state a request rate in all answers.
type limitedLoadShape struct {
	processes, targets, limited int
	// rate is what the limited targets state, requests what callers ask for, both a second.
	rate, requests float64
	isEngine       bool
	// faults runs concurrently with the load, with the processes' nodes.
	faults func(nodes []*servetest.Node)
}

// limitedService is a simulated service and its load.
type limitedService struct {
	limitedLoadShape
	executors []*Executor
	nodes     []*servetest.Node
	mu        sync.Mutex // guards what follows
	arrivals  map[string][]time.Time
	refused   int
	asked     int
	ended     bool // the targets state no rate any more
}

const (
	// limitWindow and limitSlack define the users' bound: in limitWindow, a target gets at most one and
	// a half times its rate, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitReaction is how long processes have to react to the first statement.
	limitReaction = 3 * time.Second
	// limitSeeds is the number of loads of each shape.
	limitSeeds = uint64(1)
	// limitedLoad is the duration of the simulated load.
	limitedLoad = 24 * time.Second
)

func (s *limitedService) start() {
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	now := time.Now()
	s.arrivals = map[string][]time.Time{}
	var entries []pool.Entry
	for i := range s.targets {
		entries = append(entries, pool.Entry{
			ID: fmt.Sprint("t-", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Slots: 64, State: pool.Ready, Revision: 1,
		})
	}
	service := plan.Service{Name: "s"}
	if s.isEngine {
		service.Engine = &plan.Engine{Slots: 64}
	}
	for i := range s.processes {
		table := pool.New(zap.NewNop())
		table.OnRateChange(s.notify)
		table.Reset(entries, 1, now)
		plans := &plan.Holder{}
		plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{service}})
		node := cluster.Add(fmt.Sprintf("vm-%d", i), "a")
		s.nodes = append(s.nodes, node)
		s.executors = append(s.executors, &Executor{
			Log: zap.NewNop(), Plans: plans, Table: table, Budget: quota.New(quota.Rule{}, now),
			Engines:     engines.New(zap.NewNop(), node),
			RateLimiter: ratelimit.New(node, func() int { return s.processes }, now.Add(-time.Minute)),
		})
	}
}

// notify tells all processes of the rate that a target has stated to one of them.
func (s *limitedService) notify(target *pool.Target) {
	rate := target.RateLimit()
	time.AfterFunc(noticeDelay, func() {
		for _, e := range s.executors {
			e.Table.LearnRateLimit(target.ID, rate, time.Now())
		}
	})
}

// noticeDelay is how long a notice takes to all processes.
const noticeDelay = 100 * time.Millisecond

// run plays the load and returns when the first statement was made.
func (s *limitedService) run(seed uint64) time.Time {
	s.start()
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var running sync.WaitGroup
	if s.faults != nil {
		running.Go(func() { s.faults(s.nodes) })
	}
	for n := 0; time.Since(start) < limitedLoad; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / s.requests * float64(time.Second)))
		i := random.IntN(len(s.executors))
		if s.nodes[i].Running() {
			running.Go(func() { s.request(s.executors[i], n) })
		}
	}
	running.Wait()
	return start
}

func (s *limitedService) request(e *Executor, n int) {
	j := &job{
		Executor: e, ctx: context.Background(), service: "s", route: &plan.Route{Priority: n % 3}, tried: map[string]bool{},
		req: &Request{Arrived: time.Now(), Prompt: place.Prompt{Input: 600, Parts: []place.Part{{ID: fmt.Sprint("p", n%5), Tokens: 500}, {ID: fmt.Sprint(n), Tokens: 100}}}},
	}
	target := j.choose()
	s.mu.Lock()
	s.asked++
	if target == nil {
		s.refused++
		s.mu.Unlock()
		return
	}
	sentAt := time.Now()
	s.arrivals[target.ID] = append(s.arrivals[target.ID], sentAt)
	var stated float64
	if !s.ended && slices.Index(s.ids(), target.ID) < s.limited {
		stated = s.rate
	}
	s.mu.Unlock()
	call := e.Table.Begin(target, j.req.Prompt.Input, sentAt)
	time.Sleep(50 * time.Millisecond)
	target.SetRateLimit(&stated, sentAt, time.Now())
	call.ResponseStarted()
	time.Sleep(200 * time.Millisecond)
	call.End(pool.Answered, time.Now())
}

func (s *limitedService) ids() []string {
	var ids []string
	for i := range s.targets {
		ids = append(ids, fmt.Sprint("t-", i))
	}
	return ids
}

// mostInWindow returns the most requests that a limited target got in a limitWindow after a moment, and the
// mean rate of all limited targets after it.
func (s *limitedService) mostInWindow(from time.Time) (most int, mean float64) {
	total := 0
	for _, id := range s.ids()[:s.limited] {
		times := slices.DeleteFunc(s.arrivals[id], func(at time.Time) bool { return at.Before(from) })
		total += len(times)
		most = max(most, servetest.MostWithin(times, limitWindow))
	}
	return most, float64(total) / float64(s.limited) / (limitedLoad - limitReaction).Seconds()
}

// killAndFreeze kills or freezes processes in series, among them trackers.
func killAndFreeze(nodes []*servetest.Node) {
	start := time.Now()
	for i := 0; i < len(nodes)/2 && time.Since(start) < limitedLoad; i++ {
		time.Sleep(3 * time.Second)
		if i%2 == 0 {
			nodes[i].Kill()
			continue
		}
		nodes[i].Freeze()
		time.Sleep(2 * time.Second)
		nodes[i].Thaw()
	}
}

// Guards against targets in need that get more requests than they take, from many processes together.
func TestStatedRateHoldsAcrossProcesses(t *testing.T) {
	for _, c := range []limitedLoadShape{
		{processes: 8, targets: 12, limited: 2, rate: 1, requests: 40, isEngine: true},
		{processes: 8, targets: 12, limited: 12, rate: 1, requests: 40, isEngine: true},
		{processes: 8, targets: 3, limited: 3, rate: 0.5, requests: 20},
		{processes: 8, targets: 3, limited: 1, rate: 20, requests: 200},
		{processes: 1, targets: 2, limited: 2, rate: 0.1, requests: 20},
		{processes: 86, targets: 30, limited: 30, rate: 1, requests: 150, isEngine: true},
		{processes: 86, targets: 4, limited: 2, rate: 0.25, requests: 80},
		{processes: 8, targets: 12, limited: 12, rate: 1, requests: 40, isEngine: true, faults: killAndFreeze},
		{processes: 8, targets: 3, limited: 3, rate: 5, requests: 100, faults: killAndFreeze},
		{processes: 20, targets: 6, limited: 6, rate: 0.5, requests: 80, isEngine: true, faults: killAndFreeze},
	} {
		for seed := range limitSeeds {
			s := &limitedService{limitedLoadShape: c}
			synctest.Test(t, func(t *testing.T) {
				start := s.run(seed)
				most, mean := s.mostInWindow(start.Add(limitReaction))
				name := fmt.Sprintf("%d processes, %d of %d targets, %.2f a second, faults %v, seed %d", s.processes, s.limited, s.targets, s.rate, s.faults != nil, seed)
				t.Logf("%s: %d at most, %.2f a second, %d of %d refused", name, most, mean, s.refused, s.asked)
				assert.Check(t, float64(most) <= 1.5*s.rate*limitWindow.Seconds()+limitSlack, "%s: %d in a window", name, most)
				if s.limited < s.targets {
					assert.Check(t, s.refused == 0, "%s: %d refused although there are sound targets", name, s.refused)
					return
				}
				if s.faults == nil && s.rate*limitedLoad.Seconds() > 10 {
					assert.Check(t, mean > 0.6*s.rate, "%s: %.2f a second used", name, mean)
				}
			})
		}
	}
}
