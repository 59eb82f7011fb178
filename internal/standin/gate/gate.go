// Package gate serves HTTP on an address that can be really closed and opened
// again, so that callers of a stand-in that is down see "connection refused".
//
// It builds on net/http, against the house style's fasthttp: a fasthttp
// handler does not learn that its caller hung up, so an engine would go on
// generating for nobody and cancelled work could not be told from finished
// work. With net/http the request's context ends.
package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainTime is how long Stop lets running calls finish.
const drainTime = 5 * time.Second

// reopenPause is how long to wait before trying again to take an address that
// is still held by connections that are just closing.
const reopenPause = 10 * time.Millisecond

// ErrClosed is the cause of the contexts of calls that were running when the
// gate closed; a caller that hangs up leaves no such cause.
var ErrClosed = errors.New("gate: closed while the call ran")

// lifetimeKey finds the context of an open gate in a request's.
type lifetimeKey struct{}

// Lifetime is the context of the open gate that the request's context came
// from: it outlives the caller's connection and ends when the gate closes.
func Lifetime(ctx context.Context) context.Context {
	lifetime, found := ctx.Value(lifetimeKey{}).(context.Context)
	if !found {
		panic("gate: not a context of a request that a gate serves")
	}
	return lifetime
}

// RestartableServer serves a handler on one address. Use Open.
type RestartableServer struct {
	address string
	handler http.Handler

	mu      sync.Mutex // guards all below
	server  *http.Server
	end     context.CancelCauseFunc // ends the lifetime of the present server
	down    bool                    // by order
	crashed int                     // crashes whose restart is still to come
	stopped bool
}

// Open listens at the address and serves the handler.
func Open(address string, handler http.Handler) (*RestartableServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &RestartableServer{address: listener.Addr().String(), handler: handler}
	g.serve(listener)
	return g, nil
}

// Address is where the gate listens while it is open.
func (g *RestartableServer) Address() string { return g.address }

// serve is called with g.mu held, or before the gate is shared.
func (g *RestartableServer) serve(listener net.Listener) {
	lifetime, end := context.WithCancelCause(context.Background())
	base := context.WithValue(lifetime, lifetimeKey{}, lifetime)
	server := &http.Server{
		Handler:     g.handler,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	g.server = server
	g.end = end
	go func() { _ = server.Serve(listener) }() // ends with ErrServerClosed
}

// SetDown closes the gate, or opens it again.
func (g *RestartableServer) SetDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
	g.settle()
}

// Crash drops all connections at once and stays closed for the given time. It
// is false and does nothing when the gate is closed already.
func (g *RestartableServer) Crash(restart time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.server == nil {
		return false
	}
	g.crashed++
	g.settle()
	time.AfterFunc(restart, g.restart)
	return true
}

func (g *RestartableServer) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashed--
	g.settle()
}

// IsOpen says whether the gate accepts connections.
func (g *RestartableServer) IsOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.server != nil
}

// settle brings the listener in line with what is wanted; g.mu is held.
func (g *RestartableServer) settle() {
	wanted := !g.down && g.crashed == 0 && !g.stopped
	if !wanted && g.server != nil {
		g.end(ErrClosed)     // before the connections, so that the cause stands
		_ = g.server.Close() // closes the listener and all connections
		g.server = nil
	}
	if wanted && g.server == nil {
		g.reopen()
	}
}

// reopen is called with g.mu held.
func (g *RestartableServer) reopen() {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		time.AfterFunc(reopenPause, g.retry)
		return
	}
	g.serve(listener)
}

func (g *RestartableServer) retry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle()
}

// Stop lets running calls finish for a while and closes for good.
func (g *RestartableServer) Stop() error {
	g.mu.Lock()
	g.stopped = true
	server, end := g.server, g.end
	g.server = nil
	g.mu.Unlock()
	if server == nil {
		return nil
	}
	defer end(ErrClosed)
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return server.Close()
	}
	return err
}
