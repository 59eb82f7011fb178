package target

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/standin/count"
	"github.com/vanillagate/vanillagate/internal/standin/fault"
	"github.com/vanillagate/vanillagate/internal/standin/gate"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Call is one HTTP request to a target.
type Call struct {
	Request *http.Request
	Body    []byte

	target   *Target
	fault    fault.Fault
	writer   http.ResponseWriter
	identity string
}

// Identity returns the request ID that the answer carries. Under the fault
// WrongIdentityShare it may be that of another request.
func (c *Call) Identity() string { return c.identity }

// Fault returns the fault that was in force at the target when the call
// arrived.
func (c *Call) Fault() fault.Fault { return c.fault }

// Context ends when the caller disconnects or when the target goes down.
func (c *Call) Context() context.Context { return c.Request.Context() }

// Lifetime ends when the target goes down, but not when the caller disconnects.
func (c *Call) Lifetime() context.Context { return gate.Lifetime(c.Request.Context()) }

// CallerLeft reports whether the call ended because the caller disconnected,
// not because the target went down.
func (c *Call) CallerLeft() bool {
	ctx := c.Request.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), gate.ErrClosed)
}

// CloseConnection closes the connection without an answer. It does not return.
func (c *Call) CloseConnection() { abort() }

// RecordStart records the start of an execution: from here on the call counts
// as run.
func (c *Call) RecordStart() *count.Running {
	h := c.Request.Header
	return c.target.executionLog.Start(count.Execution{
		Target:         c.target.Address(),
		Pool:           c.target.pool,
		RequestID:      h.Get(targetapi.HeaderRequestID),
		IdempotencyKey: h.Get(targetapi.HeaderIdempotencyKey),
		Customer:       h.Get(targetapi.HeaderCustomer),
		Method:         c.Request.Method,
		Path:           c.Request.URL.Path,
		Fingerprint:    count.Fingerprint(c.Body),
		FencingToken:   h.Get(targetapi.HeaderFencingToken),
	})
}

// Decode decodes the body as JSON. If that fails, it answers with 400 and
// returns false.
func (c *Call) Decode(into any) bool {
	err := json.Unmarshal(c.Body, into)
	if err != nil {
		c.Refuse(http.StatusBadRequest, "json", "Malformed JSON", err.Error())
	}
	return err == nil
}

// Refuse answers a call that has not run with an error.
func (c *Call) Refuse(status int, slug, title, detail string) {
	c.writeRefusal(problem.New(status, slug, title, detail, problem.NotRun))
}

// RefuseWithRetry answers a call that has not run with an error and a
// Retry-After of one second.
func (c *Call) RefuseWithRetry(status int, slug, title string) {
	c.writeRefusal(problem.New(status, slug, title, "", problem.NotRun).WithRetryAfter(time.Second))
}

func (c *Call) writeRefusal(p *problem.Problem) {
	c.setIdentityHeader()
	p.RequestID = c.Identity()
	writeProblem(c.writer, p)
}

// Answer is the metadata that accompanies the body of an answer.
type Answer struct {
	Load     targetapi.LoadReport
	EngineUS int64
	// Version is the version of the model; empty if there is none.
	Version string
}

// JSON answers with status 200.
func (c *Call) JSON(a Answer, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // the targets' answer types can always be encoded
	}
	c.setAnswerHeaders(a)
	h := c.writer.Header()
	h.Set(targetapi.HeaderEngineTime, strconv.FormatInt(a.EngineUS, 10))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = c.writer.Write(raw) // nothing to do if the caller has disconnected
}

// PlainJSON answers a GET of the target's state, without request ID and load
// headers.
func (c *Call) PlainJSON(body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // the targets' answer types can always be encoded
	}
	c.writer.Header().Set("Content-Type", "application/json")
	_, _ = c.writer.Write(raw)
}

// setIdentityHeader sets the request ID of the answer.
func (c *Call) setIdentityHeader() {
	if c.identity != "" {
		c.writer.Header().Set(targetapi.HeaderRequestID, c.identity)
	}
}

func (c *Call) setAnswerHeaders(a Answer) {
	c.setIdentityHeader()
	c.writer.Header().Set(targetapi.HeaderLoad, loadHeader(a.Load))
	if a.Version != "" {
		c.writer.Header().Set(targetapi.HeaderModelVersion, a.Version)
	}
}

func loadHeader(r targetapi.LoadReport) string {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // numbers only
	}
	return "JSON " + string(raw)
}

func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // a problem can always be encoded
	}
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw)
}
