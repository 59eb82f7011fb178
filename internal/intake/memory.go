package intake

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// RetryAfter is when a caller whose request found no memory should retry. Unfinished requests may have to give theirs
// up by then.
const RetryAfter = minEvictionAge

// ErrNoMemory means that the requests of all callers together have no memory left for this one.
var ErrNoMemory = errors.New("intake: no memory for the request")

const (
	// uncountedBytes of each request don't count, so that small requests never wait for the memory of large ones.
	uncountedBytes = 4 << 10
	// minEvictionAge is how long an unfinished request may hold memory before others may take it.
	minEvictionAge = 500 * time.Millisecond
)

// Memory limits the bytes that the requests of all callers hold together. An unfinished request that holds much for
// long gives way to others: if there is no room, the reservation with the largest product of size and age is evicted.
// Requests that have arrived completely keep their memory until they are answered.
type Memory struct {
	max int64

	mu sync.Mutex // guards the fields below and those of reservations; locked before the mu of a Conn
	// changed is signalled when memory is released or a reservation is evicted.
	changed  *sync.Cond
	used     int64
	peak     int64
	evicted  int64
	rejected int64
	// unfinished holds the reservations of requests that are still arriving.
	unfinished map[*reservation]struct{}
}

// NewMemory returns a limit of max bytes.
func NewMemory(max int64) *Memory {
	m := &Memory{max: max, unfinished: map[*reservation]struct{}{}}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// MemoryStats are the bytes that requests hold, and the requests that got none since the process started.
type MemoryStats struct {
	// Used is the number of bytes held, Peak its maximum, Max the limit.
	Used, Peak, Max int64
	// Evicted counts the unfinished requests that gave way to others, Rejected those for which there was no room.
	Evicted, Rejected int64
}

// Stats returns the current numbers.
func (m *Memory) Stats() MemoryStats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryStats{Used: m.used, Peak: m.peak, Max: m.max, Evicted: m.evicted, Rejected: m.rejected}
}

// reservation is the memory of one request.
type reservation struct {
	memory *Memory
	// interrupt ends a read in progress of the request, so that its memory is released. It is called with the lock of
	// the Memory held.
	interrupt func()

	// bytes is changed with the lock of the Memory held.
	bytes   atomic.Int64
	since   time.Time // when the request began to hold memory
	evicted bool
}

// resize changes the reservation to that of a number of bytes. It may wait until an evicted request has released its
// memory. The error is ErrNoMemory if there is no room, or the request itself was evicted.
func (r *reservation) resize(bytes int) error {
	want := max(int64(bytes)-uncountedBytes, 0)
	if want == 0 && r.bytes.Load() == 0 {
		return nil
	}
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !r.evicted && m.used+want-r.bytes.Load() > m.max && want > r.bytes.Load() {
		if !m.makeRoom(r, want-r.bytes.Load()) {
			m.rejected++
			return ErrNoMemory
		}
		m.changed.Wait()
	}
	if r.evicted {
		return ErrNoMemory
	}
	if _, listed := m.unfinished[r]; !listed && want > 0 {
		r.since = time.Now()
		m.unfinished[r] = struct{}{}
	}
	r.set(want)
	return nil
}

// set changes the number of bytes. The caller holds the lock of the Memory.
func (r *reservation) set(bytes int64) {
	m := r.memory
	before := r.bytes.Swap(bytes)
	m.used += bytes - before
	m.peak = max(m.peak, m.used)
	if bytes == 0 {
		delete(m.unfinished, r)
	}
	if bytes < before {
		m.changed.Broadcast()
	}
}

// counted returns how many bytes the request holds, with those that don't count if there are any others.
func (r *reservation) counted() int {
	bytes := r.bytes.Load()
	if bytes == 0 {
		return 0
	}
	return int(bytes + uncountedBytes)
}

// finish notes that the request has arrived completely. The error is ErrNoMemory if it was evicted before.
func (r *reservation) finish() error {
	if r.bytes.Load() == 0 {
		return nil
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.evicted {
		return ErrNoMemory
	}
	delete(r.memory.unfinished, r)
	return nil
}

// release gives the memory back.
func (r *reservation) release() {
	if r.bytes.Load() == 0 {
		return
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.set(0)
}

func (r *reservation) isEvicted() bool {
	if r.bytes.Load() == 0 {
		return false
	}
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.evicted
}

// makeRoom has an unfinished request release its memory in favour of one that needs some bytes, unless enough is
// being released already. It reports whether memory will be released. The caller holds mu.
func (m *Memory) makeRoom(r *reservation, need int64) bool {
	releasing := m.releasing()
	if releasing > 0 && m.used-releasing+need <= m.max {
		return true
	}
	victim := heaviest(m.unfinished, r, time.Now())
	if victim == nil {
		return releasing > 0
	}
	victim.evicted = true
	m.evicted++
	victim.interrupt()
	m.changed.Broadcast() // the victim may itself wait for memory
	return true
}

// releasing returns the number of bytes that evicted requests still hold. The caller holds mu.
func (m *Memory) releasing() int64 {
	var bytes int64
	for r := range m.unfinished {
		if r.evicted {
			bytes += r.bytes.Load()
		}
	}
	return bytes
}

// heaviest returns the reservation that has held the most memory for the longest time; nil if none but the given one
// is old enough.
func heaviest(unfinished map[*reservation]struct{}, except *reservation, now time.Time) *reservation {
	var found *reservation
	var most float64
	for r := range unfinished {
		age := now.Sub(r.since)
		if r == except || r.evicted || age < minEvictionAge {
			continue
		}
		if weight := float64(r.bytes.Load()) * age.Seconds(); weight > most {
			found, most = r, weight
		}
	}
	return found
}
