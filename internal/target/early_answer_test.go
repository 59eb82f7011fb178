package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Guards against the part of an answer that a reset cuts while the call is being written and that passes as whole.
func TestAnswerThatAResetCutsDuringTheCallIsAFailure(t *testing.T) {
	t.Parallel()
	for _, head := range []string{
		unframedHeader, "HTTP/1.0 200 OK\r\n" + targetapi.HeaderRequestID + ": r/s/1\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + unframedHeader,
	} {
		for _, bytes := range []int{10, 8 << 20} {
			for range 5 {
				address := listentest.Serve(t, func(conn *net.TCPConn) {
					_, _ = http.ReadRequest(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, head+"data: a\n\n")
					time.Sleep(2 * time.Millisecond)
					_ = conn.SetLinger(0)
				})
				assertNoWholeAnswer(t, Call{
					Address: address, Method: "POST", Path: "/x", Identity: Identity{Request: "r", Stage: "s", Attempt: 1}, Body: make([]byte, bytes),
				})
			}
		}
	}
}

// assertNoWholeAnswer checks that a call, and a stream, get no answer or one that breaks off.
func assertNoWholeAnswer(t *testing.T, call Call) {
	t.Helper()
	client := NewClient(1 << 20)
	for _, call.VerifyEnd = range []bool{false, true} {
		_, err := client.Do(t.Context(), call)
		var f *Failure
		assert.Assert(t, errors.As(err, &f), "%d bytes: %v", len(call.Body), err)
		assert.Equal(t, f.Execution, problem.Unknown)
	}
	s, err := client.OpenStream(t.Context(), call)
	if err == nil {
		defer s.Close()
		for err == nil {
			_, err = s.Next()
		}
		assert.Assert(t, !errors.Is(err, io.EOF), "%d bytes", len(call.Body))
	}
	assert.Assert(t, !client.idle.Has(call.Address, time.Now(), 0))
}
