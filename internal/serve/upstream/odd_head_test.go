package upstream

import (
	"context"
	"io"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against answers whose length can't be told being taken for whole ones, and their connections being used again.
func TestAnswerWithOddHeadIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"Content-Length: 5\r\nContent-Length: 5", "Content-Length: 5\r\nContent-Length: 6", "Content-Length: -5", "Content-Length: +5",
		"Content-Length: 5, 5", "Content-Length: 5,6", "Content-Length: 12345678901234567890", "Content-Length: 18446744073709551621",
		"Content-Length: 9223372036854775808", "Content-Length: 5 5", "Content-Length: 0x5", "Content-Length: 5.0", "Content-Length: ",
		"Content-Length: x", "Content-Length:\r\n 5x", "no colon", ": no name", "X-A: a\x00b", "X-\x00A: b", "Content-Length: 5\x00",
		"X-A: a\rb", "Transfer-Encoding: chunked, identity", "Transfer-Encoding: gzip", "Transfer-Encoding: \x0bchunked",
	} {
		address := startTarget(t, alwaysAnswer("HTTP/1.1 200 OK\r\n"+line+"\r\n\r\nhello"))
		var c Client
		a, err := c.Send(context.Background(), newRequest(address))
		if err != nil {
			assert.Assert(t, !NotSent(err), "%q: it may have run", line)
			assert.Assert(t, !c.HasIdle(address, 0), "%q", line)
			continue
		}
		assert.Assert(t, a.Length < 0, "%q: length %d", line, a.Length)
		body := make([]byte, 5)
		_, _ = io.ReadFull(a, body) // what follows is no body
		a.Close()
		assert.Assert(t, !c.HasIdle(address, 0), "%q", line)
	}
	for _, status := range []string{
		"HTTP/1.1 2000 OK", "HTTP/1.1 20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 200OK", "HTTP/1.1  OK", "HTTP/1.1",
		"200 OK", "\x00", "HTTP/1.1 000 OK", "HTTP/1.1 099 OK",
	} {
		address := startTarget(t, endsAfter(status+"\r\nContent-Length: 5\r\n\r\nhello", 0, false))
		var c Client
		a, err := c.Send(context.Background(), newRequest(address))
		if err == nil {
			t.Errorf("%q: status %d", status, a.Status)
			a.Close()
		}
	}
}
