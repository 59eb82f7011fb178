package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillagate/vanillagate/internal/member"
)

const (
	testKey    = "a shared key of the tests"
	testPeriod = 40 * time.Millisecond
	// slowPeriod leaves enough time for many nodes under the race detector.
	slowPeriod = 300 * time.Millisecond
)

// testNetwork is the network between the nodes of a test. It can drop what one
// address sends to another.
type testNetwork struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
	// silences counts the calls of silenceOpen. Connections opened before the last one are
	// silent.
	silences int
}

// silenceOpen makes all open connections drop all data for good, without an error.
func (w *testNetwork) silenceOpen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silences++
}

func (w *testNetwork) silenceCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silences
}

func (w *testNetwork) cut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

// set cuts or restores all traffic between two sets of nodes, in both directions.
func (w *testNetwork) set(cut bool, as, bs []*Node) {
	for _, a := range as {
		for _, b := range bs {
			w.oneWay(cut, a, b)
			w.oneWay(cut, b, a)
		}
	}
}

func (w *testNetwork) oneWay(cut bool, from, to *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from.Self().PeerAddress, to.Self().PeerAddress}] = cut
}

// dialer returns the dial function of a node. If either direction is cut, the SYN or
// its answer is lost, so the dial hangs until the context ends.
func (w *testNetwork) dialer(from func() string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if w.cut(from(), to) || w.cut(to, from()) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		silences := w.silenceCount()
		conn, err := dialTCP(ctx, to)
		return &testConn{Conn: conn, testNetwork: w, from: from(), to: to, silences: silences}, err
	}
}

// testConn is the dialer's end of a connection.
type testConn struct {
	net.Conn
	testNetwork *testNetwork
	from, to    string
	silences    int // testNetwork.silences when the connection was opened
}

func (w *testConn) silent() bool { return w.testNetwork.silenceCount() > w.silences }

func (w *testConn) Write(data []byte) (int, error) {
	if w.silent() || w.testNetwork.cut(w.from, w.to) {
		return len(data), nil
	}
	return w.Conn.Write(data)
}

func (w *testConn) Read(data []byte) (int, error) {
	for {
		n, err := w.Conn.Read(data)
		if err != nil || !w.silent() && !w.testNetwork.cut(w.to, w.from) {
			return n, err
		}
	}
}

// cluster is a set of nodes in one process that are connected by real TCP.
type cluster struct {
	t           *testing.T
	testNetwork *testNetwork
	mu          sync.Mutex
	seeds       []string // the VM list
	nodes       []*Node
	// prepare, if set, is called with each new node before it starts.
	prepare func(*Node)
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, testNetwork: &testNetwork{cuts: map[[2]string]bool{}}}
}

func (c *cluster) list(context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.seeds...), nil
}

func (c *cluster) options(region, zone string) Options {
	return Options{
		Self:   Member{Zone: zone, Region: region},
		Listen: "127.0.0.1:0",
		Keys:   []string{testKey},
		Seeds:  c.list,
		Period: testPeriod,
	}
}

// start starts a node and adds its address to the VM list.
func (c *cluster) start(opts Options) *Node {
	c.t.Helper()
	var n *Node
	opts.Dial = c.testNetwork.dialer(func() string { return n.Self().PeerAddress })
	n, err := New(opts)
	assert.NilError(c.t, err)
	if c.prepare != nil {
		c.prepare(n)
	}
	assert.NilError(c.t, n.Start(context.Background()))
	c.t.Cleanup(n.Close)
	c.addSeed(n)
	return n
}

// addSeed adds a node's address to the VM list.
func (c *cluster) addSeed(n *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = append(c.seeds, n.Self().PeerAddress)
	c.nodes = append(c.nodes, n)
}

func (c *cluster) startMany(count int, region, zone string) []*Node {
	var nodes []*Node
	for range count {
		nodes = append(nodes, c.start(c.options(region, zone)))
	}
	return nodes
}

// checkMembers checks that a node considers exactly the given others alive.
func checkMembers(n *Node, others []*Node) poll.Result {
	states := map[Incarnation]MemberState{}
	for _, m := range n.Members() {
		states[m.Incarnation] = m.State
	}
	expected := 0
	for _, other := range others {
		if other == n {
			continue
		}
		expected++
		if state := states[other.Self().Incarnation]; state != Alive {
			return poll.Continue("%s considers %s %q, expected alive", n.Self().PeerAddress, other.Self().PeerAddress, state)
		}
	}
	if len(states) != expected {
		return poll.Continue("%s knows %d members, expected %d", n.Self().PeerAddress, len(states), expected)
	}
	return poll.Success()
}

// waitAgreed waits until every node considers exactly all the others alive.
func waitAgreed(t *testing.T, nodes []*Node) {
	t.Helper()
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if result := checkMembers(n, nodes); !result.Done() {
				return result
			}
		}
		return poll.Success()
	})
}

func wait(t *testing.T, check func() poll.Result) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return check() }, poll.WithTimeout(60*time.Second), poll.WithDelay(5*time.Millisecond))
}

func waitItems(t *testing.T, n *Node, topic Topic, count int) {
	t.Helper()
	wait(t, func() poll.Result {
		if got := len(n.Items(topic)); got != count {
			return poll.Continue("%s has %d items of %s, expected %d", n.Self().PeerAddress, got, topic, count)
		}
		return poll.Success()
	})
}

// crash stops a node without announcing that it leaves.
func crash(n *Node) { n.Close() }

// deaths counts how often a node has considered a member dead.
func (n *Node) deaths() int64 { return n.traffic.changes[member.Dead].Count() }

func (n *Node) suspicions() int64 { return n.traffic.changes[member.Suspect].Count() }

// knows reports whether a node has a record of an incarnation, even a dead one.
func (n *Node) knows(id Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, found := n.table.Get(string(id))
	return found
}

func without(nodes []*Node, gone *Node) []*Node {
	var rest []*Node
	for _, n := range nodes {
		if n != gone {
			rest = append(rest, n)
		}
	}
	return rest
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

func recordList(records ...member.Record) []member.Record { return records }
