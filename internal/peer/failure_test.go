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

// A VM is taken out of use for maintenance. If it just went, the others would
// suspect it first and callers would be sent to it meanwhile. It says that it
// goes, so the others know without
// suspecting it.
func TestPlannedLeave(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(5, "r1", "a")
	waitAgreed(t, nodes)
	before := nodes[1].suspicions()
	nodes[0].Leave(t.Context())
	gone := nodes[0].Self().Incarnation
	wait(t, func() poll.Result {
		for _, n := range nodes[1:] {
			if !holds(n.Members(), gone, Leaving) && n.deaths() == 0 {
				return poll.Continue("not yet known to leave")
			}
		}
		return poll.Success()
	})
	waitAgreed(t, nodes[1:])
	assert.Equal(t, nodes[1].suspicions(), before)
}

// A process is killed. Its connections end, but a connection may also end
// for other reasons, so the others ask for it before they hold it dead. An
// operator sees it leave the list of members within seconds.
func TestCrash(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(6, "r1", "a")
	waitAgreed(t, nodes)
	crash(nodes[2])
	waitAgreed(t, without(nodes, nodes[2]))
}

// A VM is replaced and the new one gets the same address. Whoever takes it
// for the old one sends it calls that belong to a process that is gone, and
// holds its items to be older versions of the old one's. The new incarnation
// is known by its own name, and its coming is the old one's death.
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

// The clock of a replaced VM ran ahead, so the new VM at its address seems to
// have started before it and would be held dead by all for as long as they
// remember the old one. The new one notices and claims a later start.
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
	nodes[1].learn(recordList(record), nil, time.Now())
	nodes[1].mu.Unlock()
	opts := c.options("r1", "a")
	opts.Listen = old.Self().PeerAddress
	nodes[0] = c.start(opts)
	waitAgreed(t, nodes)
}

// A firewall rule loses all that one VM sends to another, and nothing else.
// By itself each would hold the other dead, tell all, and be contradicted
// again and again; routing would flap with it. Others still reach both, so
// neither is suspected.
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
	c.wires.oneWay(true, nodes[0], nodes[1])
	wait(t, func() poll.Result {
		if nodes[4].suspicions() > before {
			return poll.Success() // and the check below fails
		}
		if nodes[0].traffic.indirect.Count() == 0 || nodes[1].traffic.indirect.Count() == 0 {
			return poll.Continue("not yet reached by others")
		}
		return poll.Success()
	})
	waitAgreed(t, nodes)
	assert.Equal(t, nodes[4].suspicions(), before)
}

// The network of one zone is cut off and comes back. While it is, each side
// serves with those it reaches; afterwards all know each other again and hold
// what was published on either side, without anybody doing anything.
func TestZoneCutAndHeal(t *testing.T) {
	c := newCluster(t)
	lost := c.startMany(3, "r1", "a")
	rest := append(c.startMany(3, "r1", "b"), c.startMany(3, "r1", "c")...)
	all := append(append([]*Node{}, lost...), rest...)
	waitAgreed(t, all)
	c.wires.set(true, lost, rest)
	waitAgreed(t, lost)
	waitAgreed(t, rest)
	assert.NilError(t, lost[0].Publish(TopicChange, "lost", 1, time.Minute, 1))
	assert.NilError(t, rest[0].Publish(TopicStop, "rest", 1, time.Minute, 1))
	c.wires.set(false, lost, rest)
	waitAgreed(t, all)
	for _, n := range all {
		waitItems(t, n, TopicChange, 1)
		waitItems(t, n, TopicStop, 1)
	}
}

// Two regions lose each other for so long that each has even forgotten that
// the other's members died, then meet again. Each still finds the other by
// the VM list. If the claims of death that come along were taken at their
// word, each region would for a moment hold its own members dead and refuse
// callers.
func TestRegionsPartAndMeet(t *testing.T) {
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
	c.wires.set(true, west, east)
	waitAgreed(t, west)
	waitAgreed(t, east)
	assert.NilError(t, west[0].Publish(TopicChange, "w", 1, time.Minute, 1))
	assert.NilError(t, east[0].Publish(TopicChange, "e", 1, time.Minute, 1))
	wait(t, func() poll.Result {
		if west[0].knows(east[0].Self().Incarnation) || east[5].knows(west[0].Self().Incarnation) {
			return poll.Continue("the dead are still remembered")
		}
		return poll.Success()
	})
	before := west[1].deaths() + east[1].deaths()
	c.wires.set(false, west, east)
	waitAgreed(t, all)
	for _, n := range all {
		waitItems(t, n, TopicChange, 2)
	}
	assert.Equal(t, west[1].deaths()+east[1].deaths(), before)
}

// As above, but the regions meet while each still remembers the other's
// members as dead.
func TestRegionsMeetWhileTheDeadAreRemembered(t *testing.T) {
	c := newCluster(t)
	west, east := c.startMany(5, "west", "a"), c.startMany(5, "east", "a")
	all := append(append([]*Node{}, west...), east...)
	waitAgreed(t, all)
	c.wires.set(true, west, east)
	waitAgreed(t, west)
	waitAgreed(t, east)
	before := west[1].deaths() + east[1].deaths()
	c.wires.set(false, west, east)
	waitAgreed(t, all)
	assert.Equal(t, west[1].deaths()+east[1].deaths(), before)
}

// All VMs are replaced one after another within a short time, each new one at
// another address, while the VM list still shows what was true a while ago.
// What was published before must outlive every process that saw it published.
func TestAllReplacedOneAfterAnother(t *testing.T) {
	c := newCluster(t)
	nodes := c.startMany(5, "r1", "a")
	waitAgreed(t, nodes)
	assert.NilError(t, nodes[0].Publish(TopicStop, "stop", 1, time.Minute, 1))
	for i := range nodes {
		stale, _ := c.list(t.Context())
		fresh := c.start(c.options("r1", "a"))
		c.mu.Lock()
		c.seeds = stale // the list lags behind by one replacement
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

// TestMain runs the child process of TestFreeze when asked to.
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

// runChild is a node in a process of its own, until its standard input ends.
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

// A VM is paused for longer than the others remember the dead, and resumed.
// It still believes that a process lives that died meanwhile. If it spread
// that, the dead process would come back to life in everybody's view and
// calls would be sent to it. The process notices that it stood still, forgets
// what it believed and asks the others.
func TestFreeze(t *testing.T) {
	c := newCluster(t)
	var nodes []*Node
	for range 4 {
		opts := c.options("r1", "a")
		opts.TombstoneTTL = 30 * testPeriod
		nodes = append(nodes, steady(c.start(opts)))
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
				return poll.Continue("the dead are still remembered")
			}
		}
		return poll.Success()
	})
	assert.NilError(t, command.Process.Signal(syscall.SIGCONT))
	waitState(t, nodes, child, Alive)
	waitChildKnows(t, nodes[0], child, 3)
	for _, n := range nodes {
		assert.Assert(t, !n.knows(dead), "the dead came back")
	}
}

// A process is frozen in the middle of a handshake with one that dies meanwhile.
func TestAHandshakeFromBeforeAFreezeBringsNoDeadMemberBack(t *testing.T) {
	dead := member.Record{ID: "dead", Start: 1, PeerAddr: "127.0.0.1:1", Zone: "a", Region: "r1"}
	keys := keyBytes([]string{testKey})
	dials := func(n *Node, ours, theirs net.Conn) {
		n.opts.Dial = func(context.Context, string) (net.Conn, error) { return ours, nil }
		n.tasks.Go(func() { _, _ = welcome(theirs, keys, dead) })
		_, _ = n.dial(n.ctx, dead.PeerAddr)
	}
	isDialed := func(n *Node, ours, theirs net.Conn) {
		n.tasks.Go(func() { _, _ = greet(theirs, keys, dead) })
		n.welcome(ours)
	}
	noticed := func(n *Node) { freeze(n, true) }
	notYetNoticed := func(n *Node) { freeze(n, false) }
	cases := []struct {
		name      string
		handshake func(n *Node, ours, theirs net.Conn)
		happens   func(n *Node) // between the last message and the end
		known     bool
	}{
		{"dialer, no freeze", dials, func(*Node) {}, true},
		{"dialer, freeze that was noticed", dials, noticed, false},
		{"dialer, freeze not yet noticed", dials, notYetNoticed, false},
		{"accepter, no freeze", isDialed, func(*Node) {}, true},
		{"accepter, freeze that was noticed", isDialed, noticed, false},
		{"accepter, freeze not yet noticed", isDialed, notYetNoticed, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := unbeaten(t)
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			c.handshake(n, &shakenConn{Conn: ours, shaken: func() { c.happens(n) }}, theirs)
			assert.Equal(t, n.knows("dead"), c.known)
			assert.Equal(t, n.Links() == 1, c.known)
		})
	}
}

// What came before a freeze is read after it, also from a link that another has replaced.
func TestAMessageFromBeforeAFreezeBringsNoDeadMemberBack(t *testing.T) {
	peer := member.Record{ID: "peer", Start: 1, PeerAddr: "127.0.0.1:1", Zone: "a", Region: "r1"}
	dead := member.Record{ID: "dead", Start: 1, PeerAddr: "127.0.0.1:2", Zone: "a", Region: "r1"}
	n := unbeaten(t)
	open := func() *link {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _ = theirs.Close() })
		n.tasks.Go(func() { _, _ = greet(theirs, keyBytes([]string{testKey}), peer) })
		n.welcome(ours)
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.links[peer.ID]
	}
	replaced, standing := open(), open()
	assert.Assert(t, replaced != standing)
	freeze(n, true)
	for _, l := range []*link{replaced, standing} {
		n.receive(l, message{Events: recordList(dead)})
		n.takeAll(l, recordList(dead), nil)
		assert.Assert(t, !n.knows("dead"), "the dead came back")
	}
	n.receive(open(), message{Events: recordList(dead)})
	assert.Assert(t, n.knows("dead"), "a new link is heard")
}

// shakenConn calls shaken when the time limit of the handshake is lifted.
type shakenConn struct {
	net.Conn
	shaken func()
}

func (c *shakenConn) SetDeadline(limit time.Time) error {
	if limit.IsZero() {
		c.shaken()
	}
	return c.Conn.SetDeadline(limit)
}

// freeze has a node find that it stood still, at once or the next time that it asks.
func freeze(n *Node, noticed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clock.last.mono = n.clock.last.mono.Add(-2 * n.clock.limit)
	if noticed {
		n.awake(time.Now())
	}
}

// unbeaten starts a node whose next beat comes after the test.
func unbeaten(t *testing.T) *Node {
	t.Helper()
	n, err := New(Options{Self: Member{Zone: "a", Region: "r1"}, Listen: "127.0.0.1:0", Keys: []string{testKey}, Period: time.Hour})
	assert.NilError(t, err)
	assert.NilError(t, n.Start(t.Context()))
	t.Cleanup(n.Close)
	wait(t, func() poll.Result {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.beats == 0 {
			return poll.Continue("no beat yet")
		}
		return poll.Success()
	})
	return n
}

// steady keeps a node from taking a shortage of CPU for a freeze, upon which it
// would forget its members before their time.
func steady(n *Node) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clock.limit = time.Hour
	return n
}

func waitState(t *testing.T, nodes []*Node, id Incarnation, state MemberState) {
	t.Helper()
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if !holds(n.Members(), id, state) {
				return poll.Continue("not yet %s", state)
			}
		}
		return poll.Success()
	})
}

func holds(members []Member, id Incarnation, state MemberState) bool {
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
			return poll.Continue("child knows %d, %v", len(answer.Members), err)
		}
		return poll.Success()
	})
}
