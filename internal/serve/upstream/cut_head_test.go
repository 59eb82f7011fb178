package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// cutHeads are the heads of answers that are cut at each byte. All but the last lines of interim answers and of the
// answer's own head may be cut.
var cutHeads = map[string]string{
	"length":               "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\n",
	"no bytes":             "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 0\r\n\r\n",
	"chunks":               "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection":           "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"no lines":             "HTTP/1.1 200 OK\r\n\r\n",
	"no content":           "HTTP/1.1 204 No Content\r\nX-Attempt: id-1\r\n\r\n",
	"HTTP/1.0":             "HTTP/1.0 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"HTTP/1.0 with length": "HTTP/1.0 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\n",
	"LF":                   "HTTP/1.1 200 OK\nX-Attempt: id-1\nContent-Length: 5\n\n",
	"LF, no lines":         "HTTP/1.1 200 OK\n\n",
	"CRLF, then LF":        "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\n",
	"LF, then CRLF":        "HTTP/1.1 200 OK\nX-Attempt: id-1\n\r\n",
	"after 100":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"after 103":            "HTTP/1.1 103 Early Hints\r\nLink: a\r\nContent-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"after CRLF":           "\r\nHTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"folded line":          "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nX-A: b\r\n c\r\n\r\n",
	"after an earlier one": "HTTP/1.1 200 OK\r\nX-Attempt: id-0\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
}

// endsAfter answers each request but the first "complete" ones with the start of an answer, and ends the connection.
func endsAfter(start string, complete int, reset bool) func(net.Conn) {
	return func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for range complete {
			readRequest(r)
			_, _ = io.WriteString(conn, plainAnswer)
		}
		readRequest(r)
		_, _ = io.WriteString(conn, start)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against an answer whose head was cut off being taken for a whole one.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for name, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			for complete := range 2 {
				for cut := range len(head) {
					address := startTarget(t, endsAfter(head[:cut], complete, reset))
					var c Client
					for range complete {
						assert.Equal(t, exchange(t, &c, address), "hello")
					}
					a, err := c.Send(context.Background(), newRequest(address))
					if err == nil {
						body, bodyErr := io.ReadAll(a)
						a.Close()
						t.Errorf("%s: %q, reset %v, after %d: status %d, body %q, %v", name, head[:cut], reset, complete, a.Status, body, bodyErr)
						continue
					}
					assert.Assert(t, !NotSent(err), "%s: %q: it may have run", name, head[:cut])
					assert.Assert(t, !c.HasIdle(address, 0))
				}
			}
		}
	}
}

// Guards against a body that was cut off, or whose connection was reset, being taken for a whole one.
func TestAnswerCutInItsBodyIsNoWholeOne(t *testing.T) {
	for name, answer := range map[string]string{
		"length":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
		"LF":           "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello",
		"HTTP/1.0":     "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"both framing": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		start := strings.Index(answer, "\n\n") + 2
		if crlf := strings.Index(answer, "\r\n\r\n"); crlf >= 0 {
			start = crlf + 4
		}
		for _, reset := range []bool{false, true} {
			for cut := start; cut < len(answer); cut++ {
				address := startTarget(t, endsAfter(answer[:cut], 0, reset))
				var c Client
				a, err := c.Send(context.Background(), newRequest(address))
				if err != nil {
					continue // of a reset that came before the head was read
				}
				_, err = io.ReadAll(a)
				assert.Assert(t, err != nil && !a.Complete(), "%s: %q, reset %v", name, answer[:cut], reset)
				a.Close()
				assert.Assert(t, !c.HasIdle(address, 0))
			}
		}
	}
}
