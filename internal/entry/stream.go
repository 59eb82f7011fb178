package entry

import (
	"bufio"
	"context"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// streamBuffer is how many pieces of text may wait for a slow caller before
// the engine's stream is held up.
const streamBuffer = 64

const finishLength = "length"

// streaming is a request whose answer is streamed: one goroutine runs the
// pipeline and puts pieces into words, the other writes them to the caller.
type streaming struct {
	server *Server
	call   *call
	req    *pipeline.Request
	ctx    context.Context
	cancel context.CancelCauseFunc
	words  chan string
	// result and prob are set before words is closed.
	result *pipeline.Result
	prob   *problem.Problem
}

// streamPipeline starts the answer with the first piece of text. What fails
// before that is answered with its own status.
func (s *Server) streamPipeline(ctx *fasthttp.RequestCtx, c *call, req *pipeline.Request) {
	deadline, cancelDeadline := context.WithDeadline(context.Background(), c.deadline)
	runCtx, cancel := context.WithCancelCause(deadline)
	runCtx, watched := s.hangups.Watch(runCtx, ctx.Conn())
	st := &streaming{
		server: s, call: c, req: req, ctx: runCtx, cancel: cancel, words: make(chan string, streamBuffer),
	}
	req.OnText = st.put
	go st.run()
	first, open := <-st.words
	if !open && st.prob != nil {
		watched()
		cancelDeadline()
		s.refuse(ctx, c.received, c.contract.Customer, st.prob)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	s.inFlight.Add(1)
	s.callers.Add(1)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.inFlight.Add(-1)
		defer s.callers.Add(-1)
		defer cancelDeadline()
		defer watched()
		st.write(w, first, open)
	})
}

func (st *streaming) run() {
	st.result, st.prob = st.server.run(st.ctx, st.call, st.req)
	close(st.words)
}

// put hands a piece to the writer, or says that the caller left.
func (st *streaming) put(text string) error {
	select {
	case st.words <- text:
		return nil
	case <-st.ctx.Done():
		return context.Cause(st.ctx)
	}
}

// write sends the pieces as they come. A write that fails says that the caller
// left; cancelling then ends the engine's stream.
func (st *streaming) write(w *bufio.Writer, first string, open bool) {
	sse := &eventWriter{w: w, id: "cmpl-" + st.call.id, model: st.call.name}
	if open {
		sse.text(first)
		for text := range st.words {
			sse.text(text)
			// More pieces that wait already go out together.
			if len(st.words) == 0 && sse.flush() != nil {
				st.cancel(errCallerLeft)
			}
		}
	}
	st.end(sse)
}

func (st *streaming) end(sse *eventWriter) {
	if st.prob != nil {
		st.prob.RequestID = st.call.id
		st.server.observer.refused(st.call.contract.Customer, st.prob)
		sse.problem(st.prob)
		_ = sse.flush()
		return
	}
	sse.end(st.result)
	if sse.flush() == nil {
		st.server.served(st.call)
	}
}

// eventWriter writes server-sent events in the usual form of model engines.
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
	reason := finishLength
	e.event(targetapi.Completion{
		ID: e.id, Model: e.model, Usage: &result.Usage,
		Choices: []targetapi.CompletionChoice{{FinishReason: &reason}},
	})
	_, _ = e.w.WriteString("data: [DONE]\n\n")
}

// problem ends a stream that can't be completed. There is no end mark after
// it, so that no caller takes what came for the whole.
func (e *eventWriter) problem(p *problem.Problem) {
	_, _ = e.w.WriteString("event: error\n")
	e.event(p)
}
