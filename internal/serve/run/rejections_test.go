package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	rejectingProcesses = 8
	rejectingEngines   = 30
	// quietTime is how long they accept all before; the retry budget knows its members by then.
	quietTime = 12 * time.Second
	// rejectionTime is how long engines reject requests.
	rejectionTime = 25 * time.Second
)

// rejectionDay simulates engines of which some reject two thirds of their requests, and requests of three
// ranks.
type rejectionDay struct {
	rejecting int // number of engines that reject requests
	disabled  bool
	executors []*Executor

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	// rejectFrom is when the engines begin to reject requests; those before are not counted.
	rejectFrom time.Time
	reasons    map[Reason]int
	sent       int
	rejected   int
	served     [3]int
	asked      [3]int
}

func (d *rejectionDay) serve(engine int, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		d.mu.Lock()
		reject := engine < d.rejecting && time.Now().After(d.rejectFrom) && d.random.IntN(3) < 2
		if time.Now().After(d.rejectFrom) {
			d.sent++
		}
		if reject {
			d.rejected++
		}
		d.mu.Unlock()
		if reject {
			_, err = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		} else {
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n")
		}
		if err != nil {
			return
		}
	}
}

func (d *rejectionDay) start(seed uint64) {
	now := time.Now()
	d.reasons = map[Reason]int{}
	d.random = rand.New(rand.NewPCG(seed, 1))
	cluster := &servetest.Cluster{Delay: time.Millisecond}
	var entries []pool.Entry
	byAddress := map[string]int{}
	for i := range rejectingEngines {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		byAddress[address] = i
		entries = append(entries, pool.Entry{ID: fmt.Sprint("e-", i), Service: "s", Address: address, Slots: 8, State: pool.Ready, Revision: 1, Born: 7})
	}
	dial := func(_ context.Context, address string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go d.serve(byAddress[address], theirs)
		return ours, nil
	}
	p := &plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{Slots: 8}}}}
	for rank := range 3 {
		p.Routes = append(p.Routes, plan.Route{
			Name: fmt.Sprint("r", rank), Host: "h", Prefix: fmt.Sprintf("/%d/", rank), Kind: plan.Stream, Priority: rank, Public: true,
			Attempts: 2, Timeout: time.Duration(rank+1) * time.Second, Split: []plan.Share{{Service: "s", Weight: 1}},
		})
	}
	var left leaveout.Set
	if d.disabled {
		left = leaveout.Of(leaveout.EngineRejections)
	}
	for i := range rejectingProcesses {
		table := pool.New(zap.NewNop())
		table.Reset(entries, 1, now)
		plans := &plan.Holder{}
		plans.Apply(p)
		tracker := engines.New(zap.NewNop(), cluster.Add(fmt.Sprint("vm-", i), "a"))
		if d.disabled {
			tracker.DisableRejections()
		}
		budget := quota.New(quota.Rule{Ratio: 0.1, Reserve: 40, Window: 10 * time.Second}, now)
		budget.SetMemberCount(rejectingProcesses, now)
		d.executors = append(d.executors, &Executor{
			Log: zap.NewNop(), Plans: plans, Table: table, Codec: plainCodec{}, Budget: budget, Engines: tracker, LeaveOut: left,
			Client: &upstream.Client{Dial: dial},
		})
	}
}

// run plays a day with a number of requests a second.
func (d *rejectionDay) run(seed uint64, perSecond float64) {
	d.start(seed)
	random := rand.New(rand.NewPCG(seed, 2))
	start := time.Now()
	d.rejectFrom = start.Add(quietTime)
	length := quietTime + rejectionTime
	var running sync.WaitGroup
	running.Go(func() {
		for ; time.Since(start) < length; time.Sleep(time.Second) {
			for _, e := range d.executors {
				e.Engines.Sweep(time.Now())
				e.Client.Prune(time.Now())
			}
		}
	})
	for n := 0; time.Since(start) < length; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		e, rank, shared := d.executors[random.IntN(rejectingProcesses)], random.IntN(3), random.IntN(40)
		running.Go(func() { d.request(e, n, rank, shared) })
	}
	running.Wait()
	time.Sleep(time.Second) // until the last observations have arrived
	for _, e := range d.executors {
		e.Client.Prune(time.Now().Add(time.Minute))
	}
}

func (d *rejectionDay) request(e *Executor, n, rank, shared int) {
	path, arrived := fmt.Sprintf("/%d/x", rank), time.Now()
	reply := e.Run(context.Background(), &Request{
		ID: fmt.Sprint("id-", n), Host: "h", Path: path, URI: path, Method: "GET", Arrived: arrived,
		Prompt: place.Prompt{Input: 3000, Parts: []place.Part{{ID: fmt.Sprint("p", shared), Tokens: 2000}, {ID: "own", Tokens: 1000}}},
	})
	whole := false
	if reply.Answer != nil {
		_, err := io.Copy(io.Discard, reply.Answer.Body)
		whole = err == nil && reply.Status == 200
		_ = reply.Answer.Body.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !arrived.After(d.rejectFrom) {
		return
	}
	d.asked[rank]++
	if !whole {
		d.reasons[reply.Reason]++
	}
	if whole {
		d.served[rank]++
	}
}

func (d *rejectionDay) share(rank int) float64 {
	return float64(d.served[rank]) / float64(d.asked[rank])
}

func playRejections(t *testing.T, rejecting int, seed uint64, perSecond float64) (without, with *rejectionDay) {
	t.Helper()
	without, with = &rejectionDay{rejecting: rejecting, disabled: true}, &rejectionDay{rejecting: rejecting}
	for _, d := range []*rejectionDay{without, with} {
		synctest.Test(t, func(*testing.T) { d.run(seed, perSecond) })
	}
	return without, with
}

// Guards against requests that are refused although most engines accept them, because each process sends them
// to several engines that reject them.
func TestCallersOfEachRankAreServedBesideRejectingEngines(t *testing.T) {
	t.Parallel()
	without, with := playRejections(t, 11, 1, 60)
	for rank := range 3 {
		t.Logf("rank %d: %.3f served without, %.3f with", rank, without.share(rank), with.share(rank))
		assert.Assert(t, with.share(rank) > 0.95)
		assert.Assert(t, with.share(rank) > without.share(rank)+0.08)
	}
	t.Log(without.reasons, with.reasons)
	t.Logf("%d of %d rejected without, %d of %d with", without.rejected, without.sent, with.rejected, with.sent)
	assert.Assert(t, 2*with.rejected < without.rejected)
}

// Guards against urgent requests that are served less often than others where all engines reject most requests.
func TestUrgentRequestsGoFirstWhereAllEnginesReject(t *testing.T) {
	t.Parallel()
	without, with := playRejections(t, rejectingEngines, 1, 60)
	for rank := range 3 {
		t.Logf("rank %d: %.3f served without, %.3f with", rank, without.share(rank), with.share(rank))
	}
	t.Log(without.reasons, with.reasons)
	t.Logf("%d of %d rejected without, %d of %d with", without.rejected, without.sent, with.rejected, with.sent)
	assert.Assert(t, with.share(0) > with.share(2))
}

// Guards against stages that run for requests that their engines would reject, and against requests that are
// refused although an engine is left.
func TestRequestsAreRefusedBeforeTheirStagesIfAllEnginesReject(t *testing.T) {
	for _, tc := range []struct {
		rejecting int
		refused   bool
		reserved  bool
	}{{0, false, false}, {12, false, false}, {rejectingEngines - 2, false, true}, {rejectingEngines, true, false}} {
		synctest.Test(t, func(t *testing.T) {
			d := &rejectionDay{}
			d.start(1)
			e := d.executors[0]
			for range 10 {
				for i := range tc.rejecting {
					j := &job{Executor: e, service: "s"}
					target := e.Table.ByAddress("s", fmt.Sprintf("10.0.0.%d:1", i))
					j.recordRejection(target, 503)
					time.Sleep(2 * time.Millisecond)
				}
			}
			for _, e := range d.executors {
				e.Engines.Sweep(time.Now())
			}
			time.Sleep(100 * time.Millisecond)
			j := &job{Executor: e, ctx: context.Background(), service: "s", tried: map[string]bool{}, req: &Request{ID: "id", Arrived: time.Now()}, route: &e.Plans.Current().Routes[0]}
			reply := j.reserveTarget()
			assert.Equal(t, reply != nil, tc.refused, "%d", tc.rejecting)
			assert.Equal(t, j.reserved != nil, tc.reserved, "%d", tc.rejecting)
			if reply != nil {
				assert.Equal(t, reply.Reason, EnginesReject)
				assert.Equal(t, reply.Status, 503)
				assert.Assert(t, reply.RetryAfter >= 500*time.Millisecond && reply.RetryAfter <= 2*time.Second)
			}
			if j.reserved != nil {
				assert.Assert(t, j.reserved.ID == "e-28" || j.reserved.ID == "e-29", j.reserved.ID)
			}
			time.Sleep(time.Second)
		})
	}
}

// Guards against requests that are sent to more targets than before where a target may have run them.
func TestOnlyRejectedRequestsGoToMoreEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &rejectionDay{}
		d.start(1)
		for _, tc := range []struct{ sends, rejected, want int }{{0, 0, 4}, {4, 4, 8}, {4, 3, 4}} {
			j := &job{Executor: d.executors[0], service: "s", sends: tc.sends, rejected: tc.rejected}
			assert.Equal(t, j.maxSends(), tc.want, "%+v", tc)
		}
	})
}

// Guards against choices that change, or messages that are sent, where no engine rejects: the views of which
// engines are chosen are the same as without the mechanism.
func TestChoicesWithoutRejectionsAreAsBefore(t *testing.T) {
	d := &rejectionDay{}
	synctest.Test(t, func(t *testing.T) {
		d.run(1, 60)
		for _, e := range d.executors {
			now := time.Now()
			j := &job{Executor: e, ctx: context.Background(), service: "s", tried: map[string]bool{}, req: &Request{ID: "id"}, route: &e.Plans.Current().Routes[2]}
			before, _ := j.candidates(now)
			after := slices.Clone(before)
			j.newChoice(now).setRejections(after)
			for i := range before {
				assert.Equal(t, after[i].Rejecting, 0.0)
				assert.Assert(t, !e.Engines.ReportsAccepts(before[i].Target, now))
			}
			rejecting, refusal := j.admitDespiteRejections()
			assert.Assert(t, !rejecting && refusal == nil)
			j.sends = 1
			assert.Equal(t, j.maxSends(), maxSends)
		}
	})
	assert.Equal(t, d.sent, d.asked[0]+d.asked[1]+d.asked[2])
	assert.DeepEqual(t, d.served, d.asked)
}

// The decision before the stages is made for each request, also where no engine rejects any.
func BenchmarkAdmitWithoutRejections(b *testing.B) {
	for _, n := range []int{90, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newRetryingExecutor(quota.Rule{}, n, nil, plan.Stream)
			plans := &plan.Holder{}
			plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{}}}})
			e.Plans, e.Engines = plans, engines.New(zap.NewNop(), (&servetest.Cluster{}).Add("vm", "z"))
			j := &job{Executor: e, service: "s", route: &plan.Route{}}
			b.ReportAllocs()
			for b.Loop() {
				if rejecting, refusal := j.admitDespiteRejections(); rejecting || refusal != nil {
					b.Fatal("not admitted")
				}
			}
		})
	}
}
