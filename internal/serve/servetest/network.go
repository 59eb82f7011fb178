// Package servetest has in-memory models for tests of the serving core: a network of
// processes, and stage targets. With them, a test can simulate load in virtual time.
package servetest

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/peer"
)

// Cluster is a simulated network of processes. The zero value is an empty network.
type Cluster struct {
	// Delay is the one-way latency of a message.
	Delay time.Duration

	mu    sync.Mutex // guards nodes, their states and the counters
	nodes []*Node
	// version is incremented by every change of a node.
	version uint64
	// published and calls count the published items and the calls between processes.
	published int
	calls     int
}

type handler = func(context.Context, json.RawMessage) (any, error)

// Node is one simulated process and its access to the network. It implements peer.Network.
type Node struct {
	cluster  *Cluster
	self     peer.Member
	handlers map[string]handler
	// subscriptions are the functions to call with published items, by topic.
	subscriptions map[peer.Topic][]func(peer.Item)
	state         peer.MemberState
	// frozen nodes receive messages and never answer.
	frozen bool
	// dead nodes refuse connections. stale ones don't know the others.
	dead, stale bool
	// sendRate is the bandwidth of the node's link in bytes per second, 0 for no limit.
	// linkFreeAt is when all queued messages have been sent.
	sendRate   int
	linkFreeAt time.Time
	// view caches the members as of version viewVersion of the cluster.
	view        *peer.View
	viewVersion uint64
}

var _ peer.Network = (*Node)(nil)

// Add adds a process to the network.
func (c *Cluster) Add(name, zone string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &Node{
		cluster: c, state: peer.Alive, handlers: map[string]handler{}, subscriptions: map[peer.Topic][]func(peer.Item){},
		self: peer.Member{Incarnation: peer.Incarnation(name), PeerAddress: name, CallerAddress: name + "-callers", Zone: zone, State: peer.Alive},
	}
	c.nodes = append(c.nodes, n)
	c.version++
	return n
}

// Size returns the number of processes that were added.
func (c *Cluster) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.nodes)
}

// Freeze stops a process from answering; its peers still consider it alive.
func (n *Node) Freeze() { n.update(func() { n.frozen = true }) }

// Thaw lets a frozen process answer again.
func (n *Node) Thaw() { n.update(func() { n.frozen = false }) }

// Kill ends a process; its peers learn of it at once.
func (n *Node) Kill() {
	n.update(func() {
		n.dead = true
		n.state = peer.Dead
	})
}

// SetStale has the process not know the others, as after a standstill, or know them again.
func (n *Node) SetStale(stale bool) { n.update(func() { n.stale = stale }) }

// Stale implements peer.Network.
func (n *Node) Stale() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.stale
}

// SetSendRate limits the bandwidth at which the process sends, in bytes per second. Messages
// above the limit are queued.
func (n *Node) SetSendRate(sendRate int) { n.update(func() { n.sendRate = sendRate }) }

// SetCPUPercent sets the VM's share of one core, in percent.
func (n *Node) SetCPUPercent(percent int) { n.update(func() { n.self.CPUPercent = percent }) }

// enqueue adds a message to the sender's queue and returns the time until it is delivered.
func (n *Node) enqueue(bytes int) time.Duration {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.sendRate == 0 {
		return n.cluster.Delay
	}
	now := time.Now()
	if n.linkFreeAt.Before(now) {
		n.linkFreeAt = now
	}
	n.linkFreeAt = n.linkFreeAt.Add(time.Duration(float64(bytes) / float64(n.sendRate) * float64(time.Second)))
	return n.linkFreeAt.Sub(now) + n.cluster.Delay
}

// Running reports whether the process hasn't been killed.
func (n *Node) Running() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.dead
}

func (n *Node) update(change func()) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	change()
	n.cluster.version++
}

// Self returns this process.
func (n *Node) Self() peer.Member { return n.self }

// Members lists the other processes that aren't dead.
func (n *Node) Members() []peer.Member { return slices.Clone(n.View().Members) }

// View returns this process and its peers; it implements peer.Network.
func (n *Node) View() *peer.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.view == nil || n.viewVersion != n.cluster.version {
		n.view = &peer.View{Self: n.self}
		if !n.stale {
			n.view.Members = n.others()
		}
		n.viewVersion = n.cluster.version
	}
	return n.view
}

// others lists the other processes that aren't dead. The caller holds cluster.mu.
func (n *Node) others() []peer.Member {
	var list []peer.Member
	for _, other := range n.cluster.nodes {
		if other != n && other.state != peer.Dead {
			m := other.self
			m.State = other.state
			list = append(list, m)
		}
	}
	return list
}

// Publish passes an item to the subscribers of all other live processes.
func (n *Node) Publish(topic peer.Topic, key string, version uint64, ttl time.Duration, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	item := peer.Item{Topic: topic, Origin: n.self.Incarnation, Key: key, Version: version, TTL: ttl, Body: encoded}
	for _, deliver := range n.cluster.subscribers(topic, n) {
		deliver(item)
	}
	return nil
}

func (c *Cluster) subscribers(topic peer.Topic, except *Node) []func(peer.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.published++
	var list []func(peer.Item)
	for _, n := range c.nodes {
		if n != except && !n.dead {
			list = append(list, n.subscriptions[topic]...)
		}
	}
	return list
}

// PublishedCount returns how many items all processes have published.
func (c *Cluster) PublishedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.published
}

// CallCount returns how many calls the processes have made.
func (c *Cluster) CallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Items always returns nil: the model doesn't store items.
func (n *Node) Items(peer.Topic) []peer.Item { return nil }

// Subscribe registers fn to be called with the items of a topic that others publish.
func (n *Node) Subscribe(topic peer.Topic, fn func(peer.Item)) {
	n.update(func() { n.subscriptions[topic] = append(n.subscriptions[topic], fn) })
}

// Handle registers fn to answer calls of a method.
func (n *Node) Handle(method string, fn func(context.Context, json.RawMessage) (any, error)) {
	n.update(func() { n.handlers[method] = fn })
}

var errConnectionRefused = errors.New("connection refused")

// Call calls a method of another process.
func (n *Node) Call(ctx context.Context, to peer.Incarnation, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if err := sleep(ctx, n.enqueue(len(data))); err != nil {
		return err
	}
	other, handle, frozen := n.cluster.findHandler(to, method)
	if handle == nil {
		return errConnectionRefused
	}
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	answer, err := handle(ctx, data)
	if err != nil {
		return err
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	if err := sleep(ctx, other.enqueue(len(data))); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// findHandler returns a process and its handler of a method; nil if there is none.
func (c *Cluster) findHandler(id peer.Incarnation, method string) (node *Node, handle handler, frozen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, n := range c.nodes {
		if n.self.Incarnation == id && !n.dead {
			return n, n.handlers[method], n.frozen
		}
	}
	return nil, nil, false
}

// sleep waits for d or the end of ctx. It uses no timer if d isn't positive. A timer that is
// already due when its channel is read fires in the goroutine that reads it, and in virtual
// time (synctest) all such goroutines and the clock share one context of the race detector.
// Two of them at once corrupt it: the test ends in a failed ThreadSanitizer check or a
// segmentation fault, without a reported race and without the name of the test.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
