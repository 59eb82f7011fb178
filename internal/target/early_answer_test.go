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
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = http.ReadRequest(bufio.NewReader(conn))
						_, _ = io.WriteString(conn, head+"data: a\n\n")
						time.Sleep(2 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					}
				}()
				call := Call{Address: listener.Addr().String(), Method: "POST", Path: "/x", Identity: Identity{Request: "r", Stage: "s", Attempt: 1}, Body: make([]byte, bytes)}
				client := NewClient(1 << 20)
				for _, call.VerifyEnd = range []bool{false, true} {
					_, err = client.Do(t.Context(), call)
					var f *Failure
					assert.Assert(t, errors.As(err, &f), "%q, %d bytes: %v", head, bytes, err)
					assert.Equal(t, f.Execution, problem.Unknown)
				}
				s, err := client.OpenStream(t.Context(), call)
				if err == nil {
					for err == nil {
						_, err = s.Next()
					}
					assert.Assert(t, !errors.Is(err, io.EOF), "%q, %d bytes", head, bytes)
					s.Close()
				}
				assert.Assert(t, !client.idle.Has(call.Address, time.Now(), 0))
				_ = listener.Close()
			}
		}
	}
}
