package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// vmMemoryKB is the memory of a small VM.
	vmMemoryKB = 284 << 10
	// endlessCallers is how many requests get an answer without end at the same time.
	endlessCallers = 300
)

// endlessAnswer is written until the connection is closed.
type endlessAnswer struct {
	begin, repeat string
	interval      time.Duration
}

// endlessTarget answers all requests without end, and health checks soundly.
type endlessTarget struct {
	listener net.Listener
	mu       sync.Mutex // guards the fields below
	answer   endlessAnswer
	requests int // answered with answer
}

func startEndlessTarget(t *testing.T) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endlessTarget{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endlessTarget) set(a endlessAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer, e.requests = a, 0
}

func (e *endlessTarget) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/health" {
			break
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	e.mu.Lock()
	answer := e.answer
	e.requests++
	e.mu.Unlock()
	for text := answer.begin; ; text = answer.repeat {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(answer.interval)
	}
}

// peakMemoryKB returns the most memory that a process has had.
func peakMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(t, err)
	return kb
}

// Guards against many answers without end at once that together fill the memory of a VM whose callers read slowly.
func TestPlatformManyEndlessAnswersFitIntoTheMemory(t *testing.T) {
	edges := startEdgeSite(t, 1)
	plain, engine := startEndlessTarget(t), startEndlessTarget(t)
	edges.site.Publish(func(config map[string]any) {
		config["services"] = append(
			config["services"].([]any),
			map[string]any{"name": clerks, "max-connections": 1000, "health-check-path": "/health"},
			map[string]any{
				"name": tellers, "max-connections": 1000, "health-check-path": "/health",
				"engine": map[string]any{"slot-count": 2 * endlessCallers, "kv-cache-tokens": 5_000_000},
			},
		)
		config["routes"] = append(
			config["routes"].([]any),
			answerRoute(repeatablePlain, "idempotent", clerks, 1), answerRoute(resumableStream, "streaming", tellers, 1),
		)
	})
	for service, target := range map[string]*endlessTarget{clerks: plain, tellers: engine} {
		edges.site.Store.Put("servers", "i-"+service, map[string]any{
			"service": service, "address": target.listener.Addr().String(), "zone": "zone-a", "version": "v1",
			"slot-count": 2 * endlessCallers, "state": "ready", "born": time.Now().UnixMilli(),
		})
	}
	time.Sleep(time.Second)
	pid := edges.processes[0].cmd.Process.Pid
	t.Logf("%d KB before", peakMemoryKB(t, pid))

	const success, chunked = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("x", 64<<10)
	for _, tc := range []struct {
		name   string
		target *endlessTarget
		route  answerKind
		answer endlessAnswer
	}{
		{"a byte of a head each second", plain, repeatablePlain, endlessAnswer{"HTTP/1.1 200 OK\r\nX: ", "x", time.Second}},
		{"a byte of a body each second", plain, repeatablePlain, endlessAnswer{success, "x", time.Second}},
		{"body", plain, repeatablePlain, endlessAnswer{success, filler, 0}},
		{"chunks", plain, repeatablePlain, endlessAnswer{chunked, "10000\r\n" + filler + "\r\n", 0}},
		{"body of an error", plain, repeatablePlain, endlessAnswer{"HTTP/1.1 500 No\r\n\r\n", filler[:8<<10], 60 * time.Millisecond}},
		{"event", engine, resumableStream, endlessAnswer{success + "data: ", filler, 0}},
		{"comments", engine, resumableStream, endlessAnswer{success, ": x\n", time.Millisecond}},
		{"events", engine, resumableStream, endlessAnswer{success, "data: " + filler + "\n\n", 0}},
	} {
		tc.target.set(tc.answer)
		closeAll := sendUnread(t, edges.vms[0].RequestAddress(), tc.route, endlessCallers)
		time.Sleep(3 * time.Second)
		closeAll()
		peak := peakMemoryKB(t, pid)
		t.Logf("%d KB after %s, %d requests", peak, tc.name, tc.target.requestCount())
		assert.Check(t, tc.target.requestCount() >= endlessCallers/2, "%s: %d requests", tc.name, tc.target.requestCount())
		assert.Check(t, peak < vmMemoryKB, "%s: %d KB", tc.name, peak)
	}
}

// sendUnread sends requests whose callers don't read the answers.
func sendUnread(t *testing.T, address string, route answerKind, n int) (closeAll func()) {
	t.Helper()
	conns := make([]net.Conn, 0, n)
	for i := range n {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		conns = append(conns, conn)
		_, err = io.WriteString(conn, rawRequest{path: fmt.Sprintf("/%s/x", route), id: fmt.Sprintf("endless-%d-%d", time.Now().UnixNano(), i), body: "x"}.text())
		assert.NilError(t, err)
	}
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
