package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/framing"
)

// limitTime has reads of the connection fail after a time. The returned function ends the limit and
// reports whether it had passed; the connection can't be used any more then.
func (a *Answer) limitTime(limit time.Duration) (passed func() bool) {
	if a.client.Unbounded || limit == 0 {
		return func() bool { return false }
	}
	conn := a.conn
	timer := time.AfterFunc(limit, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	return func() bool {
		if timer.Stop() {
			return false
		}
		a.closeAfterAnswer = true
		return true
	}
}

// exceeded returns the error for a part that exceeds its bound, and reports it.
func (a *Answer) exceeded(part Part, read int, timedOut bool) error {
	err := &BoundError{Part: part, Bytes: read, TimedOut: timedOut}
	a.closeAfterAnswer = true
	a.hasExceeded = a.hasExceeded || part != Surplus
	if a.client.Unbounded || a.ctxEnded() { // the end of the request also makes reads fail
		return err
	}
	a.client.ReportExceeded(a.target, a.address, err)
	return err
}

// HasExceeded reports whether a part of the answer has exceeded its bound.
func (a *Answer) HasExceeded() bool { return a.hasExceeded }

// ReportExceeded calls OnExceeded.
func (c *Client) ReportExceeded(target, address string, err *BoundError) {
	if c.OnExceeded != nil {
		c.OnExceeded(target, address, err)
	}
}

// readHead reads the head of one answer. read is the size of the heads before it.
func (a *Answer) readHead(read int) error {
	passed := func() bool { return false }
	if _, err := a.conn.R.Peek(1); err == nil && !headComplete(a.conn.R) {
		passed = a.limitTime(PartTime)
	}
	err := framing.ReadHead(a.conn.R, &a.Header)
	if passed() {
		return a.exceeded(Head, read+a.conn.R.Buffered(), true)
	}
	var tooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooLarge) {
		return a.exceeded(Head, read+a.conn.R.Buffered(), false)
	}
	return err
}

// headComplete reports whether a whole head is buffered.
func headComplete(r *bufio.Reader) bool {
	buffered, _ := r.Peek(r.Buffered()) // never fails for what is buffered
	return bytes.Contains(buffered, []byte("\r\n\r\n")) || bytes.Contains(buffered, []byte("\n\n"))
}

// readTrailer reads the lines after a chunked body.
func (a *Answer) readTrailer(read func() error) error {
	passed := func() bool { return false }
	if start, _ := a.conn.R.Peek(min(a.conn.R.Buffered(), len("\r\n"))); !bytes.Equal(start, []byte("\r\n")) {
		passed = a.limitTime(PartTime)
	}
	err := read()
	if passed() && err != nil {
		return a.exceeded(Trailer, a.conn.R.Buffered(), true)
	}
	if errors.Is(err, framing.ErrTrailer) || errors.Is(err, bufio.ErrBufferFull) {
		return errors.Join(a.exceeded(Trailer, a.conn.R.Buffered(), false), err)
	}
	return err
}

// ErrNoMemory is returned by writers to which a body is written that must not take more memory.
var ErrNoMemory = errors.New("answers take too much memory")

// ReadBounded writes the body to w. It fails with a BoundError if the body exceeds the bound, or w returns ErrNoMemory.
func (a *Answer) ReadBounded(w io.Writer, bound Bound) error {
	if bound.exceededBy(0, a.Length) {
		return a.exceeded(bound.Part, 0, false)
	}
	passed := func() bool { return false }
	if a.Length != 0 {
		if bound.FromHead {
			passed = a.limitTime(bound.Time)
		}
		_, err := a.conn.R.Peek(1)
		if err != nil && !errors.Is(err, io.EOF) {
			if passed() {
				return a.exceeded(bound.Part, 0, true)
			}
			return err
		}
		if !bound.FromHead {
			passed = a.limitTime(bound.Time)
		}
	}
	n, err := io.Copy(w, io.LimitReader(a, int64(bound.Bytes)+1))
	switch timedOut := passed(); {
	case timedOut && err != nil:
		return a.exceeded(bound.Part, int(n), true)
	case errors.Is(err, ErrNoMemory), err == nil && bound.exceededBy(int(n), -1):
		return a.exceeded(bound.Part, int(n), false)
	default:
		return err
	}
}
