package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/socket"
)

// uploadBytes is more than the socket buffers of a connection hold.
const uploadBytes = 8 << 20

// unframedHeads are heads of answers that end with their connection.
var unframedHeads = map[string]string{
	"HTTP/1.1":      "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"HTTP/1.0":      "HTTP/1.0 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"close":         "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nConnection: close\r\n\r\n",
	"after interim": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Attempt: id-1\r\n\r\n",
	"error":         "HTTP/1.1 500 Failed\r\nX-Attempt: id-1\r\n\r\n",
}

// upload sends a request with a large body to a target that answers before it has read the body, and returns what is
// read of the answer. end ends the connection; body is what hasn't been read of the upload.
func upload(t *testing.T, c *Client, answer string, end func(conn *net.TCPConn, body io.Reader)) (string, error) {
	t.Helper()
	address := startTarget(t, func(conn net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		end(conn.(*net.TCPConn), r.Body)
	})
	r := newRequest(address)
	r.Method, r.Body = "POST", make([]byte, uploadBytes)
	a, err := c.Send(context.Background(), r)
	if err != nil {
		return "", err
	}
	defer func() {
		a.Close()
		assert.Assert(t, !c.HasIdle(address, 0))
	}()
	body, err := io.ReadAll(a)
	if err == nil {
		_, err = a.Read(make([]byte, 1))
		assert.Equal(t, err, io.EOF)
		return string(body), nil
	}
	assert.Assert(t, !a.Complete())
	_, again := a.Read(make([]byte, 1))
	assert.Equal(t, again, err, "a second read")
	return string(body), err
}

// Guards against a part of an answer that looks complete because the write of the request got the reset.
func TestUnframedAnswerThatAResetCutsDuringTheUploadIsIncomplete(t *testing.T) {
	t.Parallel()
	const plays = 8
	for name, head := range unframedHeads {
		for _, size := range []int{0, 5, 40 << 10} {
			for how, end := range map[string]func(*net.TCPConn, io.Reader){
				"at once": func(conn *net.TCPConn, _ io.Reader) { _ = conn.SetLinger(0) },
				"later": func(conn *net.TCPConn, _ io.Reader) {
					time.Sleep(5 * time.Millisecond)
					_ = conn.SetLinger(0)
				},
				"unread bytes": func(conn *net.TCPConn, _ io.Reader) {
					for socket.Peek(conn) != socket.Readable { // without them it would close in order
						time.Sleep(time.Millisecond)
					}
				},
				"midway": func(conn *net.TCPConn, body io.Reader) {
					_, _ = io.CopyN(io.Discard, body, uploadBytes/4)
					_ = conn.SetLinger(0)
				},
			} {
				t.Run(fmt.Sprint(name, size, how), func(t *testing.T) {
					complete := 0
					for range plays {
						if _, err := upload(t, &Client{}, head+strings.Repeat("x", size), end); err == nil {
							complete++
						}
					}
					assert.Equal(t, complete, 0, "of %d", plays)
				})
			}
		}
	}
}

// Guards against answers that their target has ended in order and that count as cut, since the upload goes on, or is reset later.
func TestUnframedAnswerThatEndsInOrderDuringTheUploadIsWhole(t *testing.T) {
	t.Parallel()
	const plays = 10
	for name, head := range unframedHeads {
		for how, end := range map[string]func(*net.TCPConn, io.Reader){
			"upload read": func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) },
			"half-closed, upload read": func(conn *net.TCPConn, body io.Reader) {
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, body)
			},
			"half-closed, reset": func(conn *net.TCPConn, _ io.Reader) {
				_ = conn.CloseWrite()
				time.Sleep(time.Millisecond)
				_ = conn.SetLinger(0)
			},
		} {
			t.Run(name+" "+how, func(t *testing.T) {
				for range plays {
					body, err := upload(t, &Client{}, head+"hello", end)
					assert.NilError(t, err)
					assert.Equal(t, body, "hello")
				}
			})
		}
	}
}

// Guards against framed answers that count as cut because the connection was reset behind them during the upload.
func TestFramedAnswerBeforeAResetDuringTheUploadIsWhole(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"length": plainAnswer,
		"chunks": "HTTP/1.1 200 OK\r\nX-Attempt: id-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		for range 10 {
			body, err := upload(t, &Client{}, answer, func(conn *net.TCPConn, _ io.Reader) {
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetLinger(0)
			})
			assert.NilError(t, err, name)
			assert.Equal(t, body, "hello", name)
		}
	}
}

// Guards against bounded reads that take the part of an answer before a reset during the upload for a whole one.
func TestBoundedReadOfAnAnswerThatAResetCutsDuringTheUploadFails(t *testing.T) {
	t.Parallel()
	for range 30 {
		address := startTarget(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, unframedHeads["HTTP/1.1"])
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		r := newRequest(address)
		r.Method, r.Body = "POST", make([]byte, uploadBytes)
		var c Client
		a, err := c.Send(context.Background(), r)
		if err != nil {
			continue
		}
		assert.Equal(t, a.Kind, framing.Connection)
		assert.Assert(t, a.ReadBounded(io.Discard, ErrorBodyBound) != nil)
		a.Close()
	}
}
