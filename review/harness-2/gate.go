package main

import (
	"net"
	"sync"
)

// gate is the network path to a worker. While it is cut nothing passes in either direction, and what is on its way
// arrives when the path is whole again, as TCP sends it again: also the end of a connection whose process has ended.
type gate struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	cut  bool
	open *sync.Cond
}

func newGate(to string) (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, to: to}
	g.open = sync.NewCond(&g.mu)
	go g.accept(listener)
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	g.open.Broadcast()
}

// await waits until the path is whole.
func (g *gate) await() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.cut {
		g.open.Wait()
	}
}

func (g *gate) accept(l net.Listener) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go g.pass(in.(*net.TCPConn))
	}
}

func (g *gate) pass(in *net.TCPConn) {
	g.await()
	conn, err := net.Dial("tcp", g.to)
	if err != nil {
		_ = in.SetLinger(0) // refused
		_ = in.Close()
		return
	}
	out := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { g.copy(out, in) })
	both.Go(func() { g.copy(in, out) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
}

// copy passes bytes on, and then the end of the sending side.
func (g *gate) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.await()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}
