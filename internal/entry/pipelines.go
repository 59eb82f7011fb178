package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/jsonbody"
	"github.com/vanillagate/vanillagate/internal/limit"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// PipelineRequest is the body of POST /v1/pipelines/{pipeline}.
type PipelineRequest struct {
	Input string `json:"input"`
	// MaxTokens bounds the length of the output; zero means the pipeline's own
	// limit.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// PipelineAnswer is the response to a request that is not streamed.
type PipelineAnswer struct {
	RequestID string                 `json:"request_id"`
	Pipeline  string                 `json:"pipeline"`
	Output    string                 `json:"output"`
	Usage     targetapi.Usage        `json:"usage"`
	Stages    []pipeline.StageReport `json:"stages"`
}

const maxTokensAllowed = 8192

// call is a caller's request in progress.
type call struct {
	requestInfo
	contract     config.Contract
	name         string // name of the pipeline or service
	expectedTime time.Duration
	maxTokens    int // upper bound of the tokens it generates
}

func (s *Server) servePipeline(ctx *fasthttp.RequestCtx, name string) {
	state := s.keeper.State()
	p, found := state.Pipelines[name]
	r, prob := readRequestInfo(ctx, pipelineTimeout(p))
	if prob != nil {
		s.refuse(ctx, r, "", prob)
		return
	}
	contract, prob := s.authenticateCaller(ctx)
	if prob != nil {
		s.refuse(ctx, r, "", prob)
		return
	}
	body, prob := readPipelineRequest(ctx, found, name)
	if prob != nil {
		s.refuse(ctx, r, contract.Customer, prob)
		return
	}
	c := &call{requestInfo: r, contract: contract, name: name, expectedTime: s.executor.Latencies.ExpectedRemaining(p, 0)}
	c.maxTokens = tokenLimit(p, body.MaxTokens)
	req := &pipeline.Request{
		ID: r.id, Customer: contract.Customer, Pipeline: p, Pools: state.Pools, Input: body.Input,
		MaxTokens: body.MaxTokens, Priority: contract.Priority, Hedge: s.hedgeRate(contract),
		Pack: 1 - balanceOf(contract),
	}
	ctx.Response.Header.Set(targetapi.HeaderRequestID, r.id)
	if body.Stream {
		s.streamPipeline(ctx, c, req)
		return
	}
	s.answerPipeline(ctx, c, req)
}

func pipelineTimeout(p config.Pipeline) time.Duration {
	if p.DefaultTimeoutMS > 0 {
		return time.Duration(p.DefaultTimeoutMS) * time.Millisecond
	}
	return defaultTimeout
}

// tokenLimit returns how many tokens a request may generate in its last stage.
// The contract's token limit is checked against it.
func tokenLimit(p config.Pipeline, requested int) int {
	if requested > 0 {
		return requested
	}
	if last := len(p.Stages) - 1; last >= 0 && p.Stages[last].MaxTokens > 0 {
		return p.Stages[last].MaxTokens
	}
	return pipeline.DefaultMaxTokens
}

// balanceOf returns the contract's trade-off between low cost (0) and meeting
// deadlines (1).
func balanceOf(c config.Contract) float64 {
	if c.Balance == nil {
		return 1
	}
	return *c.Balance
}

// hedgeRate returns how freely slow stages are hedged. It follows the
// contract's balance, because hedges cost engine time.
func (s *Server) hedgeRate(c config.Contract) float64 {
	if s.opts.Policy.NoHedge {
		return 0
	}
	return balanceOf(c)
}

func readPipelineRequest(ctx *fasthttp.RequestCtx, found bool, name string) (PipelineRequest, *problem.Problem) {
	var body PipelineRequest
	if !ctx.IsPost() {
		return body, problem.New(405, "method", "Method not allowed", "Use POST.", problem.NotRun)
	}
	if !found {
		return body, problem.New(404, "no-pipeline", "No such pipeline", "No pipeline named "+name+" is in force.", problem.NotRun)
	}
	if err := jsonbody.Check(ctx.PostBody()); err != nil {
		return body, problem.New(400, "malformed", "Malformed JSON", err.Error(), problem.NotRun)
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		return body, problem.New(400, "malformed", "Malformed JSON", err.Error(), problem.NotRun)
	}
	if body.Input == "" {
		return body, problem.New(400, "no-input", "No input", `The body must have a text "input".`, problem.NotRun)
	}
	if body.MaxTokens < 0 || body.MaxTokens > maxTokensAllowed {
		return body, problem.New(400, "max-tokens", "Bad max_tokens", "max_tokens must be 0 to 8192.", problem.NotRun)
	}
	return body, nil
}

// admission is an admitted request's share of its contract's limits and its
// permit from the concurrency limiter. end must be called exactly once.
type admission struct {
	server *Server
	grant  limit.Grant
	permit *limit.Permit
}

// end releases the admission. tokens is the number of generated tokens.
// countsTowardLoad means that the duration is a sample of the targets' load.
func (a *admission) end(tokens int, countsTowardLoad bool) {
	a.permit.Release(countsTowardLoad)
	a.server.customers.Done(a.grant, tokens, time.Now())
}

// admit checks a request against its contract's limits and acquires a permit
// from the concurrency limiter. If both results are nil, the caller
// disconnected or the deadline passed while the request waited.
func (s *Server) admit(ctx context.Context, c *call) (*admission, *problem.Problem) {
	now := time.Now()
	if int(s.callerRequests.Load()) > s.opts.MaxInFlight {
		return nil, problem.New(503, "full", "Too many requests in this VM",
			"This VM serves as many requests as it may.", problem.NotRun).WithRetryAfter(fullRetryAfter)
	}
	grant, verdict, wait := s.customers.Admit(c.contract, c.maxTokens, now)
	if verdict != limit.Admitted {
		return nil, problem.New(429, "limit", "Over the contract's limit",
			"The request is "+string(verdict)+".", problem.NotRun).WithRetryAfter(wait)
	}
	if !s.opts.Policy.NoAdmission && now.Add(c.expectedTime).After(c.deadline) {
		s.customers.Done(grant, 0, time.Now())
		return nil, problem.New(503, "too-late", "Can't be done in time",
			"The stages take longer now than the request has time.", problem.NotRun).WithRetryAfter(c.expectedTime)
	}
	permit, refusal := s.limiters.get(c.name).Acquire(ctx, limit.AcquireRequest{
		Customer: c.contract.Customer, Weight: c.contract.Share, Deadline: c.deadline, ServiceTime: c.expectedTime,
	})
	if permit != nil {
		return &admission{server: s, grant: grant, permit: permit}, nil
	}
	s.customers.Done(grant, 0, time.Now())
	if refusal == nil {
		return nil, nil
	}
	return nil, problem.New(503, "overload", "Can't be done in time",
		"Too many requests wait for "+c.name+".", problem.NotRun).WithRetryAfter(refusal.RetryAfter)
}

const (
	startingRetryAfter = time.Second
	fullRetryAfter     = 500 * time.Millisecond
)

// run admits a request and executes it.
func (s *Server) run(ctx context.Context, c *call, req *pipeline.Request) (*pipeline.Result, *problem.Problem) {
	a, prob := s.admit(ctx, c)
	if prob != nil {
		return nil, prob
	}
	if a == nil {
		return nil, interruptedProblem(ctx, problem.NotRun)
	}
	if a.permit.OverShare {
		req.Priority = lowestPriority
	}
	result, prob := s.executor.Run(ctx, req)
	tokens := 0
	if result != nil {
		tokens = result.Usage.CompletionTokens
	}
	a.end(tokens, prob == nil || prob.Status == fasthttp.StatusGatewayTimeout)
	return result, prob
}

// lowestPriority is the least urgent priority that engines accept.
const lowestPriority = 9

func interruptedProblem(ctx context.Context, execution problem.Execution) *problem.Problem {
	if errors.Is(context.Cause(ctx), errCallerLeft) {
		return problem.New(499, "caller-left", "The caller left", "The connection was closed.", execution)
	}
	return problem.New(504, "late", "Not done by its deadline", "The deadline passed before the request was let in.", execution)
}

func (s *Server) answerPipeline(ctx *fasthttp.RequestCtx, c *call, req *pipeline.Request) {
	runCtx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	runCtx, stopWatching := s.hangups.Watch(runCtx, ctx.Conn())
	result, prob := s.run(runCtx, c, req)
	stopWatching()
	if prob != nil {
		s.refuse(ctx, c.requestInfo, c.contract.Customer, prob)
		return
	}
	s.served(c)
	writeJSON(ctx, PipelineAnswer{
		RequestID: c.id, Pipeline: c.name, Output: result.Output, Usage: result.Usage, Stages: result.Stages,
	})
}

func (s *Server) served(c *call) {
	took := time.Since(c.receivedAt)
	s.observer.recordServed(c.contract.Customer, c.name, took)
	s.log.Debug("Request served.", logging.RequestID(c.id), zap.String("customer", c.contract.Customer),
		zap.String("pipeline", c.name), zap.Duration("took", took))
}
