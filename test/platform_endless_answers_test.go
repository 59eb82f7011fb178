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
	endlessCallers = 800
)

// endlessAnswer is written until the connection is closed.
type endlessAnswer struct {
	begin, repeat string
	interval      time.Duration
}

// endlessTarget answers all requests without end, and health checks soundly.
type endlessTarget struct {
	listener net.Listener
	answer   endlessAnswer
	mu       sync.Mutex // guards requests
	requests int        // answered with answer
}

func startEndlessTarget(t *testing.T, answer endlessAnswer) *endlessTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endlessTarget{listener: listener, answer: answer}
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

func (e *endlessTarget) requestCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests
}

func (e *endlessTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	attempt := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/health" {
			attempt = request.Header.Get("X-Attempt-Id")
			break
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
	e.mu.Lock()
	e.requests++
	e.mu.Unlock()
	answer := e.answer
	status, rest, _ := strings.Cut(answer.begin, "\r\n")
	begin := status + "\r\nX-Worker-Signature: s\r\nX-Attempt-Id: " + attempt + "\r\n" + rest
	for text := begin; ; text = answer.repeat {
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

const (
	endlessSuccess = "HTTP/1.1 200 OK\r\n\r\n"
	endlessChunks  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

var endlessFiller = strings.Repeat("x", 64<<10)

// Guards against many answers without end at once that together fill the memory of a VM.
func TestPlatformManyEndlessAnswersFitIntoTheMemory(t *testing.T) {
	checkMemory(t, clerks, repeatablePlain, []namedEndlessAnswer{
		{"a byte of a head each second", endlessAnswer{"HTTP/1.1 200 OK\r\nX: ", "x", time.Second}},
		{"a byte of a body each second", endlessAnswer{endlessSuccess, "x", time.Second}},
		{"body", endlessAnswer{endlessSuccess, endlessFiller, 0}},
		{"chunks", endlessAnswer{endlessChunks, "10000\r\n" + endlessFiller + "\r\n", 0}},
		{"body of an error", endlessAnswer{"HTTP/1.1 500 No\r\n\r\n", endlessFiller[:8<<10], 60 * time.Millisecond}},
	})
}

// Guards against many streams without end at once that together fill the memory of a VM.
func TestPlatformManyEndlessStreamsFitIntoTheMemory(t *testing.T) {
	checkMemory(t, tellers, resumableStream, []namedEndlessAnswer{
		{"event", endlessAnswer{endlessSuccess + "data: ", endlessFiller, 0}},
		{"comments", endlessAnswer{endlessSuccess, ": x\n", time.Millisecond}},
		{"events", endlessAnswer{endlessSuccess, "data: " + endlessFiller + "\n\n", 0}},
	})
}

type namedEndlessAnswer struct {
	name   string
	answer endlessAnswer
}

// checkMemory sends requests whose callers read nothing to targets that send each of the answers.
func checkMemory(t *testing.T, service string, route answerKind, answers []namedEndlessAnswer) {
	t.Helper()
	edges := startEdgeSite(t, 1)
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
	pid := edges.processes[0].cmd.Process.Pid
	t.Logf("%d KB before", peakMemoryKB(t, pid))

	for _, tc := range answers {
		target := startEndlessTarget(t, tc.answer)
		id := "i-" + strings.ReplaceAll(tc.name, " ", "-")
		edges.site.Store.Put("servers", id, map[string]any{
			"service": service, "address": target.listener.Addr().String(), "zone": "zone-a", "version": "v1",
			"slot-count": 2 * endlessCallers, "state": "ready", "born": time.Now().UnixMilli(),
		})
		time.Sleep(time.Second)
		closeAll := sendUnread(t, edges.vms[0].RequestAddress(), route, endlessCallers)
		time.Sleep(3 * time.Second)
		closeAll()
		edges.site.Store.Delete("servers", id)
		peak := peakMemoryKB(t, pid)
		t.Logf("%d KB after %s, %d requests", peak, tc.name, target.requestCount())
		assert.Check(t, target.requestCount() >= endlessCallers/2, "%s: %d requests", tc.name, target.requestCount())
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
