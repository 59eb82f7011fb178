package idle

import (
	"context"
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

// pair gives a connection as the server has it, with an idle time, and the
// caller's end of it.
func pair(t *testing.T, idleTime time.Duration) (server, caller net.Conn) {
	t.Helper()
	return pairWith(t, func() time.Duration { return idleTime })
}

// pairWith is pair with an idle time that may change.
func pairWith(t *testing.T, idleTime func() time.Duration) (server, caller net.Conn) {
	t.Helper()
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	caller, err = net.Dial("tcp", opened.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	listener := &Listener{Listener: opened, Time: idleTime}
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return server, caller
}

// The process stands still for a moment: it was frozen, or has used up its share of
// the processor. A request comes on a kept connection in time, and the idle time
// passes before anybody reads it. It is there and has to be served; closed, its
// caller would wait for an answer and get none.
func TestARequestThatCameInTimeIsReadAfterTheIdleTime(t *testing.T) {
	server, caller := pair(t, 20*time.Millisecond)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond) // nobody reads
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}

func TestAnUnusedConnectionEndsWithItsIdleTime(t *testing.T) {
	server, _ := pair(t, 20*time.Millisecond)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	begun := time.Now()
	_, err := server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(begun) < time.Second)
}

// A connection closed by a shorter idle time of before crosses the request of a caller that goes by the new one.
func TestALongerIdleTimeHoldsForConnectionsAlreadyUnused(t *testing.T) {
	var idleTime atomic.Int64
	idleTime.Store(int64(50 * time.Millisecond))
	server, caller := pairWith(t, func() time.Duration { return time.Duration(idleTime.Load()) })
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	idleTime.Store(int64(time.Hour))
	time.AfterFunc(200*time.Millisecond, func() { _, _ = caller.Write([]byte("GET")) })
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}

// A connection that was armed anew at its old end would be kept for the sum of both idle times.
func TestALongerIdleTimeCountsFromTheLastAnswer(t *testing.T) {
	var idleTime atomic.Int64
	idleTime.Store(int64(100 * time.Millisecond))
	server, _ := pairWith(t, func() time.Duration { return time.Duration(idleTime.Load()) })
	begun := time.Now()
	assert.NilError(t, server.SetReadDeadline(begun.Add(DynamicTimeout)))
	idleTime.Store(int64(600 * time.Millisecond))
	_, err := server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	kept := time.Since(begun)
	assert.Assert(t, kept >= 590*time.Millisecond && kept < 690*time.Millisecond, "%v", kept)
}

// An answer that has told its caller the idle time of before would be followed by a close that the caller doesn't expect.
func TestAShorterIdleTimeWaitsForTheNextRequest(t *testing.T) {
	var idleTime atomic.Int64
	idleTime.Store(int64(400 * time.Millisecond))
	server, caller := pairWith(t, func() time.Duration { return time.Duration(idleTime.Load()) })
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour))) // for a first request
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	buffer := make([]byte, 16)
	_, err = server.Read(buffer)
	assert.NilError(t, err)
	idleTime.Store(int64(20 * time.Millisecond)) // while it is answered
	begun := time.Now()
	assert.NilError(t, server.SetReadDeadline(begun.Add(DynamicTimeout)))
	_, err = server.Read(buffer)
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(begun) >= 390*time.Millisecond, "%v", time.Since(begun))
}

// A connection that waits on by a longer idle time outlasts the drain, and its next request is cut when the process ends.
func TestADrainEndsAConnectionThatWaitsOnByALongerIdleTime(t *testing.T) {
	var idleTime atomic.Int64
	idleTime.Store(int64(20 * time.Millisecond))
	server, caller := pairWith(t, func() time.Duration { return time.Duration(idleTime.Load()) })
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	buffer := make([]byte, 16)
	_, err = server.Read(buffer)
	assert.NilError(t, err)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	idleTime.Store(int64(time.Hour))
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(buffer)
		read <- err
	}()
	time.Sleep(60 * time.Millisecond) // past the old idle time
	go server.(*callerConn).listener.Drain(t.Context())
	select {
	case err := <-read:
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	case <-time.After(2 * time.Second):
		t.Fatal("the connection waits on")
	}
}

// A caller sends half a request and waits. The time for reading it bounds that,
// however much of it is there.
func TestTheTimeForReadingARequestHolds(t *testing.T) {
	server, caller := pair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout)))
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	time.Sleep(60 * time.Millisecond)
	_, err = server.Read(make([]byte, 16))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// A connection that never carried a request outlasts the drain, and its first one is cut at the end.
func TestADrainEndsAConnectionThatNeverCarriedARequest(t *testing.T) {
	server, _ := pair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour))) // for a first request
	read := make(chan error, 1)
	go func() {
		_, err := server.Read(make([]byte, 16))
		read <- err
	}()
	go server.(*callerConn).listener.Drain(t.Context())
	select {
	case err := <-read:
		assert.Equal(t, err, io.EOF) // a timeout would be answered
	case <-time.After(2 * time.Second):
		t.Fatal("the connection still waits for its first request")
	}
}

// A first request that is in the socket when the drain begins is dropped without an answer.
func TestADrainReadsAFirstRequestThatHasCome(t *testing.T) {
	server, caller := pair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err := caller.Write([]byte("GET"))
	assert.NilError(t, err)
	drained := make(chan struct{})
	go func() {
		server.(*callerConn).listener.Drain(t.Context())
		close(drained)
	}()
	time.Sleep(20 * time.Millisecond) // the drain looks at it before anybody reads
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
	<-drained
	// The rest has the time that reading a request has.
	time.AfterFunc(1500*time.Millisecond, func() { _, _ = caller.Write([]byte(" /")) })
	n, err = server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), " /")
}

// A port that stays open until unused connections have ended accepts what can't be finished.
func TestADrainClosesThePortAtOnce(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &Listener{Listener: opened, Time: func() time.Duration { return time.Hour }}
	kept, err := net.Dial("tcp", opened.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = kept.Close() }()
	server, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(DynamicTimeout))) // unused, and nobody reads
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go listener.Drain(ctx)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		late, err := net.Dial("tcp", opened.Addr().String())
		if err != nil {
			return poll.Success()
		}
		_ = late.Close()
		return poll.Continue("the port is open")
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(2*time.Second))
}

// The first request of a caller that connected just before the port closed is dropped.
func TestADrainWaitsForTheFirstRequestOfANewConnection(t *testing.T) {
	server, caller := pair(t, time.Hour)
	assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Hour)))
	go server.(*callerConn).listener.Drain(t.Context())
	time.AfterFunc(firstRequestTime/2, func() { _, _ = caller.Write([]byte("GET")) })
	buffer := make([]byte, 16)
	n, err := server.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "GET")
}
