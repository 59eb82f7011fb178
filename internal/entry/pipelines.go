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
	// MaxTokens bounds the answer; zero means the pipeline's own bound.
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// PipelineAnswer is the answer that isn't a stream.
type PipelineAnswer struct {
	RequestID string                 `json:"request_id"`
	Pipeline  string                 `json:"pipeline"`
	Output    string                 `json:"output"`
	Usage     targetapi.Usage        `json:"usage"`
	Stages    []pipeline.StageReport `json:"stages"`
}

const maxTokensAllowed = 8192

// call is one request of a caller on its way.
type call struct {
	received
	contract config.Contract
	name     string // of the pipeline or service
	need     time.Duration
	tokens   int // that it generates at most
}

func (s *Server) servePipeline(ctx *fasthttp.RequestCtx, name string) {
	state := s.keeper.State()
	p, found := state.Pipelines[name]
	r, prob := receive(ctx, pipelineTimeout(p))
	if prob != nil {
		s.refuse(ctx, r, "", prob)
		return
	}
	contract, prob := s.contractOf(ctx)
	if prob != nil {
		s.refuse(ctx, r, "", prob)
		return
	}
	body, prob := readPipelineRequest(ctx, found, name)
	if prob != nil {
		s.refuse(ctx, r, contract.Customer, prob)
		return
	}
	c := &call{received: r, contract: contract, name: name, need: s.executor.Latencies.ExpectedRemaining(p, 0)}
	c.tokens = mostTokens(p, body.MaxTokens)
	req := &pipeline.Request{
		ID: r.id, Customer: contract.Customer, Pipeline: p, Pools: state.Pools, Input: body.Input,
		MaxTokens: body.MaxTokens, Priority: contract.Priority, Hedge: s.hedgeFor(contract),
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

// mostTokens is how many tokens a request may generate in its last stage, which
// is what its caller is charged for.
func mostTokens(p config.Pipeline, asked int) int {
	if asked > 0 {
		return asked
	}
	if last := len(p.Stages) - 1; last >= 0 && p.Stages[last].MaxTokens > 0 {
		return p.Stages[last].MaxTokens
	}
	return pipeline.DefaultMaxTokens
}

// balanceOf is the contract's place between cost, 0, and attainment, 1.
func balanceOf(c config.Contract) float64 {
	if c.Balance == nil {
		return 1
	}
	return *c.Balance
}

// hedgeFor follows from the contract's balance: hedges cost engine time.
func (s *Server) hedgeFor(c config.Contract) float64 {
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

// admitted is the right to be served, to be ended once.
type admitted struct {
	server *Server
	grant  limit.Grant
	pass   *limit.Permit
}

func (a *admitted) end(tokens int, counts bool) {
	a.pass.Release(counts)
	a.server.customers.Done(a.grant, tokens, time.Now())
}

// admit takes a request through its contract's limits and the gate. Where both
// results are nil the caller left while it waited.
func (s *Server) admit(ctx context.Context, c *call) (*admitted, *problem.Problem) {
	now := time.Now()
	if int(s.callers.Load()) > s.opts.MaxInFlight {
		return nil, problem.New(503, "full", "Too many requests in this VM",
			"This VM serves as many requests as it may.", problem.NotRun).WithRetryAfter(fullRetry)
	}
	grant, verdict, wait := s.customers.Admit(c.contract, c.tokens, now)
	if verdict != limit.Admitted {
		return nil, problem.New(429, "limit", "Over the contract's limit",
			"The request is "+string(verdict)+".", problem.NotRun).WithRetryAfter(wait)
	}
	if !s.opts.Policy.NoAdmission && now.Add(c.need).After(c.deadline) {
		s.customers.Done(grant, 0, time.Now())
		return nil, problem.New(503, "too-late", "Can't be done in time",
			"The stages take longer now than the request has time.", problem.NotRun).WithRetryAfter(c.need)
	}
	pass, refusal := s.gates.of(c.name).Acquire(ctx, limit.AcquireRequest{
		Customer: c.contract.Customer, Weight: c.contract.Share, Deadline: c.deadline, ServiceTime: c.need,
	})
	if pass != nil {
		return &admitted{server: s, grant: grant, pass: pass}, nil
	}
	s.customers.Done(grant, 0, time.Now())
	if refusal == nil {
		return nil, nil
	}
	return nil, problem.New(503, "overload", "Can't be done in time",
		"Too many requests wait for "+c.name+".", problem.NotRun).WithRetryAfter(refusal.RetryAfter)
}

const (
	startingRetry = time.Second
	fullRetry     = 500 * time.Millisecond
)

// run takes a request from admission to its result.
func (s *Server) run(ctx context.Context, c *call, req *pipeline.Request) (*pipeline.Result, *problem.Problem) {
	a, prob := s.admit(ctx, c)
	if prob != nil {
		return nil, prob
	}
	if a == nil {
		return nil, leftProblem(ctx, problem.NotRun)
	}
	if a.pass.OverShare {
		req.Priority = leastUrgent
	}
	result, prob := s.executor.Run(ctx, req)
	tokens := 0
	if result != nil {
		tokens = result.Usage.CompletionTokens
	}
	a.end(tokens, prob == nil || prob.Status == fasthttp.StatusGatewayTimeout)
	return result, prob
}

// leastUrgent is the last of the engines' priorities.
const leastUrgent = 9

func leftProblem(ctx context.Context, execution problem.Execution) *problem.Problem {
	if errors.Is(context.Cause(ctx), errCallerLeft) {
		return problem.New(499, "caller-left", "The caller left", "The connection was closed.", execution)
	}
	return problem.New(504, "late", "Not done by its deadline", "The deadline passed before the request was let in.", execution)
}

func (s *Server) answerPipeline(ctx *fasthttp.RequestCtx, c *call, req *pipeline.Request) {
	runCtx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	runCtx, watched := s.hangups.Watch(runCtx, ctx.Conn())
	result, prob := s.run(runCtx, c, req)
	watched()
	if prob != nil {
		s.refuse(ctx, c.received, c.contract.Customer, prob)
		return
	}
	s.served(c)
	writeJSON(ctx, PipelineAnswer{
		RequestID: c.id, Pipeline: c.name, Output: result.Output, Usage: result.Usage, Stages: result.Stages,
	})
}

func (s *Server) served(c *call) {
	took := time.Since(c.since)
	s.observer.served(c.contract.Customer, c.name, took)
	s.log.Debug("Request served.", logging.RequestID(c.id), zap.String("customer", c.contract.Customer),
		zap.String("pipeline", c.name), zap.Duration("took", took))
}
