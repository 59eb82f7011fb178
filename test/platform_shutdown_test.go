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
	// portOpen is how long after SIGTERM a process listens.
	portOpen = 2500 * time.Millisecond
	// A starved process stands still for stoppedFor, then runs for runsFor, again and again.
	stoppedFor = 80 * time.Millisecond
	runsFor    = 20 * time.Millisecond
	// stillFor is how long a process stands still when its port should close.
	stillFor = 2 * time.Second
	// lateAfter is how long after its port has closed a starved process on a busy machine may
	// still take requests of connections that it had.
	lateAfter = 2 * time.Second
	// tails is how many routes there are: that of /tail-n/ has streams of n seconds.
	tails      = 7
	tailEvents = 20
)

// shutdown is a VM whose process gets SIGTERM while callers have connections to it.
type shutdown struct {
	*edgeSite
	r *rand.Rand
	// stopped is when SIGTERM was sent, set before begun is closed.
	stopped time.Time
	begun   chan struct{}
	callers sync.WaitGroup
	sent    atomic.Int64

	publishing sync.Mutex // held while a configuration is written

	mu    sync.Mutex // guards calls
	calls []call
}

// call is a request as its caller sees it.
type call struct {
	kind, id string
	// sent is when its last byte was written.
	sent   time.Time
	status int // 0 for no answer
	whole  bool
	err    error
}

// String is the call in one line.
func (c call) String() string {
	return fmt.Sprintf("%s sent %s, status=%d, whole=%v, error=%v", c.id, c.sent.Format(time.StampMicro), c.status, c.whole, c.err)
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	r *bufio.Reader
}

// playShutdown plays a shutdown with callers once for each seed, and checks what they saw.
// trouble is what its process has meanwhile, nil for none.
func playShutdown(t *testing.T, trouble, callers func(s *shutdown), check func(t *testing.T, s *shutdown)) {
	t.Helper()
	seeds := plannedSeeds(t)
	if os.Getenv("VANILLAGATE_SEEDS") == "" {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newShutdown(t, seed)
			callers(s)
			time.Sleep(time.Second)
			s.processes[0].signal(t, syscall.SIGTERM)
			s.stopped = time.Now()
			close(s.begun)
			if trouble != nil {
				go trouble(s)
			}
			s.callers.Wait()
			assert.Equal(t, s.processes[0].waitExit(t, firstGrace*time.Second), 0)
			check(t, s)
		})
	}
}

// newShutdown starts a VM with routes to streams of different lengths.
func newShutdown(t *testing.T, seed uint64) *shutdown {
	t.Helper()
	s := &shutdown{edgeSite: newEdges(t, 1), r: rand.New(rand.NewPCG(seed, 1)), begun: make(chan struct{})}
	s.startTails()
	s.publishTails(15 * time.Second)
	s.startAfter(0, func(cmd *exec.Cmd) { cmd.Env = append(cmd.Env, "GOMAXPROCS=1") })
	s.waitReady(0)
	waitFor(t, "the VM to serve", func() bool {
		c := s.dial()
		defer c.close()
		return s.ask(c, "first", "/tail-1/x").whole
	})
	return s
}

// publishTails puts a configuration in force that has the streams, and an idle time.
func (s *shutdown) publishTails(idle time.Duration) {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.site.Publish(func(config map[string]any) {
		config["limits"].(map[string]any)["idle-timeout-ms"] = idle.Milliseconds()
		for n := 1; n <= tails; n++ {
			name := fmt.Sprintf("tail-%d", n)
			config["services"] = append(config["services"].([]any), map[string]any{"name": name, "max-connections": 300})
			config["routes"] = append(config["routes"].([]any), map[string]any{
				"name": name, "host": standin.Host, "prefix": "/" + name + "/", "kind": "streaming", "timeout-ms": 20000,
				"target-latency-ms": 1500, "target-gap-ms": 1000, "priority": 0, "service": name, "attempts": 1,
			})
		}
	})
}

// startTails starts the targets of the streams.
func (s *shutdown) startTails() {
	for n := 1; n <= tails; n++ {
		target := &standin.Target{
			ID: fmt.Sprintf("i-tail-%d", n), Service: fmt.Sprintf("tail-%d", n), Zone: "zone-a", Slots: 300, Events: tailEvents,
			EventInterval: time.Duration(n) * time.Second / tailEvents,
		}
		assert.NilError(s.t, target.Start("127.0.0.1:0"))
		s.site.Desks = append(s.site.Desks, target)
		s.site.Store.Put("servers", target.ID, target.Entry("ready", 1))
	}
}

// starve lets the process run for a small share of the time, until it ends.
func (s *shutdown) starve() {
	p := s.processes[0]
	for {
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails once it has ended
		time.Sleep(stoppedFor)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-p.done:
			return
		case <-time.After(runsFor):
		}
	}
}

// standStill stops the process before its port closes, and lets it go on long after.
func (s *shutdown) standStill() {
	time.Sleep(portOpen - stillFor/2)
	_ = s.processes[0].cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(stillFor)
	_ = s.processes[0].cmd.Process.Signal(syscall.SIGCONT)
}

// at has a caller do something at a time after SIGTERM.
func (s *shutdown) at(after time.Duration, do func()) {
	s.callers.Go(func() {
		s.wait(after)
		do()
	})
}

func (s *shutdown) wait(after time.Duration) {
	<-s.begun
	time.Sleep(time.Until(s.stopped.Add(after)))
}

// keep has callers whose connections have carried a request use them again between two
// times after SIGTERM.
func (s *shutdown) keep(n int, path string, first, last time.Duration) {
	for range n {
		c, used := s.dial(), between(s.r, first, last)
		s.callers.Go(func() {
			defer c.close()
			s.ask(c, "warm", "/ask/x")
			s.wait(used)
			s.ask(c, "kept", path)
		})
	}
}

// dialNew has callers connect between two times after SIGTERM and send a request at once.
func (s *shutdown) dialNew(n int, path string, first, last time.Duration) {
	for range n {
		s.at(between(s.r, first, last), func() {
			c := s.dial()
			s.ask(c, "new", path)
			c.close()
		})
	}
}

// dial gives nil where nobody listens.
func (s *shutdown) dial() *caller {
	conn, err := net.Dial("tcp", s.vms[0].RequestAddress())
	if err != nil {
		return nil
	}
	return &caller{Conn: conn, r: bufio.NewReader(conn)}
}

func (c *caller) close() {
	if c != nil {
		_ = c.Close()
	}
}

// closed tells that there is no connection any more, as its caller knows.
func (c *caller) closed() bool { return c == nil || socket.Peek(c.Conn) != socket.Idle }

// text is a request as it is sent.
func (s *shutdown) text(kind, path string) (id, request string) {
	id = fmt.Sprintf("%s-%d", kind, s.sent.Add(1))
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", path, standin.Host, id, standin.TeamKey)
}

// ask sends a request and reads the answer, unless the connection is known to be closed.
func (s *shutdown) ask(c *caller, kind, path string) call {
	return s.askSlowly(c, kind, path, 0, 0)
}

// askSlowly stops for a while before the last bytes of the request.
func (s *shutdown) askSlowly(c *caller, kind, path string, last int, pause time.Duration) call {
	if c.closed() {
		return call{}
	}
	id, request := s.text(kind, path)
	_, err := io.WriteString(c, request[:len(request)-last])
	if last > 0 && err == nil {
		time.Sleep(pause)
		_, err = io.WriteString(c, request[len(request)-last:])
	}
	return s.read(c, call{kind: kind, id: id, err: err})
}

// read reads the answer to a request that has been sent, and notes it.
func (s *shutdown) read(c *caller, sent call) call {
	sent.sent = time.Now()
	if sent.err == nil {
		sent.status, sent.whole, sent.err = readAnswer(c.r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, sent)
	return sent
}

func readAnswer(r *bufio.Reader) (status int, whole bool, err error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.StatusCode == http.StatusOK && err == nil && len(body) > 0, err
}

// ran tells which requests reached a target.
func (s *shutdown) ran() map[string]bool {
	ran := map[string]bool{}
	for _, target := range s.site.Desks {
		for _, seen := range target.ReceivedRequests() {
			ran[seen.ID] = true
		}
	}
	return ran
}

// answered checks that all requests of some kinds got an answer.
func (s *shutdown) answered(t *testing.T, kinds ...string) {
	t.Helper()
	none := s.count(t, kinds...)
	assert.Check(t, none == 0, "%d requests got no answer", none)
}

// count logs what became of requests of some kinds, and tells how many got no answer.
func (s *shutdown) count(t *testing.T, kinds ...string) (none int) {
	t.Helper()
	counts := map[string]int{}
	ran := s.ran()
	for _, c := range s.calls {
		if !slices.Contains(kinds, c.kind) {
			continue
		}
		counts[fmt.Sprintf("%s %d whole=%v", c.kind, c.status, c.whole)]++
		if c.status == 0 {
			none++
			t.Logf("no answer: %v, ran=%v", c, ran[c.id])
		}
	}
	t.Log(counts)
	return none
}

// A request that comes long after the port has closed is run, and cut at the end.
func TestPlatformStarvedShutdownRunsNothingThatComesLate(t *testing.T) {
	t.Parallel()
	playShutdown(t, (*shutdown).starve, func(s *shutdown) {
		s.keep(200, "/tail-1/x", 0, 7*time.Second)
		s.dialNew(50, "/tail-1/x", 0, 7*time.Second)
		for range 50 {
			opened := between(s.r, 0, portOpen)
			pause := between(s.r, 0, 7*time.Second-opened)
			s.at(opened, func() {
				c := s.dial()
				time.Sleep(pause)
				s.ask(c, "ahead", "/tail-1/x")
				c.close()
			})
		}
		s.askAfterStreams(100, 100*time.Millisecond)
		for range 5 {
			idle := between(s.r, 500*time.Millisecond, 15*time.Second)
			s.at(between(s.r, 0, portOpen), func() { s.publishTails(idle) })
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
				s.at(between(s.r, 0, 7*time.Second), func() { _ = s.processes[0].cmd.Process.Signal(signal) })
			}
		}
	}, func(t *testing.T, s *shutdown) {
		kinds := []string{"kept", "ahead", "new", "next"}
		s.count(t, kinds...)
		ran, late := s.ran(), s.closedPort(t)+lateAfter
		for _, c := range s.calls {
			if !slices.Contains(kinds, c.kind) {
				continue
			}
			assert.Check(t, c.sent.Before(s.stopped.Add(late)) || !ran[c.id], "late: %v", c)
		}
		for _, after := range s.logged(t, "Request accepted during the shutdown.") {
			assert.Check(t, after < late, "accepted %s after SIGTERM", after)
		}
	})
}

// logged gives the times after SIGTERM of the process's lines that have some text.
func (s *shutdown) logged(t *testing.T, text string) (times []time.Duration) {
	t.Helper()
	for _, line := range regexp.MustCompile(regexp.QuoteMeta(text)+`.*"after_stop":([0-9.]+)`).FindAllStringSubmatch(s.processes[0].logs(), -1) {
		after, err := strconv.ParseFloat(line[1], 64)
		assert.NilError(t, err)
		times = append(times, time.Duration(after*float64(time.Second)))
	}
	return times
}

// closedPort is when the process has closed its port for requests.
func (s *shutdown) closedPort(t *testing.T) time.Duration {
	t.Helper()
	times := s.logged(t, `Port closed.","address":"`+s.vms[0].RequestAddress())
	assert.Equal(t, len(times), 1)
	return times[0]
}

// askAfterStreams has streams begin within the second before SIGTERM that end before the
// process does, and another request on each one's connection at most so long after.
func (s *shutdown) askAfterStreams(n int, longest time.Duration) {
	for range n {
		c, early, pause := s.dial(), between(s.r, 0, time.Second), between(s.r, 0, longest)
		path := fmt.Sprintf("/tail-%d/x", 1+s.r.IntN(tails-1))
		s.callers.Go(func() {
			defer c.close()
			time.Sleep(early)
			s.ask(c, "old", path)
			time.Sleep(pause)
			s.ask(c, "next", "/tail-1/x")
		})
	}
}

// The request right after a stream that began before SIGTERM is dropped: nothing told its
// caller that the connection closes.
func TestPlatformShutdownAnswersTheRequestAfterAStream(t *testing.T) {
	t.Parallel()
	playShutdown(t, nil, func(s *shutdown) {
		s.askAfterStreams(100, 0)
		for range 20 {
			c := s.dial()
			path := fmt.Sprintf("/tail-%d/x", 1+s.r.IntN(tails-1))
			s.callers.Go(func() {
				defer c.close()
				id, first := s.text("old", path)
				nextID, next := s.text("pipelined", "/tail-1/x")
				_, err := io.WriteString(c, first+next)
				s.read(c, call{kind: "old", id: id, err: err})
				s.read(c, call{kind: "pipelined", id: nextID})
			})
		}
	}, func(t *testing.T, s *shutdown) { s.answered(t, "old", "next", "pipelined") })
}

// A request on a connection that nobody has accepted when the port closes is reset.
func TestPlatformStarvedShutdownResetsNoConnectionInItsBacklog(t *testing.T) {
	t.Parallel()
	playShutdown(t, (*shutdown).starve, func(s *shutdown) {
		s.dialNew(300, "/ask/x", portOpen-200*time.Millisecond, portOpen+200*time.Millisecond)
	}, func(t *testing.T, s *shutdown) { s.answered(t, "new") })
}

// A request that is sent slowly gets no answer.
func TestPlatformShutdownAnswersARequestThatIsStillBeingSent(t *testing.T) {
	t.Parallel()
	playShutdown(t, nil, func(s *shutdown) {
		const inBody, inHeaders = 5, 60
		for _, last := range []int{inBody, inHeaders} {
			kind := "body"
			if last == inHeaders {
				kind = "headers"
			}
			for range 30 {
				c, pause := s.dial(), between(s.r, 0, firstGrace*time.Second)
				s.at(between(s.r, 0, portOpen), func() {
					s.askSlowly(c, kind, "/ask/x", last, pause)
					c.close()
				})
			}
		}
	}, func(t *testing.T, s *shutdown) { s.answered(t, "body", "headers") })
}

// The final answers of a starved process aren't out when it ends.
func TestPlatformStarvedShutdownAnswersAllThatItGivesUp(t *testing.T) {
	t.Parallel()
	playShutdown(t, (*shutdown).starve, func(s *shutdown) {
		s.site.Desks[len(s.site.Desks)-1].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Hangs })
		s.dialNew(250, fmt.Sprintf("/tail-%d/x", tails), 0, 2*time.Second)
	}, func(t *testing.T, s *shutdown) { s.answered(t, "new") })
}

// A process stands still when its port should close. What is sent meanwhile is reset, or run and cut.
func TestPlatformShutdownAfterAStandstillCutsNothing(t *testing.T) {
	t.Parallel()
	playShutdown(t, (*shutdown).standStill, func(s *shutdown) {
		s.keep(30, "/tail-5/x", portOpen-stillFor/2, portOpen+stillFor/2)
		s.dialNew(30, "/tail-5/x", portOpen-stillFor/2, portOpen+stillFor/2)
	}, func(t *testing.T, s *shutdown) {
		s.answered(t, "kept", "new")
		for _, c := range s.calls {
			assert.Check(t, c.status != http.StatusOK || c.whole, "cut: %v", c)
		}
	})
}
