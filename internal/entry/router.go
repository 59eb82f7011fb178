package entry

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/intake"
	"github.com/vanillagate/vanillagate/internal/logging"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Paths of the API.
const (
	pathEntries   = "/v1/entries"
	pathPipelines = "/v1/pipelines/"
	pathServices  = "/v1/services/"
	pathAdmin     = "/v1/admin/"
	pathHealth    = "/healthz"
	pathReady     = "/readyz"
	pathMetrics   = "/metrics"
)

const headerTimeout = "Request-Timeout"

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.route(ctx)
	if s.shuttingDown.Load() { // also if the shutdown began during the request
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathEntries:
		s.serveEntries(ctx)
	case strings.HasPrefix(path, pathPipelines):
		s.callerRequests.Add(1)
		defer s.callerRequests.Add(-1)
		s.servePipeline(ctx, strings.TrimPrefix(path, pathPipelines))
	case strings.HasPrefix(path, pathServices):
		s.callerRequests.Add(1)
		defer s.callerRequests.Add(-1)
		s.serveService(ctx, strings.TrimPrefix(path, pathServices))
	case strings.HasPrefix(path, pathAdmin):
		s.serveAdmin(ctx, strings.TrimPrefix(path, pathAdmin))
	case path == pathHealth:
		ctx.SetBodyString("ok\n")
	case path == pathReady:
		s.serveReady(ctx)
	case path == pathMetrics:
		s.serveMetrics(ctx)
	default:
		writeProblem(ctx, problem.New(404, "no-path", "No such path", path+" is not served here.", problem.NotRun))
	}
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case s.shuttingDown.Load():
		ctx.Error("leaving\n", fasthttp.StatusServiceUnavailable)
	case !s.ready() || !s.executions.hasJoined():
		ctx.Error("starting\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}

// ready reports whether the configuration and the targets are known.
func (s *Server) ready() bool { return s.keeper.Fresh() && s.vms.loaded() }

const (
	// readyTimeout is how long a request waits for a VM that is starting, or
	// that was frozen and is catching up on changes. Peers give a VM's address
	// to callers as soon as they see it, slightly before it is ready.
	readyTimeout      = 2 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

func (s *Server) awaitReady() bool {
	until := time.Now().Add(readyTimeout)
	if !s.keeper.AwaitFresh(readyTimeout) {
		return false
	}
	for !s.vms.loaded() {
		if time.Now().After(until) {
			return false
		}
		time.Sleep(readyPollInterval)
	}
	return true
}

// writeUnreadable responds to input that fasthttp could not parse as a request.
func writeUnreadable(ctx *fasthttp.RequestCtx, err error) { writeProblem(ctx, unreadable(err)) }

// rejectBody responds to a request whose body can't be read. It reports "not run" only if that is certain for all
// submissions of the request's Idempotency-Key.
func (s *Server) rejectBody(ctx *fasthttp.RequestCtx, err error) {
	p := unreadable(err)
	p.Execution = s.executions.executionOf(refusedSubmission{
		key:             string(ctx.Request.Header.Peek(targetapi.HeaderIdempotencyKey)),
		firstSubmission: string(ctx.Request.Header.Peek(headerRetryAttempt)) == firstAttempt,
	})
	if errors.Is(err, intake.ErrNoMemory) {
		s.log.Warn("Request refused because there is no memory for it.")
	}
	writeProblem(ctx, p)
}

// unreadable returns the response to a request that can't be read.
func unreadable(err error) *problem.Problem {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	p := problem.New(400, "unreadable", "Not a readable HTTP request", "The request could not be parsed.", problem.NotRun)
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		p = problem.New(503, "no-memory", "No memory for the request", "The requests of all callers take up the memory of this VM.", problem.NotRun).
			WithRetryAfter(intake.RetryAfter)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p = problem.New(413, "too-large", "Body too large", "The body is larger than this process takes.", problem.NotRun)
	case errors.As(err, &small), errors.Is(err, intake.ErrHeadTooLarge):
		p = problem.New(431, "headers-too-large", "Headers too large", "The headers are larger than 16 KiB.", problem.NotRun)
	case errors.As(err, &netErr) && netErr.Timeout():
		p = problem.New(408, "sent-too-slowly", "Request took too long to arrive", "The request did not arrive completely in time.", problem.NotRun)
	}
	return p
}

func writeProblem(ctx *fasthttp.RequestCtx, p *problem.Problem) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(p.Status)
	ctx.SetContentType(problem.ContentType)
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if p.RequestID != "" {
		ctx.Response.Header.Set(targetapi.HeaderRequestID, p.RequestID)
	}
	ctx.SetBody(encode(p))
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	ctx.SetContentType("application/json")
	ctx.SetBody(encode(body))
}

func encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic("entry: encode: " + err.Error())
	}
	return raw
}

// requestInfo holds the data that every caller's request has.
type requestInfo struct {
	id         string
	receivedAt time.Time
	deadline   time.Time
}

const (
	defaultTimeout = 4 * time.Second
	maxTimeout     = 10 * time.Minute
)

// readRequestInfo reads the data that every request has. The request ID is
// generated here, because an ID from the caller might not be unique.
func readRequestInfo(ctx *fasthttp.RequestCtx, fallback time.Duration) (requestInfo, *problem.Problem) {
	now := time.Now()
	r := requestInfo{id: uuid.NewString(), receivedAt: now}
	timeout := fallback
	if raw := ctx.Request.Header.Peek(headerTimeout); len(raw) > 0 {
		ms, err := strconv.ParseInt(string(raw), 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			p := problem.New(400, "bad-timeout", "Bad "+headerTimeout,
				headerTimeout+" must be a number of milliseconds from 1 to 600000.", problem.NotRun)
			p.RequestID = r.id
			return r, p
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	r.deadline = now.Add(timeout)
	return r, nil
}

// refuse responds with a problem, logs it and counts it.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, r requestInfo, customer string, p *problem.Problem) {
	p.RequestID = r.id
	s.log.Info("Request not served.", logging.RequestID(r.id), zap.String("customer", customer),
		zap.Int("status", p.Status), zap.String("title", p.Title), zap.String("execution", string(p.Execution)))
	s.observer.recordRefused(customer, p)
	writeProblem(ctx, p)
}
