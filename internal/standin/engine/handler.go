package engine

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// changeFence is the fencing name that all model and adapter changes of an
// engine share.
const changeFence = ""

// Handler serves an Engine as a target.
type Handler struct {
	Engine *Engine
	Fence  *target.Fence
}

// Crash aborts all sequences, as a crash of the process would.
func (h Handler) Crash() { h.Engine.Crash() }

// Handle answers one call.
func (h Handler) Handle(c *target.Call) {
	switch c.Request.Method + " " + c.Request.URL.Path {
	case "POST " + targetapi.PathCompletions:
		h.complete(c)
	case "GET " + targetapi.PathLoad:
		c.PlainJSON(h.Engine.Load())
	case "GET " + targetapi.PathModels:
		c.PlainJSON(h.models())
	case "GET " + targetapi.PathCacheEvents:
		h.events(c)
	case "POST " + targetapi.PathSetModel:
		h.setModel(c)
	case "POST " + targetapi.PathLoadAdapter:
		h.loadAdapter(c)
	case "POST " + targetapi.PathUnloadAdapter:
		h.unloadAdapter(c)
	default:
		c.Refuse(http.StatusNotFound, "path", "No such call", c.Request.URL.Path)
	}
}

func (h Handler) complete(c *target.Call) {
	var r targetapi.CompletionRequest
	if !c.Decode(&r) {
		return
	}
	if r.MaxTokens < 0 {
		c.Refuse(http.StatusBadRequest, "max-tokens", "max_tokens is negative", strconv.Itoa(r.MaxTokens))
		return
	}
	if !h.Engine.Serves(r.Model) {
		c.Refuse(http.StatusNotFound, "model", "Model is not loaded", r.Model)
		return
	}
	s, err := h.Engine.Submit(r)
	switch {
	case errors.Is(err, ErrQueueFull):
		c.RefuseWithRetry(http.StatusTooManyRequests, "queue", "Queue is full")
		return
	case errors.Is(err, ErrLoading):
		c.RefuseWithRetry(http.StatusServiceUnavailable, "loading", "Another model is being loaded")
		return
	}
	inflight := &completionCall{engine: h.Engine, call: c, sequence: s, model: r.Model, running: c.RecordStart()}
	if r.Stream {
		inflight.stream()
		return
	}
	inflight.respond()
}

// completionCall is one call of the completions endpoint.
type completionCall struct {
	engine   *Engine
	call     *target.Call
	sequence *Sequence
	model    string
	running  *count.Running
}

// waitForProgress waits for progress of the sequence. If the caller
// disconnects, the sequence is cancelled, so that the engine does not generate
// words that nobody reads.
func (c *completionCall) waitForProgress() Progress {
	select {
	case <-c.call.Context().Done():
		c.engine.Cancel(c.sequence)
	case <-c.sequence.Changed():
	}
	return c.engine.Progress(c.sequence)
}

// recordResult records the outcome of the call in the execution log.
func (c *completionCall) recordResult(p Progress) {
	c.running.Finish(count.Result{
		Finished:         p.Status == Complete,
		Cancelled:        p.Status == Cancelled && c.call.CallerLeft(),
		EngineUS:         p.CostUS,
		PromptTokens:     p.Usage.PromptTokens,
		CompletionTokens: p.Usage.CompletionTokens,
		CachedTokens:     p.Usage.CachedTokens,
	})
}

func (c *completionCall) answer(p Progress) target.Answer {
	return target.Answer{Load: c.engine.Load(), EngineUS: p.CostUS, Version: c.sequence.Version()}
}

// respond waits for the end of the sequence and answers with the whole text.
func (c *completionCall) respond() {
	p := c.waitForProgress()
	for p.Status == InProgress {
		p = c.waitForProgress()
	}
	c.recordResult(p)
	if p.Status != Complete {
		c.call.CloseConnection()
	}
	c.call.JSON(c.answer(p), c.completion(c.sequence.Text(0, p.Produced), &p.Usage))
}

func (c *completionCall) completion(text string, usage *targetapi.Usage) targetapi.Completion {
	choice := targetapi.CompletionChoice{Text: text}
	if usage != nil {
		reason := "length"
		choice.FinishReason = &reason
	}
	return targetapi.Completion{
		ID:      "cmpl-" + c.call.Identity(),
		Model:   c.model,
		Choices: []targetapi.CompletionChoice{choice},
		Usage:   usage,
	}
}

// stream sends an event for each word, then one with the usage.
func (c *completionCall) stream() {
	out := c.call.Stream(c.answer(Progress{}))
	sent := 0
	for {
		p := c.waitForProgress()
		err := c.sendNewWords(out, &sent, p)
		if err != nil {
			c.engine.Cancel(c.sequence)
			p = c.engine.Progress(c.sequence)
		}
		if p.Status == InProgress {
			continue
		}
		c.recordResult(p)
		if p.Status == Complete && err == nil {
			c.sendLast(out, p)
		}
		if p.Status != Complete {
			c.call.CloseConnection()
		}
		return
	}
}

// sendNewWords writes an event for each word that has not been sent yet. It
// fails when the fault in force cuts the stream.
func (c *completionCall) sendNewWords(out *target.Stream, sent *int, p Progress) error {
	limit := c.call.Fault().DropStreamAfterTokens
	for *sent < p.Produced {
		if limit > 0 && *sent >= limit {
			return errStreamCut
		}
		if err := out.Send(c.completion(c.sequence.Text(*sent, *sent+1), nil)); err != nil {
			return err
		}
		*sent++
	}
	return nil
}

var errStreamCut = errors.New("engine: stream cut by an injected fault")

// sendLast sends the event with the usage and ends the stream.
func (c *completionCall) sendLast(out *target.Stream, p Progress) {
	if err := out.Send(c.completion("", &p.Usage)); err != nil {
		return
	}
	_ = out.Finish(p.CostUS) // nothing to do if the caller has disconnected
}

func (h Handler) models() targetapi.ModelList {
	s := h.Engine.Serving()
	list := targetapi.ModelList{Data: []targetapi.ModelCard{{ID: s.Model, Version: s.Version, Role: s.Role}}}
	for _, a := range s.Adapters {
		list.Data = append(list.Data, targetapi.ModelCard{ID: a, Version: s.Version, Parent: s.Model})
	}
	return list
}

func (h Handler) events(c *target.Call) {
	text := c.Request.URL.Query().Get("after")
	after, err := strconv.ParseUint(text, 10, 64)
	if text != "" && err != nil {
		c.Refuse(http.StatusBadRequest, "after", "after is no sequence number", text)
		return
	}
	c.PlainJSON(h.Engine.Events(after))
}

func (h Handler) setModel(c *target.Call) {
	var request targetapi.SetModelRequest
	if !c.Decode(&request) {
		return
	}
	h.change(c, func(ctx context.Context) error { return h.Engine.SetModel(ctx, request) })
}

func (h Handler) loadAdapter(c *target.Call) {
	var request targetapi.AdapterRequest
	if !c.Decode(&request) {
		return
	}
	h.change(c, func(ctx context.Context) error { return h.Engine.LoadAdapter(ctx, request.LoraName) })
}

func (h Handler) unloadAdapter(c *target.Call) {
	var request targetapi.AdapterRequest
	if !c.Decode(&request) {
		return
	}
	h.change(c, func(context.Context) error {
		if !h.Engine.UnloadAdapter(request.LoraName) {
			return errNoAdapter
		}
		return nil
	})
}

var errNoAdapter = errors.New("engine: adapter is not loaded")

// change applies one change of model or adapters and answers with the list of
// models served afterwards. It continues if the caller disconnects, because a
// load that has begun is not undone.
func (h Handler) change(c *target.Call, apply func(context.Context) error) {
	if err := h.Engine.beginChange(c.Context()); err != nil {
		c.CloseConnection()
	}
	defer h.Engine.endChange()
	if !h.Fence.Check(c, changeFence) {
		return
	}
	running := c.RecordStart()
	err := apply(c.Lifetime())
	running.Finish(count.Result{Finished: err == nil})
	switch {
	case err == nil:
		c.JSON(target.Answer{Load: h.Engine.Load(), Version: h.Engine.Serving().Version}, h.models())
	case errors.Is(err, errNoAdapter):
		c.Refuse(http.StatusNotFound, "adapter", "Adapter is not loaded", "")
	default: // the target went down
		c.CloseConnection()
	}
}
