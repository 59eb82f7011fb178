package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// generation is the state of one generation across its attempts. A stream that
// breaks is resumed on another engine from the text received so far.
type generation struct {
	prompt    string
	text      strings.Builder
	tokens    int // received so far
	maxTokens int
	usage     targetapi.Usage
	onText    func(text string) error
}

// errCallerLeft ends a generation whose caller has disconnected.
var errCallerLeft = &target.Failure{
	Kind: target.FailedCancelled, Execution: problem.Ran, Err: errors.New("pipeline: the caller left"),
}

var doneEvent = []byte("[DONE]")

func (r *stageRun) maxTokens() int {
	if r.state.req.MaxTokens > 0 {
		return r.state.req.MaxTokens
	}
	if r.stage.MaxTokens > 0 {
		return r.stage.MaxTokens
	}
	return DefaultMaxTokens
}

// isLastStage reports whether this stage's text is the response to the caller.
func (r *stageRun) isLastStage() bool { return r.index == len(r.state.req.Pipeline.Stages)-1 }

// generate makes attempts, one after the other, until the text is complete.
func (r *stageRun) generate(ctx context.Context) *problem.Problem {
	g := &generation{prompt: r.state.prompt(r.stage), maxTokens: r.maxTokens()}
	if r.isLastStage() {
		g.onText = r.state.req.OnText
	}
	for {
		a := r.acquire(ctx, false, g.maxTokens-g.tokens, r.prefillSaved(g.prompt))
		if a == nil {
			return r.noTargetProblem(ctx)
		}
		err := r.generateOnce(a.ctx, a, g)
		if err == nil {
			r.finish(a, g)
			return nil
		}
		f := asFailure(err)
		if errors.Is(err, errCallerLeft) {
			return problem.New(statusCallerLeft, "caller-left", "The caller left", "The connection was closed.", problem.Ran)
		}
		if !r.recordFailure(ctx, f, a.lease.Address) {
			return convictedProblem(problem.Unknown)
		}
		if g.complete() {
			r.finish(a, g)
			return nil
		}
		if p := r.prepareRetry(ctx, f); p != nil {
			return p
		}
	}
}

// complete reports whether all tokens were received. A stream can break after
// its last token but before its [DONE] event. An engine that is then asked for
// the remaining zero tokens would generate its default number of tokens.
func (g *generation) complete() bool { return g.tokens >= g.maxTokens }

// statusCallerLeft is the status that nginx uses for a request closed by the
// client. It only appears in logs and metrics.
const statusCallerLeft = 499

func (r *stageRun) prefillSaved(prompt string) func(string) time.Duration {
	if r.executor.Prefixes == nil {
		return nil
	}
	return r.executor.Prefixes.SavedTime(r.pool.Name, prompt)
}

func (r *stageRun) finish(a *attempt, g *generation) {
	r.answeredBy = a.lease.Address
	r.executor.Budgets.For(r.budgetKey()).RecordSuccess()
	r.state.output = g.text.String()
	if r.executor.Prefixes != nil {
		r.executor.Prefixes.RecordUsage(r.pool.Name, g.prompt, g.usage)
	}
	r.state.usage.PromptTokens += g.usage.PromptTokens
	r.state.usage.CachedTokens += g.usage.CachedTokens
	r.state.usage.CompletionTokens += g.tokens
}

// generateOnce makes one attempt at the rest of the text. It ends the attempt's
// lease and charges its cost.
func (r *stageRun) generateOnce(ctx context.Context, a *attempt, g *generation) error {
	o := outcome{attempt: a}
	before := g.tokens
	watched, watch := watchStall(ctx, r.prepayRetry)
	defer watch.stop()
	stream, err := r.openStream(watched, a, g)
	if err == nil {
		o.answer = stream.Answer
		err = r.readEvents(stream, a, g, watch)
		stream.Close()
	}
	if err != nil && watch.stalled() {
		err = &target.Failure{Kind: target.FailedTimeout, Execution: problem.Unknown, Err: errStalled}
	}
	err = withdrawnFailure(ctx, err)
	o.parsed.usage = g.usage
	o.parsed.usage.CompletionTokens = g.tokens - before
	o.err = err
	r.finishAttempt(o, slowAfterStall(watch))
	if err == nil {
		r.executor.Observer.Charged(r.chargeFor(o, NoWaste))
	}
	return err
}

func (r *stageRun) openStream(ctx context.Context, a *attempt, g *generation) (*target.Stream, error) {
	body, err := json.Marshal(targetapi.CompletionRequest{
		Model: r.pool.Model, Prompt: g.prompt + g.text.String(), MaxTokens: g.maxTokens - g.tokens,
		Stream: true, Priority: r.state.req.Priority, User: r.state.req.Customer,
	})
	if err != nil {
		panic("pipeline: encode: " + err.Error())
	}
	if r.executor.Prefixes != nil {
		r.executor.Prefixes.RecordPrompt(r.pool.Name, a.lease.Address, g.prompt)
	}
	return r.executor.Client.OpenStream(ctx, target.Call{
		Address: a.lease.Address, Method: "POST", Path: targetapi.PathCompletions, Identity: r.identity(a),
		Customer: r.state.req.Customer, ContentType: contentJSON, Body: body,
	})
}

// readEvents reads one stream to its end. A stream that ends without [DONE] is
// a failure: a truncated answer must never pass as complete.
func (r *stageRun) readEvents(stream *target.Stream, a *attempt, g *generation, watch *stallWatch) error {
	if stream.Answer.Status != statusOK {
		return statusFailure(stream.Answer)
	}
	if err := r.checkVersion(stream.Answer); err != nil {
		return err
	}
	id := "cmpl-" + r.identity(a).String()
	hasFinishReason := false
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return brokenStream(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return err
		}
		if bytes.Equal(data, doneEvent) {
			if !hasFinishReason {
				return brokenStream(errors.New("stream ended without a finish reason"))
			}
			stream.Drain()
			return nil
		}
		watch.progressed()
		ended, err := g.handleEvent(data, id)
		if err != nil {
			return err
		}
		hasFinishReason = hasFinishReason || ended
	}
}

func brokenStream(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedBroken, Execution: problem.Unknown, Err: err}
}

// handleEvent processes one event; ended is true if it has a finish reason.
func (g *generation) handleEvent(data []byte, id string) (ended bool, err error) {
	var c targetapi.Completion
	if err := json.Unmarshal(data, &c); err != nil {
		return false, badFormat(err)
	}
	if c.ID != id {
		return false, identityMismatch(errors.New("event has ID " + c.ID + ", want " + id))
	}
	if c.Usage != nil {
		g.usage.PromptTokens = c.Usage.PromptTokens
		g.usage.CachedTokens = c.Usage.CachedTokens
	}
	for _, choice := range c.Choices {
		if err := g.add(choice.Text); err != nil {
			return false, err
		}
		ended = ended || choice.FinishReason != nil
	}
	return ended, nil
}

func (g *generation) add(text string) error {
	if text == "" {
		return nil
	}
	g.text.WriteString(text)
	g.tokens++
	if g.onText == nil {
		return nil
	}
	if err := g.onText(text); err != nil {
		return errCallerLeft
	}
	return nil
}
