// Package unusable remembers which rows of a table can't be used, so that each is reported once and not again with
// each read.
package unusable

import "sync"

// maxRows limits the rows that are remembered. Beyond that all are forgotten, and reported again.
const maxRows = 1024

// Rows are rows that can't be used, by their keys. The zero value has none. It is safe for concurrent use.
type Rows struct {
	mu sync.Mutex // guards reasons; no other lock is taken while it is held
	// reasons maps a row's key to why it can't be used.
	reasons map[string]string
}

// Add records that a row can't be used, and reports whether that, or the reason, is new.
func (r *Rows) Add(key, reason string) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.reasons[key]; found && known == reason {
		return false
	}
	if r.reasons == nil || len(r.reasons) >= maxRows {
		r.reasons = map[string]string{}
	}
	r.reasons[key] = reason
	return true
}

// Remove records that a row can be used or is gone.
func (r *Rows) Remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, key)
}

// Len returns the number of rows that can't be used.
func (r *Rows) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reasons)
}
