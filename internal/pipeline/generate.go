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

// generation is the state of one generation over its attempts: a stream that
// breaks is resumed on another engine from the text that came so far.
type generation struct {
	prompt    string
	text      strings.Builder
	tokens    int // so far
	maxTokens int
	usage     targetapi.Usage
	forward   func(text string) error
}

// errCallerLeft ends a generation that nobody reads any more.
var errCallerLeft = &target.Failure{
	Kind: target.FailedCancelled, Execution: problem.Ran, Err: errors.New("pipeline: the caller left"),
}

var doneMark = []byte("[DONE]")

func (r *stageRun) maxTokens() int {
	if r.w.req.MaxTokens > 0 {
		return r.w.req.MaxTokens
	}
	if r.stage.MaxTokens > 0 {
		return r.stage.MaxTokens
	}
	return DefaultMaxTokens
}

// last says that the caller reads this stage's text.
func (r *stageRun) last() bool { return r.index == len(r.w.req.Pipeline.Stages)-1 }

// generate makes attempts, one after the other, until the text is whole.
func (r *stageRun) generate(ctx context.Context) *problem.Problem {
	g := &generation{prompt: r.w.prompt(r.stage), maxTokens: r.maxTokens()}
	if r.last() {
		g.forward = r.w.req.OnText
	}
	for {
		a := r.acquire(ctx, false, g.maxTokens-g.tokens, r.saved(g.prompt))
		if a == nil {
			return r.noTarget(ctx)
		}
		err := r.segment(a.ctx, a, g)
		if err == nil {
			r.finish(a, g)
			return nil
		}
		f := asFailure(err)
		if errors.Is(err, errCallerLeft) {
			return problem.New(statusCallerLeft, "caller-left", "The caller left", "The connection was closed.", problem.Ran)
		}
		if !r.blame(ctx, f, a.lease.Address) {
			return convicted(problem.Unknown)
		}
		if g.whole() {
			r.finish(a, g)
			return nil
		}
		if p := r.mayRetry(ctx, f); p != nil {
			return p
		}
	}
}

// whole says that all tokens came. A stream can be cut between its last token
// and its end mark; an engine that is then asked for the rest, zero tokens,
// would generate as many as it does by default.
func (g *generation) whole() bool { return g.tokens >= g.maxTokens }

// statusCallerLeft is nginx's well-known status for a closed request. It only
// shows in logs and metrics.
const statusCallerLeft = 499

func (r *stageRun) saved(prompt string) func(string) time.Duration {
	if r.x.Prefixes == nil {
		return nil
	}
	return r.x.Prefixes.SavedTime(r.pool.Name, prompt)
}

func (r *stageRun) finish(a *attempt, g *generation) {
	r.answeredBy = a.lease.Address
	r.x.Budgets.For(r.budget()).RecordSuccess()
	r.w.output = g.text.String()
	if r.x.Prefixes != nil {
		r.x.Prefixes.RecordUsage(r.pool.Name, g.prompt, g.usage)
	}
	r.w.usage.PromptTokens += g.usage.PromptTokens
	r.w.usage.CachedTokens += g.usage.CachedTokens
	r.w.usage.CompletionTokens += g.tokens
}

// segment makes one attempt at the rest of the text. It settles the attempt's
// lease and cost.
func (r *stageRun) segment(ctx context.Context, a *attempt, g *generation) error {
	o := outcome{attempt: a}
	before := g.tokens
	watched, watch := watchStall(ctx, r.mayLeaveStalled)
	defer watch.stop()
	stream, err := r.open(watched, a, g)
	if err == nil {
		o.answer = stream.Answer
		err = r.readEvents(stream, a, g, watch)
		stream.Close()
	}
	if err != nil && watch.stalled() {
		err = &target.Failure{Kind: target.FailedTimeout, Execution: problem.Unknown, Err: errStalled}
	}
	o.parsed.usage = g.usage
	o.parsed.usage.CompletionTokens = g.tokens - before
	o.err = err
	r.end(o, stalledTarget(watch))
	if err == nil {
		r.x.Observer.Charged(r.charge(o, NoWaste))
	}
	return err
}

func (r *stageRun) open(ctx context.Context, a *attempt, g *generation) (*target.Stream, error) {
	body, err := json.Marshal(targetapi.CompletionRequest{
		Model: r.pool.Model, Prompt: g.prompt + g.text.String(), MaxTokens: g.maxTokens - g.tokens,
		Stream: true, Priority: r.w.req.Priority, User: r.w.req.Customer,
	})
	if err != nil {
		panic("pipeline: encode: " + err.Error())
	}
	if r.x.Prefixes != nil {
		r.x.Prefixes.RecordPrompt(r.pool.Name, a.lease.Address, g.prompt)
	}
	return r.x.Client.OpenStream(ctx, target.Call{
		Address: a.lease.Address, Method: "POST", Path: targetapi.PathCompletions, Identity: r.identity(a),
		Customer: r.w.req.Customer, ContentType: contentJSON, Body: body,
	})
}

// readEvents reads one stream to its end. A stream that ends without its end mark is
// a failure: a short answer must never look like a whole one.
func (r *stageRun) readEvents(stream *target.Stream, a *attempt, g *generation, watch *stallWatch) error {
	if stream.Answer.Status != statusOK {
		return statusFailure(stream.Answer)
	}
	if err := r.checkVersion(stream.Answer); err != nil {
		return err
	}
	id := "cmpl-" + r.identity(a).String()
	finished := false
	for {
		data, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return cut(io.ErrUnexpectedEOF)
		}
		if err != nil {
			return err
		}
		if bytes.Equal(data, doneMark) {
			if !finished {
				return cut(errors.New("stream ended without a finish reason"))
			}
			stream.Drain()
			return nil
		}
		watch.moved()
		ended, err := g.event(data, id)
		if err != nil {
			return err
		}
		finished = finished || ended
	}
}

func cut(err error) *target.Failure {
	return &target.Failure{Kind: target.FailedBroken, Execution: problem.Unknown, Err: err}
}

// event takes in one event; ended says that it carries a finish reason.
func (g *generation) event(data []byte, id string) (ended bool, err error) {
	var c targetapi.Completion
	if err := json.Unmarshal(data, &c); err != nil {
		return false, badFormat(err)
	}
	if c.ID != id {
		return false, notOurs(errors.New("event is for " + c.ID + ", not for " + id))
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
	if g.forward == nil {
		return nil
	}
	if err := g.forward(text); err != nil {
		return errCallerLeft
	}
	return nil
}
