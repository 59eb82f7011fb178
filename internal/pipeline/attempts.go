package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
)

// stageRun is the execution of one stage of one request. One goroutine owns it.
// Attempts run in their own goroutines and send their results over a channel.
type stageRun struct {
	executor *Executor
	state    *requestState
	stage    config.Stage
	pool     config.Pool
	index    int
	since    time.Time
	// docs are the request's documents when the stage began. A losing attempt
	// may still parse its answer after the winner's has replaced
	// requestState.docs, so attempts use only these.
	docs []string
	// traits are what the stage's calls have in common with others that crash targets.
	traits crashes.Traits
	// earlierStageRan is set if an earlier stage of the request ran.
	earlierStageRan bool

	attempts      int
	failedTargets []string    // addresses that failed this request
	mayHaveRun    bool        // an attempt may have run
	retryPrepaid  atomic.Bool // the next retry was already taken from the budget
	answeredBy    string
}

// attempt is one call at one target.
type attempt struct {
	number int
	hedge  bool
	lease  *directory.Lease
	since  time.Time
	// ctx ends with the request, or when a target dies under another attempt of
	// it, since this one could crash another target. release cancels it.
	ctx     context.Context
	release func()
}

// outcome is the result of an attempt.
type outcome struct {
	attempt *attempt
	answer  *target.Answer
	parsed  parsedAnswer
	err     error
}

func newStageRun(x *Executor, state *requestState, index int, pool config.Pool) *stageRun {
	return &stageRun{
		executor: x, state: state, stage: state.req.Pipeline.Stages[index], pool: pool, index: index, since: time.Now(),
		earlierStageRan: index > 0, docs: state.docs, traits: stageTraits(state.req, pool.Kind, state.docs),
	}
}

func (r *stageRun) budgetKey() retry.BudgetKey {
	return retry.BudgetKey{Customer: r.state.req.Customer, Pool: r.pool.Name}
}

func (r *stageRun) execute(ctx context.Context) *problem.Problem {
	r.executor.Budgets.For(r.budgetKey()).RecordFirstTry()
	if r.pool.Kind == config.TargetEngine {
		return r.generate(ctx)
	}
	path, body, ok := r.buildCall()
	if !ok {
		return problem.New(500, "no-stage", "Pipeline is not complete",
			"Pool "+r.pool.Name+" is no kind of stage.", executionIf(r.earlierStageRan))
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic("pipeline: encode: " + err.Error())
	}
	return r.runHedged(ctx, path, raw)
}

func (r *stageRun) chargeFor(o outcome, waste Waste) Charge {
	c := Charge{
		Customer: r.state.req.Customer, Pipeline: r.state.req.Pipeline.Name, Stage: r.stage.Name,
		Usage: o.parsed.usage, Waste: waste, Pool: r.pool.Name, Target: o.attempt.lease.Address,
		Took: time.Since(o.attempt.since),
	}
	if o.answer != nil {
		c.EngineTime = o.answer.EngineTime
	}
	return c
}

// handleFailure handles a failed attempt and retries if allowed. It returns nil
// if the stage continues.
func (r *stageRun) handleFailure(ctx context.Context, o outcome, running int, launch func(bool) bool) *problem.Problem {
	f := asFailure(o.err)
	if !r.recordFailure(ctx, f, o.attempt.lease.Address) {
		return convictedProblem(problem.Unknown)
	}
	if running > 0 {
		return nil
	}
	if p := r.prepareRetry(ctx, f); p != nil {
		return p
	}
	if !launch(false) {
		return r.noTargetProblem(ctx)
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

// prepareRetry waits for the backoff, or returns the final problem if there is
// no other attempt.
func (r *stageRun) prepareRetry(ctx context.Context, f *target.Failure) *problem.Problem {
	expected := r.executor.Latencies.ExpectedRemaining(r.state.req.Pipeline, r.index)
	verdict := retry.Decide(retry.FailedCall{
		Tries: r.attempts, Idempotent: true, NotRun: f.Execution == problem.NotRun,
		Remaining: remaining(ctx), Expected: expected,
	})
	if verdict != retry.Retry {
		return r.finalProblem(ctx, string(verdict), f)
	}
	// A refused connection put no load on the target, so its retry needs no
	// budget. A target that answers with a refusal does: if all targets of a
	// pool refuse, each request would be sent four times. Suspects are exempt:
	// they run one to a target, so their retries can't flood the pool, and
	// those that are innocent must still get an answer.
	if f.Kind != target.FailedConnect && !r.suspected() && !r.takeRetry() {
		return r.finalProblem(ctx, "retry budget is used up", f)
	}
	if f.Execution == problem.NotRun {
		return nil
	}
	select {
	case <-time.After(retry.Backoff(r.attempts, newRandom())):
		return nil
	case <-ctx.Done():
		return r.finalProblem(ctx, "the deadline passed", f)
	}
}

// takeRetry takes a retry from the budget, unless that was done already.
func (r *stageRun) takeRetry() bool {
	if r.retryPrepaid.CompareAndSwap(true, false) {
		return true
	}
	return r.executor.Budgets.Allow(r.budgetKey(), time.Now())
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noLimit
	}
	return time.Until(deadline)
}

const (
	// retryAfter is the Retry-After when a stage failed.
	retryAfter     = time.Second
	statusTimeout  = 504
	statusFailed   = 502
	statusNoTarget = 503
)

// finalProblem returns the problem for a stage that failed and is not retried.
// It reports whether the request ran as precisely as that is known.
func (r *stageRun) finalProblem(ctx context.Context, why string, f *target.Failure) *problem.Problem {
	execution := r.execution()
	detail := "Stage " + r.stage.Name + ": " + why + "; last failure: " + string(f.Kind) + "."
	if ctx.Err() != nil || f.Kind == target.FailedTimeout {
		return problem.New(statusTimeout, "late", "Not done by its deadline", detail, execution)
	}
	return problem.New(statusFailed, "stage-failed", "A stage failed", detail, execution).WithRetryAfter(retryAfter)
}

func (r *stageRun) execution() problem.Execution {
	switch {
	case r.earlierStageRan:
		return problem.Ran
	case r.mayHaveRun:
		return problem.Unknown
	default:
		return problem.NotRun
	}
}

func (r *stageRun) noTargetProblem(ctx context.Context) *problem.Problem {
	if r.executor.Suspicion.Check(r.state.req.Fingerprint()) == suspect.Convicted {
		return convictedProblem(r.execution())
	}
	if r.executor.Suspicion.Convicted(r.traits) {
		return convictedPartProblem(r.execution())
	}
	if ctx.Err() != nil {
		return r.finalProblem(ctx, "the deadline passed", &target.Failure{Kind: target.FailedTimeout})
	}
	return problem.New(statusNoTarget, "no-target", "No target in use",
		"Pool "+r.pool.Name+" has no target that can take the request now.", r.execution()).WithRetryAfter(retryAfter)
}

func (r *stageRun) identity(a *attempt) target.Identity {
	return target.Identity{Request: r.state.req.ID, Stage: r.stage.Name, Attempt: a.number}
}

// runAttempt makes one attempt. It ends the attempt's lease and sends exactly
// one result.
func (r *stageRun) runAttempt(ctx context.Context, a *attempt, path string, body []byte, results chan<- outcome) {
	id := r.identity(a)
	slowAfter := r.slowAfter(ctx)
	answer, err := r.executor.Client.Do(ctx, target.Call{
		Address: a.lease.Address, Method: "POST", Path: path, Identity: id,
		Customer: r.state.req.Customer, ContentType: contentJSON, Body: body,
	})
	o := outcome{attempt: a, answer: answer, err: err}
	if err == nil {
		o.parsed, o.err = r.read(answer, id)
	}
	o.err = withdrawnFailure(ctx, o.err)
	r.finishAttempt(o, slowAfter)
	results <- o
}

// withdrawnFailure replaces the failure of a call that was withdrawn.
func withdrawnFailure(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, errCallerLeft) || !errors.Is(context.Cause(ctx), target.ErrWithdrawn) {
		return err
	}
	f := asFailure(err)
	return &target.Failure{Kind: target.FailedWithdrawn, Execution: f.Execution, Err: f.Err}
}

// read checks and parses an answer, or returns a failure.
func (r *stageRun) read(answer *target.Answer, id target.Identity) (parsedAnswer, error) {
	if answer.Status != statusOK {
		return parsedAnswer{}, statusFailure(answer)
	}
	if err := r.checkVersion(answer); err != nil {
		return parsedAnswer{}, err
	}
	return r.parse(answer, id)
}

const statusOK = 200

// statusFailure distinguishes refusals before execution from other errors.
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

// checkVersion rejects an answer of a model version that the pool doesn't
// accept. An engine that ignores fencing may have applied an outdated order,
// and its answer would look like any other.
func (r *stageRun) checkVersion(answer *target.Answer) error {
	if r.pool.Accepts(answer.Version) {
		return nil
	}
	return &target.Failure{
		Kind: target.FailedVersion, Execution: problem.Ran,
		Err: errors.New("answer has model version " + answer.Version + ", but " + r.pool.Version + " is in force"),
	}
}

// finishAttempt reports the result of an attempt to its lease and charges it if
// it failed but may have run. slowAfter is the duration from which a cancelled
// or timed-out attempt counts as a failure of its target.
func (r *stageRun) finishAttempt(o outcome, slowAfter time.Duration) {
	defer o.attempt.release()
	now := time.Now()
	took := now.Sub(o.attempt.since)
	if o.answer != nil {
		o.attempt.lease.RecordLoadReport(o.answer.Load, now)
	}
	if o.err == nil {
		o.attempt.lease.Done(directory.Succeeded, took, now)
		r.executor.Suspicion.Answered(r.callTo(o.attempt.lease.Address))
		return
	}
	f := asFailure(o.err)
	o.attempt.lease.Done(leaseResult(f, took > slowAfter), took, now)
	if f.Kind != target.FailedCancelled {
		r.executor.Observer.CallFailed(r.state.req.ID, r.stage.Name, o.attempt.lease.Address, f)
	}
	if f.Execution != problem.NotRun {
		r.executor.Observer.Charged(r.chargeFor(o, wasteOf(o.attempt, f)))
	}
}

func wasteOf(a *attempt, f *target.Failure) Waste {
	if f.Kind == target.FailedCancelled || f.Kind == target.FailedWithdrawn {
		return wasteOfCancelled(a)
	}
	return WasteFailed
}

func wasteOfCancelled(a *attempt) Waste {
	if a.hedge {
		return WasteHedge
	}
	return WasteCanceled
}

// leaseResult maps a failure to a result for the target. A call that was
// cancelled, or cut off by the request's deadline, counts against its target
// only if it was slow by then. That is how frozen targets are detected.
func leaseResult(f *target.Failure, slow bool) directory.Result {
	switch f.Kind {
	case target.FailedConnect:
		return directory.Refused
	case target.FailedCancelled, target.FailedWithdrawn, target.FailedTimeout:
		if slow {
			return directory.Failed
		}
		return directory.Neutral
	default:
		return directory.Failed
	}
}
