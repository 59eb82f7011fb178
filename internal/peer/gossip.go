package peer

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/member"
)

// missingItem is an item that a peer announced and that hasn't arrived yet.
type missingItem struct {
	version uint64
	link    *link
	since   time.Time
}

// Items spread as in Plumtree: over eager links they are pushed, over lazy links only
// announced.
const (
	// pruneAfter is the number of consecutive duplicates after which a link becomes lazy.
	pruneAfter = 4
	// minEagerLinks is the number of links that are always kept eager.
	minEagerLinks = 2
)

// receive handles a notification.
func (n *Node) receive(l *link, m message) {
	now := time.Now()
	for _, number := range m.Acks {
		l.acked(number)
	}
	l.dropKnownEvents(m.Events)
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.acceptsFrom(l, now) {
		return
	}
	n.mergeClaims(m.Events, l, now)
	for _, wire := range m.Items {
		n.receiveItem(l, wire.item(), now)
	}
	n.recordMissing(l, m.Have, now)
	n.sendWanted(l, m.Want, now)
	l.closing = l.closing || m.Closing
	if m.Prune {
		n.prune(l)
	}
	if len(m.Pings) > 0 {
		n.sendClaimToRefute(l)
		l.post(func(out *message) { out.Acks = append(out.Acks, m.Pings...) })
	}
}

// mergeClaims applies membership claims received from a peer and forwards the
// resulting changes. The caller holds mu.
func (n *Node) mergeClaims(claims []member.Record, from *link, now time.Time) {
	n.broadcast(n.limitJoins(n.applyClaims(claims, now), isJoin, now), from)
}

// mergeComparedClaims is mergeClaims for the result of a comparison of views. The
// caller holds mu.
func (n *Node) mergeComparedClaims(claims []member.Record, from *link, now time.Time) {
	n.broadcast(n.limitJoins(n.applyClaims(claims, now), isAlive, now), from)
}

func (n *Node) applyClaims(claims []member.Record, now time.Time) []member.Record {
	var changed []member.Record
	for _, claim := range claims {
		changed = append(changed, n.table.Apply(claim, now)...)
	}
	return changed
}

// broadcast sends membership changes over all links except one. The caller
// holds mu.
func (n *Node) broadcast(changed []member.Record, except *link) {
	if len(changed) == 0 {
		return
	}
	n.countChanges(changed)
	self := n.table.Self().ID
	n.logChanges(changed)
	for _, l := range n.links {
		if l == except && !includesSelf(changed, self) {
			continue
		}
		l.sendEvents(changed)
	}
}

// countChanges counts changes. If this process had to refute a claim about itself, it
// answered too slowly, so its health score gets worse.
func (n *Node) countChanges(changed []member.Record) {
	for _, r := range changed {
		n.traffic.changes[r.State].Inc(1)
		if r.ID == n.table.Self().ID && r.State == member.Alive {
			n.health.worse()
		}
	}
}

// includesSelf reports whether this process itself is among the changed records. In
// that case the peer that made the claim must receive the refutation as well.
func includesSelf(changed []member.Record, self string) bool {
	for _, r := range changed {
		if r.ID == self {
			return true
		}
	}
	return false
}

// receiveItem stores an item and forwards it if it is new. The caller holds mu.
func (n *Node) receiveItem(l *link, item Item, now time.Time) {
	fresh := n.store.put(item, now)
	if fresh == nil {
		n.countDuplicate(l)
		return
	}
	l.duplicates = 0
	delete(n.missing, itemID{item.Topic, fresh.hash})
	n.inbox.add(fresh)
	n.push(fresh, l)
}

// push sends an item over the eager links and announces it over the lazy ones.
// The caller holds mu.
func (n *Node) push(e *entry, except *link) {
	wire := toWire(e.Item)
	for _, l := range n.links {
		switch {
		case l == except:
		case l.lazy:
			// Paced items aren't announced: the next version follows anyway.
			if !pacedTopics[e.Topic] {
				l.postLater(func(out *message) { out.Have = appendStamp(out.Have, e.Topic, e.stamp()) })
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

func appendStamp(queue map[Topic][]stamp, topic Topic, s stamp) map[Topic][]stamp {
	if len(queue[topic]) >= maxOutbox {
		return queue
	}
	return withStamps(queue, topic, []stamp{s})
}

// countDuplicate counts an item that a link delivered in vain, and turns a link that
// delivers only duplicates lazy on both sides. The remaining eager links come close to a
// spanning tree, so that most items reach each process once. Items lost by a broken tree
// are requested after their announcement. The caller holds mu.
func (n *Node) countDuplicate(l *link) {
	l.duplicates++
	if l.duplicates < pruneAfter || l.lazy || n.lastPrune == n.ticks || n.eagerLinks() <= minEagerLinks {
		return
	}
	n.lastPrune = n.ticks
	l.duplicates = 0
	l.lazy = true
	l.post(func(out *message) { out.Prune = true })
}

func (n *Node) eagerLinks() int {
	count := 0
	for _, l := range n.links {
		if !l.lazy {
			count++
		}
	}
	return count
}

// prune handles the peer's request to make a link lazy. If that would leave this process
// with too few eager links, it asks for an empty item instead, which makes the link
// eager again on both sides. The caller holds mu.
func (n *Node) prune(l *link) {
	if n.eagerLinks() > minEagerLinks {
		l.lazy = true
		return
	}
	l.post(func(out *message) { out.Want = withStamps(out.Want, TopicChange, []stamp{{}}) })
}

// recordMissing records announced items that haven't arrived. The caller holds mu.
func (n *Node) recordMissing(l *link, have map[Topic][]stamp, now time.Time) {
	for topic, stamps := range have {
		for _, s := range stamps {
			held, found := n.store.version(topic, s[0])
			if found && held >= s[1] {
				continue
			}
			id := itemID{topic, s[0]}
			if known := n.missing[id]; known == nil || known.version < s[1] {
				n.missing[id] = &missingItem{version: s[1], link: l, since: now}
			}
		}
	}
}

// requestMissing requests announced items that didn't arrive over an eager link within a
// period, and makes the link that announced them eager again. The caller holds mu.
func (n *Node) requestMissing(now time.Time) {
	for key, m := range n.missing {
		if now.Sub(m.since) < n.opts.Period {
			continue
		}
		delete(n.missing, key)
		if n.links[m.link.id] != m.link {
			continue // the next comparison of views finds the item
		}
		m.link.lazy = false
		m.link.duplicates = 0
		s := stamp{key.hash, m.version}
		m.link.post(func(out *message) { out.Want = withStamps(out.Want, key.topic, []stamp{s}) })
	}
}

// sendWanted sends the requested items and makes the link eager. The caller holds mu.
func (n *Node) sendWanted(l *link, want map[Topic][]stamp, now time.Time) {
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
