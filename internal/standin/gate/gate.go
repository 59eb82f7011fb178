// Package gate serves HTTP on an address whose listener can be closed and opened
// again, so that callers of a stand-in that is down get "connection refused".
//
// It uses net/http instead of fasthttp, which this project prefers elsewhere: a
// fasthttp handler is not notified when its caller disconnects, so an engine
// would go on generating words that nobody reads, and cancelled work could not
// be distinguished from finished work. With net/http the request's context ends.
package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainTimeout is how long Stop waits for running calls to finish.
const drainTimeout = 5 * time.Second

// reopenDelay is the delay before listening is tried again on an address that is
// still in use by closing connections.
const reopenDelay = 10 * time.Millisecond

// ErrClosed is the cancellation cause of the contexts of calls that were running
// when the server closed. If the caller disconnects, the cause is another one.
var ErrClosed = errors.New("gate: server closed while the call was running")

// lifetimeKey is the key under which a request's context holds the context
// that Lifetime returns.
type lifetimeKey struct{}

// Lifetime returns the context of the server that serves the request with the
// given context. It outlives the caller's connection and ends when the server
// closes.
func Lifetime(ctx context.Context) context.Context {
	lifetime, found := ctx.Value(lifetimeKey{}).(context.Context)
	if !found {
		panic("gate: the context does not belong to a request of a RestartableServer")
	}
	return lifetime
}

// RestartableServer serves a handler on one address. Create it with Open.
type RestartableServer struct {
	address string
	handler http.Handler

	mu              sync.Mutex              // guards all fields below
	server          *http.Server            // nil while closed
	endLifetime     context.CancelCauseFunc // ends the lifetime context of server
	down            bool                    // set by SetDown
	pendingRestarts int                     // number of crashes whose restart time has not come yet
	stopped         bool
}

// Open listens on the address and serves the handler.
func Open(address string, handler http.Handler) (*RestartableServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &RestartableServer{address: listener.Addr().String(), handler: handler}
	g.serve(listener)
	return g, nil
}

// Address returns the address on which the server listens while it is open.
func (g *RestartableServer) Address() string { return g.address }

// serve starts an HTTP server on the listener. The caller holds g.mu, or no other
// goroutine has access to g yet.
func (g *RestartableServer) serve(listener net.Listener) {
	lifetime, end := context.WithCancelCause(context.Background())
	base := context.WithValue(lifetime, lifetimeKey{}, lifetime)
	server := &http.Server{
		Handler:     g.handler,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	g.server = server
	g.endLifetime = end
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
}

// SetDown closes the listener and all connections, or opens the listener again.
func (g *RestartableServer) SetDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
	g.updateListener()
}

// Crash closes the listener and all connections immediately, and opens the
// listener again after the given time. If the server is already closed, Crash
// does nothing and returns false.
func (g *RestartableServer) Crash(restart time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server == nil {
		return false
	}
	g.pendingRestarts++
	g.updateListener()
	time.AfterFunc(restart, g.restart)
	return true
}

func (g *RestartableServer) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingRestarts--
	g.updateListener()
}

// IsOpen reports whether the server accepts connections.
func (g *RestartableServer) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server != nil
}

// updateListener opens or closes the listener according to down,
// pendingRestarts and stopped. The caller holds g.mu.
func (g *RestartableServer) updateListener() {
	shouldServe := !g.down && g.pendingRestarts == 0 && !g.stopped
	if !shouldServe && g.server != nil {
		g.endLifetime(ErrClosed) // before closing connections, which would end the contexts with another cause
		_ = g.server.Close()     // closes the listener and all connections
		g.server = nil
	}
	if shouldServe && g.server == nil {
		g.reopen()
	}
}

// reopen listens on the address again, and schedules a retry if that fails. The
// caller holds g.mu.
func (g *RestartableServer) reopen() {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		time.AfterFunc(reopenDelay, g.retry)
		return
	}
	g.serve(listener)
}

func (g *RestartableServer) retry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateListener()
}

// Stop waits up to drainTimeout for running calls and closes the server
// permanently.
func (g *RestartableServer) Stop() error {
	g.mu.Lock()
	g.stopped = true
	server, end := g.server, g.endLifetime
	g.server = nil
	g.mu.Unlock()
	if server == nil {
		return nil
	}
	defer end(ErrClosed)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
