package hangup

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errCallerLeft = errors.New("caller left")

// connPair returns both ends of a connection.
func connPair(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	caller, err = net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return caller, server
}

// The watcher sleeps while no caller waits. It must wake up for each later caller.
func TestHangUpIsNoticedAfterTheWatcherWasIdle(t *testing.T) {
	h := New(errCallerLeft)
	go h.Run(t.Context())
	for range 3 {
		caller, server := connPair(t)
		ctx, stop := h.Watch(context.Background(), server)
		assert.NilError(t, caller.Close())
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Second):
			t.Fatal("the hang-up wasn't noticed")
		}
		assert.ErrorIs(t, context.Cause(ctx), errCallerLeft)
		stop()
		time.Sleep(3 * checkPeriod)
	}
}
