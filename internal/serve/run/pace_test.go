package run

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
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

// Stages are due by the pace of the engine that the prompt would get: by that of a slow engine they would be
// refused although a fast one reads the prompt in time. With even engines, or if paces are left out, due
// times and limits of claims must be as before.
func TestDueTimesAndLimitsFollowThePace(t *testing.T) {
	for _, c := range []struct {
		uneven, leftOut bool
		pace            float64
	}{{true, false, 0.55}, {false, false, 1}, {true, true, 1}} {
		synctest.Test(t, func(t *testing.T) {
			j := unevenJob(12, c.uneven, c.leftOut)
			target := j.choose()
			assert.Equal(t, j.Engines.UsualPace(target), c.pace)
			curve, known := j.Engines.Curve("s", time.Now())
			assert.Assert(t, known)
			want := clampFirstEvent(curve.Base + c.pace*curve.PrefillTime(50_000))
			assert.Equal(t, j.expectedFirstEvent(), want, "of the chosen engine")
			j.claimState = claimState{}
			assert.Equal(t, j.expectedFirstEvent(), want, "of the engine that would be chosen")
			choice := j.newChoice(time.Now())
			views, _ := j.candidates(choice.now)
			choice.setPaces(views)
			limited := slices.ContainsFunc(views, func(v pool.View) bool { return choice.paceLimit(views, v.Target, 50_000) != 0 })
			assert.Equal(t, limited, c.pace != 1)
		})
	}
}

// A time that includes a wait, or the one of another engine, would make an engine seem slow. Its percent
// counts all the same.
func TestObservedTimes(t *testing.T) {
	for _, c := range []struct {
		sends, status int
		wait          time.Duration
		timed         bool
	}{{1, 200, 0, true}, {2, 200, 0, false}, {1, 200, time.Second, false}, {1, 404, 0, false}} {
		j := &job{
			sends: c.sends, route: &plan.Route{Kind: plan.Stream}, claimState: claimState{waitKnown: true, wait: c.wait, prefillTokens: 900},
			engineAnswer: engineAnswer{target: &pool.Target{ID: "e", Born: 7}, percent: 120},
		}
		want := engines.Observation{Target: "e", Born: 7, Percent: 120}
		if c.timed {
			want.Tokens, want.Seconds = 900, 0.1
		}
		assert.Equal(t, j.observation(c.status, 100*time.Millisecond), want)
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
