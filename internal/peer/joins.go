package peer

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/member"
)

// maxJoinsTold is how many members that join a process tells others of in a period. When
// all processes start together, each hears of each of them over all its links: in a large
// fleet that takes small VMs' processor time for seconds. Those that aren't told are found
// by comparing views, where each is sent once.
const maxJoinsTold = 100

// joins bounds what is told and logged of members that join.
type joins struct {
	told  int // in the period that began at since
	since time.Time
	// unlogged are the joins since the last beat.
	unlogged []member.Record
}

// isJoin tells whether a change is that a member is first heard of: one that has
// contradicted a claim has a greater Seq.
func isJoin(r member.Record) bool { return r.State == member.Alive && r.Seq == 0 }

func isAlive(r member.Record) bool { return r.State == member.Alive }

// withoutCrowd leaves out the changes that are too many to be told: members that join in a
// crowd, and the death of those that were replaced, which follows from what is told of who
// replaced them. The caller holds mu.
func (n *Node) withoutCrowd(changed []member.Record, joined func(member.Record) bool, now time.Time) []member.Record {
	if now.Sub(n.joins.since) >= n.opts.Period {
		n.joins.told, n.joins.since = 0, now
	}
	self := n.table.Self().ID
	return slices.DeleteFunc(changed, func(r member.Record) bool {
		if r.State == member.Dead && n.table.HasMemberAt(r.PeerAddr) {
			n.logDeath(r)
			return true
		}
		if r.ID == self || !joined(r) {
			return false
		}
		n.joins.told++
		if n.joins.told <= maxJoinsTold {
			return false
		}
		n.joins.unlogged = append(n.joins.unlogged, r)
		n.traffic.changes[r.State].Inc(1)
		n.behind = true
		return true
	})
}

func (n *Node) logDeath(r member.Record) {
	n.traffic.changes[r.State].Inc(1)
	n.log.Info("Member was replaced.", memberField(r))
}

// maxJoinsLogged is how many members that join within a beat are logged one by one. When
// all processes start each would else write a line for each of the others.
const maxJoinsLogged = 4

// logChanges logs changes of members; those that join are logged with the next beat. The
// caller holds mu.
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

// logJoins logs the members that have joined since the last beat. The caller holds mu.
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
