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

// orderFence is the one name under which an engine's orders are fenced.
const orderFence = ""

// Handler lets an Engine be a target.
type Handler struct {
	Engine *Engine
	Fence  *target.Fence
}

// Crash aborts everything, as a crash of the process would.
func (w Handler) Crash() { w.Engine.Crash() }

// Handle answers one call.
func (w Handler) Handle(c *target.Call) {
	switch c.Request.Method + " " + c.Request.URL.Path {
	case "POST " + targetapi.PathCompletions:
		w.complete(c)
	case "GET " + targetapi.PathLoad:
		c.PlainJSON(w.Engine.Load())
	case "GET " + targetapi.PathModels:
		c.PlainJSON(w.models())
	case "GET " + targetapi.PathCacheEvents:
		w.events(c)
	case "POST " + targetapi.PathSetModel:
		w.setModel(c)
	case "POST " + targetapi.PathLoadAdapter:
		w.loadAdapter(c)
	case "POST " + targetapi.PathUnloadAdapter:
		w.unloadAdapter(c)
	default:
		c.Refuse(http.StatusNotFound, "path", "No such call", c.Request.URL.Path)
	}
}

func (w Handler) complete(c *target.Call) {
	var r targetapi.CompletionRequest
	if !c.Decode(&r) {
		return
	}
	if r.MaxTokens < 0 {
		c.Refuse(http.StatusBadRequest, "max-tokens", "max_tokens is negative", strconv.Itoa(r.MaxTokens))
		return
	}
	if !w.Engine.Serves(r.Model) {
		c.Refuse(http.StatusNotFound, "model", "Model is not loaded", r.Model)
		return
	}
	s, err := w.Engine.Submit(r)
	switch {
	case errors.Is(err, ErrQueueFull):
		c.RefuseWithRetry(http.StatusTooManyRequests, "queue", "Queue is full")
		return
	case errors.Is(err, ErrLoading):
		c.RefuseWithRetry(http.StatusServiceUnavailable, "loading", "Another model is being loaded")
		return
	}
	a := &attempt{engine: w.Engine, call: c, sequence: s, model: r.Model, running: c.RecordStart()}
	if r.Stream {
		a.stream()
		return
	}
	a.whole()
}

// attempt is one completion on its way to its caller.
type attempt struct {
	engine   *Engine
	call     *target.Call
	sequence *Sequence
	model    string
	running  *count.Running
}

// next waits for something new. When the caller hangs up the sequence is
// cancelled, so that the engine does not generate for nobody.
func (a *attempt) next() Progress {
	select {
	case <-a.call.Context().Done():
		a.engine.Cancel(a.sequence)
	case <-a.sequence.Changed():
	}
	return a.engine.Progress(a.sequence)
}

// note records how the attempt stands.
func (a *attempt) note(p Progress) {
	a.running.Finish(count.Result{
		Finished:         p.Status == Complete,
		Cancelled:        p.Status == Cancelled && a.call.CallerLeft(),
		EngineUS:         p.CostUS,
		PromptTokens:     p.Usage.PromptTokens,
		CompletionTokens: p.Usage.CompletionTokens,
		CachedTokens:     p.Usage.CachedTokens,
	})
}

func (a *attempt) answer(p Progress) target.Answer {
	return target.Answer{Load: a.engine.Load(), EngineUS: p.CostUS, Version: a.sequence.Version()}
}

func (a *attempt) whole() {
	p := a.next()
	for p.Status == InProgress {
		p = a.next()
	}
	a.note(p)
	if p.Status != Complete {
		a.call.CloseConnection()
	}
	a.call.JSON(a.answer(p), a.event(a.sequence.Text(0, p.Produced), &p.Usage))
}

func (a *attempt) event(text string, usage *targetapi.Usage) targetapi.Completion {
	choice := targetapi.CompletionChoice{Text: text}
	if usage != nil {
		reason := "length"
		choice.FinishReason = &reason
	}
	return targetapi.Completion{
		ID:      "cmpl-" + a.call.Identity(),
		Model:   a.model,
		Choices: []targetapi.CompletionChoice{choice},
		Usage:   usage,
	}
}

// stream sends each word as its own event, then one with the usage.
func (a *attempt) stream() {
	out := a.call.Stream(a.answer(Progress{}))
	sent := 0
	for {
		p := a.next()
		err := a.send(out, &sent, p)
		if err != nil {
			a.engine.Cancel(a.sequence)
			p = a.engine.Progress(a.sequence)
		}
		if p.Status == InProgress {
			continue
		}
		a.note(p)
		if p.Status == Complete && err == nil {
			a.finish(out, p)
		}
		if p.Status != Complete {
			a.call.CloseConnection()
		}
		return
	}
}

// send writes the words that are new, one event each.
func (a *attempt) send(out *target.Stream, sent *int, p Progress) error {
	limit := a.call.Fault().DropStreamAfterTokens
	for *sent < p.Produced {
		if limit > 0 && *sent >= limit {
			return errDropped
		}
		if err := out.Send(a.event(a.sequence.Text(*sent, *sent+1), nil)); err != nil {
			return err
		}
		*sent++
	}
	return nil
}

var errDropped = errors.New("engine: stream dropped by a fault")

func (a *attempt) finish(out *target.Stream, p Progress) {
	if err := out.Send(a.event("", &p.Usage)); err != nil {
		return
	}
	_ = out.Finish(p.CostUS) // a caller that is gone now sees to itself
}

func (w Handler) models() targetapi.ModelList {
	s := w.Engine.Serving()
	list := targetapi.ModelList{Data: []targetapi.ModelCard{{ID: s.Model, Version: s.Version, Role: s.Role}}}
	for _, a := range s.Adapters {
		list.Data = append(list.Data, targetapi.ModelCard{ID: a, Version: s.Version, Parent: s.Model})
	}
	return list
}

func (w Handler) events(c *target.Call) {
	text := c.Request.URL.Query().Get("after")
	after, err := strconv.ParseUint(text, 10, 64)
	if text != "" && err != nil {
		c.Refuse(http.StatusBadRequest, "after", "after is no sequence number", text)
		return
	}
	c.PlainJSON(w.Engine.Events(after))
}

func (w Handler) setModel(c *target.Call) {
	var order targetapi.SetModelRequest
	if !c.Decode(&order) {
		return
	}
	w.order(c, func(ctx context.Context) error { return w.Engine.SetModel(ctx, order) })
}

func (w Handler) loadAdapter(c *target.Call) {
	var order targetapi.AdapterRequest
	if !c.Decode(&order) {
		return
	}
	w.order(c, func(ctx context.Context) error { return w.Engine.LoadAdapter(ctx, order.LoraName) })
}

func (w Handler) unloadAdapter(c *target.Call) {
	var order targetapi.AdapterRequest
	if !c.Decode(&order) {
		return
	}
	w.order(c, func(context.Context) error {
		if !w.Engine.UnloadAdapter(order.LoraName) {
			return errNoAdapter
		}
		return nil
	})
}

var errNoAdapter = errors.New("engine: adapter is not loaded")

// order carries one order out and answers with what is served then. It goes on
// when the caller hangs up: a load that was begun is not taken back.
func (w Handler) order(c *target.Call, carryOut func(context.Context) error) {
	if err := w.Engine.beginOrder(c.Context()); err != nil {
		c.CloseConnection()
	}
	defer w.Engine.endOrder()
	if !w.Fence.Check(c, orderFence) {
		return
	}
	running := c.RecordStart()
	err := carryOut(c.Lifetime())
	running.Finish(count.Result{Finished: err == nil})
	switch {
	case err == nil:
		c.JSON(target.Answer{Load: w.Engine.Load(), Version: w.Engine.Serving().Version}, w.models())
	case errors.Is(err, errNoAdapter):
		c.Refuse(http.StatusNotFound, "adapter", "Adapter is not loaded", "")
	default: // the target went down
		c.CloseConnection()
	}
}
