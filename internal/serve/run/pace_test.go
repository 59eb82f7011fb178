package run

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/servetest"
)

// A prompt that leaves a fast engine because of a short wait gets its first event later at a slow one.
func TestWaitUntilNextBest(t *testing.T) {
	curve := engines.Curve{Base: 0.06, Linear: 0.01}
	for _, c := range []struct {
		chosen, next engineEstimate
		want         time.Duration
	}{
		{engineEstimate{pace: 1, tokens: 12000}, engineEstimate{pace: 1, tokens: 12000}, 0},
		{engineEstimate{pace: 0.5, tokens: 12000}, engineEstimate{pace: 1.2, tokens: 12000}, 84 * time.Millisecond},
		{engineEstimate{pace: 0.5, tokens: 12000, wait: time.Second}, engineEstimate{pace: 0.5, tokens: 12000, wait: 50 * time.Millisecond}, 50 * time.Millisecond},
		{engineEstimate{pace: 3, tokens: 6600}, engineEstimate{pace: 1, tokens: 12000}, -78 * time.Millisecond},
	} {
		got := waitUntilNextBest(c.chosen, c.next, curve)
		assert.Equal(t, got.Round(time.Microsecond), c.want, "%+v", c)
	}
}

// unevenJob returns a request to n engines whose paces its process has learnt, unless paces are left out,
// or to even ones.
func unevenJob(n int, uneven, disabled bool) *job {
	p := &unevenPool{unevenLoad: unevenLoad{processes: 1, engines: n, fastOf: 4}, disabled: disabled}
	p.start(1)
	e := p.executors[0]
	for range 3 {
		for id, m := range p.models {
			if uneven {
				e.Engines.Observe(engines.Observation{Service: "s", Target: id, Born: 7, Percent: int(100*m.constant + 0.5)})
			}
		}
		time.Sleep(time.Second)
	}
	e.Engines.Sweep(time.Now())
	return &job{
		Executor: e, ctx: context.Background(), service: "s", route: &plan.Route{}, tried: map[string]bool{},
		req: &Request{ID: "r", Arrived: time.Now(), Prompt: place.Prompt{Input: 50_000, Parts: []place.Part{{ID: "own", Tokens: 50_000}}}},
	}
}

// Stages are due by the pace of the engine that the prompt would get. With that of a slow engine they
// would be refused although a fast one reads the prompt in time.
func TestStagesAreDueByThePaceOfTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := unevenJob(12, true, false)
		target := j.choose()
		assert.Equal(t, j.Engines.UsualPace(target), 0.55)
		curve, known := j.Engines.Curve("s", time.Now())
		assert.Assert(t, known)
		want := clampFirstEvent(curve.Base + 0.55*curve.PrefillTime(50_000))
		assert.Equal(t, j.expectedFirstEvent(), want)
		j.claimState = claimState{} // before the choice, it is the engine that would be chosen
		assert.Equal(t, j.expectedFirstEvent(), want)
		j.claimState.pace = 1.2
		assert.Equal(t, j.expectedFirstEvent(), clampFirstEvent(curve.Base+1.2*curve.PrefillTime(50_000)))
	})
}

// With even engines, or if paces are left out, limits of claims and due times must be as before.
func TestEvenEnginesHaveNoPaceLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, leftOut := range []bool{false, true} {
			j := unevenJob(12, leftOut, leftOut)
			c := j.newChoice(time.Now())
			views, _ := j.candidates(c.now)
			c.setPaces(views)
			assert.Equal(t, c.paceLimit(views, views[0].Target, 50_000), time.Duration(0))
			assert.Assert(t, j.choose() != nil)
			curve, _ := j.Engines.Curve("s", time.Now())
			assert.Equal(t, j.expectedFirstEvent(), clampFirstEvent(curve.FirstEvent(50_000)))
		}
	})
}

// recordObservation returns a handler that keeps the observations of other processes.
func recordObservation(t *testing.T, list *[]engines.Observation) func(context.Context, json.RawMessage) (any, error) {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		var call struct {
			Target  string  `json:"engine"`
			Born    int64   `json:"born"`
			Seconds float64 `json:"s"`
			Percent int     `json:"p"`
		}
		assert.Check(t, json.Unmarshal(params, &call))
		*list = append(*list, engines.Observation{Target: call.Target, Born: call.Born, Seconds: call.Seconds, Percent: call.Percent})
		return nil, nil
	}
}

// A percent is reported even where the time doesn't count, and a time only for a request that was sent
// once and didn't wait. A time that includes a wait would make an engine seem slow.
func TestObservedFirstEvents(t *testing.T) {
	for _, c := range []struct {
		percent, sends, status int
		wait                   time.Duration
		reported, timed        bool
	}{
		{120, 1, 200, 0, true, true},
		{0, 1, 200, 0, true, true},
		{120, 2, 200, 0, true, false},
		{120, 1, 200, time.Second, true, false},
		{0, 1, 200, time.Second, false, false},
		{0, 1, 404, 0, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			var got []engines.Observation
			cluster := &servetest.Cluster{}
			own, other := cluster.Add("own", "a"), cluster.Add("other", "a")
			own.SetCPUPercent(10)
			other.SetCPUPercent(100)
			other.Handle("engines.observe", recordObservation(t, &got))
			plans := &plan.Holder{}
			plans.Apply(&plan.Plan{Version: 1, Services: []plan.Service{{Name: "s", Engine: &plan.Engine{}}}})
			j := &job{
				Executor: &Executor{Plans: plans, Engines: engines.New(zap.NewNop(), own)}, service: "s", sends: c.sends, route: &plan.Route{Kind: plan.Stream},
				claimState:   claimState{waitKnown: true, wait: c.wait, prefillTokens: 900},
				engineAnswer: engineAnswer{target: &pool.Target{ID: "e", Born: 7}, percent: c.percent},
			}
			j.observeFirstEvent(c.status, 100*time.Millisecond)
			synctest.Wait()
			assert.Equal(t, len(got), map[bool]int{true: 1}[c.reported], "%+v", c)
			if c.reported {
				assert.Equal(t, got[0].Percent, c.percent)
				assert.Equal(t, got[0].Seconds > 0, c.timed, "%+v", c)
			}
		})
	}
}

// BenchmarkChoiceAmongEngines measures one choice without claims. The cost must not grow from the number
// of candidates on.
func BenchmarkChoiceAmongEngines(b *testing.B) {
	for _, n := range []int{90, 1000, 10_000} {
		for _, uneven := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/uneven=%v", n, uneven), func(b *testing.B) {
				j := unevenJob(n, uneven, false)
				b.ReportAllocs()
				for b.Loop() {
					c := j.newChoice(time.Now())
					views, _ := j.candidates(c.now)
					c.setPaces(views)
					target := c.pick(views)
					c.paceLimit(views, target, 50_000)
				}
			})
		}
	}
}
