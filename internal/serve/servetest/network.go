// Package servetest has models for tests of the serving core: a network of
// processes and pools of stage targets that live in memory, so that a load can
// be played in virtual time.
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

// Cluster is the processes of a system. The zero value is empty.
type Cluster struct {
	// Delay of a message one way.
	Delay time.Duration

	mu    sync.Mutex // guards nodes and their states
	nodes []*Node
	// version grows with every change of them.
	version uint64
	// published and calls count what processes told each other.
	published int
	calls     int
}

type handler = func(context.Context, json.RawMessage) (any, error)

// Node is one process's side of the network. It implements peer.Network.
type Node struct {
	cluster  *Cluster
	self     peer.Member
	handlers map[string]handler
	// subscribed are the functions to call with published items.
	subscribed map[peer.Topic][]func(peer.Item)
	state      peer.MemberState
	// silent nodes take messages and never answer, as a frozen process does.
	silent bool
	// dead nodes refuse connections.
	dead bool
	// rate of its link in bytes a second, 0 for one without bound; free is when it has
	// sent all that was to be sent.
	rate int
	free time.Time
	// view was made of the cluster's version viewed.
	view   *peer.View
	viewed uint64
}

var _ peer.Network = (*Node)(nil)

// Add adds a process.
func (c *Cluster) Add(name, zone string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &Node{
		cluster: c, state: peer.Alive, handlers: map[string]handler{}, subscribed: map[peer.Topic][]func(peer.Item){},
		self: peer.Member{Incarnation: peer.Incarnation(name), PeerAddress: name, Zone: zone, State: peer.Alive},
	}
	c.nodes = append(c.nodes, n)
	c.version++
	return n
}

// Freeze makes a process silent while its peers still take it for alive.
func (n *Node) Freeze() { n.set(func() { n.silent = true }) }

// Thaw lets a frozen process answer again.
func (n *Node) Thaw() { n.set(func() { n.silent = false }) }

// Kill ends a process; its peers learn of it at once.
func (n *Node) Kill() {
	n.set(func() {
		n.dead = true
		n.state = peer.Dead
	})
}

// SetSendRate bounds what the process sends, in bytes a second. What is to be sent waits in a
// queue.
func (n *Node) SetSendRate(rate int) { n.set(func() { n.rate = rate }) }

// SetCPUPercent sets the VM's share of a core, in percent.
func (n *Node) SetCPUPercent(power int) { n.set(func() { n.self.CPUPercent = power }) }

// queue puts a message into the sender's queue and gives the time until it is there.
func (n *Node) queue(bytes int) time.Duration {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.rate == 0 {
		return n.cluster.Delay
	}
	now := time.Now()
	if n.free.Before(now) {
		n.free = now
	}
	n.free = n.free.Add(time.Duration(float64(bytes) / float64(n.rate) * float64(time.Second)))
	return n.free.Sub(now) + n.cluster.Delay
}

// Running tells whether the process wasn't killed.
func (n *Node) Running() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.dead
}

func (n *Node) set(change func()) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	change()
	n.cluster.version++
}

// Self is this process.
func (n *Node) Self() peer.Member { return n.self }

// Members lists the other processes that aren't dead.
func (n *Node) Members() []peer.Member { return slices.Clone(n.View().Members) }

// View is part of peer.Network.
func (n *Node) View() *peer.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.view == nil || n.viewed != n.cluster.version {
		n.view = &peer.View{Self: n.self, Members: n.others()}
		n.viewed = n.cluster.version
	}
	return n.view
}

// others lists the other processes that aren't dead. The caller holds the
// cluster's mu.
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

// Publish hands an item to the subscribers at all other processes that live.
func (n *Node) Publish(topic peer.Topic, key string, version uint64, ttl time.Duration, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	item := peer.Item{Topic: topic, Origin: n.self.Incarnation, Key: key, Version: version, TTL: ttl, Body: encoded}
	for _, hear := range n.cluster.subscribers(topic, n) {
		hear(item)
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
			list = append(list, n.subscribed[topic]...)
		}
	}
	return list
}

// PublishedCount counts the items that all processes have published.
func (c *Cluster) PublishedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.published
}

// CallCount counts the calls between processes.
func (c *Cluster) CallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Items is always empty.
func (n *Node) Items(peer.Topic) []peer.Item { return nil }

// Subscribe has fn called with the items of a topic that others publish.
func (n *Node) Subscribe(topic peer.Topic, fn func(peer.Item)) {
	n.set(func() { n.subscribed[topic] = append(n.subscribed[topic], fn) })
}

// Handle answers calls of a method.
func (n *Node) Handle(method string, fn func(context.Context, json.RawMessage) (any, error)) {
	n.set(func() { n.handlers[method] = fn })
}

var errDead = errors.New("connection refused")

// Call asks one process.
func (n *Node) Call(ctx context.Context, to peer.Incarnation, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if err := sleep(ctx, n.queue(len(data))); err != nil {
		return err
	}
	other, handle, silent := n.cluster.find(to, method)
	if handle == nil {
		return errDead
	}
	if silent {
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
	if err := sleep(ctx, other.queue(len(data))); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// find gives a process and what answers a method there; nil where nothing does.
func (c *Cluster) find(id peer.Incarnation, method string) (node *Node, handle handler, silent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, n := range c.nodes {
		if n.self.Incarnation == id && !n.dead {
			return n, n.handlers[method], n.silent
		}
	}
	return nil, nil, false
}

// sleep waits for a time. No time is no timer: one that is due when its channel
// is read runs in the reader's goroutine, and in virtual time all goroutines
// that do so, and the clock, use one context of the race detector. Two at once
// break it: the test ends in a failed check of ThreadSanitizer or a
// segmentation fault, without a race and without the test's name.
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
