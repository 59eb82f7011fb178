package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for a worker. It speaks HTTP/1.1 on plain sockets, so that the end of its process can be
// emulated as the kernel sees it: its port and all its connections are closed.
type worker struct {
	d       *deployment
	id      string
	service string
	zone    string
	slots   int
	engine  bool
	// public is the address in the list of workers, which differs from that of the port behind a gate.
	public string
	// serve answers a request; the connection is closed if it returns false.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool

	mu       sync.Mutex
	address  string
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	// run grows with each start.
	run int
	// maxConns is how many connections it accepts from all callers; it resets further ones. 0 means no limit.
	maxConns int
}

// start begins a run of the worker, at the address that it had if it ran before.
func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.run++
	w.address, w.listener, w.conns, w.born = listener.Addr().String(), listener, map[net.Conn]bool{}, time.Now().UnixMilli()
	if w.public == "" {
		w.public = w.address
	}
	go w.accept(listener, w.run)
	return nil
}

// stop ends the process of the worker: nothing more is written, and its port and connections are closed.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	for c := range w.conns {
		_ = c.Close()
	}
	w.listener, w.conns = nil, nil
}

func (w *worker) accept(l net.Listener, run int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if w.run != run || w.conns == nil {
			w.mu.Unlock()
			_ = c.Close()
			return
		}
		if w.maxConns > 0 && len(w.conns) >= w.maxConns {
			w.mu.Unlock()
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			continue
		}
		w.conns[c] = true
		w.mu.Unlock()
		go w.handle(c)
	}
}

func (w *worker) handle(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.answer(c, r, body) {
			return
		}
	}
}

func (w *worker) connCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

func (w *worker) bornAt() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.born
}

func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.Header.Get("X-Expect-Worker") != "" && r.Header.Get("X-Expect-Worker") != w.id:
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Worker-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
		return err == nil
	case r.URL.Path == "/health":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Worker-Id: %s\r\nX-Worker-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", w.id, w.slots)
		return err == nil
	case r.URL.Path == "/vanillagate/report":
		report, _ := json.Marshal(map[string]any{
			"stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "call-seq": 0, "waiting": 0,
			"running": 0, "kv-used-tokens": 0, "kv-total-tokens": 562911, "open-handles": 0, "born": w.bornAt(),
		})
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		return err == nil
	}
	return w.serve(w, c, r, body)
}

// entry is the worker's row in the list.
func (w *worker) entry(state string) map[string]any {
	e := map[string]any{
		"service": w.service, "address": w.public, "zone": w.zone, "version": "v1", "slot-count": w.slots, "state": state, "cold-left-ms": 0,
		"call-seq": 0, "born": w.bornAt(),
	}
	if w.engine {
		e["stage"], e["models"] = "mixed", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

func (w *worker) list() { w.d.store.Put("servers", w.id, w.entry("ready")) }

const heartbeat = 1200 * time.Millisecond

// lapse removes the worker's row after three heartbeats of silence, unless it has started again by then. Its last
// heartbeat was at a random time before.
func (w *worker) lapse() {
	time.Sleep(3*heartbeat - rand.N(heartbeat))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		w.d.store.Delete("servers", w.id)
		w.d.add("the row of %s is removed", w.id)
	}
}

// signature is what the worker adds to its answers.
func (w *worker) signature(id string) string { return fmt.Sprintf("3e1b.%s.%s", w.id, id) }

// head is the head of a success, without the lines that say how it ends.
func (w *worker) head(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Worker-Signature: %s\r\nX-Worker-Load: 1,0,%d\r\n", id, w.signature(id), w.slots)
}
