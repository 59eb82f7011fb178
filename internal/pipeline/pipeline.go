// Package pipeline runs a request through the stages of its pipeline under one
// deadline.
package pipeline

import (
	"context"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Request is a request to a pipeline. Its deadline is that of the context.
type Request struct {
	ID        string
	Customer  string
	Pipeline  config.Pipeline
	Pools     map[string]config.Pool
	Input     string
	MaxTokens int // zero means the stage's own limit
	Priority  int
	// Hedge is how freely slow stages are hedged: 0 never, 1 as far as the
	// budget allows.
	Hedge float64
	// Pack is how far generations are packed onto few engines, which costs less
	// but takes longer: 0 not at all, 1 as far as the deadline allows.
	Pack float64
	// OnText, if not nil, is called with each piece of the generated text. An
	// error means that the caller disconnected.
	OnText func(text string) error
}

// Fingerprint identifies the request by the content that determines what its
// targets do.
func (r *Request) Fingerprint() suspect.Fingerprint {
	return suspect.FingerprintOf(r.Customer, r.Pipeline.Name, r.Input)
}

// StageReport describes how one stage was executed.
type StageReport struct {
	Name     string  `json:"name"`
	Target   string  `json:"target"`
	Attempts int     `json:"attempts"`
	Millis   float64 `json:"millis"`
}

// Result is the result of a request.
type Result struct {
	Output string
	Usage  targetapi.Usage
	Stages []StageReport
}

// Waste is the reason why a call's result was not used.
type Waste string

// Reasons for wasted calls; NoWaste means that the result was used.
const (
	NoWaste       Waste = ""
	WasteHedge    Waste = "hedge_lost"
	WasteFailed   Waste = "failed"
	WasteCanceled Waste = "cancelled"
)

// Charge is the cost of one call at a target.
type Charge struct {
	Customer, Pipeline, Stage string
	// Pool and Target (an address) identify the target, Took is how long this
	// process waited for it.
	Pool, Target string
	Took         time.Duration
	// EngineTime is the time that the target reported; zero if it gave no
	// answer.
	EngineTime time.Duration
	Usage      targetapi.Usage
	Waste      Waste
}

// Observer is notified of stages and calls. Its methods are called
// concurrently.
type Observer interface {
	// Charged is called once for each call at a target that may have run.
	Charged(Charge)
	// StageDone is called for each stage that succeeded.
	StageDone(customer, pipeline, stage string, took time.Duration)
	// CallFailed is called for each failed call at a target, and for each that was withdrawn.
	CallFailed(requestID, stage, address string, err error)
}

// Suspicion tracks requests that are suspected of crashing targets and shares
// the evidence with the peers.
type Suspicion interface {
	RecordCrash(f suspect.Fingerprint, address string)
	RecordSuccess(f suspect.Fingerprint)
	Check(f suspect.Fingerprint) suspect.Verdict
	// RequestPermission returns how a request may run now. ReleasePermission
	// gives back a permission.
	RequestPermission(f suspect.Fingerprint) suspect.Permission
	ReleasePermission(f suspect.Fingerprint, permission suspect.Permission)
	// MayContinue reports whether a permission is still valid. Watch calls fn
	// when that may have changed, until stop is called.
	MayContinue(f suspect.Fingerprint, permission suspect.Permission) bool
	Watch(f suspect.Fingerprint, fn func()) (stop func())
	// Quarantine returns a filter for the targets of a pool that a suspect may
	// use.
	Quarantine(pool string) func(address string) bool
	// Convicted reports whether calls with some traits crash their targets, however
	// unlike their requests are. Crashed records such a crash, Answered a call that
	// its target survived.
	Convicted(crashes.Traits) bool
	Crashed(crashes.Call)
	Answered(crashes.Call)
}

// Executor runs requests. Its fields are set once, before the first Run.
type Executor struct {
	Targets   *directory.Table
	Client    *target.Client
	Budgets   *retry.Budgets
	Latencies *LatencyTracker
	Observer  Observer
	Suspicion Suspicion
	// Prefixes may be nil: no prefix-cache affinity.
	Prefixes Prefixes
}

// Prefixes tracks which target has which prompt prefixes cached.
type Prefixes interface {
	// SavedTime returns the prefill time that each target's cache would save for a
	// prompt.
	SavedTime(pool, prompt string) func(address string) time.Duration
	// RecordPrompt records that a prompt was sent to a target.
	RecordPrompt(pool, address, prompt string)
	// RecordUsage records how many tokens a prompt had.
	RecordUsage(pool, prompt string, usage targetapi.Usage)
}

// requestState accumulates the results of a request's stages.
type requestState struct {
	req    *Request
	vector []float32
	docs   []string
	output string
	usage  targetapi.Usage
}

// Run runs the request through all stages. Errors are problems for the caller.
// A stage's result is used only for the request that asked for it.
func (x *Executor) Run(ctx context.Context, req *Request) (*Result, *problem.Problem) {
	if p := x.refuseConvicted(req); p != nil {
		return nil, p
	}
	state := &requestState{req: req}
	result := &Result{}
	for i := range req.Pipeline.Stages {
		report, p := x.runStage(ctx, state, i, result)
		if p != nil {
			p.RequestID = req.ID
			return nil, p
		}
		result.Stages = append(result.Stages, report)
	}
	if x.Suspicion.Check(req.Fingerprint()) == suspect.Suspected {
		x.Suspicion.RecordSuccess(req.Fingerprint())
	}
	result.Output = state.output
	result.Usage = state.usage
	return result, nil
}

// refuseConvicted refuses a request that is known to crash its targets.
func (x *Executor) refuseConvicted(req *Request) *problem.Problem {
	if x.Suspicion.Check(req.Fingerprint()) == suspect.Convicted {
		return convictedProblem(problem.NotRun)
	}
	return nil
}

func convictedProblem(execution problem.Execution) *problem.Problem {
	return problem.New(422, "crashes-targets", "Request crashes its targets",
		"Two targets died while they ran this request. It will not be tried again.", execution)
}

func convictedPartProblem(execution problem.Execution) *problem.Problem {
	return problem.New(422, "crashes-targets", "Request crashes its targets",
		"Several targets died while they ran requests with a document of this one. It will not be tried.", execution)
}

func (x *Executor) runStage(ctx context.Context, state *requestState, index int, soFar *Result) (StageReport, *problem.Problem) {
	stage := state.req.Pipeline.Stages[index]
	pool, ok := state.req.Pools[stage.Pool]
	if !ok {
		return StageReport{}, problem.New(500, "no-pool", "Pipeline is not complete",
			"Stage "+stage.Name+" names a pool that doesn't exist.", executionIf(index > 0))
	}
	run := newStageRun(x, state, index, pool)
	p := run.execute(ctx)
	report := StageReport{
		Name: stage.Name, Target: run.answeredBy, Attempts: run.attempts,
		Millis: float64(time.Since(run.since).Microseconds()) / 1000,
	}
	if p == nil {
		x.Latencies.Observe(state.req.Pipeline.Name, stage.Name, time.Since(run.since))
		x.Observer.StageDone(state.req.Customer, state.req.Pipeline.Name, stage.Name, time.Since(run.since))
	}
	return report, p
}

func executionIf(ran bool) problem.Execution {
	if ran {
		return problem.Ran
	}
	return problem.NotRun
}
