package main

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// rawWorker is a server that gives its handler the bare connection, so that answers can be written byte by
// byte. It serves one request at a time on a connection.
type rawWorker struct {
	// handle answers a request. It returns false if the connection ends.
	handle func(c *workerConn, r *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex // guards conns
	conns    map[net.Conn]bool
}

// workerConn is a connection to a rawWorker.
type workerConn struct {
	net.Conn
	// late is an extra answer that is sent when the next request arrives.
	late []byte
}

func startRawWorker(handle func(*workerConn, *http.Request, []byte) bool) (*rawWorker, error) {
	return startRawWorkerAt("127.0.0.1:0", handle)
}

func startRawWorkerAt(address string, handle func(*workerConn, *http.Request, []byte) bool) (*rawWorker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &rawWorker{handle: handle, listener: listener, conns: map[net.Conn]bool{}}
	go w.accept()
	return w, nil
}

func (w *rawWorker) address() string { return w.listener.Addr().String() }

func (w *rawWorker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

func (w *rawWorker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	c := &workerConn{Conn: conn}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if len(c.late) > 0 {
			if _, err := c.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		w.mu.Lock()
		handle := w.handle
		w.mu.Unlock()
		if !handle(c, r, body) {
			return
		}
	}
}

// crash ends the worker as the end of its process does: its port and all connections close.
func (w *rawWorker) crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

// silence makes the worker dark, as a machine that lost its power is: nobody answers on its connections, and new
// ones aren't established. It returns false if that isn't possible here.
func (w *rawWorker) silence() bool {
	_ = w.listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0)) // ends accept
	raw, err := w.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }) // a queue for a single connection
	for range 3 {
		if conn, dialErr := net.DialTimeout("tcp", w.address(), 50*time.Millisecond); dialErr == nil {
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
		}
	}
	return err == nil
}

// wake starts the worker again at its address, with a handler. Connections from before are reset.
func (w *rawWorker) wake(handle func(*workerConn, *http.Request, []byte) bool) {
	w.mu.Lock()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.handle = handle
	w.mu.Unlock()
	raw, err := w.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 128) })
	}
	_ = w.listener.(*net.TCPListener).SetDeadline(time.Time{})
	go w.accept()
}

// answer builds an answer with a length.
func answer(status string, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + status + "\r\n")
	for name, value := range header {
		b.WriteString(name + ": " + value + "\r\n")
	}
	b.WriteString("Content-Length: ")
	b.WriteString(itoa(len(body)))
	b.WriteString("\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
