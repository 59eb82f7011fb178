package peer

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/member"
)

// maxJoinsAnnounced is the number of joining members that a process announces to others per
// period. When all processes start together, each would hear of every other one over all
// its links, which in a large fleet takes the CPU of small VMs for seconds. Members that
// aren't announced are found by comparing views, which sends each record once.
const maxJoinsAnnounced = 100

// joins limits how many joining members are announced and logged.
type joins struct {
	announced int // in the period that started at since
	since     time.Time
	// unlogged are the joins since the last tick.
	unlogged []member.Record
}

// isJoin reports whether a change is the first record of a member. A member that has
// refuted a claim has a higher Seq.
func isJoin(r member.Record) bool { return r.State == member.Alive && r.Seq == 0 }

func isAlive(r member.Record) bool { return r.State == member.Alive }

// limitJoins removes the changes that aren't announced: joins above the limit per period,
// and the death of a member whose address another one has taken over, because the
// announcement of the new member implies it. The caller holds mu.
func (n *Node) limitJoins(changed []member.Record, countsAsJoin func(member.Record) bool, now time.Time) []member.Record {
	if now.Sub(n.joins.since) >= n.opts.Period {
		n.joins.announced, n.joins.since = 0, now
	}
	self := n.table.Self().ID
	return slices.DeleteFunc(changed, func(r member.Record) bool {
		if r.State == member.Dead && n.table.HasMemberAt(r.PeerAddress) {
			n.logDeath(r)
			return true
		}
		if r.ID == self || !countsAsJoin(r) {
			return false
		}
		n.joins.announced++
		if n.joins.announced <= maxJoinsAnnounced {
			return false
		}
		n.joins.unlogged = append(n.joins.unlogged, r)
		n.traffic.changes[r.State].Inc(1)
		n.compareScheduled = true
		return true
	})
}

func (n *Node) logDeath(r member.Record) {
	n.traffic.changes[r.State].Inc(1)
	n.log.Info("Member was replaced.", memberField(r))
}

// maxJoinsLogged is the number of joins per tick that are logged one by one. Without it,
// each process would log a line for every other one when all start.
const maxJoinsLogged = 4

// logChanges logs changes of members; joins are logged at the next tick. The caller
// holds mu.
func (n *Node) logChanges(changed []member.Record) {
	for _, r := range changed {
		if isJoin(r) {
			n.joins.unlogged = append(n.joins.unlogged, r)
			continue
		}
		n.logChange(r)
	}
}

func (n *Node) logChange(r member.Record) {
	n.log.Info("Member changed.", memberField(r), zap.String("state", string(memberStates[r.State])), zap.Uint64("seq", r.Seq))
}

// logJoins logs the members that have joined since the last tick. The caller holds mu.
func (n *Node) logJoins() {
	joined := n.joins.unlogged
	n.joins.unlogged = nil
	if len(joined) > maxJoinsLogged {
		n.log.Info("Members joined.", zap.Int("members", len(joined)), zap.Int("known", n.table.MemberCount()))
		return
	}
	for _, r := range joined {
		n.logChange(r)
	}
}
