package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

const (
	returnBurst = 4 * time.Second
	returnCalm  = 2 * time.Second
	// callerTime is how long callers wait for an answer, over both attempts.
	callerTime = 5 * time.Second
)

// returnTally counts the callers of one rank.
type returnTally struct {
	asked, served     int // first attempts, and those answered in time
	returned, again   int // second attempts, and those refused again
	returnedServed    int // second attempts answered in time
	notReturned, late int // callers told not to come back, and late answers
}

func (t returnTally) total() float64 {
	return float64(t.served+t.returnedServed) / float64(max(t.asked, 1))
}

func (t returnTally) returning() float64 {
	return float64(t.returnedServed) / float64(max(t.returned, 1))
}

func (t returnTally) first() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// returningSite is a deployment whose two-stage chain can reserve 14 requests a second for each
// four targets of a service.
func returningSite(vms, targets int) site {
	chain := []plan.Stage{{Service: "cut", ResultBytes: 8000}, {Service: "embed", After: []int{0}, ResultBytes: 8000}}
	s := site{
		vms: vms, perZone: []int{(targets + 2) / 3, (targets + 1) / 3, targets / 3},
		services: []plan.Service{batchService("cut", 12, 10, 14), batchService("embed", 8, 20, 14)},
	}
	for rank, objective := range []int{1500, 2500, 3000} {
		route := streamRoute(fmt.Sprintf("rank-%d", rank), rank, objective, chain)
		route.Timeout = callerTime
		s.kinds = append(s.kinds, requestKind{name: route.Name, perSecond: []float64{0.3, 0.4, 0.3}[rank] * 14 * float64(targets) / 4, route: route})
	}
	return s
}

// playReturns plays half of the load that can be reserved, then twice of it for returnBurst, then
// half of it again. A refused caller comes back once, at any VM, after the time told or after a
// third of its remaining time if that is shorter, and up to 30 ms later.
func playReturns(seed uint64, s site, p policy) (byRank []returnTally, counts gather.PlaceCounts) {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	pools := &servetest.FakeTargets{Services: map[string]*plan.Batch{}}
	for _, service := range s.services {
		pools.Services[service.Name] = service.Batch
	}
	executors, _ := s.start(runCtx, p, pools)
	time.Sleep(time.Second)
	byRank = make([]returnTally, len(s.kinds))
	var mu sync.Mutex
	var all sync.WaitGroup
	for rank, k := range s.kinds {
		random := rand.New(rand.NewPCG(seed, uint64(rank)))
		all.Go(func() {
			start := time.Now()
			for n := 0; time.Since(start) < returnBurst+2*returnCalm; n++ {
				rate := k.perSecond / 2
				if at := time.Since(start); at >= returnCalm && at < returnCalm+returnBurst {
					rate = 2 * k.perSecond
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				first, second := random.IntN(len(executors)), random.IntN(len(executors))
				id, pieceKey := fmt.Sprintf("%s-%d", k.name, n), fmt.Sprint(rank, n)
				if s.withoutPieceKey {
					pieceKey = ""
				}
				late := time.Duration(random.IntN(30)) * time.Millisecond
				all.Go(func() {
					got := attemptTwice(runCtx, []*Executor{executors[first], executors[second]}, k, id, pieceKey, late)
					mu.Lock()
					defer mu.Unlock()
					byRank[rank].add(got)
				})
			}
		})
	}
	all.Wait()
	for _, e := range executors {
		_, c := e.Stages.Gatherer().Places(time.Now())
		counts.Granted += c.Granted
		counts.Claimed += c.Claimed
		counts.Lapsed += c.Lapsed
		counts.Released += c.Released
		counts.NoRoom += c.NoRoom
		counts.RefusedAgain += c.RefusedAgain
	}
	time.Sleep(time.Second) // lets messages in transit arrive
	return byRank, counts
}

func (t *returnTally) add(o returnTally) {
	t.asked += o.asked
	t.served += o.served
	t.returned += o.returned
	t.again += o.again
	t.returnedServed += o.returnedServed
	t.notReturned += o.notReturned
	t.late += o.late
}

// attemptTwice sends a request, and a second time if it is refused.
func attemptTwice(runCtx context.Context, at []*Executor, k requestKind, id, pieceKey string, late time.Duration) returnTally {
	got := returnTally{asked: 1}
	deadline := time.Now().Add(callerTime)
	reply, inTime := attemptOnce(runCtx, at[0], k, id+"-1", pieceKey, deadline)
	if reply == nil {
		got.served, got.late = count(inTime), count(!inTime)
		return got
	}
	if reply.RetryAfter == 0 {
		got.notReturned = 1
		return got
	}
	time.Sleep(min(reply.RetryAfter, time.Until(deadline)/3) + late)
	got.returned = 1
	reply, inTime = attemptOnce(runCtx, at[1], k, id+"-2", pieceKey, deadline)
	if reply != nil {
		got.again = 1
		return got
	}
	got.returnedServed, got.late = count(inTime), count(!inTime)
	return got
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func attemptOnce(runCtx context.Context, e *Executor, k requestKind, id, pieceKey string, deadline time.Time) (refused *Reply, inTime bool) {
	start := time.Now()
	route := k.route
	j := &job{
		Executor: e, route: &route, service: "engines", deadline: deadline, tried: map[string]bool{},
		req: &Request{ID: id, Pieces: []int{4, 4}, PieceKey: pieceKey, Arrived: start},
	}
	j.ctx, j.cancel = context.WithDeadlineCause(runCtx, j.deadline, ErrTimeout)
	defer j.cleanUp()
	if reply := j.prepare(); reply != nil {
		return reply, false
	}
	time.Sleep(engineTime)
	e.firstEventModel.record(j.service, j.req.Prompt, engineTime)
	return nil, time.Since(start) <= route.Objective
}

// playBoth sums up what callers of each rank get with and without places, over some seeds.
func playBoth(t *testing.T, vms, targets, seeds int) (with, without [3]returnTally) {
	t.Helper()
	for seed := range seeds {
		for p, sums := range map[leaveout.Mechanism]*[3]returnTally{"": &with, leaveout.ReturnPlaces: &without} {
			synctest.Test(t, func(t *testing.T) {
				got, counts := playReturns(uint64(seed), returningSite(vms, targets), disabling(p))
				for rank := range got {
					sums[rank].add(got[rank])
				}
				assert.Equal(t, counts == gather.PlaceCounts{}, p == leaveout.ReturnPlaces, "%+v", counts)
			})
		}
	}
	for rank := range with {
		for name, sum := range map[string]returnTally{"with": with[rank], "without": without[rank]} {
			t.Logf("%d VMs, rank %d, %s places: first %.3f, returning %.3f, total %.3f, %+v", vms, rank, name, sum.first(), sum.returning(), sum.total(), sum)
		}
	}
	return with, without
}

// In a burst of twice the capacity, refused callers come back once. Without places they compete with
// first-time callers, and half of them or more are refused again. Places must give them more, at the
// expense of first-time callers of their own and of less urgent ranks only.
func TestReturningCallersGetTheirPlaces(t *testing.T) {
	for _, c := range []struct{ vms, targets, seeds int }{{4, 4, 8}, {80, 20, 4}, {300, 60, 2}} {
		with, without := playBoth(t, c.vms, c.targets, c.seeds)
		assert.Check(t, with[1].returning() > without[1].returning()+0.05, "%d VMs: few returning callers are served", c.vms)
		assert.Check(t, with[0].first() > without[0].first()-0.015, "%d VMs: places keep out the most urgent callers", c.vms)
		for rank := range with {
			assert.Check(t, with[rank].first() > without[rank].first()-0.05, "%d VMs, rank %d: first-time callers", c.vms, rank)
			assert.Check(t, with[rank].total() > without[rank].total()-0.03, "%d VMs, rank %d: all callers", c.vms, rank)
			assert.Check(t, with[rank].late <= without[rank].late+with[rank].asked/100, "%d VMs, rank %d: places make answers late", c.vms, rank)
		}
	}
}

// Requests without a piece key have no identity, so there must be no places for them.
func TestRequestsWithoutPieceKeyGetNoPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load := returningSite(4, 4)
		load.withoutPieceKey = true
		got, counts := playReturns(1, load, policy{})
		assert.Equal(t, counts, gather.PlaceCounts{})
		assert.Assert(t, got[1].returned > 0)
	})
}
