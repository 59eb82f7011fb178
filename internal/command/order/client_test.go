package order

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// Guards against answers of engines that aren't HTTP and that confirm orders or report models.
func TestAnswerOfAnEngineWithAnOddHeadIsNone(t *testing.T) {
	t.Parallel()
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.0 200\r\nX-A: a b\r\n": true,
		"HTTP/1.1 000 OK\r\n": false, "HTTP/1.0 000\r\n": false, "HTTP/1.1 042 OK\r\n\r\nHTTP/1.1 200 OK\r\n": false, "HTTP/1.1 200 OK\r\nX Odd: v\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Odd : v\r\n": false, "HTTP/1.1 200 OK\r\nX-A: a\r\n X-B: b\r\n": false, "HTTP/1.1 200 OK\r\nX-\x00Odd: v\r\n": false,
	} {
		address := listentest.Serve(t, func(conn *net.TCPConn) {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, head+"Connection: close\r\nContent-Length: 11\r\n\r\n{\"data\":[]}")
			}
		})
		client := NewClient()
		_, err := client.Report(t.Context(), address)
		assert.Check(t, (err == nil) == sound, "%q: %v", head, err)
		result, err := client.Send(t.Context(), address, Order{SetModel: &targetapi.SetModelRequest{Model: "m"}}, 1, "id")
		assert.Check(t, (result == Done) == sound && (result == Unknown) != sound, "%q: %s, %v", head, result, err)
	}
}

// Guards against connections to engines that stay open although nobody uses them.
func TestUnusedConnectionsToEnginesAreClosed(t *testing.T) {
	t.Parallel()
	ended := make(chan error, 1)
	address := listentest.Serve(t, func(conn *net.TCPConn) {
		r := bufio.NewReader(conn)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"data\":[]}")
		_, err := r.ReadByte()
		ended <- err
	})
	client := NewClient()
	_, err := client.Report(t.Context(), address)
	assert.NilError(t, err)
	client.Prune(time.Now().Add(time.Minute))
	assert.Equal(t, <-ended, io.EOF)
}
