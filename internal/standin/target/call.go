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

// Call is one call of a target.
type Call struct {
	Request *http.Request
	Body    []byte

	target   *Target
	fault    fault.Fault
	writer   http.ResponseWriter
	identity string
}

// Identity is what the answer says of whose it is.
func (c *Call) Identity() string { return c.identity }

// Fault is what was wrong with the target when the call came.
func (c *Call) Fault() fault.Fault { return c.fault }

// Context ends when the caller hangs up, or when the target goes down.
func (c *Call) Context() context.Context { return c.Request.Context() }

// Lifetime ends when the target goes down, whatever the caller does.
func (c *Call) Lifetime() context.Context { return gate.Lifetime(c.Request.Context()) }

// CallerLeft says that the caller gave the call up, and the target did not go
// down under it.
func (c *Call) CallerLeft() bool {
	ctx := c.Request.Context()
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), gate.ErrClosed)
}

// CloseConnection closes the connection without an answer.
func (c *Call) CloseConnection() { abort() }

// RecordStart counts an execution: from here on the call has run.
func (c *Call) RecordStart() *count.Running {
	h := c.Request.Header
	return c.target.ledger.Start(count.Execution{
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

// Decode reads the body as JSON. When it can't be it answers 400 and returns
// false.
func (c *Call) Decode(into any) bool {
	err := json.Unmarshal(c.Body, into)
	if err != nil {
		c.Refuse(http.StatusBadRequest, "json", "Malformed JSON", err.Error())
	}
	return err == nil
}

// Refuse answers a call that did not run.
func (c *Call) Refuse(status int, slug, title, detail string) {
	c.refuse(problem.New(status, slug, title, detail, problem.NotRun))
}

// RefuseWithRetry answers a call that did not run and may come again soon.
func (c *Call) RefuseWithRetry(status int, slug, title string) {
	c.refuse(problem.New(status, slug, title, "", problem.NotRun).WithRetryAfter(time.Second))
}

func (c *Call) refuse(p *problem.Problem) {
	c.echo()
	p.RequestID = c.Identity()
	writeProblem(c.writer, p)
}

// Answer is what every answer of a target tells beside its body.
type Answer struct {
	Load     targetapi.LoadReport
	EngineUS int64
	// Version is the version of the model; empty where there is none.
	Version string
}

// JSON answers with status 200.
func (c *Call) JSON(a Answer, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // our own types can always be encoded
	}
	c.head(a)
	h := c.writer.Header()
	h.Set(targetapi.HeaderEngineTime, strconv.FormatInt(a.EngineUS, 10))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = c.writer.Write(raw) // a caller that is gone sees to itself
}

// PlainJSON answers a GET of the target's state without any identity.
func (c *Call) PlainJSON(body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // our own types can always be encoded
	}
	c.writer.Header().Set("Content-Type", "application/json")
	_, _ = c.writer.Write(raw)
}

// echo repeats the identity to the caller.
func (c *Call) echo() {
	if c.identity != "" {
		c.writer.Header().Set(targetapi.HeaderRequestID, c.identity)
	}
}

func (c *Call) head(a Answer) {
	c.echo()
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
