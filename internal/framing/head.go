package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/headers"
)

// ErrStatus means that the first line of a head has no status code between 100 and 599 (RFC 9110, section 15).
var ErrStatus = errors.New("framing: head has no valid status")

// ErrFieldName means that a line in the head of an answer has no field name, or one that isn't a token (RFC 9110,
// section 5.6.2).
var ErrFieldName = errors.New("framing: head has a line without a valid field name")

// maxQuotedBytes limits how much of a line an error quotes.
const maxQuotedBytes = 64

// ReadHead reads the head of an answer. fasthttp takes any three digits for a status, and reads 000 as 200. It also
// takes names with blanks and folded lines. A name with a blank isn't that of the field which its sender meant, such as
// the length of the body, so that the answer can't be read.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := checkHead(r); err != nil {
		return err
	}
	return h.Read(r)
}

// checkHead checks the lines of a head as they arrive, and consumes nothing. It returns nil if the head doesn't arrive
// as a whole or is too large: reading it fails, too.
func checkHead(r *bufio.Reader) error {
	for {
		buffered, _ := r.Peek(r.Buffered()) // never fails for what is buffered
		if ended, err := checkLines(buffered); ended || err != nil {
			return err
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			return nil
		}
	}
}

// checkLines checks the complete lines of a head, and reports whether its last one is among them. fasthttp skips empty
// lines before the first one.
func checkLines(head []byte) (ended bool, err error) {
	for hasStatus := false; ; {
		line, rest, complete := bytes.Cut(head, []byte("\n"))
		if !complete {
			return false, nil
		}
		head, line = rest, bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case len(line) == 0 && hasStatus:
			return true, nil
		case len(line) == 0:
		case !hasStatus:
			if !validStatus(line) {
				return false, fmt.Errorf("%w: %q", ErrStatus, line[:min(len(line), maxQuotedBytes)])
			}
			hasStatus = true
		case !hasFieldName(line):
			return false, fmt.Errorf("%w: %q", ErrFieldName, line[:min(len(line), maxQuotedBytes)])
		}
	}
}

// validStatus reports whether the status in the first line of a head begins with a digit from 1 to 5. The other digits
// are left to fasthttp.
func validStatus(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	return len(status) > 0 && '1' <= status[0] && status[0] <= '5'
}

// hasFieldName reports whether a line begins with a token and a colon.
func hasFieldName(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && headers.IsToken(name)
}
