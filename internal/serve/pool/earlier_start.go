package pool

import (
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// A row that names an earlier start than the known one is either a report that was delayed on its way to the store, or
// that of a new start whose machine's clock went back. Targets write their rows again and again: the row of a start
// that has ended is replaced soon, that of one that runs stays.

const (
	// earlierStartDelay is how long such a row has to stay until its start counts as the new one. It is longer than
	// two periods in which targets write.
	earlierStartDelay = 3 * time.Second
	// earlierStartDelayAfterRestore is the same for a row of a store that has come back from a copy, which has rows of
	// starts that ended since.
	earlierStartDelayAfterRestore = restoredPause
)

// earlierStart is a row that may be that of the start that runs. The zero value is none.
type earlierStart struct {
	entry Entry
	// heldAt is when the first row of the start was received.
	heldAt time.Time
	// adoptAt is when the start counts as the new one, unless the row has been replaced.
	adoptAt time.Time
	// leaving means that the row says that its target leaves, and isn't from a copy of the store. Until it is known
	// whose row it is, the target gets no requests.
	leaving bool
}

// isEarlierStart reports whether a change names an earlier start than the known one.
func isEarlierStart(c Change, known *Target) bool {
	return !c.Removed && c.Born != 0 && c.Born < known.Born
}

// newestRow returns the revision of the newest row of a target, whichever start it is of. The caller holds Table.mu.
func (t *Target) newestRow() revision.Revision {
	return max(t.entry.Revision, t.earlier.entry.Revision)
}

// holdBack records a row of an earlier start. The caller holds mu.
func (t *Table) holdBack(target *Target, c Change, now time.Time) {
	next := earlierStart{entry: c.Entry, heldAt: now, adoptAt: now.Add(earlierStartDelay), leaving: c.State == Draining && !t.restoring}
	if t.restoring {
		next.adoptAt = now.Add(earlierStartDelayAfterRestore)
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	if sameRun(target.earlier.entry, c.Entry) {
		next.heldAt, next.adoptAt = target.earlier.heldAt, target.earlier.adoptAt
		next.leaving = next.leaving || target.earlier.leaving
	}
	if next.leaving {
		next.entry.State = Draining // a target that leaves doesn't become ready again in the same run
	}
	target.earlier = next
	t.earlierStarts[target.ID] = target
	t.logChange("Target's row names an earlier start; held back.", zap.String("target", c.ID), zap.Int64("born", c.Born),
		zap.Int64("known_born", target.Born), zap.String("state", string(c.State)), zap.Stringer("revision", c.Revision))
}

// adoptEarlierStarts takes the earlier starts for the new ones whose rows have stayed. It returns the targets that left
// use. The caller holds mu.
func (t *Table) adoptEarlierStarts(touched changedIDs, now time.Time) []*Target {
	var retired []*Target
	for id, target := range t.earlierStarts {
		earlier := target.earlier
		if t.byID[id] != target || earlier.adoptAt.IsZero() {
			delete(t.earlierStarts, id)
			continue
		}
		if now.Before(earlier.adoptAt) {
			continue
		}
		delete(t.earlierStarts, id)
		touched.add(target)
		if back := t.lapsed[id]; back != nil {
			delete(t.lapsed, id)
			t.retire(back, now)
			retired = append(retired, back)
		}
		retired = append(retired, t.applyChange(target, Change{Entry: earlier.entry}, now))
		adopted := t.byID[id]
		if adopted.Address == target.Address && target.statements.leftSince(earlier.heldAt) {
			adopted.statements.leave(now) // it was this start that said so
		}
		touched.add(adopted)
	}
	return retired
}
