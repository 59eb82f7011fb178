package pool

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// Statement is what a target says of itself in the header of an answer.
type Statement struct {
	// Report is the target's load; nil if it isn't given.
	Report *Report
	// RejectionLimit is how many rejections a second the target can take; nil if it states none.
	RejectionLimit *int
	// RateLimit is how many requests a second the target takes from all processes together, 0 if it
	// states no limit; nil if what it states is no rate.
	RateLimit *float64
	// Leaving means that the target is about to stop and must get no further requests.
	Leaving bool
	// Rest is how long the target wants no further requests from this process; 0 if it doesn't say.
	Rest time.Duration
}

// Run identifies one start of a target. Addresses and IDs are given out again.
type Run struct {
	ID string `json:"target"`
	// Born is Entry.Born.
	Born    int64  `json:"born,omitempty"`
	Address string `json:"address"`
}

// Run returns the target's run.
func (t *Target) Run() Run { return Run{ID: t.ID, Born: t.Born, Address: t.Address} }

// statements is what one run of a target has stated, so far as it still counts. It is kept while the target's
// entry is missing: an entry may lapse, or be lost with a part of the store, and come back during the same run.
type statements struct {
	mu sync.Mutex // guards the fields below; acquired after Target.mu, no other lock is acquired while it is held
	// leaving is set once the target has said that it leaves, in an answer or in the list. It is never unset.
	leaving    bool
	leftAt     time.Time // when that was first known
	rest       pause
	rejections rejections
	rateLimit  rateLimit
	streak     streak
	// heardAt is when the target last stated something, or left the list.
	heardAt time.Time
	// gone is set once the target has left the list, lastRow is the revision of its last entry then.
	gone    bool
	lastRow revision.Revision
}

// statementsTTL is how long the statements of a run are kept after it has left the list. It is longer than a
// target takes to stop, and than entries are missing after the store was away.
const statementsTTL = 10 * time.Minute

// leave records that the target leaves, and reports whether that is new.
func (s *statements) leave(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := !s.leaving
	if news {
		s.leftAt = now
	}
	s.leaving, s.heardAt = true, now
	return news
}

func (s *statements) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// leftSince reports whether the target has said after a time that it leaves.
func (s *statements) leftSince(after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving && s.leftAt.After(after)
}

// addTo counts the target among those that leave, rest or only reject.
func (s *statements) addTo(c *Count, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		c.Leaving++
	case now.Before(s.rest.until):
		c.Resting++
	case s.streak.pause.length > 0:
		c.Rejecting++
	}
}

// setGone records that the target has left the list. The record is kept for statementsTTL from then on.
func (s *statements) setGone(lastRow revision.Revision, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt, s.gone, s.lastRow = now, true, lastRow
}

// statementsOf returns the record of a run. The caller holds mu.
func (t *Table) statementsOf(run Run, now time.Time) *statements {
	s := t.statements[run]
	if s == nil {
		s = &statements{heardAt: now}
		t.statements[run] = s
	}
	return s
}

// statementsOfNew returns the record for a target that is new in the list. Without a time of birth, a target that
// is back under its ID and address counts as another run.
func (t *Table) statementsOfNew(run Run, now time.Time) *statements {
	if run.Born == 0 && !t.restoring {
		delete(t.statements, run)
	}
	return t.statementsOf(run, now)
}

// restoredPause is how long a target gets no requests whose entry was removed and is back with a copy of the store. It
// is longer than the entry of a target that is gone stays in the list, and than one that isn't takes to write its own.
const restoredPause = 10 * time.Second

// pauseAfterRestore returns how long a target that is new in the list gets no requests because it was gone before the
// store came back from a copy. It is none if the entry has been written since. The caller holds mu.
func (t *Table) pauseAfterRestore(s *statements, row revision.Revision, now time.Time) pause {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.gone
	s.gone = false
	if !t.restoring || !gone || row.Version() > s.lastRow.Version() {
		return pause{}
	}
	return pause{until: now.Add(restoredPause), length: restoredPause}
}

// sweepStatements drops the records of runs that have left the list long ago. The caller holds mu.
func (t *Table) sweepStatements(now time.Time) {
	for run, s := range t.statements {
		if t.targetOf(run) != nil {
			continue
		}
		s.mu.Lock()
		old := now.Sub(s.heardAt) > statementsTTL && now.After(s.rest.until)
		s.mu.Unlock()
		if old {
			delete(t.statements, run)
		}
	}
}

// targetOf returns the target of a run; nil if it isn't in use. The caller holds mu.
func (t *Table) targetOf(run Run) *Target {
	for _, target := range []*Target{t.byID[run.ID], t.lapsed[run.ID]} {
		if target != nil && target.Run() == run {
			return target
		}
	}
	return nil
}

// RecordStatement records what an answer of a target states. The request was sent at sentAt. nil means that the
// answer states nothing of this target.
func (t *Table) RecordStatement(target *Target, s *Statement, sentAt, now time.Time) {
	if s == nil {
		return
	}
	if s.Report != nil {
		target.SetReport(*s.Report)
	}
	target.SetRejectionLimit(s.RejectionLimit, now)
	target.SetRateLimit(s.RateLimit, sentAt, now)
	if s.Rest > 0 {
		target.setRest(s.Rest, now)
	}
	if s.Leaving && !target.statements.isLeaving() && t.LearnLeaving(target.Run(), now) && t.onLeaving != nil {
		t.onLeaving(target.Run())
	}
}

// LearnLeaving records that a run of a target has said that it leaves, to this process or to another one. It
// reports whether that is new. The run may be one that this process doesn't know yet.
func (t *Table) LearnLeaving(run Run, now time.Time) bool {
	t.mu.Lock()
	news := t.statementsOf(run, now).leave(now)
	target := t.targetOf(run)
	if !news || target == nil {
		t.mu.Unlock()
		return news
	}
	touched := changedIDs{}
	touched.add(target)
	t.updateServices(touched)
	t.mu.Unlock()
	t.log.Info("Target says in its answers that it leaves.", zap.String("target", run.ID), zap.Int64("born", run.Born),
		zap.String("service", target.Service), zap.String("address", run.Address))
	t.notifyRetired([]*Target{target})
	return true
}

// OnLeaving sets the function that is called with each run that tells this process first that it leaves. fn must
// not call the Table. Call it before the first Apply.
func (t *Table) OnLeaving(fn func(Run)) { t.onLeaving = fn }

// countRejection records that the target has rejected a request of this process. With inStreak, the rejection tells that
// the target has no room for requests.
func (t *Target) countRejection(inStreak bool, now time.Time) {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections.rejected(t.memberCount(), now)
	if inStreak && s.streak.rejected(now) && t.log != nil {
		t.log.Info("Target only rejects requests.", zap.String("target", t.ID), zap.String("service", t.Service))
	}
}

// countAnswer records that the target has answered a request of this process.
func (t *Target) countAnswer() {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streak = streak{}
}

// setRest records that the target wants no requests from this process for some time. A rest that ends earlier than
// a known one changes nothing, as each of them was asked for.
func (t *Target) setRest(length time.Duration, now time.Time) {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	began := !now.Before(s.rest.until)
	s.rest.extend(now, length)
	s.heardAt = now
	if began && t.log != nil {
		t.log.Info("Target wants rest.", zap.String("target", t.ID), zap.String("service", t.Service), zap.Duration("for", length))
	}
}
