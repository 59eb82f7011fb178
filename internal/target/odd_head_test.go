package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// rejectsAnswer checks that an answer is a failure of its target, for calls and for streams, and that its connection isn't
// used again.
func rejectsAnswer(t *testing.T, answer string) {
	t.Helper()
	s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		assert.NilError(t, err)
		_, _ = io.WriteString(conn, answer)
		time.AfterFunc(200*time.Millisecond, func() { _ = conn.Close() })
	})
	defer s.Close()
	client := NewClient(1 << 20)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, doErr := client.Do(ctx, s.call(1))
	stream, streamErr := client.OpenStream(ctx, s.call(1))
	if streamErr == nil {
		stream.Drain()
		stream.Close()
	}
	assert.Check(t, ctx.Err() == nil, "%q", answer)
	for _, err := range []error{doErr, streamErr} {
		var f *Failure
		if !errors.As(err, &f) {
			t.Errorf("%q: %v", answer, err)
			continue
		}
		assert.Equal(t, f.Execution, problem.Unknown, "%q", answer)
	}
	assert.Check(t, !client.idle.Has(s.call(1).Address, time.Now(), 0), "%q", answer)
}

const identityLine = targetapi.HeaderRequestID + ": r/s/1\r\n"

// Guards against answers with a blank or a control byte in the name of a field that are taken, with that field or without it.
func TestAnswerWithAnOddFieldNameIsAFailure(t *testing.T) {
	t.Parallel()
	for _, c := range []string{" ", "\t", "\x00", "\x0b", "\r", "\x1f", "\x7f"} {
		for _, name := range []string{"X-Odd", "Content-Length", "Transfer-Encoding"} {
			for _, at := range []int{0, 1, strings.Index(name, "-"), len(name)} {
				odd := name[:at] + c + name[at:] + ": 5\r\n"
				rejectsAnswer(t, "HTTP/1.1 200 OK\r\n"+identityLine+odd+"Content-Length: 5\r\n\r\nhello")
				rejectsAnswer(t, "HTTP/1.1 102 Processing\r\n"+odd+"\r\nHTTP/1.1 200 OK\r\n"+identityLine+"Content-Length: 5\r\n\r\nhello")
				rejectsAnswer(t, "HTTP/1.0 200 OK\r\n"+odd+identityLine+"\r\n5\r\nhello\r\n0\r\n\r\n")
				rejectsAnswer(t, "HTTP/1.1 503 Full\r\n"+identityLine+odd+"Content-Length: 0\r\n\r\n")
			}
		}
	}
}

// Guards against answers whose status isn't one that are taken, as 200 or as interim ones.
func TestAnswerWithoutAStatusIsAFailure(t *testing.T) {
	t.Parallel()
	for _, status := range []string{
		"000 OK", "000", " 000 OK", "001 OK", "099 OK", "600 OK", "999 OK", "0 OK", "00 OK", "0000 OK", "20 OK", "2000 OK", "-20 OK", "+20 OK", "2x0 OK",
		"200OK", "\t200 OK", "OK", "",
	} {
		for _, version := range []string{"HTTP/1.1 ", "HTTP/1.0 ", "\r\nHTTP/1.1 "} {
			line := version + status + "\r\n"
			rejectsAnswer(t, line+identityLine+"Content-Length: 5\r\n\r\nhello")
			rejectsAnswer(t, line+identityLine+"\r\nhello")
			rejectsAnswer(t, line+"\r\nHTTP/1.1 200 OK\r\n"+identityLine+"Content-Length: 5\r\n\r\nhello")
			rejectsAnswer(t, "HTTP/1.1 100 Continue\r\n\r\n"+line+identityLine+"Content-Length: 5\r\n\r\nhello")
		}
	}
}
