// Package upstream sends a caller's request on to a target, byte for byte, and
// reads the target's answer as it comes. One Send is at most one attempt: no
// request is ever written twice, since only the caller of this package knows
// whether it may run again.
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
	Method  string
	// URI is path and query as the caller sent them.
	URI    string
	Host   string
	Header []Header
	Body   []byte
	// MaxAge bounds how long a kept connection may have been unused; 0 is no
	// bound beyond the pool's.
	MaxAge time.Duration
	// MaxKept is how many unused connections to the address are kept at most;
	// 0 is no bound beyond the pool's. KeepNone closes the connection after the
	// answer.
	MaxKept  int
	KeepNone bool
	// IsOurs tells whether an answer's header belongs to this request. Others
	// are late answers to earlier ones: they are read away.
	IsOurs func(*fasthttp.ResponseHeader) bool
	// Sent is called when the request has been written; nil for nothing.
	Sent func()
}

// Failure is an attempt that gave no answer.
type Failure struct {
	// Sent tells that a byte of the request may have reached the target; it
	// may have run, or run still.
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

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NotSent tells whether an attempt failed before a byte of it was sent.
func NotSent(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && !failure.Sent
}

// ErrUnrelatedAnswers means that the target sent answers to other requests only.
var ErrUnrelatedAnswers = errors.New("answers of other requests in place of ours")

// maxStray is how many answers to earlier requests are read away before ours.
const maxStray = 2

// asideBytes is from which size on a body is written beside the reading of the
// answer: a target may answer before it has read a long body, and both sides
// would wait for each other. Shorter ones fit into the sockets' buffers.
const asideBytes = 8 << 10

// Client sends requests. It is safe for concurrent use; the zero value works.
type Client struct {
	idle   conns.Pool
	dialed atomic.Int64
}

// Dialed counts the connections that were opened.
func (c *Client) Dialed() int64 { return c.dialed.Load() }

// Prune closes connections that have stayed unused.
func (c *Client) Prune(now time.Time) { c.idle.Prune(now) }

// Drop closes the unused connections to an address that another target may get.
func (c *Client) Drop(address string) { c.idle.CloseIdle(address) }

// Send makes one attempt and reads the answer's header. Every error is a
// *Failure. The context's end closes the connection, also while the body is
// read. Close the answer always.
func (c *Client) Send(ctx context.Context, r *Request) (*Answer, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &Failure{Err: err}
	}
	conn.MaxIdle = r.MaxKept
	a := &Answer{client: c, address: r.Address, conn: conn, keepNone: r.KeepNone, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := ctx.Err(); err != nil {
		a.Close()
		return nil, &Failure{Err: err}
	}
	if err := a.write(r); err != nil {
		a.Close()
		return nil, &Failure{Sent: true, Err: cause(ctx, err)}
	}
	if err := a.readHeader(r); err != nil {
		a.Close()
		return nil, &Failure{Sent: true, Err: cause(ctx, err)}
	}
	return a, nil
}

// cause prefers the context's reason to the broken connection it led to.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

func (c *Client) connect(ctx context.Context, r *Request) (*conns.Conn, error) {
	if kept := c.idle.Take(r.Address, time.Now(), r.MaxAge); kept != nil {
		return kept, nil
	}
	c.dialed.Add(1)
	return conns.Dial(ctx, r.Address)
}

// write sends the request. A long body goes on being written beside the
// reading of the answer.
func (a *Answer) write(r *Request) error {
	writeHead(a.conn, r)
	if len(r.Body) < asideBytes {
		defer close(a.written)
		_, _ = a.conn.W.Write(r.Body) // a bufio.Writer keeps its error for Flush
		err := a.conn.W.Flush()
		if err == nil && r.Sent != nil {
			r.Sent()
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
		a.cut.Store(err != nil)
		if err == nil && r.Sent != nil {
			r.Sent()
		}
	}()
	return nil
}

func writeHead(conn *conns.Conn, r *Request) {
	w := conn.W
	put := func(parts ...string) {
		for _, part := range parts {
			_, _ = w.WriteString(part) // a bufio.Writer keeps its error for Flush
		}
	}
	put(r.Method, " ", r.URI, " HTTP/1.1\r\nHost: ", r.Host, "\r\n")
	for _, h := range r.Header {
		put(h.Name, ": ", h.Value, "\r\n")
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		put("Content-Length: ", strconv.Itoa(len(r.Body)), "\r\n")
	}
	put("\r\n")
}

// hasBody tells whether a request of this method states its length even when
// it is 0.
func hasBody(method string) bool {
	return method == fasthttp.MethodPost || method == fasthttp.MethodPut || method == fasthttp.MethodPatch
}
