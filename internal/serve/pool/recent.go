package pool

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

const (
	// changeRetention is how long changes are kept for peers. The store keeps its changes for the
	// same time, so a revision that the store can still serve changes for can also be served by a
	// peer.
	changeRetention = 20 * time.Second
	// minKeptChanges is the number of changes that are kept regardless of age.
	minKeptChanges = 512
)

// changeLog keeps the latest changes of the target list. It is not safe for concurrent use.
type changeLog struct {
	changes []loggedChange
	// after is the revision after which all changes are kept.
	after revision.Revision
}

// loggedChange is a change and the time at which it was applied.
type loggedChange struct {
	Change
	at time.Time
}

// forPeers returns the change as it is sent to peers: with the remaining cold time as of now.
func (n loggedChange) forPeers(now time.Time) Change {
	c := n.Change
	c.Entry = c.WithElapsed(now.Sub(n.at))
	return c
}

// add appends the next change.
func (r *changeLog) add(c Change, now time.Time) {
	r.changes = append(r.changes, loggedChange{Change: c, at: now})
}

// trim drops old changes. It keeps no more changes than the list has targets, except for
// minKeptChanges: beyond that, sending the whole list is shorter.
func (r *changeLog) trim(targets int, now time.Time) {
	most := max(targets, minKeptChanges)
	drop := max(len(r.changes)-most, 0)
	for drop < len(r.changes)-minKeptChanges && now.Sub(r.changes[drop].at) > changeRetention {
		drop++
	}
	if drop == 0 {
		return
	}
	r.after = max(r.after, r.changes[drop-1].Revision)
	r.changes = append([]loggedChange(nil), r.changes[drop:]...)
}

// startFrom drops all changes after the whole list was read as of a revision.
func (r *changeLog) startFrom(asOf revision.Revision) { *r = changeLog{after: asOf} }

// since returns the last change of each target that changed after the revision from. known is false if the
// changes are not kept that far back.
func (r *changeLog) since(from revision.Revision, now time.Time) (list []Change, known bool) {
	if from < r.after {
		return nil, false
	}
	last := map[string]int{}
	for i, c := range r.changes {
		if c.Revision > from {
			last[c.ID] = i
		}
	}
	for i, c := range r.changes {
		if at, found := last[c.ID]; found && at == i {
			list = append(list, c.forPeers(now))
		}
	}
	return list, true
}
