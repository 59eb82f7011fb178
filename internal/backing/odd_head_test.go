package backing_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/backing"
	"github.com/vanillagate/vanillagate/internal/backing/vmlist"
)

// Guards against answers of the platform's services that aren't HTTP and that count as data, or tell of a write.
func TestAnswersOfServicesWithAnOddHeadFail(t *testing.T) {
	t.Parallel()
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n": true, "HTTP/1.0 200\r\nX-A: a b\r\n": true,
		"HTTP/1.1 000 OK\r\n": false, "HTTP/1.0 000\r\n": false, "HTTP/1.1 042 OK\r\n": false, "HTTP/1.1 600 OK\r\n": false, "HTTP/1.1 200 OK\r\nX Odd: v\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Odd : v\r\n": false, "HTTP/1.1 200 OK\r\n X-B: b\r\n": false, "HTTP/1.1 200 OK\r\nX-\x00Odd: v\r\n": false,
		"HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\nHTTP/1.1 200 OK\r\n": false, "HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\n": false,
	} {
		for name, call := range map[string]struct {
			body string
			make func(address string) error
		}{
			"row": {`{}`, func(a string) error {
				_, err := table(a).Get(t.Context(), backing.Key{Partition: "p", Sort: "s"})
				if errors.Is(err, backing.ErrNotFound) {
					return nil // what the body says
				}
				return err
			}},
			"object":  {"data", func(a string) error { _, err := store(a).Get(t.Context(), "o"); return err }},
			"written": {"", func(a string) error { return store(a).Put(t.Context(), "o", []byte("x")) }},
			"VMs": {"[]", func(a string) error {
				_, err := vmlist.New("http://" + a).List(t.Context())
				return err
			}},
		} {
			address := earlyServer(t, "", func(conn *net.TCPConn, rest io.Reader) {
				_, _ = io.Copy(io.Discard, rest)
				_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+call.body)
			})
			err := call.make(address)
			assert.Check(t, (err == nil) == sound, "%s, %q: %v", name, head, err)
			assert.Check(t, sound || !errors.Is(err, backing.ErrNotRun), "%s, %q: it may have run: %v", name, head, err)
		}
	}
}

// Guards against a connection that is used again after an answer that isn't HTTP.
func TestConnectionOfAnAnswerWithAnOddHeadIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	address := earlyServer(t, "HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 0\r\n\r\n", func(conn *net.TCPConn, rest io.Reader) {
		_, _ = io.Copy(io.Discard, rest)
		r := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			t.Error("a second request on the connection")
		}
	})
	objects := store(address)
	for range 20 {
		err := objects.Put(t.Context(), "o", []byte("x"))
		assert.Assert(t, errors.Is(err, backing.ErrUnknown), "%v", err)
	}
}
