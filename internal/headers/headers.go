// Package headers looks up the header lines of HTTP messages whose names keep the spelling of their sender.
// Names are case-insensitive (RFC 9110, section 5.1), but fasthttp compares them byte by byte in messages
// whose names it doesn't normalize.
package headers

import (
	"bytes"
	"iter"

	"github.com/valyala/fasthttp"
)

// Lines are the header lines of a message as names and values.
type Lines = iter.Seq2[[]byte, []byte]

// Is reports whether a line of this name belongs to a header. Only ASCII letters have a case.
func Is(line []byte, header string) bool {
	if len(line) != len(header) {
		return false
	}
	for i, c := range line {
		if lower(c) != lower(header[i]) {
			return false
		}
	}
	return true
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + ('a' - 'A')
	}
	return c
}

// tokenBytes are the bytes of a token.
var tokenBytes = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

// IsToken reports whether a name is a token, as the names of headers are (RFC 9110, section 5.6.2).
func IsToken[Name ~string | ~[]byte](name Name) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// Get returns the value of the first line of a header; nil if there is none. It is valid as long as the lines.
func Get(lines Lines, header string) []byte {
	for name, value := range lines {
		if Is(name, header) {
			return value
		}
	}
	return nil
}

// AppendAll appends the values of all lines of a header to a list, in their order.
func AppendAll(list [][]byte, lines Lines, header string) [][]byte {
	for name, value := range lines {
		if Is(name, header) {
			list = append(list, value)
		}
	}
	return list
}

// Join returns the values of several lines as one comma-separated list.
func Join(values [][]byte) string { return string(bytes.Join(values, []byte{','})) }

// NormalizeExpect gives the Expect header the only spelling in which fasthttp finds it. Otherwise a caller that
// waits for leave to send its body would wait until the request times out. It is a HeaderReceived of
// fasthttp.Server.
func NormalizeExpect(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if value := Get(h.All(), fasthttp.HeaderExpect); value != nil {
		h.SetBytesV(fasthttp.HeaderExpect, value)
	}
	return fasthttp.RequestConfig{}
}
