// Package derived keeps what was computed from something that rarely changes.
package derived

import "sync"

// Value is what was computed from a key. It stands until it is asked for with
// another key. The zero value is empty. It is safe for concurrent use.
type Value[K comparable, V any] struct {
	mu    sync.Mutex // guards what follows; a leaf, held during the computation
	known bool
	key   K
	value V
}

// Get gives what compute makes of the key, computed once while the key stays.
func (d *Value[K, V]) Get(key K, compute func(K) V) V {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known || d.key != key {
		d.value = compute(key)
		d.key = key
		d.known = true
	}
	return d.value
}
