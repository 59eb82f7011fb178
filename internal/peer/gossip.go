package peer

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
)

// absent is an item that another announced and that hasn't come.
type absent struct {
	version uint64
	link    *link
	since   time.Time
}

// Rules for which links items are pushed over.
const (
	// pruneAfter duplicates without news a link is no longer pushed over.
	pruneAfter = 4
	// leastPushed is how many links are pushed over whatever comes.
	leastPushed = 2
)

// receive takes in a notification.
func (n *Node) receive(l *link, m message) {
	now := time.Now()
	for _, number := range m.Acks {
		l.acked(number)
	}
	l.heard(m.Events)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hears(l, now) {
		return
	}
	n.learn(m.Events, l, now)
	for _, wire := range m.Items {
		n.take(l, wire.item(), now)
	}
	n.compareHave(l, m.Have, now)
	n.answerWant(l, m.Want, now)
	l.bye = l.bye || m.Bye
	if m.Prune {
		n.prune(l)
	}
	if len(m.Pings) > 0 {
		n.tellOfItself(l)
		l.post(func(out *message) { out.Acks = append(out.Acks, m.Pings...) })
	}
}

// learn takes in claims of membership that a peer has told and spreads what is news. The
// caller holds mu.
func (n *Node) learn(claims []member.Record, from *link, now time.Time) {
	n.announce(n.withoutCrowd(n.apply(claims, now), isJoin, now), from)
}

// learnCompared takes in what a comparison of views has brought. The caller holds mu.
func (n *Node) learnCompared(claims []member.Record, from *link, now time.Time) {
	n.announce(n.withoutCrowd(n.apply(claims, now), isAlive, now), from)
}

func (n *Node) apply(claims []member.Record, now time.Time) []member.Record {
	var changed []member.Record
	for _, claim := range claims {
		changed = append(changed, n.table.Apply(claim, now)...)
	}
	return changed
}

// announce spreads changes of membership over all links but one. The caller
// holds mu.
func (n *Node) announce(changed []member.Record, except *link) {
	if len(changed) == 0 {
		return
	}
	n.count(changed)
	self := n.table.Self().ID
	n.logChanges(changed)
	for _, l := range n.links {
		if l == except && !mentions(changed, self) {
			continue
		}
		l.tell(changed)
	}
}

// count counts changes, and takes a claim against this process itself as a
// sign that it is slow.
func (n *Node) count(changed []member.Record) {
	for _, r := range changed {
		n.traffic.changes[r.State].Inc(1)
		if r.ID == n.table.Self().ID && r.State == member.Alive {
			n.health.worse()
		}
	}
}

// mentions tells whether this process itself is among the changed: then the
// one that made the claim must hear the contradiction as well.
func mentions(changed []member.Record, self string) bool {
	for _, r := range changed {
		if r.ID == self {
			return true
		}
	}
	return false
}

// take takes in an item and passes it on if it is news. The caller holds mu.
func (n *Node) take(l *link, item Item, now time.Time) {
	fresh := n.store.put(item, now)
	if fresh == nil {
		n.duplicate(l)
		return
	}
	l.duplicates = 0
	delete(n.missing, itemName{item.Topic, fresh.hash})
	n.inbox.add(fresh)
	n.push(fresh, l)
}

// push sends an item over the pushed links and announces it over the others.
// The caller holds mu.
func (n *Node) push(e *entry, except *link) {
	wire := toWire(e.Item)
	for _, l := range n.links {
		switch {
		case l == except:
		case l.lazy:
			// Paced items come again by themselves.
			if !pacedTopics[e.Topic] {
				l.note(func(out *message) { out.Have = noteStamp(out.Have, e.Topic, e.stamp()) })
			}
		default:
			l.post(func(out *message) {
				if len(out.Items) < maxOutbox {
					out.Items = append(out.Items, wire)
				}
			})
		}
	}
}

func noteStamp(queue map[Topic][]stamp, topic Topic, s stamp) map[Topic][]stamp {
	if len(queue[topic]) >= maxOutbox {
		return queue
	}
	return withStamps(queue, topic, []stamp{s})
}

// duplicate counts an item that came over a link for nothing, and has a link
// that brings only such announced rather than pushed. What is left pushed
// comes near to a tree, so that most items reach each process once; what a
// broken tree loses is asked for by its announcement. The caller holds mu.
func (n *Node) duplicate(l *link) {
	l.duplicates++
	if l.duplicates < pruneAfter || l.lazy || n.lastLazy == n.beats || n.pushed() <= leastPushed {
		return
	}
	n.lastLazy = n.beats
	l.duplicates = 0
	l.lazy = true
	l.post(func(out *message) { out.Prune = true })
}

func (n *Node) pushed() int {
	count := 0
	for _, l := range n.links {
		if !l.lazy {
			count++
		}
	}
	return count
}

// prune follows the other side's wish not to be pushed to, unless that would
// leave this process without enough pushed links: then the link is taken up
// again on both sides. The caller holds mu.
func (n *Node) prune(l *link) {
	if n.pushed() > leastPushed {
		l.lazy = true
		return
	}
	l.post(func(out *message) { out.Want = withStamps(out.Want, TopicChange, []stamp{{}}) })
}

// compareHave notes announced items that haven't come. The caller holds mu.
func (n *Node) compareHave(l *link, have map[Topic][]stamp, now time.Time) {
	for topic, stamps := range have {
		for _, s := range stamps {
			held, found := n.store.version(topic, s[0])
			if found && held >= s[1] {
				continue
			}
			name := itemName{topic, s[0]}
			if known := n.missing[name]; known == nil || known.version < s[1] {
				n.missing[name] = &absent{version: s[1], link: l, since: now}
			}
		}
	}
}

// wantMissing asks for announced items that didn't come within a period by a
// pushed link, and has that link pushed over again. The caller holds mu.
func (n *Node) wantMissing(now time.Time) {
	for name, a := range n.missing {
		if now.Sub(a.since) < n.opts.Period {
			continue
		}
		delete(n.missing, name)
		if n.links[a.link.id] != a.link {
			continue // the comparison of views finds it
		}
		a.link.lazy = false
		a.link.duplicates = 0
		s := stamp{name.hash, a.version}
		a.link.post(func(out *message) { out.Want = withStamps(out.Want, name.topic, []stamp{s}) })
	}
}

// answerWant sends the items asked for. The caller holds mu.
func (n *Node) answerWant(l *link, want map[Topic][]stamp, now time.Time) {
	if len(want) == 0 {
		return
	}
	l.lazy = false
	l.duplicates = 0
	for _, item := range n.store.wanted(want, now) {
		wire := toWire(item)
		l.post(func(out *message) { out.Items = append(out.Items, wire) })
	}
}
