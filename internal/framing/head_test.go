package framing

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// readHead reads a head at once and byte by byte, and returns what follows it.
func readHead(t *testing.T, data string) (*fasthttp.ResponseHeader, string, error) {
	t.Helper()
	var firstErr error
	for i, source := range []io.Reader{strings.NewReader(data), iotest.OneByteReader(strings.NewReader(data))} {
		var h fasthttp.ResponseHeader
		h.DisableNormalizing()
		r := bufio.NewReader(source)
		err := ReadHead(r, &h)
		if i == 0 {
			firstErr = err
			continue
		}
		assert.Equal(t, err == nil, firstErr == nil, "%q: %v, byte by byte %v", data, firstErr, err)
		rest, _ := io.ReadAll(r)
		return &h, string(rest), err
	}
	return nil, "", nil
}

// Guards against names with a blank or a control byte, anywhere in them, that pass as those of fields.
func TestHeadWithAnOddFieldNameIsNone(t *testing.T) {
	t.Parallel()
	odd := []byte{' ', '\t', 0x7f, 0x80, 0xff, '"', '(', ')', ',', '/', ';', '<', '=', '>', '?', '@', '[', '\\', ']', '{', '}'}
	for c := range byte(' ') {
		odd = append(odd, c)
	}
	for _, name := range []string{"X-Odd", "Content-Length", "Transfer-Encoding", "Connection", "X"} {
		for _, c := range odd {
			for at := range len(name) + 1 {
				for _, end := range []string{"\r\n", "\n"} {
					line := name[:at] + string([]byte{c}) + name[at:] + ": 5"
					for _, lines := range []string{line, "X-A: a" + end + line, line + end + "X-Z: z", line + end + line} {
						head := "HTTP/1.1 200 OK" + end + lines + end + end
						if c == '\n' && at == 0 {
							continue // an empty line, which ends the head
						}
						_, _, err := readHead(t, head+"\r\n\r\n")
						assert.Assert(t, errors.Is(err, ErrFieldName), "%q: %v", head, err)
					}
				}
			}
		}
	}
	for _, line := range []string{" ", "\t", ":", ": v", "name", "X-A: a\r\n b", "X-A: a\r\n\tX-B: b", "X-A\r\n : a", "X-A: a\r\n\r\r\nX-B: b"} {
		_, _, err := readHead(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n")
		assert.Assert(t, errors.Is(err, ErrFieldName), "%q: %v", line, err)
	}
}

// Guards against sound heads that are rejected, and against bytes behind them that are taken for a part.
func TestSoundHeadIsReadToItsEnd(t *testing.T) {
	t.Parallel()
	const body = "odd name : not a field\r\n\r\n"
	for _, lines := range []string{
		"", "X-A: a", "x-a:a", "X-A:", "X-A: ", "X-A: \t a b\t", "X-A: a:b", "X-A: \"a b\"", "X-A: \xe4", "!#$%&'*+-.^_`|~09azAZ: v",
		"X-A: a\r\nX-A: b", "Content-Length: 5\r\nX-B: c", "Set-Cookie: a=b; c", "X-A: " + strings.Repeat("a", 3000),
	} {
		head := "HTTP/1.1 200 OK\r\n" + lines
		if lines != "" {
			head += "\r\n"
		}
		for _, before := range []string{"", "\r\n", "\n"} {
			h, rest, err := readHead(t, before+head+"\r\n"+body)
			assert.NilError(t, err, "%q", head)
			assert.Equal(t, h.StatusCode(), 200)
			assert.Equal(t, rest, body, "%q", head)
		}
	}
}

// Guards against the errors of heads that were cut or are too large, which tell whose fault it was.
func TestErrorsOfIncompleteHeads(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\nX-A: a\r\n\r\n"
	for cut := range len(head) {
		_, _, err := readHead(t, head[:cut])
		assert.Assert(t, err != nil && !errors.Is(err, ErrFieldName), "%q: %v", head[:cut], err)
	}
	var h fasthttp.ResponseHeader
	failed := errors.New("failed")
	err := ReadHead(bufio.NewReader(io.MultiReader(strings.NewReader(head[:20]), iotest.ErrReader(failed))), &h)
	assert.Assert(t, errors.Is(err, failed), "%v", err)
	err = ReadHead(bufio.NewReader(strings.NewReader(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: %5000d\r\n\r\n", 1))), &h)
	var tooLarge *fasthttp.ErrSmallBuffer
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}
