package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// oddStatuses are first lines of answers without a status.
var oddStatuses = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1  000 OK", "HTTP/1.0 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
	"\r\nHTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 0000 OK", "HTTP/1.1 2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 20x OK", "HTTP/1.1 0x1 OK", "HTTP/1.1 200OK", "HTTP/1.1 2 00 OK",
	"HTTP/1.1 \t200 OK", "HTTP/1.1 \x00200 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1\t200 OK", "HTTP/1 200 OK", "HTTP 200 OK",
	"http/1.1 200 OK", "ICY 200 OK", "200 OK", "X-A: HTTP/1.1 200",
}

// Guards against answers whose status isn't one that are taken, as 200 or as interim ones, and leave their connections in use.
func TestAnswerWithoutAStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, line := range oddStatuses {
		assertNoAnswer(t, line+"\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello")
		assertNoAnswer(t, line+"\r\n\r\n"+plainAnswer) // as an interim answer
		assertNoAnswer(t, "HTTP/1.1 100 Continue\r\n\r\n"+line+"\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello")
	}
}

// Guards against sound statuses that are rejected.
func TestAnswersWithAnyStatusAreTaken(t *testing.T) {
	t.Parallel()
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 299 x": 299, "HTTP/1.1 302 Found": 302, "HTTP/1.1 421 000": 421,
		"HTTP/1.1 599 Odd": 599, "HTTP/1.1 500 X: y": 500, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found": 404, "HTTP/1.1 199 x\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		address := startTarget(t, alwaysAnswer(line+"\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello"))
		var c Client
		a, err := c.Send(t.Context(), newRequest(address))
		assert.NilError(t, err, "%q", line)
		assert.Equal(t, a.Status, status)
		assert.Equal(t, readAll(t, a), "hello")
		a.Close()
	}
}
