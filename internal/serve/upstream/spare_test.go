package upstream

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

// Guards against a spare connection that an ordinary request uses up.
func TestSpareConnectionIsForRequestsThatNeedAnOldOne(t *testing.T) {
	t.Parallel()
	address := listentest.Serve(t, func(conn *net.TCPConn) {
		buffer := make([]byte, 4096)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := &Client{}
	r := Request{Address: address, Host: "h", Method: "GET", URI: "/", CloseAfterAnswer: true}
	client.KeepSpare(t.Context(), &r)
	assert.Equal(t, client.Dialed(), int64(0), "no connection is kept to this target")
	kept := r
	kept.CloseAfterAnswer = false
	client.KeepSpare(t.Context(), &kept)
	client.KeepSpare(t.Context(), &kept)
	assert.Equal(t, client.Dialed(), int64(1))
	opened := time.Now()
	send := func(r Request) error {
		answer, err := client.Send(t.Context(), &r)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, answer)
		answer.Close()
		return nil
	}
	assert.NilError(t, send(r))
	assert.Equal(t, client.Dialed(), int64(2))
	old := kept
	old.OpenedBefore = opened.Add(-time.Minute)
	assert.Assert(t, errors.Is(send(old), ErrNoneKept))
	old.OpenedBefore = opened
	for range 2 {
		assert.NilError(t, send(old))
	}
	assert.Equal(t, client.Dialed(), int64(2))
	assert.Assert(t, client.HasHeard(address, opened, opened))
	assert.Assert(t, !client.HasHeard(address, opened, time.Now()))
}
