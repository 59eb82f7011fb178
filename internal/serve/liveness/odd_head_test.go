package liveness

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Guards against answers to checks that aren't HTTP and vouch for a process, and against their connections being kept.
func TestAnswerToACheckWithAnOddHeadIsNone(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: i-1\r\n", "HTTP/1.1 200 OK\r\nX-Odd : i-1\r\n", "HTTP/1.1 200 OK\r\nX-A: a\r\n X-B: b\r\n",
		"HTTP/1.1 200 OK\r\nX-\x01Odd: i-1\r\n",
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 042 OK\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		t.Run(head, func(t *testing.T) {
			t.Parallel()
			address, _ := server(t, answering(head+"Content-Length: 2\r\n\r\n{}"))
			client := &upstream.Client{}
			assert.Equal(t, (&Checker{}).Check(t.Context(), client, question(address)), Accepting)
			assert.Assert(t, !client.HasIdle(address, 0))
		})
	}
}
