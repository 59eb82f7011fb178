package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// echoServer answers each line with the same line and counts the lines it read.
type echoServer struct {
	listener net.Listener
	lines    atomic.Int64
}

func startEchoServer(t *testing.T) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &echoServer{listener: listener}
	go e.accept()
	t.Cleanup(func() { _ = listener.Close() })
	return e
}

func (e *echoServer) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			lines := bufio.NewScanner(conn)
			for lines.Scan() {
				e.lines.Add(1)
				fmt.Fprintln(conn, lines.Text())
			}
		}()
	}
}

// startRelay starts a relay in front of an echo server and connects to it.
func startRelay(t *testing.T) (*echoServer, *Relay, net.Conn) {
	t.Helper()
	e := startEchoServer(t)
	r, err := Listen("127.0.0.1:0", e.listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	conn, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return e, r, conn
}

// sendLine sends a line and returns the line that is answered.
func sendLine(t *testing.T, conn net.Conn, text string) (string, error) {
	t.Helper()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	if _, err := fmt.Fprintln(conn, text); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

func TestForwards(t *testing.T) {
	_, r, conn := startRelay(t)
	got, err := sendLine(t, conn, "hello")
	assert.NilError(t, err)
	assert.Equal(t, got, "hello\n")
	assert.Equal(t, r.OpenConnections(), 1)
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.OpenConnections() == 0 {
			return poll.Success()
		}
		return poll.Continue("open: %d", r.OpenConnections())
	})
}

func TestDelayInBothDirections(t *testing.T) {
	_, r, conn := startRelay(t)
	r.SetFaults(Faults{Delay: 60 * time.Millisecond})
	start := time.Now()
	_, err := sendLine(t, conn, "slow")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 120*time.Millisecond)
}

func TestResetConnections(t *testing.T) {
	_, r, conn := startRelay(t)
	_, err := sendLine(t, conn, "one")
	assert.NilError(t, err)
	r.ResetConnections()
	_, err = sendLine(t, conn, "two")
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), err)
}

func TestRefuseConnections(t *testing.T) {
	_, r, _ := startRelay(t)
	r.SetFaults(Faults{RefuseConnections: true})
	conn, err := net.Dial("tcp", r.Address())
	if err == nil {
		_, err = sendLine(t, conn, "x")
	}
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), err)
}

// The target runs the call but its answer is lost: the caller sees a broken
// connection and can't tell that the call took effect.
func TestLoseAnswer(t *testing.T) {
	e, r, conn := startRelay(t)
	r.SetFaults(Faults{LoseAnswer: true})
	_, err := sendLine(t, conn, "effect")
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), err)
	assert.Equal(t, e.lines.Load(), int64(1))
}

// One direction stalls while the connection stays open, as when the network
// between zones drops packets in one direction. Neither side sees an error, and
// the data held back arrives in order once the stall ends.
func TestFreezeOneDirection(t *testing.T) {
	e, r, conn := startRelay(t)
	r.SetFaults(Faults{FreezeToCaller: true})
	fmt.Fprintln(conn, "held")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.lines.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("the target has read %d lines", e.lines.Load())
	})
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), err)

	r.SetFaults(Faults{})
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	got := make([]byte, len("held\n"))
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "held\n")

	r.SetFaults(Faults{FreezeToTarget: true})
	fmt.Fprintln(conn, "stopped")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), err)
	assert.Equal(t, e.lines.Load(), int64(1))
}

func TestCloseEndsFrozenConnections(t *testing.T) {
	_, r, conn := startRelay(t)
	r.SetFaults(Faults{FreezeToTarget: true, FreezeToCaller: true})
	fmt.Fprintln(conn, "x")
	r.Close()
	assert.Equal(t, r.OpenConnections(), 0)
}
