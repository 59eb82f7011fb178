package follow

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// mostReadTime is how old the first page of a list may be when the next one is read.
// The store must still have the changes since then when the last page is there.
const mostReadTime = 8 * time.Second

// reading is a list of targets that is read page by page. Pages stay when the next one
// fails: a small VM that began anew each time would never come to the end of a long
// list, while the store sends it the beginning again and again. The zero value is at
// the beginning.
type reading struct {
	entries []pool.Entry
	// asOf is the first page's: changes since then are asked for afterwards.
	asOf uint64
	// next is the cursor of the next page.
	next  string
	begun time.Time
}

// restartIfOld starts at the beginning where the first page is too old.
func (r *reading) restartIfOld(now time.Time) {
	if r.begun.IsZero() || now.Sub(r.begun) > mostReadTime {
		*r = reading{begun: now}
	}
}

// add takes in the next page and tells whether it was the last.
func (r *reading) add(page TargetPage) bool {
	if r.next == "" {
		r.asOf = page.AsOf
	}
	r.entries = append(r.entries, page.Entries...)
	r.next = page.Next
	return page.Next == ""
}
