package follow

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// maxListReadTime limits the age of the first page when the next page is read. When the
// last page arrives, the store must still have the changes since the first.
const maxListReadTime = 8 * time.Second

// listRead is a paged read of the target list. Pages are kept when the next one fails: a
// small VM that restarted each time would never finish reading a long list, while the store
// would send it the first pages over and over. The zero value is at the beginning.
type listRead struct {
	entries []pool.Entry
	// asOf is the revision of the first page; later changes are requested after the read.
	asOf revision.Revision
	// next is the cursor of the next page.
	next      string
	size      TableSize
	startedAt time.Time
}

// restartIfOld restarts the read if the first page is too old.
func (r *listRead) restartIfOld(now time.Time) {
	if r.startedAt.IsZero() || now.Sub(r.startedAt) > maxListReadTime {
		*r = listRead{startedAt: now}
	}
}

// add appends the next page and reports whether it was the last. If the store has come back from a copy since the
// page before, the read restarts; so it does if the list is too large, for which the error is ErrTableTooLarge.
func (r *listRead) add(page TargetPage) (last bool, err error) {
	if r.next != "" && page.AsOf.Era() != r.asOf.Era() {
		*r = listRead{startedAt: r.startedAt}
		return false, nil
	}
	if err := r.size.Add(page.Bytes); err != nil {
		*r = listRead{}
		return false, err
	}
	if r.next == "" {
		r.asOf = page.AsOf
	}
	r.entries = append(r.entries, page.Entries...)
	r.next = page.Next
	return page.Next == "", nil
}
