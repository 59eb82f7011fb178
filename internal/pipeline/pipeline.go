// Package pipeline runs one request through the stages of its pipeline under
// one deadline.
package pipeline

import (
	"context"
	"time"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/suspect"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Request is one request for a pipeline. Its deadline is the context's.
type Request struct {
	ID        string
	Customer  string
	Pipeline  config.Pipeline
	Pools     map[string]config.Pool
	Input     string
	MaxTokens int // zero means the stage's own
	Priority  int
	// Hedge says how freely slow stages are hedged: 0 never, 1 as the budget
	// allows.
	Hedge float64
	// Pack says how far generations are put together on few engines, which
	// costs less and takes longer: 0 not at all, 1 as far as the deadline allows.
	Pack float64
	// OnText, where not nil, gets the generated text piece by piece. An error
	// says that the caller left.
	OnText func(text string) error
}

// Fingerprint identifies the request by what its targets do for it.
func (r *Request) Fingerprint() suspect.Fingerprint {
	return suspect.FingerprintOf(r.Customer, r.Pipeline.Name, r.Input)
}

// StageReport is what one stage took.
type StageReport struct {
	Name     string  `json:"name"`
	Target   string  `json:"target"`
	Attempts int     `json:"attempts"`
	Millis   float64 `json:"millis"`
}

// Result is the answer to a request.
type Result struct {
	Output string
	Usage  targetapi.Usage
	Stages []StageReport
}

// Waste says why a call at a target was of no use.
type Waste string

// The reasons.
const (
	NoWaste       Waste = ""
	WasteHedge    Waste = "hedge_lost"
	WasteFailed   Waste = "failed"
	WasteCanceled Waste = "cancelled"
)

// Charge is what one call at a target cost.
type Charge struct {
	Customer, Pipeline, Stage string
	// Pool and Target, an address, say who was called, Took how long this
	// process waited for it.
	Pool, Target string
	Took         time.Duration
	// EngineTime is what the target said; zero where it gave no answer.
	EngineTime time.Duration
	Usage      targetapi.Usage
	Waste      Waste
}

// Observer is told what happens. Its methods are called from many goroutines.
type Observer interface {
	// Charged is called once for each call at a target that may have run.
	Charged(Charge)
	// StageDone is called for each stage that ended well.
	StageDone(customer, pipeline, stage string, took time.Duration)
	// CallFailed is called for each failed call at a target.
	CallFailed(requestID, stage, address string, err error)
}

// Suspicion knows of requests that are suspected of crashing targets, and
// tells the peers.
type Suspicion interface {
	RecordCrash(f suspect.Fingerprint, address string)
	RecordSuccess(f suspect.Fingerprint)
	Check(f suspect.Fingerprint) suspect.Verdict
	// RequestPermission says how a request may run now; Done ends what it gave.
	RequestPermission(f suspect.Fingerprint) suspect.Permission
	ReleasePermission(f suspect.Fingerprint, leave suspect.Permission)
	// MayContinue says whether what Ask gave still stands; Watch has fn called when
	// it may have changed, until stop is called.
	MayContinue(f suspect.Fingerprint, leave suspect.Permission) bool
	Watch(f suspect.Fingerprint, fn func()) (stop func())
	// Quarantine says on which of a pool's targets a suspect may run.
	Quarantine(pool string) func(address string) bool
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

// Prefixes knows which target has which prompt prefix cached.
type Prefixes interface {
	// SavedTime gives the prefill time saved at each target for a prompt.
	SavedTime(pool, prompt string) func(address string) time.Duration
	// RecordPrompt notes that a target has worked on a prompt.
	RecordPrompt(pool, address, prompt string)
	// RecordUsage notes how many tokens a prompt had.
	RecordUsage(pool, prompt string, usage targetapi.Usage)
}

// work is what has been made of a request so far.
type work struct {
	req    *Request
	vector []float32
	docs   []string
	output string
	usage  targetapi.Usage
}

// Run takes the request through all stages. Errors are problems for the
// caller; a stage's result is used only by the request that asked for it.
func (x *Executor) Run(ctx context.Context, req *Request) (*Result, *problem.Problem) {
	if p := x.turnAway(req); p != nil {
		return nil, p
	}
	w := &work{req: req}
	result := &Result{}
	for i := range req.Pipeline.Stages {
		report, p := x.stage(ctx, w, i, result)
		if p != nil {
			p.RequestID = req.ID
			return nil, p
		}
		result.Stages = append(result.Stages, report)
	}
	if x.Suspicion.Check(req.Fingerprint()) == suspect.Suspected {
		x.Suspicion.RecordSuccess(req.Fingerprint())
	}
	result.Output = w.output
	result.Usage = w.usage
	return result, nil
}

// turnAway refuses a request that is known to crash its targets.
func (x *Executor) turnAway(req *Request) *problem.Problem {
	if x.Suspicion.Check(req.Fingerprint()) == suspect.Convicted {
		return convicted(problem.NotRun)
	}
	return nil
}

func convicted(execution problem.Execution) *problem.Problem {
	return problem.New(422, "crashes-targets", "Request crashes its targets",
		"Two targets died while they ran this request. It will not be tried again.", execution)
}

func (x *Executor) stage(ctx context.Context, w *work, index int, soFar *Result) (StageReport, *problem.Problem) {
	stage := w.req.Pipeline.Stages[index]
	pool, ok := w.req.Pools[stage.Pool]
	if !ok {
		return StageReport{}, problem.New(500, "no-pool", "Pipeline is not complete",
			"Stage "+stage.Name+" names a pool that doesn't exist.", ranIf(index > 0))
	}
	run := newStageRun(x, w, index, pool)
	p := run.do(ctx)
	report := StageReport{
		Name: stage.Name, Target: run.answeredBy, Attempts: run.attempts,
		Millis: float64(time.Since(run.since).Microseconds()) / 1000,
	}
	if p == nil {
		x.Latencies.Observe(w.req.Pipeline.Name, stage.Name, time.Since(run.since))
		x.Observer.StageDone(w.req.Customer, w.req.Pipeline.Name, stage.Name, time.Since(run.since))
	}
	return report, p
}

func ranIf(ran bool) problem.Execution {
	if ran {
		return problem.Ran
	}
	return problem.NotRun
}
