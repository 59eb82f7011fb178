package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/conns"
)

// Answer is the answer of a target. Its body is streamed: Read returns data as it arrives.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	// Length is the length of the body, -1 if the target didn't announce it.
	Length int

	client       *Client
	address      string
	conn         *conns.Conn
	stopCtxWatch func() bool
	body         io.Reader
	chunked      bool
	// closeAfterAnswer is Request.CloseAfterAnswer.
	closeAfterAnswer bool
	complete         bool
	closed           bool
	reusable         bool
	// written is closed when writing the request body has ended; writeFailed is set if it
	// failed.
	written     chan struct{}
	writeFailed atomic.Bool
}

// errFraming means that the end of the body can't be determined.
var errFraming = errors.New("answer body has no usable framing")

func (a *Answer) readHeader(r *Request) error {
	a.Header.DisableNormalizing()
	a.Header.SetNoDefaultContentType(true)
	for skipped := 0; skipped <= maxUnrelatedAnswers; {
		if err := a.Header.Read(a.conn.R); err != nil {
			return err
		}
		a.Status = a.Header.StatusCode()
		if a.Status < fasthttp.StatusOK {
			continue // an interim (1xx) answer
		}
		a.setFraming(r.Method)
		if r.MatchesRequest == nil || r.MatchesRequest(&a.Header) {
			return nil
		}
		skipped++
		if err := a.discardBody(); err != nil {
			return err
		}
	}
	return ErrUnrelatedAnswers
}

// setFraming determines how the end of the body is marked: by a length, by chunked encoding or
// by the end of the connection.
func (a *Answer) setFraming(method string) {
	a.Length = a.Header.ContentLength()
	a.chunked = false
	a.complete = false
	a.reusable = !a.Header.ConnectionClose()
	switch {
	case method == fasthttp.MethodHead, a.Status == fasthttp.StatusNoContent, a.Status == fasthttp.StatusNotModified:
		a.Length = 0
		a.body = strings.NewReader("")
	case a.Length >= 0:
		a.body = &io.LimitedReader{R: a.conn.R, N: int64(a.Length)}
	case a.Length == -1:
		a.chunked = true
		a.body = httputil.NewChunkedReader(a.conn.R)
	default:
		a.Length = -1
		a.reusable = false
		a.body = a.conn.R
	}
}

// discardBody reads and discards the body of an answer to an earlier request.
func (a *Answer) discardBody() error {
	if a.Length < 0 && !a.chunked {
		return errFraming
	}
	_, err := io.Copy(io.Discard, a)
	a.complete = false
	return err
}

// Read returns body data as it arrives. io.EOF means that the body is complete; a truncated
// body ends with another error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if a.chunked && !a.complete {
		// A chunked body without the final empty line was truncated, however the connection
		// ended.
		if err := readTrailer(a.conn.R); errors.Is(err, io.EOF) {
			return n, io.ErrUnexpectedEOF
		} else if err != nil {
			return n, err
		}
	}
	a.complete = true
	return n, io.EOF
}

// maxTrailerLines limits the trailer lines after a chunked body.
const maxTrailerLines = 16

func readTrailer(r *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return nil
		}
	}
	return errFraming
}

// Close ends the exchange. The connection is kept for reuse if the body was read to its end,
// the request was written completely and CloseAfterAnswer isn't set. Otherwise it is closed,
// which also tells a target that is still working on the request to stop.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	inTime := a.stopCtxWatch()
	if a.complete && a.reusable && !a.closeAfterAnswer && inTime && a.conn.R.Buffered() == 0 && a.requestWritten() {
		a.conn.IdleTimeout = idleTime(&a.Header)
		a.client.idle.Put(a.address, a.conn, time.Now())
		return
	}
	_ = a.conn.Close() // the connection is discarded, an error changes nothing
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

// idleTime reads from the Keep-Alive header how long the target keeps an unused connection; 0
// if it doesn't say.
func idleTime(h *fasthttp.ResponseHeader) time.Duration {
	for _, part := range strings.Split(string(h.Peek("Keep-Alive")), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		idle := time.Duration(seconds) * time.Second
		return min(max(idle-idleMargin, idle/4), conns.DefaultIdleTimeout)
	}
	return 0
}
