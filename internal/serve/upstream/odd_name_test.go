package upstream

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oddNames returns names of fields with a blank or a control byte anywhere in them.
func oddNames(name string) (odd []string) {
	for _, c := range []string{" ", "  ", "\t", "\x00", "\x01", "\x0b", "\x0c", "\r", "\x1f", "\x7f"} {
		for _, at := range []int{0, 1, strings.Index(name, "-"), strings.Index(name, "-") + 1, len(name)} {
			odd = append(odd, name[:at]+c+name[at:])
		}
		odd = append(odd, strings.Replace(name, "-", c, 1))
	}
	return odd
}

// oddHeads are answers in whose head the name of a field holds a blank or a control byte.
func oddHeads() (all []string) {
	for _, odd := range oddNames("X-Odd") {
		all = append(all,
			"HTTP/1.1 200 OK\r\n"+odd+": v\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nContent-Length: 5\r\n"+odd+": v\r\n\r\nhello",
			"HTTP/1.0 200 OK\nX-Attempt: id-1\n"+odd+": v\nContent-Length: 5\n\nhello\r\n\r\n",
			"HTTP/1.1 500 Failed\r\n"+odd+":\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 103 Early Hints\r\n"+odd+": v\r\n\r\n"+plainAnswer,
			"HTTP/1.1 204 No Content\r\nX-Attempt: id-1\r\n"+odd+": v\r\n\r\n",
			strings.Replace(plainAnswer, "id-1", "id-0\r\n"+odd+": v", 1)+plainAnswer, // an earlier request's
		)
	}
	for _, odd := range oddNames("Content-Length") {
		all = append(all, "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n"+odd+": 5\r\n\r\nhello")
	}
	for _, odd := range oddNames("Transfer-Encoding") {
		all = append(all, "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n"+odd+": chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	}
	return all
}

// assertNoAnswer checks that an answer is a failure of its target, for short and long requests, and that its connection isn't
// used again.
func assertNoAnswer(t *testing.T, answer string) {
	t.Helper()
	const answerTime = 5 * time.Second
	for _, body := range []int{0, 100 << 10} {
		address := startTarget(t, alwaysAnswer(answer))
		var c Client
		r := newRequest(address)
		r.Method, r.Body = "POST", make([]byte, body)
		ctx, cancel := context.WithTimeout(t.Context(), answerTime)
		a, err := c.Send(ctx, r)
		if err == nil {
			got, _ := io.ReadAll(io.LimitReader(a, 5))
			a.Close()
			t.Errorf("%q: status %d, body %q", answer, a.Status, got)
		} else {
			assert.Check(t, !NotSent(err), "%q: it may have run", answer)
		}
		assert.Check(t, ctx.Err() == nil, "%q: not told before the end of the request", answer)
		assert.Check(t, !c.HasIdle(address, 0), "%q", answer)
		cancel()
	}
}

// Guards against answers with an odd field name that are taken, and against their connections being used again.
func TestAnswerWithAnOddFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, answer := range oddHeads() {
		assertNoAnswer(t, answer)
	}
}
