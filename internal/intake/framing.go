package intake

import (
	"errors"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// ErrAmbiguousLength means that the end of a request could be understood in two ways. Two servers that disagree on it
// would see different requests on the same connection (request smuggling).
var ErrAmbiguousLength = errors.New("intake: ambiguous length")

// Lengths of bodies that aren't a number of bytes.
const (
	chunked = -1
	noBody  = -2
)

// bodyLength returns the length of a request's body as its head states it, chunked or noBody. fasthttp has checked the
// values.
func bodyLength(h *fasthttp.RequestHeader) (int, error) {
	length, lengths, encodings := noBody, 0, 0
	for line := range strings.Lines(string(h.RawHeaders())) {
		if line[0] == ' ' || line[0] == '\t' {
			return 0, ErrAmbiguousLength // a folded line, which some servers parse as a separate header
		}
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
			if err != nil {
				return 0, ErrAmbiguousLength
			}
			length = int(n)
		case "transfer-encoding":
			encodings++
			length = chunked
		}
	}
	if lengths+encodings > 1 {
		return 0, ErrAmbiguousLength
	}
	return length, nil
}

// TakeBody has fasthttp leave the body of a request on its connection, where Handler reads it. It is to be called by
// the HeaderReceived of the server.
func TakeBody(h *fasthttp.RequestHeader) {
	if h.ContentLength() != noBody {
		h.SetContentLength(0)
	}
}
