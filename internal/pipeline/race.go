package pipeline

import (
	"context"
	"time"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
)

// race makes attempts until one gives an answer: a next one after a failure,
// and a hedge beside one that is slow. The first answer wins, the others are
// cancelled, and their answers, should they come, are charged and not used.
func (r *stageRun) race(ctx context.Context, path string, body []byte) *problem.Problem {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	results := make(chan outcome, retry.MaxTries+1)
	running := 0
	defer func() {
		if running > 0 {
			go r.chargeLate(results, running)
		}
	}()
	launch := func(hedge bool) bool {
		a := r.acquire(ctx, hedge, 1, nil)
		if a == nil {
			return false
		}
		running++
		go r.call(a.ctx, a, path, body, results)
		return true
	}
	if !launch(false) {
		return r.noTarget(ctx)
	}
	slow := time.NewTimer(min(r.hedgeAfter(), r.slowAfter(ctx)))
	defer slow.Stop()
	for {
		select {
		case <-slow.C:
			if running < maxBeside && r.attempts < retry.MaxTries && r.x.Budgets.Allow(r.budget(), time.Now()) {
				launch(true)
			}
			slow.Reset(r.slowAfter(ctx))
		case o := <-results:
			running--
			if o.err == nil {
				r.win(o)
				return nil
			}
			p := r.lost(ctx, o, running, launch)
			if p != nil {
				return p
			}
		}
	}
}

// chargeLate charges the answers of the attempts that still run when the race is
// over. A target may answer before it sees that it lost; what it told would be
// missing in the bill. Failures were charged where they ended. It returns soon:
// the attempts were cancelled, and each gives exactly one result.
func (r *stageRun) chargeLate(results <-chan outcome, running int) {
	for range running {
		o := <-results
		if o.err == nil {
			r.x.Observer.Charged(r.charge(o, wasteOfLoser(o.attempt)))
		}
	}
}

// maxBeside bounds the attempts of one stage that run beside each other.
const maxBeside = 3

// never is longer than any deadline.
const never = time.Hour

// hedgeAfter is when a slow stage gets a hedge: after what 95 in 100 take.
func (r *stageRun) hedgeAfter() time.Duration {
	p95 := r.x.Latencies.StagePercentiles(r.w.req.Pipeline.Name, r.stage.Name).P95
	if p95 == 0 || r.w.req.Hedge <= 0 || r.suspected() {
		return never
	}
	return time.Duration(float64(p95) / r.w.req.Hedge)
}

func (r *stageRun) win(o outcome) {
	r.answeredBy = o.attempt.lease.Address
	r.take(o.parsed)
	r.x.Budgets.For(r.budget()).RecordSuccess()
	r.x.Observer.Charged(r.charge(o, NoWaste))
}

// slowAfter is when an attempt counts as slow, and another one is started
// beside it if the budget allows. The slow one is not given up: where all are
// slow, or the budget is used up, it may be the one that answers.
func (r *stageRun) slowAfter(ctx context.Context) time.Duration {
	p95 := r.x.Latencies.StagePercentiles(r.w.req.Pipeline.Name, r.stage.Name).P95
	if p95 == 0 {
		return max(remaining(ctx)/2, shortestSlow)
	}
	return max(slowFactor*p95, shortestSlow)
}

const (
	slowFactor   = 5
	shortestSlow = 100 * time.Millisecond
)
