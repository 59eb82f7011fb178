package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillagate/vanillagate/internal/member"
)

// A VM is taken out of service for maintenance. If it just stopped, the others would
// first suspect it, and callers would be sent to it meanwhile. It announces that it
// leaves, so the others know without suspecting it.
func TestPlannedLeave(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(5, "r1", "a")
	waitAgreed(t, nodes)
	before := nodes[1].suspicions()
	nodes[0].Leave(t.Context())
	gone := nodes[0].Self().Incarnation
	wait(t, func() poll.Result {
		for _, n := range nodes[1:] {
			if !hasState(n.Members(), gone, Leaving) && n.deaths() == 0 {
				return poll.Continue("not yet known to be leaving")
			}
		}
		return poll.Success()
	})
	waitAgreed(t, nodes[1:])
	assert.Equal(t, nodes[1].suspicions(), before)
}

// A process is killed. Its connections end, but a connection may also end for other
// reasons, so the others probe the process before they consider it dead. It must leave
// the list of members within seconds.
func TestCrash(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(6, "r1", "a")
	waitAgreed(t, nodes)
	crash(nodes[2])
	waitAgreed(t, without(nodes, nodes[2]))
}

// A VM is replaced by a new one with the same address. If the new one were mistaken for
// the old one, it would get calls meant for a process that is gone, and its items would
// be taken for older versions of the old one's. The new incarnation has its own name,
// and its appearance marks the old one as dead.
func TestReplacedAtTheSameAddress(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(4, "r1", "a")
	waitAgreed(t, nodes)
	old := nodes[0]
	assert.NilError(t, old.Publish(TopicChange, "k", 9, time.Minute, "old"))
	waitItems(t, nodes[3], TopicChange, 1)
	crash(old)
	opts := c.options("r1", "a")
	opts.Listen = old.Self().PeerAddress
	nodes[0] = c.start(opts)
	waitAgreed(t, nodes)
	for _, n := range nodes[1:] {
		err := n.Call(t.Context(), old.Self().Incarnation, "x", nil, nil)
		assert.ErrorIs(t, err, ErrUnknownMember)
	}
	assert.NilError(t, nodes[0].Publish(TopicChange, "k", 1, time.Minute, "new"))
	waitItems(t, nodes[3], TopicChange, 2)
}

// The clock of a replaced VM ran ahead, so the new VM at its address seems to have
// started earlier. The others would consider the new one dead for as long as they
// remember the old one. The new one notices this and claims a later start.
func TestReplacedWithAnEarlierClock(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for range 4 {
		opts := c.options("r1", "a")
		opts.TombstoneTTL = time.Hour
		nodes = append(nodes, c.start(opts))
	}
	waitAgreed(t, nodes)
	old := nodes[0]
	old.mu.Lock()
	record := old.table.Self()
	old.mu.Unlock()
	crash(old)
	record.Start += uint64(time.Hour.Microseconds())
	record.Seq++
	nodes[1].mu.Lock()
	nodes[1].mergeClaims(recordList(record), nil, time.Now())
	nodes[1].mu.Unlock()
	opts := c.options("r1", "a")
	opts.Listen = old.Self().PeerAddress
	nodes[0] = c.start(opts)
	waitAgreed(t, nodes)
}

// A firewall rule drops everything that one VM sends to one other VM. On its own, each
// would consider the other dead, announce it and be refuted over and over, and routing
// would flap. Other members still reach both, so neither may be suspected.
func TestOneWayCut(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for range 5 {
		opts := c.options("r1", "a")
		opts.Period = 3 * testPeriod
		nodes = append(nodes, c.start(opts))
	}
	waitAgreed(t, nodes)
	before := nodes[4].suspicions()
	c.testNetwork.oneWay(true, nodes[0], nodes[1])
	wait(t, func() poll.Result {
		if nodes[4].suspicions() > before {
			return poll.Success() // the check below fails
		}
		if nodes[0].traffic.indirect.Count() == 0 || nodes[1].traffic.indirect.Count() == 0 {
			return poll.Continue("not yet reached through helpers")
		}
		return poll.Success()
	})
	waitAgreed(t, nodes)
	assert.Equal(t, nodes[4].suspicions(), before)
}

// Guards against links that carry nothing any more, on both ends, and are kept because no error ends them.
func TestSilentLinksAreReplaced(t *testing.T) {
	c := newCluster(t)
	c.prepare = func(n *Node) {
		n.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return "", nil })
	}
	nodes := c.startMany(6, "r1", "a")
	waitAgreed(t, nodes)
	for range 3 {
		c.testNetwork.silenceOpen()
		wait(t, func() poll.Result {
			for _, from := range nodes {
				for _, to := range without(nodes, from) {
					if err := callSoon(t, from, to); err != nil {
						return poll.Continue("%s doesn't reach %s: %v", from.Self().PeerAddress, to.Self().PeerAddress, err)
					}
				}
			}
			return poll.Success()
		})
	}
	waitAgreed(t, nodes)
}

// Guards against replacing a link because of a ping that was sent when its time was already over.
func TestPingWithoutTimeLeftKeepsTheLink(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(2, "r1", "a")
	waitAgreed(t, nodes)
	over, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	for i, n := range nodes {
		other := string(nodes[1-i].Self().Incarnation)
		before, err := n.linkTo(t.Context(), other)
		assert.NilError(t, err)
		assert.Assert(t, !n.pingOver(over, before, nil))
		time.Sleep(5 * testPeriod) // longer than a replacement takes
		after, err := n.linkTo(t.Context(), other)
		assert.NilError(t, err)
		assert.Assert(t, after == before)
	}
}

func callSoon(t *testing.T, from, to *Node) error {
	ctx, cancel := context.WithTimeout(t.Context(), testPeriod)
	defer cancel()
	return from.Call(ctx, to.Self().Incarnation, "echo", nil, nil)
}

// The network of one zone is cut off and restored. Meanwhile each side works with the
// members that it reaches. Afterwards all must know each other again and hold what was
// published on either side, without intervention.
func TestZoneCutAndHeal(t *testing.T) {
	c := newCluster(t)
	lost := c.startMany(3, "r1", "a")
	rest := append(c.startMany(3, "r1", "b"), c.startMany(3, "r1", "c")...)
	all := append(append([]*Node{}, lost...), rest...)
	waitAgreed(t, all)
	c.testNetwork.set(true, lost, rest)
	waitAgreed(t, lost)
	waitAgreed(t, rest)
	assert.NilError(t, lost[0].Publish(TopicChange, "lost", 1, time.Minute, 1))
	assert.NilError(t, rest[0].Publish(TopicStop, "rest", 1, time.Minute, 1))
	c.testNetwork.set(false, lost, rest)
	waitAgreed(t, all)
	for _, n := range all {
		waitItems(t, n, TopicChange, 1)
		waitItems(t, n, TopicStop, 1)
	}
}

// Two regions lose each other for so long that each has forgotten the other's dead
// members, then reconnect. Each still finds the other through the VM list. If death
// claims received then were accepted as they are, each region would briefly consider
// its own members dead and refuse callers.
func TestLongRegionPartition(t *testing.T) {
	c := newCluster(t)
	start := func(region string) []*Node {
		var nodes []*Node
		for i := range 6 {
			opts := c.options(region, zoneName(i%2))
			opts.TombstoneTTL = 20 * testPeriod
			nodes = append(nodes, c.start(opts))
		}
		return nodes
	}
	west, east := start("west"), start("east")
	all := append(append([]*Node{}, west...), east...)
	waitAgreed(t, all)
	c.testNetwork.set(true, west, east)
	waitAgreed(t, west)
	waitAgreed(t, east)
	assert.NilError(t, west[0].Publish(TopicChange, "w", 1, time.Minute, 1))
	assert.NilError(t, east[0].Publish(TopicChange, "e", 1, time.Minute, 1))
	wait(t, func() poll.Result {
		if west[0].knows(east[0].Self().Incarnation) || east[5].knows(west[0].Self().Incarnation) {
			return poll.Continue("dead members are still remembered")
		}
		return poll.Success()
	})
	before := west[1].deaths() + east[1].deaths()
	c.testNetwork.set(false, west, east)
	waitAgreed(t, all)
	for _, n := range all {
		waitItems(t, n, TopicChange, 2)
	}
	assert.Equal(t, west[1].deaths()+east[1].deaths(), before)
}

// As above, but the regions reconnect while each still remembers the other's members
// as dead.
func TestShortRegionPartition(t *testing.T) {
	c := newCluster(t)
	west, east := c.startMany(5, "west", "a"), c.startMany(5, "east", "a")
	all := append(append([]*Node{}, west...), east...)
	waitAgreed(t, all)
	c.testNetwork.set(true, west, east)
	waitAgreed(t, west)
	waitAgreed(t, east)
	before := west[1].deaths() + east[1].deaths()
	c.testNetwork.set(false, west, east)
	waitAgreed(t, all)
	assert.Equal(t, west[1].deaths()+east[1].deaths(), before)
}

// All VMs are replaced one after another within a short time, each by a VM at another
// address, while the VM list lags behind. Published items must outlive every process
// that was running when they were published.
func TestRollingReplacement(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(5, "r1", "a")
	waitAgreed(t, nodes)
	assert.NilError(t, nodes[0].Publish(TopicStop, "stop", 1, time.Minute, 1))
	for i := range nodes {
		stale, _ := c.list(t.Context())
		fresh := c.start(c.options("r1", "a"))
		c.mu.Lock()
		c.seeds = stale // the VM list lags behind by one replacement
		c.mu.Unlock()
		waitItems(t, fresh, TopicStop, 1)
		nodes[i].Leave(t.Context())
		nodes[i] = fresh
		c.mu.Lock()
		c.seeds = append(c.seeds[1:], fresh.Self().PeerAddress)
		c.mu.Unlock()
	}
	waitAgreed(t, nodes)
	for _, n := range nodes {
		waitItems(t, n, TopicStop, 1)
	}
}

const childSeeds = "VANILLAGATE_TEST_CHILD_SEEDS"

// TestMain runs the child process of TestFreeze when the environment asks for it.
func TestMain(m *testing.M) {
	if seeds := os.Getenv(childSeeds); seeds != "" {
		runChild(strings.Split(seeds, ","))
		return
	}
	os.Exit(m.Run())
}

type childAnswer struct {
	Members []Member `json:"members"`
}

// runChild runs a node in a process of its own until its standard input ends.
func runChild(seeds []string) {
	child, err := New(Options{
		Self:   Member{Zone: "a", Region: "r1"},
		Listen: "127.0.0.1:0",
		Keys:   []string{testKey},
		Period: testPeriod,
		Seeds:  func(context.Context) ([]string, error) { return seeds, nil },
	})
	if err != nil {
		panic(err)
	}
	child.Handle("members", func(context.Context, json.RawMessage) (any, error) {
		return childAnswer{child.Members()}, nil
	})
	if err := child.Start(context.Background()); err != nil {
		panic(err)
	}
	_, _ = os.Stdout.WriteString(string(child.Self().Incarnation) + "\n")
	_, _ = bufio.NewReader(os.Stdin).ReadString('\n')
}

// A VM is paused for longer than the others remember dead members, and resumed. It still
// considers a process alive that died meanwhile. If it gossiped that, all would consider
// the dead process alive again and send calls to it. Instead it detects the freeze, drops
// its view and asks the others.
func TestFreeze(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for range 4 {
		opts := c.options("r1", "a")
		opts.TombstoneTTL = 30 * testPeriod
		nodes = append(nodes, withoutFreezeDetection(c.start(opts)))
	}
	waitAgreed(t, nodes)
	seeds, _ := c.list(t.Context())
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childSeeds+"="+strings.Join(seeds, ","))
	stdin, err := command.StdinPipe()
	assert.NilError(t, err)
	stdout, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = stdin.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	assert.NilError(t, err)
	child := Incarnation(strings.TrimSpace(line))
	waitState(t, nodes, child, Alive)
	waitChildKnows(t, nodes[0], child, 4)

	assert.NilError(t, command.Process.Signal(syscall.SIGSTOP))
	dead := nodes[3].Self().Incarnation
	crash(nodes[3])
	nodes = nodes[:3]
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if n.knows(dead) || n.knows(child) {
				return poll.Continue("dead members are still remembered")
			}
		}
		return poll.Success()
	})
	assert.NilError(t, command.Process.Signal(syscall.SIGCONT))
	waitState(t, nodes, child, Alive)
	waitChildKnows(t, nodes[0], child, 3)
	for _, n := range nodes {
		assert.Assert(t, !n.knows(dead), "the dead member came back")
	}
}

// A process is frozen in the middle of a handshake with a peer that dies meanwhile.
func TestHandshakeFromBeforeAFreezeIsDiscarded(t *testing.T) {
	dead := member.Record{ID: "dead", Start: 1, PeerAddress: "127.0.0.1:1", Zone: "a", Region: "r1"}
	keys := keyBytes([]string{testKey})
	asDialer := func(n *Node, ours, theirs net.Conn) {
		n.opts.Dial = func(context.Context, string) (net.Conn, error) { return ours, nil }
		n.tasks.Go(func() { _, _ = acceptHandshake(theirs, keys, dead) })
		_, _ = n.dial(n.ctx, dead.PeerAddress)
	}
	asAccepter := func(n *Node, ours, theirs net.Conn) {
		n.tasks.Go(func() { _, _ = dialHandshake(theirs, keys, dead) })
		n.acceptHandshake(ours)
	}
	detected := func(n *Node) { freeze(n, true) }
	notYetDetected := func(n *Node) { freeze(n, false) }
	cases := []struct {
		name      string
		handshake func(n *Node, ours, theirs net.Conn)
		during    func(n *Node) // between the last message and the end of the handshake
		known     bool
	}{
		{"dialer, no freeze", asDialer, func(*Node) {}, true},
		{"dialer, detected freeze", asDialer, detected, false},
		{"dialer, freeze not yet detected", asDialer, notYetDetected, false},
		{"accepter, no freeze", asAccepter, func(*Node) {}, true},
		{"accepter, detected freeze", asAccepter, detected, false},
		{"accepter, freeze not yet detected", asAccepter, notYetDetected, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := startIdleNode(t)
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			c.handshake(n, &handshakeConn{Conn: ours, onDone: func() { c.during(n) }}, theirs)
			assert.Equal(t, n.knows("dead"), c.known)
			assert.Equal(t, n.Links() == 1, c.known)
		})
	}
}

// Messages received before a freeze are read after it, also from a link that has been
// replaced. They must be ignored.
func TestMessagesFromBeforeAFreezeAreIgnored(t *testing.T) {
	peer := member.Record{ID: "peer", Start: 1, PeerAddress: "127.0.0.1:1", Zone: "a", Region: "r1"}
	dead := member.Record{ID: "dead", Start: 1, PeerAddress: "127.0.0.1:2", Zone: "a", Region: "r1"}
	n := startIdleNode(t)
	open := func() *link {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _ = theirs.Close() })
		n.tasks.Go(func() { _, _ = dialHandshake(theirs, keyBytes([]string{testKey}), peer) })
		n.acceptHandshake(ours)
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.links[peer.ID]
	}
	replaced, standing := open(), open()
	assert.Assert(t, replaced != standing)
	freeze(n, true)
	for _, l := range []*link{replaced, standing} {
		n.receive(l, message{Events: recordList(dead)})
		n.mergeExchange(l, recordList(dead), nil)
		assert.Assert(t, !n.knows("dead"), "the dead member came back")
	}
	n.receive(open(), message{Events: recordList(dead)})
	assert.Assert(t, n.knows("dead"), "messages of a new link are accepted")
}

// handshakeConn calls onDone when the handshake clears its deadline.
type handshakeConn struct {
	net.Conn
	onDone func()
}

func (c *handshakeConn) SetDeadline(limit time.Time) error {
	if limit.IsZero() {
		c.onDone()
	}
	return c.Conn.SetDeadline(limit)
}

// freeze makes a node find that it was frozen, at once or at its next check.
func freeze(n *Node, detected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detector.last.mono = n.detector.last.mono.Add(-2 * n.detector.limit)
	if detected {
		n.notFrozen(time.Now())
	}
}

// startIdleNode starts a node with a period so long that it won't tick again during the
// test.
func startIdleNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(Options{Self: Member{Zone: "a", Region: "r1"}, Listen: "127.0.0.1:0", Keys: []string{testKey}, Period: time.Hour})
	assert.NilError(t, err)
	assert.NilError(t, n.Start(t.Context()))
	t.Cleanup(n.Close)
	wait(t, func() poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.ticks == 0 {
			return poll.Continue("no tick yet")
		}
		return poll.Success()
	})
	return n
}

// withoutFreezeDetection keeps a node from taking a shortage of CPU for a freeze, which
// would make it forget its members too early.
func withoutFreezeDetection(n *Node) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.detector.limit = time.Hour
	return n
}

func waitState(t *testing.T, nodes []*Node, id Incarnation, state MemberState) {
	t.Helper()
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if !hasState(n.Members(), id, state) {
				return poll.Continue("not yet %s", state)
			}
		}
		return poll.Success()
	})
}

func hasState(members []Member, id Incarnation, state MemberState) bool {
	for _, m := range members {
		if m.Incarnation == id {
			return m.State == state
		}
	}
	return false
}

func waitChildKnows(t *testing.T, n *Node, child Incarnation, count int) {
	t.Helper()
	wait(t, func() poll.Result {
		var answer childAnswer
		if err := n.Call(t.Context(), child, "members", nil, &answer); err != nil || len(answer.Members) != count {
			return poll.Continue("child knows %d members, error %v", len(answer.Members), err)
		}
		return poll.Success()
	})
}
