package test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/platform/standin"
)

// The tests of crowds send what a client that doesn't behave may send, on many connections at once, and check that
// the processes live within their stated memory and descriptors. They run one at a time, apart from other tests
// (`make crowd`).

const (
	// crowdMemoryMB and crowdFDs are the memory and the descriptors of a process that the tests state.
	crowdMemoryMB = 128
	crowdFDs      = 4100
	crowdMemoryKB = crowdMemoryMB * 1_000_000 / 1024
	// fileFDs of the stated descriptors are for files.
	fileFDs = 200
	// fewFDs is stated where connections are held, so that a small crowd exceeds it.
	fewFDs = 700
	// crowdSize is the number of connections that send bodies, heldConns of those that are only held, and headConns
	// of those that send heads.
	crowdSize = 256
	heldConns = 900
	headConns = 2000
	// bodyLimit is the configured limit on bodies, in bytes. unsent bytes of an unfinished body aren't sent.
	bodyLimit = 1 << 20
	unsent    = 100
	// crowdTime is how long a crowd may send before the processes are checked, crowdHold how long it is held then.
	crowdTime = 8 * time.Second
	crowdHold = time.Second
)

// crowd is a number of connections that stay open until they are closed.
type crowd struct {
	mu      sync.Mutex // guards the fields below
	conns   []net.Conn
	answers map[string]int // by status; "" for none
}

// dialFunc opens the connection of one member of a crowd.
type dialFunc func() (net.Conn, error)

func dialTo(address string) dialFunc {
	return func() (net.Conn, error) { return net.DialTimeout("tcp", address, 5*time.Second) }
}

// send opens n connections and calls write for each of them. It returns when all have written, or after crowdTime.
func (c *crowd) send(dial dialFunc, n int, write func(i int, conn net.Conn) error) {
	var writers sync.WaitGroup
	for i := range n {
		writers.Go(func() {
			conn, err := dial()
			if err != nil {
				c.note("not connected")
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			go c.readAnswer(conn)
			_ = write(i, conn) // the process may close the connection
		})
	}
	written := make(chan struct{})
	go func() {
		writers.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(crowdTime):
	}
	time.Sleep(crowdHold)
}

func (c *crowd) readAnswer(conn net.Conn) {
	line, _ := bufio.NewReader(conn).ReadString('\n')
	_, rest, _ := strings.Cut(line, " ")
	c.note(strings.TrimSpace(rest))
}

func (c *crowd) note(answer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == nil {
		c.answers = map[string]int{}
	}
	c.answers[answer]++
}

// close closes the connections and returns the answers.
func (c *crowd) close() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	answers := map[string]int{}
	for answer, n := range c.answers {
		answers[answer] = n
	}
	return answers
}

// socketCount returns how many sockets a process has open.
func socketCount(t *testing.T, pid int) int {
	t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(folder)
	assert.NilError(t, err)
	n := 0
	for _, file := range files {
		target, _ := os.Readlink(filepath.Join(folder, file.Name())) // it may have been closed meanwhile
		if strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// checkWithinLimits checks that the processes run, and were never beyond their memory and descriptors.
func checkWithinLimits(t *testing.T, processes []*process, maxFDs int) {
	t.Helper()
	for _, p := range processes {
		select {
		case <-p.done:
			t.Fatalf("%s has ended: %v", p.name, p.err)
		default:
		}
		pid := p.cmd.Process.Pid
		peak, sockets := peakMemoryKB(t, pid), socketCount(t, pid)
		t.Logf("%s: %d KB at most, %d sockets", p.name, peak, sockets)
		assert.Check(t, peak <= crowdMemoryKB, "%s: %d KB", p.name, peak)
		assert.Check(t, sockets <= maxFDs-fileFDs, "%s: %d sockets", p.name, sockets)
	}
}

// runCrowd sends a crowd and checks the processes and an ordinary request while it is held and after it has left.
func runCrowd(t *testing.T, processes []*process, maxFDs int, ordinary func(), send func(c *crowd)) {
	t.Helper()
	ordinary()
	c := &crowd{}
	t.Cleanup(func() { _ = c.close() })
	send(c)
	checkWithinLimits(t, processes, maxFDs)
	ordinary()
	t.Logf("answers: %v", c.close())
	ordinary()
	checkWithinLimits(t, processes, maxFDs)
}

// Routes to targets that answer late, or with a large body at largePath.
const (
	lateRepeatable = "late"
	lateSingle     = "latesingle"
	largePath      = "/" + lateSingle + "/large"
	// lateTime is how long these targets take, largeAnswer the size of a large body, in bytes.
	lateTime    = 4 * time.Second
	largeAnswer = 8 << 20
)

// startCrowdSite starts three VMs with the stated memory and descriptors, and a plain target that answers late.
// change may modify the configuration and may be nil.
func startCrowdSite(t *testing.T, maxFDs int, change func(config map[string]any)) *edgeSite {
	t.Helper()
	e := newEdgeSite(t, 3)
	for _, vm := range e.vms {
		stated, err := os.ReadFile(vm.Settings)
		assert.NilError(t, err)
		limits := fmt.Sprintf("memory-mb = %d\nmax-fds = %d\n", crowdMemoryMB, maxFDs)
		stated = bytes.Replace(stated, []byte("memory-mb = 284\n"), []byte(limits), 1)
		assert.NilError(t, os.WriteFile(vm.Settings, stated, 0o600))
	}
	late := startLateTarget(t)
	e.site.Publish(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": clerks, "max-connections": 1000, "health-check-path": "/health"})
		config["routes"] = append(
			config["routes"].([]any),
			answerRoute(lateRepeatable, "idempotent", clerks, 2), answerRoute(lateSingle, "non_idempotent", clerks, 1),
		)
		if change != nil {
			change(config)
		}
	})
	e.site.Store.Put("servers", "i-late", map[string]any{
		"service": clerks, "address": late, "zone": "zone-a", "version": "v1", "slot-count": 2 * crowdSize, "state": "ready",
		"born": time.Now().UnixMilli(),
	})
	e.startAll()
	time.Sleep(3500 * time.Millisecond) // until all processes know each other and the targets
	return e
}

// startLateTarget starts a target that reads each request and answers after lateTime. It returns its address.
func startLateTarget(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Worker-Id", "i-late")
		w.Header().Set("X-Worker-Signature", "s")
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		switch r.URL.Path {
		case "/health":
		case largePath:
			_, _ = w.Write(make([]byte, largeAnswer))
		default:
			time.Sleep(lateTime)
		}
	})}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// askOrdinary sends an ordinary request to a VM, and again if it is told that the request hasn't run.
func (e *edgeSite) askOrdinary(vm int, body string) {
	e.t.Helper()
	caller := &rawCaller{address: e.vms[vm].RequestAddress()}
	defer caller.disconnect()
	var a rawAnswer
	for n := range 10 {
		a, _ = caller.send(rawRequest{path: "/ask/x", id: fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), n), body: body}, 10*time.Second)
		if !isPromise(a.status) {
			break
		}
		time.Sleep(time.Second)
	}
	assert.Equal(e.t, a.status, 200, "%s (%s)", a.end, a.body)
}

// runEdgeCrowd sends a crowd to one port of the first of three VMs.
func runEdgeCrowd(t *testing.T, e *edgeSite, maxFDs int, address string, n int, write func(i int, conn net.Conn) error) {
	t.Helper()
	runCrowd(t, e.processes, maxFDs, func() { e.askOrdinary(0, "x") }, func(c *crowd) { c.send(dialTo(address), n, write) })
}

// crowdHead is the head of a request to a path of the platform's VMs, without its framing and its end.
func crowdHead(path string, i int, lines ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd-%d-%d\r\nX-Api-Key: %s\r\n",
		path, standin.Host, time.Now().UnixNano(), i, standin.TeamKey)
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head
}

const chunkedFraming = "Transfer-Encoding: chunked\r\n\r\n"

func lengthFraming(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", n) }

// unfinishedChunks returns the chunks of a body that stops just short of the limit, without the last chunk.
func unfinishedChunks(size int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat([]byte(chunk), (bodyLimit-unsent)/size)
}

// writeText returns a function that writes a head and what follows it.
func writeText(path, framing string, body []byte) func(int, net.Conn) error {
	return func(i int, conn net.Conn) error {
		if _, err := io.WriteString(conn, crowdHead(path, i)+framing); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	}
}

func runFrontCrowd(t *testing.T, write func(int, net.Conn) error) {
	t.Helper()
	e := startCrowdSite(t, crowdFDs, nil)
	runEdgeCrowd(t, e, crowdFDs, e.vms[0].RequestAddress(), crowdSize, write)
}

// Guards against unfinished bodies in large chunks that together fill the memory.
func TestCrowdOfLargeChunks(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", chunkedFraming, unfinishedChunks(64<<10)))
}

// Guards against unfinished bodies in small chunks that together fill the memory.
func TestCrowdOfSmallChunks(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", chunkedFraming, unfinishedChunks(1031)))
}

// Guards against unfinished bodies in chunks of one byte that together fill the memory.
func TestCrowdOfSingleByteChunks(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", chunkedFraming, unfinishedChunks(1)))
}

// Guards against chunks whose memory is taken when they are announced.
func TestCrowdOfAnnouncedChunks(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", chunkedFraming, fmt.Appendf(nil, "%x\r\nx", bodyLimit-unsent)))
}

// Guards against bodies whose memory is taken when their length is announced.
func TestCrowdOfAnnouncedLengths(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", lengthFraming(bodyLimit), nil))
}

// Guards against bodies that lack their last byte and together fill the memory.
func TestCrowdOfBodiesWithoutTheirLastByte(t *testing.T) {
	runFrontCrowd(t, writeText("/ask/x", lengthFraming(bodyLimit), make([]byte, bodyLimit-1)))
}

// writeOversized writes more than the limit: announced by a length or in chunks, and with or without waiting for leave.
func writeOversized(i int, conn net.Conn) error {
	part := append(fmt.Appendf(nil, "%x\r\n", 32<<10), append(make([]byte, 32<<10), "\r\n"...)...)
	framing := []string{
		chunkedFraming, lengthFraming(100_000_000_000), "Expect: 100-continue\r\n" + lengthFraming(100_000_000_000),
	}[i%3]
	if _, err := io.WriteString(conn, crowdHead("/ask/x", i)+framing); err != nil {
		return err
	}
	for range 1000 {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// Guards against bodies beyond the limit that are read to their end, or kept.
func TestCrowdOfBodiesOverTheLimit(t *testing.T) { runFrontCrowd(t, writeOversized) }

// Guards against connections that are kept to read the rest of refused bodies and use up the descriptors.
func TestCrowdOfBodiesOverTheLimitOnAllConnections(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	runEdgeCrowd(t, e, fewFDs, e.vms[0].RequestAddress(), heldConns, writeOversized)
}

// Guards against unfinished bodies at the port where callers ask for addresses.
func TestCrowdAtTheDirectoryPort(t *testing.T) {
	e := startCrowdSite(t, crowdFDs, nil)
	runEdgeCrowd(t, e, crowdFDs, e.vms[0].DirectoryAddress(), crowdSize, writeText("/vanillagate/resolve", chunkedFraming, unfinishedChunks(64<<10)))
}

// Guards against unfinished bodies at the port where the platform asks for readiness.
func TestCrowdAtTheReadyPort(t *testing.T) {
	e := startCrowdSite(t, crowdFDs, nil)
	runEdgeCrowd(t, e, crowdFDs, e.vms[0].ReadyAddress(), crowdSize, writeText("/vanillagate/ready", lengthFraming(bodyLimit), make([]byte, bodyLimit-1)))
}

// Guards against unfinished bodies at the port of the metrics.
func TestCrowdAtTheMetricsPort(t *testing.T) {
	e := startCrowdSite(t, crowdFDs, nil)
	runEdgeCrowd(t, e, crowdFDs, e.vms[0].IP+":9464", crowdSize, writeText("/metrics", lengthFraming(bodyLimit), make([]byte, bodyLimit-1)))
}

// Guards against whole bodies of repeatable requests whose targets answer late, which together fill the memory.
func TestCrowdOfWholeBodies(t *testing.T) {
	runFrontCrowd(t, writeText("/"+lateRepeatable+"/x", lengthFraming(bodyLimit), make([]byte, bodyLimit)))
}

// Guards against whole bodies of requests that run at most once whose targets answer late, which together fill the memory.
func TestCrowdOfWholeBodiesThatRunOnce(t *testing.T) {
	runFrontCrowd(t, writeText("/"+lateSingle+"/x", lengthFraming(bodyLimit), make([]byte, bodyLimit)))
}

// Guards against whole bodies of requests that wait for stages, which together fill the memory.
func TestCrowdOfWholeBodiesWithStages(t *testing.T) {
	body := make([]byte, bodyLimit)
	runFrontCrowd(t, func(i int, conn net.Conn) error {
		head := crowdHead("/quote/x", i, "X-Pieces: 4,4", fmt.Sprintf("X-Piece-Key: k-%d", i), "X-Model: m",
			"X-Token-Count: 1200,40", fmt.Sprintf("X-Prompt-Prefix: aa:800,c%d:400", i))
		if _, err := io.WriteString(conn, head+lengthFraming(len(body))); err != nil {
			return err
		}
		_, err := conn.Write(body)
		return err
	})
}

// Guards against unfinished heads that together fill the memory.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	e := startCrowdSite(t, crowdFDs, func(config map[string]any) {
		limits := config["limits"].(map[string]any)
		limits["max-header-bytes"], limits["header-timeout-ms"] = 64<<10, 15_000
	})
	runEdgeCrowd(t, e, crowdFDs, e.vms[0].RequestAddress(), headConns, func(i int, conn net.Conn) error {
		_, err := io.WriteString(conn, crowdHead("/ask/x", i, "X-Note: "+strings.Repeat("n", 60<<10)))
		return err
	})
}

// Guards against connections that send nothing and use up the descriptors.
func TestCrowdOfSilentConnections(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	runEdgeCrowd(t, e, fewFDs, e.vms[0].RequestAddress(), heldConns, func(int, net.Conn) error { return nil })
}

// Guards against connections that are kept after a request and use up the descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	runEdgeCrowd(t, e, fewFDs, e.vms[0].RequestAddress(), heldConns, func(i int, conn net.Conn) error {
		_, err := io.WriteString(conn, crowdHead("/none/x", i)+lengthFraming(0))
		return err
	})
}

// Guards against silent connections at all ports that together use up the descriptors.
func TestCrowdOfSilentConnectionsAtAllPorts(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	vm := e.vms[0]
	runCrowd(t, e.processes, fewFDs, func() { e.askOrdinary(0, "x") }, func(c *crowd) {
		for _, address := range []string{vm.RequestAddress(), vm.DirectoryAddress(), vm.ReadyAddress(), vm.IP + ":9464"} {
			c.send(dialTo(address), heldConns/4, func(int, net.Conn) error { return nil })
		}
	})
}

// Guards against a body of the largest size that is refused although nobody else sends one.
func TestCrowdOfOneLargestBody(t *testing.T) {
	const largest = crowdMemoryMB * 1_000_000 / 8
	e := startCrowdSite(t, crowdFDs, func(config map[string]any) {
		config["limits"].(map[string]any)["max-body-bytes"] = largest
	})
	e.askOrdinary(0, strings.Repeat("x", largest))
	checkWithinLimits(t, e.processes, crowdFDs)
}

// Guards against stalled bodies on all connections that callers may have, which lock ordinary callers out.
func TestCrowdOfStalledBodiesOnAllConnections(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	runEdgeCrowd(t, e, fewFDs, e.vms[0].RequestAddress(), heldConns, writeText("/ask/x", lengthFraming(bodyLimit), nil))
}

// Guards against callers that don't read their answers, and so use up the descriptors and lock ordinary callers out.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	e := startCrowdSite(t, fewFDs, nil)
	runCrowd(t, e.processes, fewFDs, func() { e.askOrdinary(0, "x") }, func(c *crowd) {
		dial := func() (net.Conn, error) {
			conn, err := dialTo(e.vms[0].RequestAddress())()
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			}
			return conn, err
		}
		c.send(dial, crowdSize+64, writeText(largePath, lengthFraming(0), nil))
		time.Sleep(crowdHold)
	})
}

// unreadKB returns how much the system holds that has arrived on the connections of an address and hasn't been read.
func unreadKB(t *testing.T, address string) int {
	t.Helper()
	local, err := netip.ParseAddrPort(address)
	assert.NilError(t, err)
	ip := local.Addr().As4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	bytes := uint64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if fields[1] != prefix {
			continue
		}
		_, unread, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseUint(unread, 16, 64)
		assert.NilError(t, err)
		bytes += n
	}
	return int(bytes / 1024)
}

// Guards against bytes beyond the requests in progress, which count toward the memory while nobody reads them.
func TestCrowdThatSendsBeyondItsRequests(t *testing.T) {
	e := startCrowdSite(t, crowdFDs, nil)
	address := e.vms[0].RequestAddress()
	runCrowd(t, e.processes, crowdFDs, func() { e.askOrdinary(0, "x") }, func(c *crowd) {
		go c.send(dialTo(address), crowdSize, writeText("/"+lateRepeatable+"/x", lengthFraming(0), make([]byte, bodyLimit)))
		time.Sleep(lateTime / 2)
		unread, peak := unreadKB(t, address), peakMemoryKB(t, e.processes[0].cmd.Process.Pid)
		t.Logf("%d KB unread beside %d KB", unread, peak)
		assert.Check(t, peak+unread <= crowdMemoryKB, "%d KB unread beside %d KB", unread, peak)
	})
}
