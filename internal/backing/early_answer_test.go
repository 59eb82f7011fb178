package backing_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/listentest"
)

// Guards against a service's answer that a reset cuts during the upload and that passes as whole.
func TestAnswerThatAResetCutsDuringTheUploadFails(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n", "after 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		address := earlyServer(t, head+"{}", func(conn *net.TCPConn, _ io.Reader) {
			time.Sleep(3 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		for range 20 {
			body, err := upload(t, address)
			assert.Assert(t, err != nil, "%s: %q", name, body)
		}
	}
}

// Guards against sound answers of the services that come before the upload was read and count as cut.
func TestSoundAnswerDuringTheUploadIsWhole(t *testing.T) {
	t.Parallel()
	address := earlyServer(t, "HTTP/1.1 200 OK\r\n\r\n{}", func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) })
	for range 20 {
		body, err := upload(t, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "{}")
	}
}

// earlyServer answers each request before it reads the body, calls end with what is left of that, and closes the connection.
func earlyServer(t *testing.T, answer string, end func(*net.TCPConn, io.Reader)) (address string) {
	t.Helper()
	return listentest.Serve(t, func(conn *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn, r.Body)
	})
}

// upload sends a body that doesn't fit into the socket buffers, and reads the answer.
func upload(t *testing.T, address string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address+"/o", bytes.NewReader(make([]byte, 8<<20)))
	assert.NilError(t, err)
	answer, err := backing.NewHTTPClient(backing.DefaultHTTPConfig(), 1<<20).Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}
