package run

import (
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

func TestShareLongerUsesLatestTimes(t *testing.T) {
	var times recentTimes
	for range minAnswers - 1 {
		times.add(10 * time.Second)
	}
	assert.Equal(t, times.shareLonger(time.Second), 0.0) // too few samples
	times.add(time.Second)
	assert.Equal(t, times.shareLonger(time.Second), 1-1.0/minAnswers)
	for i := range answerSamples {
		times.add(time.Duration(i+1) * time.Second)
	}
	assert.Equal(t, times.shareLonger(answerSamples/2*time.Second), 0.5)
	assert.Equal(t, times.shareLonger(answerSamples*time.Second), 0.0)
	assert.Equal(t, times.shareLonger(-time.Second), 1.0)
}

// A request is sent to a target although the shutdown will cut it off, or it is refused
// although there is enough time.
func TestShutdownRefusesRequestsItWouldCutOff(t *testing.T) {
	const usual, rare = time.Second, 4 * time.Second
	for name, c := range map[string]struct {
		left    time.Duration // 0 if there is no shutdown
		rareOf  int           // one answer in this many takes long; 0 for none
		known   int
		runs    int
		refused int
	}{
		"no shutdown":                          {rareOf: 1, known: 64},
		"enough time":                          {left: 2 * time.Second, known: 64},
		"one in 8 takes longer":                {left: 2 * time.Second, known: 64, rareOf: 8},
		"one in 2 takes longer":                {left: 2 * time.Second, known: 64, rareOf: 2, refused: fasthttp.StatusServiceUnavailable},
		"too little time for any answer":       {left: time.Second / 2, known: 64, refused: fasthttp.StatusServiceUnavailable},
		"too little time, and it may have run": {left: time.Second / 2, known: 64, runs: 1, refused: fasthttp.StatusGatewayTimeout},
		"too little, but nothing seen":         {left: time.Second / 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Executor{}
			for i := range c.known {
				took := usual
				if c.rareOf > 0 && i%c.rareOf == 0 {
					took = rare
				}
				e.answerStats.record("route", took, took)
			}
			if c.left > 0 {
				e.StartShutdown(ShutdownSchedule{AcceptUntil: time.Now(), End: time.Now().Add(c.left)})
			}
			j := &job{Executor: e, route: &plan.Route{Name: "route"}, runs: c.runs}
			reply := j.refuseIfCutByShutdown()
			if c.refused == 0 {
				assert.Assert(t, reply == nil)
				return
			}
			assert.Equal(t, reply.Status, c.refused)
			assert.Equal(t, reply.Reason, ShuttingDown)
			assert.Equal(t, reply.RetryAfter > 0, c.runs == 0, "%v", reply.RetryAfter)
		})
	}
}

// A request that is read after the port was closed is processed.
func TestShutdownRefusesRequestsAfterAcceptUntil(t *testing.T) {
	j := &job{Executor: &Executor{}}
	assert.Assert(t, j.refuseAfterClose() == nil)
	j.StartShutdown(ShutdownSchedule{AcceptUntil: time.Now().Add(time.Hour), End: time.Now().Add(2 * time.Hour)})
	assert.Assert(t, j.refuseAfterClose() == nil)
	j.StartShutdown(ShutdownSchedule{AcceptUntil: time.Now(), End: time.Now().Add(time.Hour)})
	reply := j.refuseAfterClose()
	assert.Equal(t, reply.Status, fasthttp.StatusServiceUnavailable)
	assert.Equal(t, reply.Reason, ShuttingDown)
	assert.Equal(t, reply.RetryAfter, shutdownRetryAfter)
}

// A process that shuts down goes on accepting requests for as long as it can finish them.
func TestShutdownAcceptsWhileTypicalAnswersCanFinish(t *testing.T) {
	const left = 8 * time.Second
	for name, c := range map[string]struct {
		routes map[string][]time.Duration
		want   time.Duration
	}{
		"nothing known":                     {want: left},
		"short answers":                     {routes: map[string][]time.Duration{"a": repeat(40*time.Millisecond, 64)}, want: left - 120*time.Millisecond},
		"the slowest route":                 {routes: map[string][]time.Duration{"a": repeat(time.Second, 64), "b": {2 * time.Second}}, want: 2 * time.Second},
		"answers longer than the time left": {routes: map[string][]time.Duration{"a": repeat(6*time.Second, 64)}, want: 0},
		"stragglers":                        {routes: map[string][]time.Duration{"a": append(repeat(time.Second, 63), time.Hour)}, want: left - 3*time.Second},
		"a route that has gone":             {routes: map[string][]time.Duration{"gone": repeat(6*time.Second, 64)}, want: left},
		"only the latest answers count":     {routes: map[string][]time.Duration{"a": append(repeat(time.Second, 64), repeat(2*time.Second, 64)...)}, want: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Executor{Plans: &plan.Holder{}}
			e.Plans.Apply(&plan.Plan{Version: 1, Routes: []plan.Route{{Name: "a"}, {Name: "b"}}})
			for route, list := range c.routes {
				for _, took := range list {
					e.answerStats.record(route, took, took)
				}
			}
			assert.Equal(t, e.AcceptFor(left), c.want)
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
