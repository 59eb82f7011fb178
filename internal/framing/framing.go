// Package framing reads the bodies of HTTP answers and reports how their end is marked. A body
// that only the end of its connection ends can't be told from one that was cut off, so its
// reader has to know.
package framing

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"
	"strings"

	"github.com/valyala/fasthttp"
)

// Kind is how the end of an answer is marked.
type Kind string

// The kinds of framing (RFC 9112, section 6.3).
const (
	// Length announces the number of bytes, which may be 0.
	Length Kind = "length"
	// Chunks end with a chunk of their own.
	Chunks Kind = "chunks"
	// Connection ends the answer with its connection. The sender may have been cut off.
	Connection Kind = "connection"
)

// ErrTrailer means that the lines after a chunked body don't end.
var ErrTrailer = errors.New("framing: chunked body has too many trailer lines")

// maxTrailerLines limits the trailer lines after a chunked body.
const maxTrailerLines = 16

// Body is the body of an answer.
type Body struct {
	Kind Kind
	// Length is the length in bytes; -1 if it isn't announced.
	Length int
	// OnTrailer is called with each trailer line, without its line end. It may be nil.
	OnTrailer func(line string)
	// WrapTrailer is called to read the lines after a chunked body with read, and returns its error or
	// another one. It may be nil.
	WrapTrailer func(read func() error) error

	conn     *bufio.Reader
	data     io.Reader
	complete bool
}

// NewBody returns the body that follows a header on a connection. method is that of the
// request.
func NewBody(conn *bufio.Reader, h *fasthttp.ResponseHeader, method string) *Body {
	length := h.ContentLength()
	switch {
	case method == fasthttp.MethodHead, h.StatusCode() == fasthttp.StatusNoContent, h.StatusCode() == fasthttp.StatusNotModified:
		return &Body{Kind: Length, conn: conn, data: strings.NewReader("")}
	case length >= 0:
		return &Body{Kind: Length, Length: length, conn: conn, data: &io.LimitedReader{R: conn, N: int64(length)}}
	case length == -1: // how fasthttp reports chunked encoding
		return &Body{Kind: Chunks, Length: -1, conn: conn, data: httputil.NewChunkedReader(conn)}
	default:
		return &Body{Kind: Connection, Length: -1, conn: conn, data: conn}
	}
}

// NewRequestBody returns the body that follows the head of a request; a negative length stands for chunked encoding.
func NewRequestBody(conn *bufio.Reader, length int) *Body {
	if length < 0 {
		return &Body{Kind: Chunks, Length: -1, conn: conn, data: httputil.NewChunkedReader(conn)}
	}
	return &Body{Kind: Length, Length: length, conn: conn, data: &io.LimitedReader{R: conn, N: int64(length)}}
}

// Read returns body data as it arrives. io.EOF means that the body is complete, as far as its
// framing tells; a truncated body ends with another error.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.data.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if limited, ok := b.data.(*io.LimitedReader); ok && limited.N > 0 {
		return n, io.ErrUnexpectedEOF
	}
	if b.Kind == Chunks && !b.complete {
		if err := b.wrapTrailer(b.readTrailer); err != nil {
			return n, err
		}
	}
	b.complete = true
	return n, io.EOF
}

// Complete reports whether the body was read to its end.
func (b *Body) Complete() bool { return b.complete }

func (b *Body) wrapTrailer(read func() error) error {
	if b.WrapTrailer == nil {
		return read()
	}
	return b.WrapTrailer(read)
}

// readTrailer reads the lines after the last chunk. Without the final empty line the body was
// truncated, however the connection ended.
func (b *Body) readTrailer() error {
	for range maxTrailerLines {
		line, err := b.conn.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			return nil
		}
		if b.OnTrailer != nil {
			b.OnTrailer(text)
		}
	}
	return ErrTrailer
}
