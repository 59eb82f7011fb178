package upstream

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/headers"
)

// Answer is the answer of a target. Its body is streamed: Read returns data as it arrives.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	// SentAt is when the request began to be written.
	SentAt time.Time
	// Body is nil until the header of the request's own answer has been read.
	*framing.Body

	client   *Client
	arrivals arrivals
	// target is Request.Target.
	target       string
	address      string
	conn         *conns.Conn
	stopCtxWatch func() bool
	// ctxEnded reports whether the context of the request has ended.
	ctxEnded func() bool
	// closeAfterAnswer is Request.CloseAfterAnswer.
	closeAfterAnswer bool
	closed           bool
	hasExceeded      bool
	// written is closed when writing the request body has ended; writeFailed is set if it
	// failed.
	written     chan struct{}
	writeFailed atomic.Bool
}

// errNoMoreAnswers means that an answer to an earlier request ends with its connection, so that
// none can follow.
var errNoMoreAnswers = errors.New("answer to an earlier request takes up the connection")

func (a *Answer) readHeader(r *Request) error {
	a.Header.DisableNormalizing()
	a.Header.SetNoDefaultContentType(true)
	var interim interimAnswers
	read := 0
	for skipped := 0; skipped <= maxUnrelatedAnswers; {
		if err := a.readHead(read); err != nil {
			return err
		}
		a.Status = a.Header.StatusCode()
		if a.Status < fasthttp.StatusOK {
			read += len(a.Header.Header())
			if interim.add(time.Now()) && !a.client.Unbounded {
				return a.exceeded(Interim, read, interim.count <= maxInterimAnswers)
			}
			continue
		}
		a.arrivals.add(time.Now())
		a.Body = framing.NewBody(a.conn.R, &a.Header, r.Method)
		a.WrapTrailer = a.readTrailer
		if r.MatchesRequest == nil || r.MatchesRequest(&a.Header) {
			return a.checkNamed(r, skipped)
		}
		skipped++
		a.closeAfterAnswer = true
		if err := a.discardBody(); err != nil {
			return err
		}
	}
	return ErrUnrelatedAnswers
}

// checkNamed decides whether an answer is taken that may name no request. skipped is the number of answers
// before it.
func (a *Answer) checkNamed(r *Request, skipped int) error {
	if r.NamesRequest == nil || r.NamesRequest(&a.Header) {
		return nil
	}
	a.closeAfterAnswer = true
	if skipped > 0 || a.conn.Reused() {
		return ErrUnnamedAnswer
	}
	return nil
}

// discardBody reads and discards the body of an answer to an earlier request.
func (a *Answer) discardBody() error {
	if a.Kind == framing.Connection {
		return errNoMoreAnswers
	}
	err := a.ReadBounded(io.Discard, earlierBound)
	a.Body = nil
	return err
}

// Next reads the header of the answer that follows on the connection. Call it when the body of this one, which belongs to
// another request, has been read to its end.
func (a *Answer) Next(r *Request) error {
	a.Discard()
	if a.Kind == framing.Connection {
		return errNoMoreAnswers
	}
	a.Body = nil
	return a.readHeader(r)
}

// Discard has Close close the connection: what follows on it can't be told.
func (a *Answer) Discard() { a.closeAfterAnswer = true }

// Close ends the exchange. The connection is kept for reuse if the body was read to its end,
// the request was written completely and CloseAfterAnswer isn't set. Otherwise it is closed,
// which also tells a target that is still working on the request to stop.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.client.inUse.remove(a.address, a.conn)
	inTime := a.stopCtxWatch()
	if a.Body != nil && a.Complete() && a.conn.R.Buffered() > 0 && inTime {
		_ = a.exceeded(Surplus, a.conn.R.Buffered(), false) // the answer itself is complete
	}
	if a.reusable() && inTime && a.conn.R.Buffered() == 0 && a.requestWritten() {
		a.conn.IdleTimeout = idleTime(&a.Header)
		a.client.idle.Put(a.address, a.conn, time.Now())
		return
	}
	_ = a.conn.Close() // the connection is discarded, an error changes nothing
}

// reusable reports whether the connection can take another request after this answer.
func (a *Answer) reusable() bool {
	return a.Body != nil && a.Complete() && a.Kind != framing.Connection && !a.Header.ConnectionClose() && !a.closeAfterAnswer
}

// requestWritten reports whether the whole request has been written. A target that answered
// early may still expect the rest of the body and would take the bytes of another request for
// it.
func (a *Answer) requestWritten() bool {
	select {
	case <-a.written:
		return !a.writeFailed.Load()
	default:
		return false
	}
}

// idleMargin is how much sooner than the target an unused connection is closed here: a request
// written just as the target closes the connection is lost. One second covers timers that fire
// late on a busy VM.
const idleMargin = time.Second

// maxStatedIdle caps the idle time that a target states, in seconds. Connections are kept for a shorter time anyway.
const maxStatedIdle = 3600

// idleTime reads from the Keep-Alive header how long the target keeps an unused connection; 0
// if it doesn't say.
func idleTime(h *fasthttp.ResponseHeader) time.Duration {
	for _, part := range strings.Split(string(headers.Get(h.All(), "Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		idle := time.Duration(min(seconds, maxStatedIdle)) * time.Second
		return min(max(idle-idleMargin, idle/4), conns.DefaultIdleTimeout)
	}
	return 0
}
