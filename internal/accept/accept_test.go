package accept

import (
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillagate/vanillagate/internal/listentest"
)

func listen(t *testing.T, log *zap.Logger) *Listener {
	t.Helper()
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = opened.Close() })
	return &Listener{Listener: opened, Log: log}
}

// Guards against resetting connections that are still in the accept queue when the port closes.
func TestCloseResetsNoQueuedConnection(t *testing.T) {
	const callers = 50
	l := listen(t, zap.NewNop())
	listentest.Dial(t, l.Addr().String(), callers)
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	time.Sleep(20 * time.Millisecond) // Close comes first
	accepted := 0
	for {
		conn, err := l.Accept()
		if err != nil {
			assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
			break
		}
		accepted++
		assert.NilError(t, conn.Close())
	}
	assert.NilError(t, <-closed)
	assert.Equal(t, accepted, callers)
}

// Guards against a port that stays open while Accept waits for the next connection.
func TestCloseEndsAWaitingAccept(t *testing.T) {
	l := listen(t, zap.NewNop())
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // until Accept waits
	assert.NilError(t, l.Close())
	assert.ErrorIs(t, <-ended, net.ErrClosed)
	_, err := net.Dial("tcp", l.Addr().String())
	assert.Assert(t, err != nil, "the port is still open")
	assert.NilError(t, l.Close())
}

// Guards against a shutdown that never ends, or resets silently, because nobody accepts.
func TestCloseEndsIfNobodyAccepts(t *testing.T) {
	logged, logs := observer.New(zap.WarnLevel)
	l := listen(t, zap.New(logged))
	listentest.Dial(t, l.Addr().String(), 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		assert.NilError(t, l.Close())
		return poll.Success()
	}, poll.WithTimeout(10*closeChecks*closeCheckInterval))
	assert.Equal(t, logs.Len(), 1)
}
