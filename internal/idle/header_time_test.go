package idle

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// headerPair is connPair with a header timeout.
func headerPair(t *testing.T, headerTimeout time.Duration) (server, caller net.Conn) {
	t.Helper()
	server, caller = connPair(t, time.Minute)
	server.(*callerConn).listener.HeaderTimeout = func() time.Duration { return headerTimeout }
	return server, caller
}

// readUntilTimeout reads until the read times out, and returns the bytes and the time.
func readUntilTimeout(t *testing.T, server net.Conn) (bytes int, took time.Duration) {
	t.Helper()
	began := time.Now()
	for {
		n, err := server.Read(make([]byte, 16))
		bytes += n
		if err != nil {
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
			return bytes, time.Since(began)
		}
	}
}

// Guards against heads that may take longer than the configured time.
func TestHeadTimesOut(t *testing.T) {
	server, caller := headerPair(t, 60*time.Millisecond)
	receiveFirstBytes(t, server, caller)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicHeaderTimeout)))
	_, took := readUntilTimeout(t, server)
	assert.Assert(t, took >= 50*time.Millisecond && took < time.Second, took)
}

// Guards against new connections that are closed before their callers have begun to send.
func TestNewConnectionWaitsLongerThanAHeadMayTake(t *testing.T) {
	server, caller := headerPair(t, 50*time.Millisecond)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicHeaderTimeout)))
	go func() {
		time.Sleep(200 * time.Millisecond)
		_, _ = caller.Write([]byte("GET"))
	}()
	n, err := server.Read(make([]byte, 16))
	assert.NilError(t, err)
	assert.Equal(t, n, 3)
}

// Guards against a request that a stalled process refuses although all of it had arrived in time.
func TestRestThatArrivedInTimeIsReadAfterTheDeadline(t *testing.T) {
	server, caller := headerPair(t, 20*time.Millisecond)
	receiveFirstBytes(t, server, caller)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicHeaderTimeout)))
	_, err := caller.Write([]byte(" /"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond) // the connection isn't read meanwhile
	bytes, took := readUntilTimeout(t, server)
	assert.Equal(t, bytes, 2)
	assert.Assert(t, took < 2*pendingReadTime, took)
}

// Guards against a caller that keeps a connection for ever by sending its head byte by byte.
func TestTricklingHeadTimesOut(t *testing.T) {
	server, caller := headerPair(t, 50*time.Millisecond)
	receiveFirstBytes(t, server, caller)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicHeaderTimeout)))
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				_, _ = caller.Write([]byte("x"))
			}
		}
	}()
	_, took := readUntilTimeout(t, server)
	assert.Assert(t, took < 2*pendingReadTime, took)
}
