package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to an address.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex // guards conns
	conns []net.Conn
}

func startProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = from.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, from, to)
		p.mu.Unlock()
		go pass(from, to)
		go pass(to, from)
	}
}

func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // ends with either connection
	_ = from.Close()
	_ = to.Close()
}

// close closes the port and all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
