package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/platform/standin"
)

const (
	// listenAfterStop is how long after SIGTERM a process keeps its request port open.
	listenAfterStop = 2500 * time.Millisecond
	// A starved process is stopped for starvedPause and then runs for starvedRun, in turn.
	starvedPause = 80 * time.Millisecond
	starvedRun   = 20 * time.Millisecond
	// longPause is how long a process is stopped around the time when its port should close.
	longPause = 2 * time.Second
	// lateTolerance is how long after the time stated in its schedule a starved process on a
	// busy machine may still accept requests on connections that it had.
	lateTolerance = 2 * time.Second
	// tailRoutes is the number of routes with streams: a stream of route /tail-n/ lasts n
	// seconds and has tailEvents events.
	tailRoutes = 7
	tailEvents = 20
)

// shutdownRun is a VM whose process gets SIGTERM while callers have connections to it.
type shutdownRun struct {
	*edgeSite
	rng *rand.Rand
	// stopSentAt is when SIGTERM was sent. It is set before stopSent is closed.
	stopSentAt time.Time
	stopSent   chan struct{}
	callers    sync.WaitGroup
	lastID     atomic.Int64

	publishMu sync.Mutex // held while a configuration is published

	mu    sync.Mutex // guards calls
	calls []callResult
}

// callResult is the outcome of a request as its caller sees it.
type callResult struct {
	kind, id string
	// sentAt is when the last byte of the request was written.
	sentAt   time.Time
	endedAt  time.Time // when the answer or the connection ended
	status   int       // 0 means no answer
	complete bool
	err      error
	// afterClose is set if the previous answer on the connection announced that it closes.
	afterClose bool
}

// String formats the result on one line, for logs.
func (c callResult) String() string {
	return fmt.Sprintf("%s sent %s, status=%d, complete=%v, error=%v, after_close=%v",
		c.id, c.sentAt.Format(time.StampMicro), c.status, c.complete, c.err, c.afterClose)
}

// callerConn is a connection of a caller, with a reader for the answers.
type callerConn struct {
	net.Conn
	r *bufio.Reader
	// closeAnnounced is set once an answer has announced that the connection closes.
	closeAnnounced bool
}

// runShutdown runs a shutdown once for each seed: it starts the callers, sends SIGTERM, waits
// for the callers and the process, and calls check. disturb, unless nil, runs beside the
// shutdown and disturbs the process.
func runShutdown(t *testing.T, disturb, startCallers func(s *shutdownRun), check func(t *testing.T, s *shutdownRun)) {
	t.Helper()
	seeds := plannedSeeds(t)
	if os.Getenv("VANILLAGATE_SEEDS") == "" {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newShutdownRun(t, seed)
			startCallers(s)
			time.Sleep(time.Second)
			s.processes[0].signal(t, syscall.SIGTERM)
			s.stopSentAt = time.Now()
			close(s.stopSent)
			if disturb != nil {
				go disturb(s)
			}
			s.callers.Wait()
			assert.Equal(t, s.processes[0].waitExit(t, initialGrace*time.Second), 0)
			check(t, s)
		})
	}
}

// newShutdownRun starts a VM with routes to streams of different lengths.
func newShutdownRun(t *testing.T, seed uint64) *shutdownRun {
	t.Helper()
	s := &shutdownRun{edgeSite: newEdgeSite(t, 1), rng: rand.New(rand.NewPCG(seed, 1)), stopSent: make(chan struct{})}
	s.startTailTargets()
	s.publishTailRoutes(15 * time.Second)
	s.startPrepared(0, func(cmd *exec.Cmd) { cmd.Env = append(cmd.Env, "GOMAXPROCS=1") })
	s.waitReady(0)
	waitFor(t, "the VM to serve", func() bool {
		c := s.dial()
		defer c.close()
		return s.sendRequest(c, "first", "/tail-1/x").complete
	})
	return s
}

// publishTailRoutes publishes a configuration with the routes to the streams and an idle
// timeout for connections.
func (s *shutdownRun) publishTailRoutes(idle time.Duration) {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	s.site.Publish(func(config map[string]any) { addTailRoutes(config, idle) })
}

// addTailRoutes adds the routes to the streams to a configuration, and sets its idle timeout.
func addTailRoutes(config map[string]any, idle time.Duration) {
	config["limits"].(map[string]any)["idle-timeout-ms"] = idle.Milliseconds()
	for n := 1; n <= tailRoutes; n++ {
		name := fmt.Sprintf("tail-%d", n)
		config["services"] = append(config["services"].([]any), map[string]any{"name": name, "max-connections": 300})
		config["routes"] = append(config["routes"].([]any), map[string]any{
			"name": name, "host": standin.Host, "prefix": "/" + name + "/", "kind": "streaming", "timeout-ms": 20000,
			"target-latency-ms": 1500, "target-gap-ms": 1000, "priority": 0, "service": name, "attempts": 1,
		})
	}
}

// startTailTargets starts the targets of the streams.
func (s *shutdownRun) startTailTargets() {
	for n := 1; n <= tailRoutes; n++ {
		target := &standin.Target{
			ID: fmt.Sprintf("i-tail-%d", n), Service: fmt.Sprintf("tail-%d", n), Zone: "zone-a", Slots: 300, Events: tailEvents,
			EventInterval: time.Duration(n) * time.Second / tailEvents,
		}
		assert.NilError(s.t, target.Start("127.0.0.1:0"))
		s.site.Desks = append(s.site.Desks, target)
		s.site.Store.Put("servers", target.ID, target.Entry("ready", 1))
	}
}

// starve lets the process run only for a small share of the time, until it ends.
func (s *shutdownRun) starve() {
	p := s.processes[0]
	for {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails once the process has ended
		time.Sleep(starvedPause)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-p.done:
			return
		case <-time.After(starvedRun):
		}
	}
}

// pauseAtPortClose stops the process shortly before its port should close and continues it
// well after.
func (s *shutdownRun) pauseAtPortClose() {
	time.Sleep(listenAfterStop - longPause/2)
	_ = s.processes[0].cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(longPause)
	_ = s.processes[0].cmd.Process.Signal(syscall.SIGCONT)
}

// goAfterStop starts a caller that calls do some time after SIGTERM.
func (s *shutdownRun) goAfterStop(after time.Duration, do func()) {
	s.callers.Go(func() {
		s.sleepAfterStop(after)
		do()
	})
}

// sleepAfterStop waits until some time after SIGTERM.
func (s *shutdownRun) sleepAfterStop(after time.Duration) {
	<-s.stopSent
	time.Sleep(time.Until(s.stopSentAt.Add(after)))
}

// reuseConnections starts n callers that each send a request before SIGTERM, and another one
// on the same connection at a random time between earliest and latest after SIGTERM.
func (s *shutdownRun) reuseConnections(n int, path string, earliest, latest time.Duration) {
	for range n {
		c, used := s.dial(), randomDuration(s.rng, earliest, latest)
		s.callers.Go(func() {
			defer c.close()
			s.sendRequest(c, "warm", "/ask/x")
			s.sleepAfterStop(used)
			s.sendRequest(c, "kept", path)
		})
	}
}

// dialAndSend starts n callers that each connect at a random time between earliest and latest
// after SIGTERM and send a request at once.
func (s *shutdownRun) dialAndSend(n int, path string, earliest, latest time.Duration) {
	for range n {
		s.goAfterStop(randomDuration(s.rng, earliest, latest), func() {
			c := s.dial()
			s.sendRequest(c, "new", path)
			c.close()
		})
	}
}

// dial connects to the VM; it returns nil if the connection is refused.
func (s *shutdownRun) dial() *callerConn {
	conn, err := net.Dial("tcp", s.vms[0].RequestAddress())
	if err != nil {
		return nil
	}
	return &callerConn{Conn: conn, r: bufio.NewReader(conn)}
}

func (c *callerConn) close() {
	if c != nil {
		_ = c.Close()
	}
}

// isClosed reports whether the caller can see that the connection is closed, or has none.
func (c *callerConn) isClosed() bool { return c == nil || socket.Peek(c.Conn) != socket.Idle }

// newRequest returns a new request as it is written to the connection, and its ID.
func (s *shutdownRun) newRequest(kind, path string) (id, request string) {
	id = fmt.Sprintf("%s-%d", kind, s.lastID.Add(1))
	pieces := ""
	if strings.HasPrefix(path, "/"+stagedPrefix) {
		pieces = fmt.Sprintf("X-Pieces: 1\r\nX-Piece-Key: key-of-%s\r\n", id)
	}
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\n%s"+
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", path, standin.Host, id, standin.TeamKey, pieces)
}

// sendRequest sends a request and reads the answer, unless the connection is known to be closed.
func (s *shutdownRun) sendRequest(c *callerConn, kind, path string) callResult {
	return s.sendSlowly(c, kind, path, 0, 0)
}

// sendSlowly is sendRequest with a pause before the last heldBack bytes of the request.
func (s *shutdownRun) sendSlowly(c *callerConn, kind, path string, heldBack int, pause time.Duration) callResult {
	if c.isClosed() {
		return callResult{}
	}
	id, request := s.newRequest(kind, path)
	_, err := io.WriteString(c, request[:len(request)-heldBack])
	if heldBack > 0 && err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(c, request[len(request)-heldBack:])
	}
	return s.readAndRecord(c, callResult{kind: kind, id: id, err: err})
}

// readAndRecord reads the answer to a request that has been sent, and records the result.
func (s *shutdownRun) readAndRecord(c *callerConn, sent callResult) callResult {
	sent.sentAt, sent.afterClose = time.Now(), c.closeAnnounced
	if sent.err == nil {
		sent.status, sent.complete, sent.err = c.readAnswer()
	}
	sent.endedAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, sent)
	return sent
}

func (c *callerConn) readAnswer() (status int, whole bool, err error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, false, err
	}
	c.closeAnnounced = resp.Close
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.StatusCode == http.StatusOK && err == nil && len(body) > 0, err
}

// ranAtTarget returns the IDs of the requests that reached a target.
func (s *shutdownRun) ranAtTarget() map[string]bool {
	ran := map[string]bool{}
	for _, target := range s.site.Desks {
		for _, seen := range target.ReceivedRequests() {
			ran[seen.ID] = true
		}
	}
	return ran
}

// checkAnswered checks that all requests of the given kinds got an answer.
func (s *shutdownRun) checkAnswered(t *testing.T, kinds ...string) {
	t.Helper()
	unanswered := s.countUnanswered(t, kinds...)
	assert.Check(t, unanswered == 0, "%d requests got no answer", unanswered)
}

// countUnanswered logs the results of the requests of the given kinds, and returns how many
// got no answer.
func (s *shutdownRun) countUnanswered(t *testing.T, kinds ...string) (unanswered int) {
	t.Helper()
	counts := map[string]int{}
	ran := s.ranAtTarget()
	for _, c := range s.calls {
		if !slices.Contains(kinds, c.kind) {
			continue
		}
		counts[fmt.Sprintf("%s %d complete=%v after_close=%v", c.kind, c.status, c.complete, c.afterClose)]++
		if c.status == 0 && !c.afterClose { // after the announcement, a caller mustn't send
			unanswered++
			t.Logf("no answer: %v, ran=%v", c, ran[c.id])
		}
	}
	t.Log(counts)
	return unanswered
}

// Guards against a starved process that, long after it closed its port, still accepts requests
// on connections that it had: they run, and are cut when the process ends.
func TestPlatformStarvedShutdownRunsNoLateRequest(t *testing.T) {
	t.Parallel()
	runShutdown(t, (*shutdownRun).starve, func(s *shutdownRun) {
		s.reuseConnections(200, "/tail-1/x", 0, 7*time.Second)
		s.dialAndSend(50, "/tail-1/x", 0, 7*time.Second)
		for range 50 {
			opened := randomDuration(s.rng, 0, listenAfterStop)
			pause := randomDuration(s.rng, 0, 7*time.Second-opened)
			s.goAfterStop(opened, func() {
				c := s.dial()
				time.Sleep(pause)
				s.sendRequest(c, "ahead", "/tail-1/x")
				c.close()
			})
		}
		s.sendAfterStreams(100, 100*time.Millisecond)
		for range 5 {
			idle := randomDuration(s.rng, 500*time.Millisecond, 15*time.Second)
			s.goAfterStop(randomDuration(s.rng, 0, listenAfterStop), func() { s.publishTailRoutes(idle) })
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				s.goAfterStop(randomDuration(s.rng, 0, 7*time.Second), func() { _ = s.processes[0].cmd.Process.Signal(signal) })
			}
		}
	}, func(t *testing.T, s *shutdownRun) {
		kinds := []string{"kept", "ahead", "new", "next"}
		s.countUnanswered(t, kinds...)
		ran, late := s.ranAtTarget(), s.acceptFor(t)+lateTolerance
		closed := s.portClosedAfter(t)
		assert.Check(t, closed < late, "port closed %s after SIGTERM", closed)
		for _, c := range s.calls {
			if !slices.Contains(kinds, c.kind) {
				continue
			}
			assert.Check(t, c.sentAt.Before(s.stopSentAt.Add(late)) || !ran[c.id], "ran although sent too late: %v", c)
		}
		for _, after := range s.logTimes(t, "Request accepted during the shutdown.") {
			assert.Check(t, after < late, "accepted %s after SIGTERM", after)
		}
		for _, target := range s.site.Desks {
			for _, seen := range target.ReceivedRequests() {
				after := seen.At.Sub(s.stopSentAt)
				assert.Check(t, after < late, "%s reached a target %s after SIGTERM", seen.ID, after)
			}
		}
	})
}

// logTimes returns, for each log line of the process with the given text, the time after
// SIGTERM that the line states in after_stop.
func (s *shutdownRun) logTimes(t *testing.T, text string) (times []time.Duration) {
	t.Helper()
	for _, line := range regexp.MustCompile(regexp.QuoteMeta(text)+`.*"after_stop":([0-9.]+)`).FindAllStringSubmatch(s.processes[0].logs(), -1) {
		after, err := strconv.ParseFloat(line[1], 64)
		assert.NilError(t, err)
		times = append(times, time.Duration(after*float64(time.Second)))
	}
	return times
}

// acceptFor returns how long after SIGTERM the process accepts requests, by its schedule.
func (s *shutdownRun) acceptFor(t *testing.T) time.Duration {
	t.Helper()
	match := regexp.MustCompile(`Leaving\..*"accept_for":([0-9.]+)`).FindStringSubmatch(s.processes[0].logs())
	assert.Equal(t, len(match), 2)
	seconds, err := strconv.ParseFloat(match[1], 64)
	assert.NilError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// portClosedAfter returns how long after SIGTERM the process closed its port for requests.
func (s *shutdownRun) portClosedAfter(t *testing.T) time.Duration {
	t.Helper()
	times := s.logTimes(t, `Port closed.","address":"`+s.vms[0].RequestAddress())
	assert.Equal(t, len(times), 1)
	return times[0]
}

// sendAfterStreams starts n callers with a stream each that begins in the second before SIGTERM
// and ends before the process does. Each sends another request on the same connection at most
// longest after its stream has ended.
func (s *shutdownRun) sendAfterStreams(n int, longest time.Duration) {
	for range n {
		c, early, pause := s.dial(), randomDuration(s.rng, 0, time.Second), randomDuration(s.rng, 0, longest)
		path := fmt.Sprintf("/tail-%d/x", 1+s.rng.IntN(tailRoutes-1))
		s.callers.Go(func() {
			defer c.close()
			time.Sleep(early)
			s.sendRequest(c, "old", path)
			time.Sleep(pause)
			s.sendRequest(c, "next", "/tail-1/x")
		})
	}
}

// Guards against dropping the request that follows a stream on the same connection: the stream
// began before SIGTERM, so its header couldn't tell the caller that the connection closes.
func TestPlatformShutdownAnswersTheRequestAfterAStream(t *testing.T) {
	t.Parallel()
	const callers = 100
	runShutdown(t, nil, func(s *shutdownRun) {
		s.sendAfterStreams(callers, 0)
		for range 20 {
			c := s.dial()
			path := fmt.Sprintf("/tail-%d/x", 1+s.rng.IntN(tailRoutes-1))
			s.callers.Go(func() {
				defer c.close()
				id, first := s.newRequest("old", path)
				nextID, next := s.newRequest("pipelined", "/tail-1/x")
				_, err := io.WriteString(c, first+next)
				s.readAndRecord(c, callResult{kind: "old", id: id, err: err})
				s.readAndRecord(c, callResult{kind: "pipelined", id: nextID})
			})
		}
	}, func(t *testing.T, s *shutdownRun) {
		s.checkAnswered(t, "old", "next", "pipelined")
		announced := 0
		for _, c := range s.calls {
			if c.kind == "next" && c.afterClose {
				announced++
			}
		}
		assert.Check(t, announced < callers/10, "%d streams announced the close: only those that began after SIGTERM may", announced)
	})
}

// Guards against connections that are reset because they were still in the accept queue when
// the port closed.
func TestPlatformStarvedShutdownResetsNoConnectionInItsBacklog(t *testing.T) {
	t.Parallel()
	runShutdown(t, (*shutdownRun).starve, func(s *shutdownRun) {
		s.dialAndSend(300, "/ask/x", listenAfterStop-200*time.Millisecond, listenAfterStop+200*time.Millisecond)
	}, func(t *testing.T, s *shutdownRun) { s.checkAnswered(t, "new") })
}

// Guards against leaving a request without an answer because the caller was still sending its
// headers or body when the process shut down.
func TestPlatformShutdownAnswersARequestThatIsStillBeingSent(t *testing.T) {
	t.Parallel()
	runShutdown(t, nil, func(s *shutdownRun) {
		const inBody, inHeaders = 5, 60
		for _, last := range []int{inBody, inHeaders} {
			kind := "body"
			if last == inHeaders {
				kind = "headers"
			}
			for range 30 {
				c, pause := s.dial(), randomDuration(s.rng, 0, initialGrace*time.Second)
				s.goAfterStop(randomDuration(s.rng, 0, listenAfterStop), func() {
					s.sendSlowly(c, kind, "/ask/x", last, pause)
					c.close()
				})
			}
		}
	}, func(t *testing.T, s *shutdownRun) { s.checkAnswered(t, "body", "headers") })
}

// Guards against a starved process that ends before it has written the error answers to the
// requests that it aborted.
func TestPlatformStarvedShutdownAnswersAllThatItGivesUp(t *testing.T) {
	t.Parallel()
	runShutdown(t, (*shutdownRun).starve, func(s *shutdownRun) {
		s.site.Desks[len(s.site.Desks)-1].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Hangs })
		s.dialAndSend(250, fmt.Sprintf("/tail-%d/x", tailRoutes), 0, 2*time.Second)
	}, func(t *testing.T, s *shutdownRun) { s.checkAnswered(t, "new") })
}

// The process is paused when its port should close. Guards against requests sent meanwhile
// that are reset, or run and cut.
func TestPlatformShutdownAfterAStandstillCutsNothing(t *testing.T) {
	t.Parallel()
	runShutdown(t, (*shutdownRun).pauseAtPortClose, func(s *shutdownRun) {
		s.reuseConnections(30, "/tail-5/x", listenAfterStop-longPause/2, listenAfterStop+longPause/2)
		s.dialAndSend(30, "/tail-5/x", listenAfterStop-longPause/2, listenAfterStop+longPause/2)
	}, func(t *testing.T, s *shutdownRun) {
		s.checkAnswered(t, "kept", "new")
		for _, c := range s.calls {
			assert.Check(t, c.status != http.StatusOK || c.complete, "cut: %v", c)
		}
	})
}
