package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
)

// stageRun is one stage of one request. One goroutine owns it; attempts run in
// goroutines of their own and give their results over a channel.
type stageRun struct {
	x     *Executor
	w     *work
	stage config.Stage
	pool  config.Pool
	index int
	since time.Time
	// docs are the request's documents as the stage found them. An attempt that
	// lost may still read its answer when the winner's has replaced work.docs,
	// so attempts use these only.
	docs []string
	// before says that an earlier stage of the request ran.
	before bool

	attempts   int
	failed     []string    // addresses that failed this request
	sent       bool        // an attempt may have run
	stallPaid  atomic.Bool // the next retry is out of the budget already
	answeredBy string
}

// attempt is one call at one target.
type attempt struct {
	number int
	hedge  bool
	lease  *directory.Lease
	since  time.Time
	// ctx ends with the request, or when a target dies under another copy of
	// it: this one could cost a further target. release ends it.
	ctx     context.Context
	release func()
}

// outcome is how an attempt ended.
type outcome struct {
	attempt *attempt
	answer  *target.Answer
	parsed  parsed
	err     error
}

func newStageRun(x *Executor, w *work, index int, pool config.Pool) *stageRun {
	return &stageRun{
		x: x, w: w, stage: w.req.Pipeline.Stages[index], pool: pool, index: index, since: time.Now(),
		before: index > 0, docs: w.docs,
	}
}

func (r *stageRun) budget() retry.BudgetKey {
	return retry.BudgetKey{Customer: r.w.req.Customer, Pool: r.pool.Name}
}

func (r *stageRun) do(ctx context.Context) *problem.Problem {
	r.x.Budgets.For(r.budget()).RecordFirstTry()
	if r.pool.Kind == config.TargetEngine {
		return r.generate(ctx)
	}
	path, body, ok := r.encode()
	if !ok {
		return problem.New(500, "no-stage", "Pipeline is not complete",
			"Pool "+r.pool.Name+" is no kind of stage.", ranIf(r.before))
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic("pipeline: encode: " + err.Error())
	}
	return r.race(ctx, path, raw)
}

func (r *stageRun) charge(o outcome, waste Waste) Charge {
	c := Charge{
		Customer: r.w.req.Customer, Pipeline: r.w.req.Pipeline.Name, Stage: r.stage.Name,
		Usage: o.parsed.usage, Waste: waste, Pool: r.pool.Name, Target: o.attempt.lease.Address,
		Took: time.Since(o.attempt.since),
	}
	if o.answer != nil {
		c.EngineTime = o.answer.EngineTime
	}
	return c
}

// lost handles a failed attempt: nil means that the stage goes on.
func (r *stageRun) lost(ctx context.Context, o outcome, running int, launch func(bool) bool) *problem.Problem {
	f := asFailure(o.err)
	if !r.blame(ctx, f, o.attempt.lease.Address) {
		return convicted(problem.Unknown)
	}
	if running > 0 {
		return nil
	}
	if p := r.mayRetry(ctx, f); p != nil {
		return p
	}
	if !launch(false) {
		return r.noTarget(ctx)
	}
	return nil
}

func asFailure(err error) *target.Failure {
	var f *target.Failure
	if errors.As(err, &f) {
		return f
	}
	return &target.Failure{Kind: target.FailedFormat, Execution: problem.Unknown, Err: err}
}

// mayRetry waits out the backoff, or says why there is no other try.
func (r *stageRun) mayRetry(ctx context.Context, f *target.Failure) *problem.Problem {
	expected := r.x.Latencies.ExpectedRemaining(r.w.req.Pipeline, r.index)
	verdict := retry.Decide(retry.FailedCall{
		Tries: r.attempts, Idempotent: true, NotRun: f.Execution == problem.NotRun,
		Remaining: remaining(ctx), Expected: expected,
	})
	if verdict != retry.Retry {
		return r.giveUp(ctx, string(verdict), f)
	}
	// A refused connection put no load on the target, so it needs no budget. A
	// target that answers with a refusal needs one: where all of a pool refuse,
	// each request would else come four times. Suspects run one to a target, so their second tries can't be a flood, and
	// the innocent ones among them have a right to an answer.
	if f.Kind != target.FailedConnect && !r.suspected() && !r.paid() {
		return r.giveUp(ctx, "retry budget is used up", f)
	}
	if f.Execution == problem.NotRun {
		return nil
	}
	select {
	case <-time.After(retry.Backoff(r.attempts, newRandom())):
		return nil
	case <-ctx.Done():
		return r.giveUp(ctx, "the deadline passed", f)
	}
}

// paid takes a retry out of the budget, unless that was done already.
func (r *stageRun) paid() bool {
	if r.stallPaid.CompareAndSwap(true, false) {
		return true
	}
	return r.x.Budgets.Allow(r.budget(), time.Now())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return never
	}
	return time.Until(deadline)
}

const (
	// unavailableRetry is when to come back after a stage failed.
	unavailableRetry = time.Second
	statusLate       = 504
	statusFailed     = 502
	statusNoTarget   = 503
)

// giveUp is the final answer, at once. What ran is said as far as it is known.
func (r *stageRun) giveUp(ctx context.Context, why string, f *target.Failure) *problem.Problem {
	execution := r.execution()
	detail := "Stage " + r.stage.Name + ": " + why + "; last failure: " + string(f.Kind) + "."
	if ctx.Err() != nil || f.Kind == target.FailedTimeout {
		return problem.New(statusLate, "late", "Not done by its deadline", detail, execution)
	}
	return problem.New(statusFailed, "stage-failed", "A stage failed", detail, execution).WithRetryAfter(unavailableRetry)
}

func (r *stageRun) execution() problem.Execution {
	switch {
	case r.before:
		return problem.Ran
	case r.sent:
		return problem.Unknown
	default:
		return problem.NotRun
	}
}

func (r *stageRun) noTarget(ctx context.Context) *problem.Problem {
	if r.x.Suspicion.Check(r.w.req.Fingerprint()) == suspect.Convicted {
		return convicted(r.execution())
	}
	if ctx.Err() != nil {
		return r.giveUp(ctx, "the deadline passed", &target.Failure{Kind: target.FailedTimeout})
	}
	return problem.New(statusNoTarget, "no-target", "No target in use",
		"Pool "+r.pool.Name+" has no target that can take the request now.", r.execution()).WithRetryAfter(unavailableRetry)
}

func (r *stageRun) identity(a *attempt) target.Identity {
	return target.Identity{Request: r.w.req.ID, Stage: r.stage.Name, Attempt: a.number}
}

// call makes one attempt. It ends its lease and gives exactly one result.
func (r *stageRun) call(ctx context.Context, a *attempt, path string, body []byte, results chan<- outcome) {
	id := r.identity(a)
	slowAfter := r.slowAfter(ctx)
	answer, err := r.x.Client.Do(ctx, target.Call{
		Address: a.lease.Address, Method: "POST", Path: path, Identity: id,
		Customer: r.w.req.Customer, ContentType: contentJSON, Body: body,
	})
	o := outcome{attempt: a, answer: answer, err: err}
	if err == nil {
		o.parsed, o.err = r.read(answer, id)
	}
	r.end(o, slowAfter)
	results <- o
}

// read turns an answer into its content, or into a failure.
func (r *stageRun) read(answer *target.Answer, id target.Identity) (parsed, error) {
	if answer.Status != statusOK {
		return parsed{}, statusFailure(answer)
	}
	if err := r.checkVersion(answer); err != nil {
		return parsed{}, err
	}
	return r.parse(answer, id)
}

const statusOK = 200

// statusFailure tells refusals before anything ran from other errors.
func statusFailure(answer *target.Answer) *target.Failure {
	execution := problem.Unknown
	if answer.HasIdentity {
		execution = problem.Ran
	}
	if answer.ConfirmsNotRun() {
		execution = problem.NotRun
	}
	return &target.Failure{
		Kind: target.FailedStatus, Execution: execution, Status: answer.Status,
		Err: errors.New("target answered with an error status"),
	}
}

// checkVersion drops an answer of another model version than the one in force.
// An engine that ignores fencing may have taken an old order, and its answer
// would look like any other.
func (r *stageRun) checkVersion(answer *target.Answer) error {
	if r.pool.Accepts(answer.Version) {
		return nil
	}
	return &target.Failure{
		Kind: target.FailedVersion, Execution: problem.Ran,
		Err: errors.New("version " + answer.Version + " answered, " + r.pool.Version + " is wanted"),
	}
}

// end settles what an attempt means for its target and its cost. slowAfter is
// when an attempt that lost against another speaks against its target.
func (r *stageRun) end(o outcome, slowAfter time.Duration) {
	defer o.attempt.release()
	now := time.Now()
	took := now.Sub(o.attempt.since)
	if o.answer != nil {
		o.attempt.lease.RecordLoadReport(o.answer.Load, now)
	}
	if o.err == nil {
		o.attempt.lease.Done(directory.Succeeded, took, now)
		return
	}
	f := asFailure(o.err)
	o.attempt.lease.Done(resultOf(f, took > slowAfter), took, now)
	if f.Kind != target.FailedCancelled {
		r.x.Observer.CallFailed(r.w.req.ID, r.stage.Name, o.attempt.lease.Address, f)
	}
	if f.Execution != problem.NotRun {
		r.x.Observer.Charged(r.charge(o, wasteOf(o.attempt, f)))
	}
}

func wasteOf(a *attempt, f *target.Failure) Waste {
	if f.Kind == target.FailedCancelled {
		return wasteOfLoser(a)
	}
	return WasteFailed
}

func wasteOfLoser(a *attempt) Waste {
	if a.hedge {
		return WasteHedge
	}
	return WasteCanceled
}

// resultOf: a call that was cancelled, or cut short by the request's deadline,
// speaks against its target only if it was slow by then. That is how a target
// that stands still is found out.
func resultOf(f *target.Failure, slow bool) directory.Result {
	switch f.Kind {
	case target.FailedConnect:
		return directory.Refused
	case target.FailedCancelled, target.FailedTimeout:
		if slow {
			return directory.Failed
		}
		return directory.Neutral
	default:
		return directory.Failed
	}
}
