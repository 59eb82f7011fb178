// Package target implements the client for targets. It uses fasthttp to encode
// and decode HTTP but manages connections itself: to guarantee that a request
// runs at most once, the client has to know whether a byte of it was sent, must
// never resend it on its own, and cancels it by closing its connection.
package target

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Identity identifies one attempt at one stage of one request.
type Identity struct {
	Request string
	Stage   string
	Attempt int
}

// String returns the identity as sent in X-Request-Id.
func (i Identity) String() string {
	return i.Request + "/" + i.Stage + "/" + strconv.Itoa(i.Attempt)
}

// Call is one HTTP call to a target.
type Call struct {
	Address string
	Method  string
	Path    string
	// Identity must be echoed in the answer. The zero value is neither sent nor
	// checked; it is for calls that belong to no request, such as reading a
	// target's load.
	Identity Identity
	Customer string
	// IdempotencyKey and FencingToken are sent if set.
	IdempotencyKey string
	FencingToken   uint64
	ContentType    string
	Body           []byte
	// NewConnection dials a new connection for the call and closes it
	// afterwards. Non-idempotent calls need this: the target may close a kept
	// connection just as the call is written, and then nobody knows whether it
	// ran.
	NewConnection bool
	// SendBefore, if set, is the time after which the call must not be sent.
	SendBefore time.Time
	// VerifyEnd fails the call if only the end of its connection has ended the answer, and the target
	// isn't known to have run after that.
	VerifyEnd bool
	// Headers are additional headers to send.
	Headers []Header

	// conn is an open connection to use; nil for none.
	conn *conns.Conn
}

// Header is one header line.
type Header struct{ Name, Value string }

// Answer is the answer of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Version is that of the model that answered, empty if the target doesn't
	// report it.
	Version string
	// EngineTime is the processing time that the target reports for the answer.
	EngineTime time.Duration
	// Load is the target's load report that came with the answer; nil without
	// one.
	Load *targetapi.LoadReport
	// Unframed is set if the answer had neither a length nor chunks and its end wasn't
	// verified. It may have been cut off, so the caller's must not claim to be complete
	// either.
	Unframed bool
	// HasIdentity says that the answer carries the call's identity. Only an
	// answer with an error status may lack it, since proxies in front of a
	// target send such answers.
	HasIdentity bool
}

// ConfirmsNotRun returns whether the answer is a refusal that guarantees that
// the call did not run. Without the call's identity it must say so in a problem
// document, because a proxy may send the same status after it has forwarded the
// call.
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
	// FailedConnect: no connection was made; the call certainly did not run.
	FailedConnect FailureKind = "connect"
	// FailedBroken: the connection broke after bytes were sent.
	FailedBroken FailureKind = "broken"
	// FailedTimeout: the deadline passed after bytes were sent.
	FailedTimeout FailureKind = "timeout"
	// FailedCancelled: the caller disconnected, or another attempt succeeded
	// first.
	FailedCancelled FailureKind = "cancelled"
	// FailedWithdrawn: the call was withdrawn. What its target answers to that doesn't matter.
	FailedWithdrawn FailureKind = "withdrawn"
	// FailedIdentity: the answer carries another request's identity.
	FailedIdentity FailureKind = "identity"
	// FailedVersion: another version of the model answered.
	FailedVersion FailureKind = "version"
	// FailedStatus: the target answered with an error status.
	FailedStatus FailureKind = "status"
	// FailedFormat: the answer is malformed or too large.
	FailedFormat FailureKind = "format"
)

// ErrWithdrawn is the cause with which a context ends to withdraw a call, because its request
// may crash the target. The target is told that the caller has left, and the rest of the
// connection is read: only its end shows that the target is done with the call, or dead.
var ErrWithdrawn = errors.New("target: the call was withdrawn")

// Failure is the outcome of a call without a usable answer.
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

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client calls targets. It is safe for concurrent use.
type Client struct {
	idle    conns.Pool
	maxBody int
}

// NewClient returns a client that refuses answers larger than maxBody bytes.
func NewClient(maxBody int) *Client {
	return &Client{maxBody: maxBody}
}

// Prune closes connections that have been unused for too long.
func (c *Client) Prune(now time.Time) { c.idle.Prune(now) }

// Do makes one call and reads the whole answer. It sends the call at most once.
// If the context ends, the connection is closed. Every error is a *Failure. The
// answer's identity has been checked.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	ex, err := c.start(ctx, call)
	if err != nil {
		return nil, err
	}
	defer ex.finish()
	var h fasthttp.ResponseHeader
	if err := readHeader(ex.conn.R, &h); err != nil {
		return nil, ex.failure(err)
	}
	body := framing.NewBody(ex.conn.R, &h, call.Method)
	answer := answerFromHeader(&h)
	answer.Unframed = body.Kind == framing.Connection && !call.VerifyEnd
	verifyEnd := body.Kind == framing.Connection && call.VerifyEnd
	var second *secondConn // set if verifyEnd
	if verifyEnd {
		second = openSecond(ctx, ex.conn.Conn, call.Address)
		defer second.close()
	}
	if answer.Body, err = c.readBody(body); err != nil {
		return nil, ex.failure(err)
	}
	if verifyEnd && !c.outlivesAnswer(ctx, call.Address, second) {
		return nil, ex.failure(ErrUnknownEnd)
	}
	answer.HasIdentity, err = checkIdentity(&h, call.Identity)
	// A connection that returned the answer to another call may return this
	// call's answer to the next one.
	ex.reusable = answer.HasIdentity && !h.ConnectionClose()
	return answer, err
}

// readHeader reads the header of an answer and skips interim (1xx) answers.
func readHeader(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for {
		if err := framing.ReadHead(r, h); err != nil || h.StatusCode() >= fasthttp.StatusOK {
			return err
		}
	}
}

// readBody reads a whole body.
func (c *Client) readBody(body *framing.Body) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(c.maxBody)+1))
	if err == nil && len(data) > c.maxBody {
		err = fasthttp.ErrBodyTooLarge
	}
	return data, err
}

// exchange is one call on one connection.
type exchange struct {
	client        *Client
	ctx           context.Context
	address       string
	conn          *conns.Conn
	stop          func() bool
	newConnection bool
	reusable      bool // the answer was read to its end and the connection can be kept
}

func (c *Client) start(ctx context.Context, call Call) (*exchange, error) {
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, connectFailure(ctx, err)
	}
	ex := &exchange{client: c, ctx: ctx, address: call.Address, conn: conn, newConnection: call.NewConnection}
	ex.stop = context.AfterFunc(ctx, ex.cancel)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, call)
	if sendDeadlinePassed(ctx, call.SendBefore, time.Now()) {
		defer ex.finish()
		return nil, connectFailure(ctx, context.DeadlineExceeded)
	}
	err = req.Write(conn.W)
	if err == nil {
		err = conn.W.Flush()
	}
	if err != nil {
		defer ex.finish()
		return nil, ex.failure(err)
	}
	return ex, nil
}

func (c *Client) connect(ctx context.Context, call Call) (*conns.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if call.conn != nil {
		return call.conn, nil
	}
	if !call.NewConnection {
		if kept := c.idle.Take(call.Address, time.Now(), 0); kept != nil {
			return kept, nil
		}
	}
	return conns.Dial(ctx, call.Address)
}

// withdrawTimeout is how long a target may take to end a call that was withdrawn.
const withdrawTimeout = time.Second

// cancel ends the call when its context has ended. Errors don't matter: the connection is
// closed after the call.
func (ex *exchange) cancel() {
	halfCloser, ok := ex.conn.Conn.(interface{ CloseWrite() error })
	if !ok || !errors.Is(context.Cause(ex.ctx), ErrWithdrawn) {
		_ = ex.conn.SetDeadline(time.Unix(1, 0))
		return
	}
	_ = ex.conn.SetDeadline(time.Now().Add(withdrawTimeout))
	_ = halfCloser.CloseWrite()
}

// finish keeps the connection for reuse if the answer was read to the end, the
// context had not ended and the call did not ask for a connection of its own.
// Otherwise it closes the connection, which also cancels the call at the
// target.
func (ex *exchange) finish() {
	inTime := ex.stop()
	if ex.reusable && inTime && !ex.newConnection {
		ex.client.idle.Put(ex.address, ex.conn, time.Now())
		return
	}
	_ = ex.conn.Close()
}

func (ex *exchange) failure(err error) *Failure {
	kind := FailedBroken
	if cause := ex.ctx.Err(); cause != nil {
		kind = contextFailureKind(cause)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = FailedFormat
	}
	return &Failure{Kind: kind, Execution: problem.Unknown, Err: err}
}

func connectFailure(ctx context.Context, err error) *Failure {
	kind := FailedConnect
	if cause := ctx.Err(); cause != nil {
		kind = contextFailureKind(cause)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		kind = FailedTimeout
	}
	return &Failure{Kind: kind, Execution: problem.NotRun, Err: err}
}

func contextFailureKind(err error) FailureKind {
	if errors.Is(err, context.DeadlineExceeded) {
		return FailedTimeout
	}
	return FailedCancelled
}

func fillRequest(req *fasthttp.Request, call Call) {
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

func answerFromHeader(h *fasthttp.ResponseHeader) *Answer {
	micros, _ := strconv.ParseInt(string(h.Peek(targetapi.HeaderEngineTime)), 10, 64)
	return &Answer{
		Status:      h.StatusCode(),
		ContentType: string(h.ContentType()),
		Version:     string(h.Peek(targetapi.HeaderModelVersion)),
		EngineTime:  time.Duration(micros) * time.Microsecond,
		Load:        ParseLoadHeader(string(h.Peek(targetapi.HeaderLoad))),
	}
}

// checkIdentity rejects an answer with another call's identity: a late or
// misrouted answer must never be forwarded. It lets an error status without an
// identity pass, with hasIdentity false, since proxies in front of a target
// send such answers.
func checkIdentity(h *fasthttp.ResponseHeader, id Identity) (hasIdentity bool, err error) {
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

// Stream is an answer that arrives as server-sent events. It must always be
// closed.
type Stream struct {
	Answer *Answer
	ex     *exchange
	body   *framing.Body
	lines  *lineReader
}

// OpenStream makes a call whose answer is a stream of events. If the status is
// not 200, Answer holds the whole answer and there are no events.
func (c *Client) OpenStream(ctx context.Context, call Call) (*Stream, error) {
	ex, err := c.start(ctx, call)
	if err != nil {
		return nil, err
	}
	var h fasthttp.ResponseHeader
	if err := readHeader(ex.conn.R, &h); err != nil {
		defer ex.finish()
		return nil, ex.failure(err)
	}
	hasIdentity, err := checkIdentity(&h, call.Identity)
	if err != nil {
		ex.finish()
		return nil, err
	}
	return c.newStream(ex, &h, hasIdentity)
}

func (c *Client) newStream(ex *exchange, h *fasthttp.ResponseHeader, hasIdentity bool) (*Stream, error) {
	s := &Stream{Answer: answerFromHeader(h), ex: ex, body: framing.NewBody(ex.conn.R, h, fasthttp.MethodPost)}
	s.Answer.HasIdentity = hasIdentity
	s.body.OnTrailer = s.readTrailerLine
	s.lines = newLineReader(s.body)
	if s.Answer.Status == fasthttp.StatusOK {
		return s, nil
	}
	body, err := c.readBody(s.body)
	if err != nil {
		defer s.Close()
		return nil, ex.failure(err)
	}
	s.Answer.Body = body
	return s, nil
}

// Next returns the data of the next event, or io.EOF when the connection ends.
// Any other error is a *Failure.
func (s *Stream) Next() ([]byte, error) {
	data, err := s.lines.nextData()
	if err == nil || errors.Is(err, io.EOF) {
		return data, err
	}
	return nil, s.ex.failure(err)
}

// Drain reads the rest of the body after the last event, and its trailer, which
// reports the processing time. The connection can then be used again. If the
// body doesn't end properly the events stay valid, but the connection is not
// kept.
func (s *Stream) Drain() {
	if s.body.Kind == framing.Connection {
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(s.lines.r, maxEventBytes)); err != nil {
		return
	}
	s.ex.reusable = s.body.Complete()
}

func (s *Stream) readTrailerLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	if !strings.EqualFold(name, targetapi.HeaderEngineTime) {
		return
	}
	if micros, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
		s.Answer.EngineTime = time.Duration(micros) * time.Microsecond
	}
}

// Close ends the stream. Unless the answer was read to its end, the connection
// is closed, which cancels the call at the target.
func (s *Stream) Close() { s.ex.finish() }
