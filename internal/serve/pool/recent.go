package pool

import "time"

// maxRecent bounds the changes that are kept for peers. One that lacks more is told
// the whole list.
const maxRecent = 512

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
	c.ColdLeft = max(c.ColdLeft-now.Sub(n.at), 0)
	return c
}

// add notes the next change.
func (r *recent) add(c Change, now time.Time) {
	if len(r.changes) == maxRecent {
		half := r.changes[maxRecent/2:]
		r.after = r.changes[maxRecent/2-1].Revision
		r.changes = append(make([]noted, 0, maxRecent), half...)
	}
	r.changes = append(r.changes, noted{Change: c, at: now})
}

// restart forgets the changes up to a revision, as of which the whole was read.
func (r *recent) restart(asOf uint64) { *r = recent{after: asOf} }

// since lists the changes after a revision, of each target the last one; none if
// they aren't kept that far back.
func (r *recent) since(revision uint64, now time.Time) []Change {
	if revision < r.after {
		return nil
	}
	last := map[string]int{}
	for i, c := range r.changes {
		if c.Revision > revision {
			last[c.ID] = i
		}
	}
	var list []Change
	for i, c := range r.changes {
		if at, found := last[c.ID]; found && at == i {
			list = append(list, c.told(now))
		}
	}
	return list
}
