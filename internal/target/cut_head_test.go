package target

import (
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Guards against an answer whose head was cut off being taken for a whole one, or its call for one that did not run.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	identity := targetapi.HeaderRequestID + ": r/s/1"
	for name, head := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\n" + identity + "\r\nContent-Length: 0\r\n\r\n",
		"chunks":     "HTTP/1.1 200 OK\r\n" + identity + "\r\nTransfer-Encoding: chunked\r\n\r\n",
		"connection": "HTTP/1.1 200 OK\r\n" + identity + "\r\n\r\n",
		"HTTP/1.0":   "HTTP/1.0 200 OK\n" + identity + "\n\n",
		"after 100":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + identity + "\r\n\r\n",
		"error":      "HTTP/1.1 503 Full\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for cut := range len(head) {
				s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
					conn, _, err := w.(http.Hijacker).Hijack()
					assert.NilError(t, err)
					_, _ = conn.Write([]byte(head[:cut]))
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				})
				client := NewClient(1 << 20)
				_, err := client.Do(t.Context(), s.call(1))
				var f *Failure
				assert.Assert(t, errors.As(err, &f), "%s: %q, reset %v: %v", name, head[:cut], reset, err)
				assert.Equal(t, f.Execution, problem.Unknown)
				_, err = client.OpenStream(t.Context(), s.call(1))
				assert.Assert(t, errors.As(err, &f), "%s: %q, reset %v: %v", name, head[:cut], reset, err)
				assert.Equal(t, f.Execution, problem.Unknown)
				s.Close()
			}
		}
	}
}
