package peer

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultPacedBytesPerSecond is the default of Options.Pace in bytes per second.
const DefaultPacedBytesPerSecond = 2000

// pacedTopics are the topics that every process publishes continuously, so that the load
// on each process grows with the number of processes. The more processes there are, the
// less often their items are sent; a waiting version is replaced by the next one.
var pacedTopics = map[Topic]bool{TopicDemand: true, TopicInForce: true}

// pacedLifetimes is the minimum TTL of a paced item in publish intervals, so that a lost
// version doesn't leave a gap.
const pacedLifetimes = 3

// pacedItem is the state of one paced item of this process.
type pacedItem struct {
	sent    time.Time
	waiting *Item
}

// pacedInterval returns the minimum time between two versions of an item with which all
// processes together stay within the byte rate at each process.
func pacedInterval(processes, itemBytes int, bytesPerSecond float64) time.Duration {
	return time.Duration(float64(processes*itemBytes) / bytesPerSecond * float64(time.Second))
}

// Publish implements Network.
func (n *Node) Publish(topic Topic, key string, version uint64, ttl time.Duration, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "encode item")
	}
	if len(data) > MaxItemBytes {
		return ErrItemTooLarge
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	item := Item{Topic: topic, Origin: Incarnation(n.table.Self().ID), Key: key, Version: version, TTL: ttl, Body: data}
	if !pacedTopics[topic] {
		return n.publish(item)
	}
	return n.publishPaced(item, time.Now())
}

// publish stores and pushes an item at once. The caller holds mu.
func (n *Node) publish(item Item) error {
	fresh := n.store.put(item, time.Now())
	if fresh == nil {
		return ErrVersionNotNewer
	}
	n.push(fresh, nil)
	return nil
}

// publishPaced publishes an item as soon as the interval since its last version has
// passed. The caller holds mu.
func (n *Node) publishPaced(item Item, now time.Time) error {
	id := itemID{item.Topic, itemHash(item.Origin, item.Key)}
	state := n.pacing[id]
	if state == nil {
		state = &pacedItem{}
		n.pacing[id] = state
		// The first version waits for a random part of the interval: processes that
		// start together would otherwise all publish at once.
		state.sent = now.Add(-time.Duration(rand.Float64() * float64(n.intervalOf(item))))
	}
	if held, found := n.store.version(item.Topic, id.hash); found && held >= item.Version {
		return ErrVersionNotNewer
	}
	interval := n.intervalOf(item)
	item.TTL = max(item.TTL, pacedLifetimes*interval)
	if now.Sub(state.sent) < interval {
		state.waiting = &item
		return nil
	}
	state.sent, state.waiting = now, nil
	return n.publish(item)
}

func (n *Node) intervalOf(item Item) time.Duration {
	processes := n.linkPlan.members + 1
	keys := max(1, len(n.pacing))
	return pacedInterval(processes, keys*toWire(item).size(), n.opts.PacedBytesPerSecond)
}

// publishDue publishes the paced items that are due. The caller holds mu.
func (n *Node) publishDue(now time.Time) {
	for _, state := range n.pacing {
		if state.waiting == nil || now.Sub(state.sent) < n.intervalOf(*state.waiting) {
			continue
		}
		item := *state.waiting
		state.sent, state.waiting = now, nil
		_ = n.publish(item) // a version that isn't newer was rejected before
	}
}
