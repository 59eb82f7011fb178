package idle

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// connPair returns the server end of a connection with the given idle timeout, and the
// caller's end.
func connPair(t *testing.T, idleTimeout time.Duration) (server, caller net.Conn) {
	t.Helper()
	return connPairWithIdleTimeout(t, func() time.Duration { return idleTimeout })
}

// connPairWithIdleTimeout is connPair with an idle timeout that may change.
func connPairWithIdleTimeout(t *testing.T, idleTimeout func() time.Duration) (server, caller net.Conn) {
	t.Helper()
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	caller, err = net.Dial("tcp", opened.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	listener := &Listener{Listener: opened, IdleTimeout: idleTimeout}
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server, caller
}

// receiveFirstBytes has the caller send the first bytes of a request, and reads them.
func receiveFirstBytes(t *testing.T, server, caller net.Conn) {
	t.Helper()
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	_, err = server.Read(make([]byte, 16))
	assert.NilError(t, err)
}

// The process stalls: it is frozen or has used up its CPU share. A request arrives on an idle
// connection in time, and the idle timeout passes before the process reads it. The request
// must be served; if the connection were closed, the caller would get no answer.
func TestRequestReceivedInTimeIsReadAfterTheIdleTimeout(t *testing.T) {
	server, caller := connPair(t, 20*time.Millisecond)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond) // the connection isn't read meanwhile
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}

func TestUnusedConnectionTimesOut(t *testing.T) {
	server, _ := connPair(t, 20*time.Millisecond)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	begun := time.Now()
	_, err := server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(begun) < time.Second)
}

// If a connection were closed by the previous, shorter idle timeout, it could be closed just
// as a caller that relies on the new one sends a request.
func TestLongerIdleTimeoutAppliesToUnusedConnections(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(50 * time.Millisecond))
	server, caller := connPairWithIdleTimeout(t, func() time.Duration { return time.Duration(idleTimeout.Load()) })
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	idleTimeout.Store(int64(time.Hour))
	time.AfterFunc(200*time.Millisecond, func() { _, _ = caller.Write([]byte("GET")) })
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}

// If the deadline were extended from its old end, the connection would be kept for the sum of
// both idle timeouts.
func TestLongerIdleTimeoutCountsFromTheLastAnswer(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(100 * time.Millisecond))
	server, _ := connPairWithIdleTimeout(t, func() time.Duration { return time.Duration(idleTimeout.Load()) })
	begun := time.Now()
	assert.NilError(t, server.SetReadDeadline(begun.Add(DynamicTimeout)))
	idleTimeout.Store(int64(600 * time.Millisecond))
	_, err := server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	kept := time.Since(begun)
	assert.Assert(t, kept >= 590*time.Millisecond && kept < 690*time.Millisecond, "%v", kept)
}

// An answer may have announced the previous idle timeout to the caller, so the connection must
// not be closed before that.
func TestShorterIdleTimeoutAppliesAfterTheNextRequest(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(400 * time.Millisecond))
	server, caller := connPairWithIdleTimeout(t, func() time.Duration { return time.Duration(idleTimeout.Load()) })
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour))) // waiting for the first request
	receiveFirstBytes(t, server, caller)
	buffer := make([]byte, 16)
	idleTimeout.Store(int64(20 * time.Millisecond)) // while the request is answered
	begun := time.Now()
	assert.NilError(t, server.SetReadDeadline(begun.Add(DynamicTimeout)))
	_, err := server.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(begun) >= 390*time.Millisecond, "%v", time.Since(begun))
}

// A connection whose idle wait was extended must not outlast the drain, or its next request
// would be cut when the process ends.
func TestDrainEndsExtendedIdleWait(t *testing.T) {
	var idleTimeout atomic.Int64
	idleTimeout.Store(int64(20 * time.Millisecond))
	server, caller := connPairWithIdleTimeout(t, func() time.Duration { return time.Duration(idleTimeout.Load()) })
	receiveFirstBytes(t, server, caller)
	buffer := make([]byte, 16)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	idleTimeout.Store(int64(time.Hour))
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(buffer)
		read <- err
	}()
	time.Sleep(60 * time.Millisecond) // past the old idle timeout
	go server.(*callerConn).listener.StartDrain()
	select {
	case err := <-read:
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection still waits for a request")
	}
}

// A caller sends part of a request and stops. The read timeout applies even if some of it has
// arrived.
func TestReadTimeoutOfPartialRequest(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond)
	_, err = server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// A connection that never carried a request must not outlast the drain, or its first request
// would be cut when the process ends.
func TestDrainEndsConnectionWithoutRequest(t *testing.T) {
	server, _ := connPair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour))) // waiting for the first request
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 16))
		read <- err
	}()
	go server.(*callerConn).listener.StartDrain()
	select {
	case err := <-read:
		assert.Equal(t, err, io.EOF) // fasthttp would answer a timeout
	case <-time.After(2 * time.Second):
		t.Fatal("the connection still waits for its first request")
	}
}

// A first request that is already in the socket when the drain begins must not be dropped
// without an answer.
func TestDrainReadsReceivedFirstRequest(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	drained := make(chan struct{})
	go func() {
		server.(*callerConn).listener.StartDrain()
		close(drained)
	}()
	time.Sleep(20 * time.Millisecond) // the drain checks the connection before it is read
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
	<-drained
	// The rest of the request may take as long as the read timeout allows.
	time.AfterFunc(1500*time.Millisecond, func() { _, _ = caller.Write([]byte(" /")) })
	n, err = server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), " /")
}

// If the port stayed open until unused connections have ended, it would accept connections
// that can't be served any more.
func TestDrainClosesThePortAtOnce(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &Listener{Listener: opened, IdleTimeout: func() time.Duration { return time.Hour }}
	kept, err := net.Dial("tcp", opened.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	server, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout))) // unused and not read
	go listener.StartDrain()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		late, err := net.Dial("tcp", opened.Addr().String())
		if err != nil {
			return poll.Success()
		}
		_ = late.Close()
		return poll.Continue("the port is still open")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(2*time.Second))
}

// The first request of a caller that connected just before the port closed must not be
// dropped.
func TestDrainWaitsForFirstRequestOfNewConnection(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	go server.(*callerConn).listener.StartDrain()
	time.AfterFunc(firstRequestTime/2, func() { _, _ = caller.Write([]byte("GET")) })
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}

// Guards against dropping the request after an answer that didn't announce the close.
func TestDrainReadsTheRequestThatFollowsAnAnswer(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	receiveFirstBytes(t, server, caller)
	buffer := make([]byte, 16)
	server.(*callerConn).listener.StartDrain()
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout))) // the answer has been written
	time.AfterFunc(nextRequestTime/2, func() { _, _ = caller.Write([]byte("PUT")) })
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "PUT")
}

// Guards against a shutdown that waits for connections whose callers send nothing more.
func TestDrainEndsConnectionThatWasUsedLongAgo(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	receiveFirstBytes(t, server, caller)
	buffer := make([]byte, 16)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	time.Sleep(nextRequestTime)
	began := time.Now()
	server.(*callerConn).listener.StartDrain()
	_, err := server.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(began) < nextRequestTime/2, "%v", time.Since(began))
}

// Guards against a read that has no answer to give, because it goes on until the process exits.
func TestEndOfWaitsEndsAPartialRead(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	receiveFirstBytes(t, server, caller)
	buffer := make([]byte, 16)
	listener := server.(*callerConn).listener
	listener.StartDrain()
	time.AfterFunc(20*time.Millisecond, listener.EndWaits)
	_, err := server.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against a first request, read in part before the exit, that is waited for until its timeout.
func TestPartialRequestAtTheEndOfWaitsIsNotWaitedFor(t *testing.T) {
	server, caller := connPair(t, time.Hour)
	listener := server.(*callerConn).listener
	listener.StartDrain()
	listener.EndWaits()
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
	_, err = server.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// Guards against a process that exits while a connection is still in use.
func TestWaitClosedWaitsForConnectionsInUse(t *testing.T) {
	server, _ := connPair(t, time.Hour)
	listener := server.(*callerConn).listener
	closed := make(chan struct{})
	go func() {
		listener.WaitClosed(t.Context())
		close(closed)
	}()
	select {
	case <-closed:
		t.Fatal("the connection is still open")
	case <-time.After(5 * closedPoll):
	}
	assert.NilError(t, server.Close())
	<-closed
}
