package peer

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

// DefaultPace is the bytes a second that paced topics may cost each process.
const DefaultPace = 2000

// pacedTopics are those that every process publishes all the time, so that
// their cost for each process grows with the number of processes. They are
// sent less often the more processes there are; a version that waits is
// replaced by the next.
var pacedTopics = map[Topic]bool{TopicDemand: true, TopicInForce: true}

// pacedLifetimes is the least number of intervals that a paced item lives, so
// that a lost one doesn't leave a gap.
const pacedLifetimes = 3

// paced is the state of one paced item of this process.
type paced struct {
	sent    time.Time
	waiting *Item
}

// paceInterval is the least time between two versions of an item, so that all
// processes together cost each of them no more than the pace allows.
func paceInterval(processes, itemBytes int, pace float64) time.Duration {
	return time.Duration(float64(processes*itemBytes) / pace * float64(time.Second))
}

// Publish spreads an item of this process.
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
	return n.pace(item, time.Now())
}

// publish spreads at once. The caller holds mu.
func (n *Node) publish(item Item) error {
	fresh := n.store.put(item, time.Now())
	if fresh == nil {
		return ErrVersionNotNewer
	}
	n.push(fresh, nil)
	return nil
}

// pace spreads an item as soon as its last version is old enough. The caller
// holds mu.
func (n *Node) pace(item Item, now time.Time) error {
	name := itemName{item.Topic, itemHash(item.Origin, item.Key)}
	state := n.pacing[name]
	if state == nil {
		state = &paced{}
		n.pacing[name] = state
		// The first one waits a random part of the interval: processes that
		// start together would otherwise all spread at once.
		state.sent = now.Add(-time.Duration(rand.Float64() * float64(n.paceOf(item))))
	}
	if held, found := n.store.version(item.Topic, name.hash); found && held >= item.Version {
		return ErrVersionNotNewer
	}
	interval := n.paceOf(item)
	item.TTL = max(item.TTL, pacedLifetimes*interval)
	if now.Sub(state.sent) < interval {
		state.waiting = &item
		return nil
	}
	state.sent, state.waiting = now, nil
	return n.publish(item)
}

func (n *Node) paceOf(item Item) time.Duration {
	processes := n.plan.members + 1
	keys := max(1, len(n.pacing))
	return paceInterval(processes, keys*toWire(item).size(), n.opts.Pace)
}

// publishPaced spreads the paced items that are due. The caller holds mu.
func (n *Node) publishPaced(now time.Time) {
	for _, state := range n.pacing {
		if state.waiting == nil || now.Sub(state.sent) < n.paceOf(*state.waiting) {
			continue
		}
		item := *state.waiting
		state.sent, state.waiting = now, nil
		_ = n.publish(item) // a version that doesn't grow was refused before
	}
}
