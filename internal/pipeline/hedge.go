package pipeline

import (
	"context"
	"time"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
)

// runHedged makes attempts until one succeeds: another one after a failure, and
// a hedge in parallel to one that is slow. The first answer wins and the others
// are cancelled; if they answer all the same, they are charged but not used.
func (r *stageRun) runHedged(ctx context.Context, path string, body []byte) *problem.Problem {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	results := make(chan outcome, retry.MaxTries+1)
	running := 0
	defer func() {
		if running > 0 {
			go r.chargeLateAnswers(results, running)
		}
	}()
	launch := func(hedge bool) bool {
		a := r.acquire(ctx, hedge, 1, nil)
		if a == nil {
			return false
		}
		running++
		go r.runAttempt(a.ctx, a, path, body, results)
		return true
	}
	if !launch(false) {
		return r.noTargetProblem(ctx)
	}
	hedgeTimer := time.NewTimer(min(r.hedgeAfter(), r.slowAfter(ctx)))
	defer hedgeTimer.Stop()
	for {
		select {
		case <-hedgeTimer.C:
			if running < maxConcurrentAttempts && r.attempts < retry.MaxTries && r.executor.Budgets.Allow(r.budgetKey(), time.Now()) {
				launch(true)
			}
			hedgeTimer.Reset(r.slowAfter(ctx))
		case o := <-results:
			running--
			if o.err == nil {
				r.accept(o)
				return nil
			}
			p := r.handleFailure(ctx, o, running, launch)
			if p != nil {
				return p
			}
		}
	}
}

// chargeLateAnswers charges the answers of attempts that are still running when
// the stage is done. A target may answer before it notices the cancellation,
// and the engine time it reports would be missing from the bill. Failures are
// charged by finishAttempt. This returns soon, since the attempts were
// cancelled and each sends exactly one result.
func (r *stageRun) chargeLateAnswers(results <-chan outcome, running int) {
	for range running {
		o := <-results
		if o.err == nil {
			r.executor.Observer.Charged(r.chargeFor(o, wasteOfCancelled(o.attempt)))
		}
	}
}

// maxConcurrentAttempts bounds the parallel attempts of one stage.
const maxConcurrentAttempts = 3

// noLimit is longer than any deadline.
const noLimit = time.Hour

// hedgeAfter returns when a slow stage gets a hedge: at the 95th percentile of
// its latency, later if the request is hedged less freely.
func (r *stageRun) hedgeAfter() time.Duration {
	p95 := r.executor.Latencies.StagePercentiles(r.state.req.Pipeline.Name, r.stage.Name).P95
	if p95 == 0 || r.state.req.Hedge <= 0 || r.suspected() {
		return noLimit
	}
	return time.Duration(float64(p95) / r.state.req.Hedge)
}

func (r *stageRun) accept(o outcome) {
	r.answeredBy = o.attempt.lease.Address
	r.apply(o.parsed)
	r.executor.Budgets.For(r.budgetKey()).RecordSuccess()
	r.executor.Observer.Charged(r.chargeFor(o, NoWaste))
}

// slowAfter returns when an attempt counts as slow, so that another one is
// started in parallel if the budget allows. The slow one is not cancelled: if
// all are slow, or the budget is used up, it may be the one that answers.
func (r *stageRun) slowAfter(ctx context.Context) time.Duration {
	p95 := r.executor.Latencies.StagePercentiles(r.state.req.Pipeline.Name, r.stage.Name).P95
	if p95 == 0 {
		return max(remaining(ctx)/2, minSlowAfter)
	}
	return max(slowFactor*p95, minSlowAfter)
}

const (
	slowFactor   = 5
	minSlowAfter = 100 * time.Millisecond
)
