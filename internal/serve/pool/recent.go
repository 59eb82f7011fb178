package pool

import "time"

const (
	// recentAge is how long changes are kept for peers: as long as the store keeps its
	// own, so that whoever may still ask the store may ask a peer as well.
	recentAge = 20 * time.Second
	// leastRecent is how many changes are kept whatever their age.
	leastRecent = 512
)

// recent keeps the last changes of the list. It is not safe for concurrent use.
type recent struct {
	changes []noted
	// after is the revision after which all changes are kept.
	after uint64
}

// noted is a change and when it was taken in.
type noted struct {
	Change
	at time.Time
}

// told is the change as peers are told of it.
func (n noted) told(now time.Time) Change {
	c := n.Change
	c.Entry = c.WithElapsed(now.Sub(n.at))
	return c
}

// add notes the next change.
func (r *recent) add(c Change, now time.Time) {
	r.changes = append(r.changes, noted{Change: c, at: now})
}

// trim forgets old changes. Of a list of some targets no more changes are kept than it
// has targets: beyond that the whole list is shorter.
func (r *recent) trim(targets int, now time.Time) {
	most := max(targets, leastRecent)
	drop := max(len(r.changes)-most, 0)
	for drop < len(r.changes)-leastRecent && now.Sub(r.changes[drop].at) > recentAge {
		drop++
	}
	if drop == 0 {
		return
	}
	r.after = max(r.after, r.changes[drop-1].Revision)
	r.changes = append([]noted(nil), r.changes[drop:]...)
}

// restart forgets the changes up to a revision, as of which the whole was read.
func (r *recent) restart(asOf uint64) { *r = recent{after: asOf} }

// since lists the changes after a revision, of each target the last one. known is false
// where they aren't kept that far back.
func (r *recent) since(revision uint64, now time.Time) (list []Change, known bool) {
	if revision < r.after {
		return nil, false
	}
	last := map[string]int{}
	for i, c := range r.changes {
		if c.Revision > revision {
			last[c.ID] = i
		}
	}
	for i, c := range r.changes {
		if at, found := last[c.ID]; found && at == i {
			list = append(list, c.told(now))
		}
	}
	return list, true
}
