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
	// slowPeriod leaves the race detector time for many nodes.
	slowPeriod = 300 * time.Millisecond
)

// wires is the network between the nodes of a test: it can lose what one
// address sends to another.
type wires struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
}

func (w *wires) cut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

// set loses or lets through all between two sets of nodes, both ways.
func (w *wires) set(cut bool, as, bs []*Node) {
	for _, a := range as {
		for _, b := range bs {
			w.oneWay(cut, a, b)
			w.oneWay(cut, b, a)
		}
	}
}

func (w *wires) oneWay(cut bool, from, to *Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from.Self().PeerAddress, to.Self().PeerAddress}] = cut
}

// dialer opens connections of a node; the SYN to or the answer from a cut
// address is lost, so opening hangs.
func (w *wires) dialer(from func() string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if w.cut(from(), to) || w.cut(to, from()) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dialTCP(ctx, to)
		return &wire{Conn: conn, wires: w, from: from(), to: to}, err
	}
}

// wire is the dialer's end of a connection.
type wire struct {
	net.Conn
	wires    *wires
	from, to string
}

func (w *wire) Write(data []byte) (int, error) {
	if w.wires.cut(w.from, w.to) {
		return len(data), nil
	}
	return w.Conn.Write(data)
}

func (w *wire) Read(data []byte) (int, error) {
	for {
		n, err := w.Conn.Read(data)
		if err != nil || !w.wires.cut(w.to, w.from) {
			return n, err
		}
	}
}

// cluster is several nodes in one process with real TCP between them.
type cluster struct {
	t     *testing.T
	wires *wires
	mu    sync.Mutex
	seeds []string // the VM list
	nodes []*Node
}

func newCluster(t *testing.T) *cluster {
	return &cluster{t: t, wires: &wires{cuts: map[[2]string]bool{}}}
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

// start runs a node and puts its address on the VM list.
func (c *cluster) start(opts Options) *Node {
	c.t.Helper()
	var n *Node
	opts.Dial = c.wires.dialer(func() string { return n.Self().PeerAddress })
	n, err := New(opts)
	assert.NilError(c.t, err)
	assert.NilError(c.t, n.Start(context.Background()))
	c.t.Cleanup(n.Close)
	c.know(n)
	return n
}

// know puts a node's address on the VM list.
func (c *cluster) know(n *Node) {
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

// believes checks that a node holds exactly the others alive.
func believes(n *Node, others []*Node) poll.Result {
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
			return poll.Continue("%s holds %s %q", n.Self().PeerAddress, other.Self().PeerAddress, state)
		}
	}
	if len(states) != expected {
		return poll.Continue("%s holds %d alive, expected %d", n.Self().PeerAddress, len(states), expected)
	}
	return poll.Success()
}

// waitAgreed waits until all nodes hold exactly each other alive.
func waitAgreed(t *testing.T, nodes []*Node) {
	t.Helper()
	wait(t, func() poll.Result {
		for _, n := range nodes {
			if result := believes(n, nodes); !result.Done() {
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

// crash ends a node without a word.
func crash(n *Node) { n.Close() }

// deaths counts how often a node came to hold a member dead.
func (n *Node) deaths() int64 { return n.traffic.changes[member.Dead].Count() }

func (n *Node) suspicions() int64 { return n.traffic.changes[member.Suspect].Count() }

// knows tells whether a node remembers an incarnation, be it as dead.
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
