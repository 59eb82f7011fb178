// Package upstream sends a caller's request to a target, byte for byte, and streams the answer
// of the target. One Send is at most one attempt. A request is never written twice, because
// only the user of this package knows whether it may run again.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
)

// Header is one header line.
type Header struct{ Name, Value string }

// Request is one attempt at one target.
type Request struct {
	// Address is the target's IP:port.
	Address string
	// Target is the target's ID, which OnExceeded gets; empty if it has none. Its answer with any status but 421
	// shows that the connection is the target's.
	Target string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI    string
	Host   string
	Header []Header
	Body   []byte
	// MaxIdleTime limits how long a reused connection may have been unused; 0 means no limit
	// beyond that of the connection pool.
	MaxIdleTime time.Duration
	// MaxIdleConns limits the unused connections that are kept to the address; 0 means no limit
	// beyond that of the connection pool. CloseAfterAnswer closes the connection after the
	// answer.
	MaxIdleConns     int
	CloseAfterAnswer bool
	// MatchesRequest reports whether an answer with this header belongs to this request. Any
	// other answer is a late one to an earlier request and is discarded. nil accepts every
	// answer.
	MatchesRequest func(*fasthttp.ResponseHeader) bool
	// NamesRequest reports whether an answer with this header names the request that it belongs to. One that
	// names none is taken only if it is the first answer on its connection, which is closed after it; on any
	// other one it may be an extra answer to an earlier request, and the error is ErrUnnamedAnswer. nil
	// means that every answer names its request.
	NamesRequest func(*fasthttp.ResponseHeader) bool
	// NewConnection opens a connection instead of reusing one, on which an answer to an earlier request may
	// still arrive.
	NewConnection bool
	// OpenedBefore, if it isn't zero, allows only kept connections that were opened before that time. If there is none,
	// nothing is sent and the error is ErrNoneKept.
	OpenedBefore time.Time
	// Allowed is asked right before the request is written, when there is a connection. If it returns false,
	// nothing is sent and the error is ErrNotAllowed. nil allows the request.
	Allowed func() bool
	// OnSent is called when the whole request has been written. It may be nil.
	OnSent func()
}

// Failure is the error of an attempt that got no answer.
type Failure struct {
	// Sent is set if any byte of the request may have reached the target. The request may then
	// have run or still be running.
	Sent bool
	Err  error
}

// Error describes the failure.
func (f *Failure) Error() string {
	if f.Sent {
		return fmt.Sprintf("upstream: no answer: %v", f.Err)
	}
	return fmt.Sprintf("upstream: not sent: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NotSent reports whether an attempt failed before any byte of it was sent.
func NotSent(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && !failure.Sent
}

// ErrNotAllowed means that Request.Allowed has returned false.
var ErrNotAllowed = errors.New("request is no longer allowed")

// ErrNoneKept means that no connection is kept that Request.OpenedBefore allows.
var ErrNoneKept = errors.New("no connection is kept that is old enough")

// ErrUnrelatedAnswers means that the target only sent answers to other requests.
var ErrUnrelatedAnswers = errors.New("target sent only answers to other requests")

// ErrUnnamedAnswer means that an answer names no request, on a connection that had another request before.
var ErrUnnamedAnswer = errors.New("answer names no request and may be another's")

// maxUnrelatedAnswers is how many answers to earlier requests are discarded before the attempt
// fails.
const maxUnrelatedAnswers = 2

// concurrentWriteBytes is the size from which a body is written concurrently with reading the
// answer. A target may answer before it has read a long body, and both sides would wait for
// each other. Shorter bodies fit into the socket buffers.
const concurrentWriteBytes = 8 << 10

// Client sends requests and keeps unused connections for reuse. It is safe for concurrent use,
// and its zero value is ready to use.
type Client struct {
	// Dial opens connections; nil for conns.DialTCP.
	Dial conns.DialFunc
	// OnSlowConnect is called with an address that hasn't accepted a connection for
	// SlowConnectTime. It may be nil.
	OnSlowConnect func(address string)
	// OnExceeded is called when a part of a target's answer has exceeded its bound. It may be nil.
	OnExceeded func(target, address string, err *BoundError)
	// Unbounded disables the bounds on time and those on the size of interim answers.
	Unbounded bool

	idle   conns.Pool
	inUse  connsInUse
	dialed atomic.Int64
}

// Dialed returns the number of connections opened so far.
func (c *Client) Dialed() int64 { return c.dialed.Load() }

// Prune closes connections that have been unused for too long.
func (c *Client) Prune(now time.Time) { c.idle.Prune(now) }

// CloseIdle closes the unused connections to an address. Call it when the target there has
// left: another one may have or get the address.
func (c *Client) CloseIdle(address string) { c.idle.CloseIdle(address) }

// HasIdle reports whether an unused connection to an address is kept that a request with this
// MaxIdleTime may reuse.
func (c *Client) HasIdle(address string, maxIdleTime time.Duration) bool {
	return c.idle.Has(address, time.Now(), maxIdleTime)
}

// HasIdleOf reports whether an unused connection to an address is kept on which a target has answered, and which is
// still open. If before isn't zero, only connections count that were opened before that time.
func (c *Client) HasIdleOf(target, address string, before time.Time) bool {
	return c.idle.HasOf(target, address, before, time.Now())
}

// HasHeard reports whether an unused connection to an address is kept that was opened before a time, and on which an
// answer has come since another.
func (c *Client) HasHeard(address string, openedBefore, since time.Time) bool {
	return c.idle.HasHeard(address, openedBefore, since, time.Now())
}

// KeepSpare opens a connection to an address for requests with OpenedBefore, and keeps it, unless there is one. r is a
// request as it is sent there; of it the address and the limits of kept connections are used.
func (c *Client) KeepSpare(ctx context.Context, r *Request) {
	if r.CloseAfterAnswer || c.idle.HasSpare(r.Address, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SlowConnectTime)
	defer cancel()
	conn, err := c.Connect(ctx, r.Address)
	if err != nil {
		return // nothing was to be sent
	}
	conn.MaxIdleConns = r.MaxIdleConns
	c.idle.PutSpare(r.Address, conn, time.Now())
}

// Send makes one attempt and reads the header of the answer. Every error is a *Failure. When
// ctx ends, the connection is closed, also while the body is being read. The caller must
// always close the answer.
func (c *Client) Send(ctx context.Context, r *Request) (*Answer, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	conn.MaxIdleConns = r.MaxIdleConns
	c.inUse.add(r.Address, conn)
	a := &Answer{
		client: c, target: r.Target, address: r.Address, conn: conn, closeAfterAnswer: r.CloseAfterAnswer, written: make(chan struct{}),
		ctxEnded: func() bool { return ctx.Err() != nil },
	}
	a.stopCtxWatch = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := ctx.Err(); err != nil {
		a.Close()
		return nil, &Failure{Err: err}
	}
	if r.Allowed != nil && !r.Allowed() {
		a.Close()
		return nil, &Failure{Err: ErrNotAllowed}
	}
	a.SentAt = time.Now()
	a.arrivals = newArrivals(a.SentAt)
	if err := a.write(r); err != nil {
		a.Close()
		return nil, &Failure{Sent: true, Err: preferContextCause(ctx, err)}
	}
	if err := a.readHeader(r); err != nil {
		a.Close()
		return nil, &Failure{Sent: true, Err: preferContextCause(ctx, err)}
	}
	if a.Status != fasthttp.StatusMisdirectedRequest {
		conn.Process = r.Target
	}
	return a, nil
}

// preferContextCause returns the cause of the context's end, if it has ended, instead of the
// connection error that resulted from it.
func preferContextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) connect(ctx context.Context, r *Request) (*conns.Conn, error) {
	if r.NewConnection {
		return c.Connect(ctx, r.Address)
	}
	if !r.OpenedBefore.IsZero() {
		if kept := c.idle.TakeOpenedBefore(r.OpenedBefore, r.Address, time.Now()); kept != nil {
			return kept, nil
		}
		return nil, ErrNoneKept
	}
	if kept := c.idle.Take(r.Address, time.Now(), r.MaxIdleTime); kept != nil {
		return kept, nil
	}
	return c.Connect(ctx, r.Address)
}

// SlowConnectTime is far longer than it takes to connect to a target that is reachable, and than a VM
// that is short of CPU usually stalls.
const SlowConnectTime = 300 * time.Millisecond

// Connect opens a new connection.
func (c *Client) Connect(ctx context.Context, address string) (*conns.Conn, error) {
	c.dialed.Add(1)
	if c.OnSlowConnect != nil {
		defer time.AfterFunc(SlowConnectTime, func() { c.OnSlowConnect(address) }).Stop()
	}
	if c.Dial == nil {
		return conns.Dial(ctx, address)
	}
	return c.Dial.Dial(ctx, address)
}

// write sends the request. A long body is written in the background while the answer is read.
func (a *Answer) write(r *Request) error {
	writeRequestHeader(a.conn, r)
	if len(r.Body) < concurrentWriteBytes {
		defer close(a.written)
		_, _ = a.conn.W.Write(r.Body) // Flush returns the error of any earlier write
		err := a.conn.W.Flush()
		if err == nil && r.OnSent != nil {
			r.OnSent()
		}
		return err
	}
	if err := a.conn.W.Flush(); err != nil {
		close(a.written)
		return err
	}
	go func() {
		defer close(a.written)
		_, err := a.conn.Conn.Write(r.Body)
		a.writeFailed.Store(err != nil)
		if err == nil && r.OnSent != nil {
			r.OnSent()
		}
	}()
	return nil
}

func writeRequestHeader(conn *conns.Conn, r *Request) {
	w := conn.W
	put := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part) // Flush returns the error of any earlier write
		}
	}
	put(r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for _, h := range r.Header {
		put(h.Name, ": ", h.Value, "\r\n")
	}
	if len(r.Body) > 0 || alwaysSendsLength(r.Method) {
		put("Content-Length: ", strconv.Itoa(len(r.Body)), "\r\n")
	}
	put("\r\n")
}

// alwaysSendsLength reports whether requests of this method have a Content-Length header even
// if the body is empty.
func alwaysSendsLength(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch
}
