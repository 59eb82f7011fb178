package entry

import (
	"bufio"
	"context"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// streamBuffer is how many pieces of text may be buffered for a slow caller
// before the engine's stream is blocked.
const streamBuffer = 64

const finishReasonLength = "length"

// streaming is a request whose response is streamed. One goroutine runs the
// pipeline and sends text to pieces; the other writes it to the caller.
type streaming struct {
	server *Server
	call   *call
	req    *pipeline.Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	pieces chan string
	// result and prob are set before pieces is closed.
	result *pipeline.Result
	prob   *problem.Problem
}

// streamPipeline starts the response when the first piece of text is there, so
// that an earlier failure gets its own status code.
func (s *Server) streamPipeline(ctx *fasthttp.RequestCtx, c *call, req *pipeline.Request) {
	deadline, cancelDeadline := context.WithDeadline(context.Background(), c.deadline)
	runCtx, cancel := context.WithCancelCause(deadline)
	runCtx, stopWatching := s.hangups.Watch(runCtx, ctx.Conn())
	st := &streaming{
		server: s, call: c, req: req, ctx: runCtx, cancel: cancel, pieces: make(chan string, streamBuffer),
	}
	req.OnText = st.send
	go st.run()
	first, open := <-st.pieces
	if !open && st.prob != nil {
		stopWatching()
		cancelDeadline()
		s.refuse(ctx, c.requestInfo, c.contract.Customer, st.prob)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	s.inFlight.Add(1)
	s.callerRequests.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inFlight.Add(-1)
		defer s.callerRequests.Add(-1)
		defer cancelDeadline()
		defer stopWatching()
		st.write(w, first, open)
	})
}

func (st *streaming) run() {
	st.result, st.prob = st.server.run(st.ctx, st.call, st.req)
	close(st.pieces)
}

// send passes a piece to the writer. It returns the context's cause if the
// request was cancelled, for example because the caller disconnected.
func (st *streaming) send(text string) error {
	select {
	case st.pieces <- text:
		return nil
	case <-st.ctx.Done():
		return context.Cause(st.ctx)
	}
}

// write sends the pieces as they come. A failed write means that the caller
// disconnected; the cancellation then ends the engine's stream.
func (st *streaming) write(w *bufio.Writer, first string, open bool) {
	sse := &eventWriter{w: w, id: "cmpl-" + st.call.id, model: st.call.name}
	if open {
		sse.text(first)
		for text := range st.pieces {
			sse.text(text)
			// Pieces that are already buffered are flushed together.
			if len(st.pieces) == 0 && sse.flush() != nil {
				st.cancel(errCallerLeft)
			}
		}
	}
	st.end(sse)
}

func (st *streaming) end(sse *eventWriter) {
	if st.prob != nil {
		st.prob.RequestID = st.call.id
		st.server.observer.recordRefused(st.call.contract.Customer, st.prob)
		sse.problem(st.prob)
		_ = sse.flush()
		return
	}
	sse.end(st.result)
	if sse.flush() == nil {
		st.server.served(st.call)
	}
}

// eventWriter writes server-sent events in the format that model engines
// commonly use.
type eventWriter struct {
	w     *bufio.Writer
	id    string
	model string
}

func (e *eventWriter) flush() error { return e.w.Flush() }

func (e *eventWriter) event(body any) {
	_, _ = e.w.WriteString("data: ")
	_, _ = e.w.Write(encode(body))
	_, _ = e.w.WriteString("\n\n")
}

func (e *eventWriter) text(text string) {
	e.event(targetapi.Completion{ID: e.id, Model: e.model, Choices: []targetapi.CompletionChoice{{Text: text}}})
}

func (e *eventWriter) end(result *pipeline.Result) {
	reason := finishReasonLength
	e.event(targetapi.Completion{
		ID: e.id, Model: e.model, Usage: &result.Usage,
		Choices: []targetapi.CompletionChoice{{FinishReason: &reason}},
	})
	_, _ = e.w.WriteString("data: [DONE]\n\n")
}

// problem ends a stream that can't be completed. No [DONE] event follows, so
// that callers don't take the partial text for complete.
func (e *eventWriter) problem(p *problem.Problem) {
	_, _ = e.w.WriteString("event: error\n")
	e.event(p)
}
