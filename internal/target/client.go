// Package target is the client side of targets. It uses fasthttp to encode and
// decode HTTP, and keeps the connections itself: the promise that a request
// runs at most once rests on knowing whether a byte of it was sent, on never
// sending it again unasked, and on cancelling it by closing its connection.
package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Identity names one attempt at one stage of one request.
type Identity struct {
	Request string
	Stage   string
	Attempt int
}

// String is the identity as sent in X-Request-Id.
func (i Identity) String() string {
	return i.Request + "/" + i.Stage + "/" + strconv.Itoa(i.Attempt)
}

// Call is one HTTP call of a target.
type Call struct {
	Address string
	Method  string
	Path    string
	// Identity must come back with the answer. The zero value is for calls
	// that no request depends on, such as a look at a target's load: neither
	// sent nor checked.
	Identity Identity
	Customer string
	// IdempotencyKey and FencingToken are sent where set.
	IdempotencyKey string
	FencingToken   uint64
	ContentType    string
	Body           []byte
	// Fresh uses a connection of its own. Non-idempotent calls do: a kept
	// connection may be closed by the target just as the call is written, and
	// nobody could say whether it ran.
	NewConnection bool
	// SendBefore, where set, is after when the call must not be sent any more.
	SendBefore time.Time
	// Headers are further headers to send.
	Headers []Header
}

// Header is one header line.
type Header struct{ Name, Value string }

// Answer is a whole answer of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Version of the model that answered, empty where the target doesn't say.
	Version string
	// EngineTime is what the target says the answer cost it.
	EngineTime time.Duration
	// Load is the target's report that came with the answer; nil without one.
	Load *targetapi.LoadReport
	// Own says that the answer carries the call's identity. Only an error
	// status may come without: proxies before a target answer so.
	HasIdentity bool
}

// SaysNotRun tells a refusal before anything ran from other errors. An error
// without our identity counts only where it says so itself: a proxy gives the
// same status after it has passed the call on.
func (a *Answer) ConfirmsNotRun() bool {
	if a.Status != fasthttp.StatusServiceUnavailable && a.Status != fasthttp.StatusTooManyRequests {
		return false
	}
	if a.ContentType != problem.ContentType {
		return a.HasIdentity
	}
	var p problem.Problem
	return json.Unmarshal(a.Body, &p) == nil && p.Execution == problem.NotRun
}

// FailureKind says how a call failed.
type FailureKind string

// The kinds of failures.
const (
	// FailedConnect: no connection was made; certainly not run.
	FailedConnect FailureKind = "connect"
	// FailedBroken: the connection broke after bytes were sent.
	FailedBroken FailureKind = "broken"
	// FailedTimeout: the deadline passed after bytes were sent.
	FailedTimeout FailureKind = "timeout"
	// FailedCancelled: the caller left, or another attempt won.
	FailedCancelled FailureKind = "cancelled"
	// FailedIdentity: the answer carries another request's identity.
	FailedIdentity FailureKind = "identity"
	// FailedVersion: another version of the model answered.
	FailedVersion FailureKind = "version"
	// FailedStatus: the target answered with an error status.
	FailedStatus FailureKind = "status"
	// FailedFormat: the answer can't be understood.
	FailedFormat FailureKind = "format"
)

// Failure is the outcome of a call that gave no answer to use.
type Failure struct {
	Kind      FailureKind
	Execution problem.Execution
	Status    int
	Err       error
}

// Error describes the failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("target: %s (%s): %v", f.Kind, f.Execution, f.Err)
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client calls targets. It is safe for concurrent use.
type Client struct {
	idle    conns.Pool
	maxBody int
}

// NewClient makes a client that refuses answers larger than maxBody bytes.
func NewClient(maxBody int) *Client {
	return &Client{maxBody: maxBody}
}

// Prune closes connections that have stayed unused.
func (c *Client) Prune(now time.Time) { c.idle.Prune(now) }

// Do makes one call and reads the whole answer. It sends the call at most
// once. The context's deadline and cancellation close the connection. Every
// error is a *Failure, and the answer's identity has been checked.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	ex, err := c.start(ctx, call)
	if err != nil {
		return nil, err
	}
	defer ex.finish()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = call.Method == fasthttp.MethodHead
	if err := resp.ReadLimitBody(ex.conn.R, c.maxBody); err != nil {
		return nil, ex.failed(err)
	}
	answer := readAnswer(&resp.Header)
	answer.Body = append([]byte(nil), resp.Body()...)
	answer.HasIdentity, err = checkHeader(&resp.Header, call.Identity)
	// A connection that gave another's answer may give the next call ours.
	ex.whole = answer.HasIdentity && !resp.ConnectionClose()
	return answer, err
}

// exchange is one call on one connection.
type exchange struct {
	client  *Client
	ctx     context.Context
	address string
	conn    *conns.Conn
	stop    func() bool
	fresh   bool
	whole   bool // the answer was read to its end, the connection can be kept
}

func (c *Client) start(ctx context.Context, call Call) (*exchange, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	ex := &exchange{client: c, ctx: ctx, address: call.Address, conn: conn, fresh: call.NewConnection}
	ex.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fill(req, call)
	if late(ctx, call.SendBefore, time.Now()) {
		defer ex.finish()
		return nil, connectFailure(ctx, context.DeadlineExceeded)
	}
	err = req.Write(conn.W)
	if err == nil {
		err = conn.W.Flush()
	}
	if err != nil {
		defer ex.finish()
		return nil, ex.failed(err)
	}
	return ex, nil
}

func (c *Client) connect(ctx context.Context, call Call) (*conns.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !call.NewConnection {
		if kept := c.idle.Take(call.Address, time.Now(), 0); kept != nil {
			return kept, nil
		}
	}
	return conns.Dial(ctx, call.Address)
}

// finish keeps the connection if its answer was read to the end and nobody
// cancelled meanwhile; else it closes it, which also cancels the target's work.
func (ex *exchange) finish() {
	inTime := ex.stop()
	if ex.whole && inTime && !ex.fresh {
		ex.client.idle.Put(ex.address, ex.conn, time.Now())
		return
	}
	_ = ex.conn.Close()
}

func (ex *exchange) failed(err error) *Failure {
	kind := FailedBroken
	if cause := ex.ctx.Err(); cause != nil {
		kind = kindOfContext(cause)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = FailedFormat
	}
	return &Failure{Kind: kind, Execution: problem.Unknown, Err: err}
}

func connectFailure(ctx context.Context, err error) *Failure {
	kind := FailedConnect
	if cause := ctx.Err(); cause != nil {
		kind = kindOfContext(cause)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		kind = FailedTimeout
	}
	return &Failure{Kind: kind, Execution: problem.NotRun, Err: err}
}

func kindOfContext(err error) FailureKind {
	if errors.Is(err, context.DeadlineExceeded) {
		return FailedTimeout
	}
	return FailedCancelled
}

func fill(req *fasthttp.Request, call Call) {
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + call.Address + call.Path)
	for _, h := range call.Headers {
		req.Header.Set(h.Name, h.Value)
	}
	if call.Identity != (Identity{}) {
		req.Header.Set(targetapi.HeaderRequestID, call.Identity.String())
	}
	if call.Customer != "" {
		req.Header.Set(targetapi.HeaderCustomer, call.Customer)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(targetapi.HeaderIdempotencyKey, call.IdempotencyKey)
	}
	if call.FencingToken != 0 {
		req.Header.Set(targetapi.HeaderFencingToken, strconv.FormatUint(call.FencingToken, 10))
	}
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.NewConnection {
		req.SetConnectionClose()
	}
	req.SetBodyRaw(call.Body)
}

func readAnswer(h *fasthttp.ResponseHeader) *Answer {
	micros, _ := strconv.ParseInt(string(h.Peek(targetapi.HeaderEngineTime)), 10, 64)
	return &Answer{
		Status:      h.StatusCode(),
		ContentType: string(h.ContentType()),
		Version:     string(h.Peek(targetapi.HeaderModelVersion)),
		EngineTime:  time.Duration(micros) * time.Microsecond,
		Load:        ParseLoadHeader(string(h.Peek(targetapi.HeaderLoad))),
	}
}

// checkHeader drops an answer that is not ours: a late or crossed answer must
// never be forwarded. An error status without identity is left to the caller
// of the client, since proxies before a target make such answers.
func checkHeader(h *fasthttp.ResponseHeader, id Identity) (own bool, err error) {
	got := string(h.Peek(targetapi.HeaderRequestID))
	if got == id.String() || id == (Identity{}) {
		return true, nil
	}
	if got == "" && h.StatusCode() >= fasthttp.StatusBadRequest {
		return false, nil
	}
	return false, &Failure{
		Kind: FailedIdentity, Execution: problem.Unknown, Status: h.StatusCode(),
		Err: fmt.Errorf("answer is for %q, not for %q", got, id.String()),
	}
}

// Stream is an answer that arrives in server-sent events. Close it always.
type Stream struct {
	Answer *Answer
	ex     *exchange
	body   io.Reader
	lines  *lineReader
	// chunked bodies end with trailer lines.
	chunked bool
}

// Open makes a call whose answer is a stream of events. When the status is not
// 200 the whole answer is in Answer and there are no events.
func (c *Client) OpenStream(ctx context.Context, call Call) (*Stream, error) {
	ex, err := c.start(ctx, call)
	if err != nil {
		return nil, err
	}
	var h fasthttp.ResponseHeader
	if err := h.Read(ex.conn.R); err != nil {
		defer ex.finish()
		return nil, ex.failed(err)
	}
	own, err := checkHeader(&h, call.Identity)
	if err != nil {
		ex.finish()
		return nil, err
	}
	return c.stream(ex, &h, own)
}

func (c *Client) stream(ex *exchange, h *fasthttp.ResponseHeader, own bool) (*Stream, error) {
	s := &Stream{Answer: readAnswer(h), ex: ex, chunked: h.ContentLength() == -1}
	s.Answer.HasIdentity = own
	s.body = bodyReader(ex, h)
	s.lines = newLineReader(s.body)
	if s.Answer.Status == fasthttp.StatusOK {
		return s, nil
	}
	body, err := io.ReadAll(io.LimitReader(s.body, int64(c.maxBody)))
	if err != nil {
		defer s.Close()
		return nil, ex.failed(err)
	}
	s.Answer.Body = body
	return s, nil
}

func bodyReader(ex *exchange, h *fasthttp.ResponseHeader) io.Reader {
	if n := h.ContentLength(); n >= 0 {
		return io.LimitReader(ex.conn.R, int64(n))
	}
	if h.ContentLength() == -1 {
		return httputil.NewChunkedReader(ex.conn.R)
	}
	return ex.conn.R
}

// Next gives the data of the next event; io.EOF where the connection ends. Any
// other error is a *Failure.
func (s *Stream) Next() ([]byte, error) {
	data, err := s.lines.nextData()
	if err == nil || errors.Is(err, io.EOF) {
		return data, err
	}
	return nil, s.ex.failed(err)
}

// Drain reads what follows the last event: the end of the body and its
// trailer, which says what the answer cost. The connection can then be used
// again. Without the end of the body nothing is changed: the events had it all.
func (s *Stream) Drain() {
	if !s.chunked {
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(s.lines.r, maxEvent)); err != nil {
		return
	}
	for range maxTrailerLines {
		line, err := s.ex.conn.R.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if line == "" {
			s.ex.whole = true
			return
		}
		s.trailer(line)
	}
}

// maxTrailerLines bounds the lines after a chunked body.
const maxTrailerLines = 16

func (s *Stream) trailer(line string) {
	name, value, _ := strings.Cut(line, ":")
	if !strings.EqualFold(name, targetapi.HeaderEngineTime) {
		return
	}
	if micros, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		s.Answer.EngineTime = time.Duration(micros) * time.Microsecond
	}
}

// Close ends the stream. The connection is closed, which cancels what the
// target still does for it.
func (s *Stream) Close() { s.ex.finish() }
