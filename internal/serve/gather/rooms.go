package gather

import "time"

// room is what is known of the space for results at one target. A result takes
// space from the turn of its call until it is freed or lapses.
type room struct {
	bytes   int // of all results below
	results map[string]kept
}

type kept struct {
	bytes   int
	expires time.Time
}

func (r *room) put(handle string, bytes int, expires time.Time) {
	if r.results == nil {
		r.results = map[string]kept{}
	}
	r.drop(handle)
	r.results[handle] = kept{bytes: bytes, expires: expires}
	r.bytes += bytes
}

func (r *room) drop(handle string) {
	if k, found := r.results[handle]; found {
		r.bytes -= k.bytes
		delete(r.results, handle)
	}
}

// sweep forgets results that have lapsed.
func (r *room) sweep(now time.Time) {
	for handle, k := range r.results {
		if now.After(k.expires) {
			r.drop(handle)
		}
	}
}
