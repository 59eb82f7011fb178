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

// Answer is a target's answer; its body is read as it comes.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader
	// Length of the body, -1 where the target didn't say.
	Length int

	client  *Client
	address string
	conn    *conns.Conn
	stop    func() bool
	body    io.Reader
	chunked bool
	// keepNone is Request.KeepNone.
	keepNone bool
	whole    bool
	closed   bool
	reuse    bool
	// written is closed when the request's body has been written; cut tells
	// that it could not be.
	written chan struct{}
	cut     atomic.Bool
}

// errFraming means that the end of the body can't be told.
var errFraming = errors.New("answer's body has no framing")

func (a *Answer) readHeader(r *Request) error {
	a.Header.DisableNormalizing()
	a.Header.SetNoDefaultContentType(true)
	for stray := 0; stray <= maxStray; {
		if err := a.Header.Read(a.conn.R); err != nil {
			return err
		}
		a.Status = a.Header.StatusCode()
		if a.Status < fasthttp.StatusOK {
			continue // an interim answer
		}
		a.frame(r.Method)
		if r.IsOurs == nil || r.IsOurs(&a.Header) {
			return nil
		}
		stray++
		if err := a.skip(); err != nil {
			return err
		}
	}
	return ErrUnrelatedAnswers
}

// frame finds out how the body's end is told.
func (a *Answer) frame(method string) {
	a.Length = a.Header.ContentLength()
	a.chunked = false
	a.whole = false
	a.reuse = !a.Header.ConnectionClose()
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
		a.reuse = false
		a.body = a.conn.R
	}
}

// skip reads away an answer that belongs to an earlier request.
func (a *Answer) skip() error {
	if a.Length < 0 && !a.chunked {
		return errFraming
	}
	_, err := io.Copy(io.Discard, a)
	a.whole = false
	return err
}

// Read gives the body as it comes. io.EOF means that it is whole; a body that
// was cut ends with another error.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if a.chunked && !a.whole {
		// Without its empty line the body was cut, however the connection ended.
		if err := readTrailer(a.conn.R); errors.Is(err, io.EOF) {
			return n, io.ErrUnexpectedEOF
		} else if err != nil {
			return n, err
		}
	}
	a.whole = true
	return n, io.EOF
}

// maxTrailerLines bounds the lines after a chunked body.
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

// Close ends the exchange. The connection is kept if the body was read to its
// end and the request was written whole; else it is closed, which also ends
// the target's work on it.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	inTime := a.stop()
	if a.whole && a.reuse && !a.keepNone && inTime && a.conn.R.Buffered() == 0 && a.bodyWritten() {
		a.conn.IdleTimeout = idleTime(&a.Header)
		a.client.idle.Put(a.address, a.conn, time.Now())
		return
	}
	_ = a.conn.Close() // given up: nothing is lost with it
}

// bodyWritten tells whether the whole request is out. A target that answered
// early may still wait for the rest; another request's bytes in its place
// would be taken for it.
func (a *Answer) bodyWritten() bool {
	select {
	case <-a.written:
		return !a.cut.Load()
	default:
		return false
	}
}

// idleMargin is how much sooner than the target we drop an unused connection:
// a request written as the target closes is lost. A second covers timers that
// fire late on a busy VM.
const idleMargin = time.Second

// idleTime reads how long the target keeps an unused connection, 0 where it
// doesn't say.
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
