// Package derived caches values computed from inputs that rarely change.
package derived

import "sync"

// Value caches the value computed from the last key. Another key replaces it.
// The zero value is empty. It is safe for concurrent use.
type Value[K comparable, V any] struct {
	mu    sync.Mutex // guards the fields below; held during the computation, which takes no other lock
	valid bool
	key   K
	value V
}

// Get returns compute(key). It calls compute only if the key differs from the
// last one.
func (d *Value[K, V]) Get(key K, compute func(K) V) V {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.valid || d.key != key {
		d.value = compute(key)
		d.key = key
		d.valid = true
	}
	return d.value
}
