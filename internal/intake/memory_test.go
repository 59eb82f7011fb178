package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// holding returns the reservation of an unfinished request that has held some bytes for some time.
func holding(t *testing.T, m *Memory, bytes int, age time.Duration) *reservation {
	t.Helper()
	r := &reservation{memory: m, interrupt: func() {}}
	assert.NilError(t, r.resize(uncountedBytes+bytes))
	m.mu.Lock()
	defer m.mu.Unlock()
	r.since = r.since.Add(-age)
	return r
}

func TestHeaviestReservationIsEvicted(t *testing.T) {
	type held struct {
		bytes int
		age   time.Duration
	}
	for name, tc := range map[string]struct {
		held []held
		want int // index; -1 for none
	}{
		"nobody":                   {nil, -1},
		"the older of equal ones":  {[]held{{100, time.Second}, {100, 2 * time.Second}}, 1},
		"the larger of equal ages": {[]held{{100, time.Second}, {200, time.Second}}, 1},
		"much for long":            {[]held{{10, 9 * time.Second}, {100, time.Second}}, 1},
		"little for very long":     {[]held{{30, 9 * time.Second}, {100, time.Second}}, 0},
		"none that just began":     {[]held{{1000, 100 * time.Millisecond}, {10, time.Second}}, 1},
		"nobody if all just began": {[]held{{1000, 100 * time.Millisecond}, {10, 0}}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMemory(1 << 20)
			var list []*reservation
			for _, h := range tc.held {
				list = append(list, holding(t, m, h.bytes, h.age))
			}
			var want *reservation
			if tc.want >= 0 {
				want = list[tc.want]
			}
			assert.Equal(t, heaviest(m.unfinished, nil, time.Now()), want)
		})
	}
}

// Guards against small requests that are refused because large ones hold all the memory.
func TestSmallRequestsNeedNoMemory(t *testing.T) {
	m := NewMemory(1000)
	holding(t, m, 1000, 0)
	small := &reservation{memory: m}
	assert.NilError(t, small.resize(uncountedBytes))
	assert.ErrorIs(t, small.resize(uncountedBytes+1), ErrNoMemory)
	assert.Equal(t, m.Stats(), MemoryStats{Used: 1000, Peak: 1000, Max: 1000, Rejected: 1})
}

// Guards against a request that takes the memory of one that is being served.
func TestCompleteRequestKeepsItsMemory(t *testing.T) {
	m := NewMemory(1000)
	complete := holding(t, m, 1000, time.Minute)
	assert.NilError(t, complete.finish())
	next := &reservation{memory: m}
	assert.ErrorIs(t, next.resize(uncountedBytes+1), ErrNoMemory)
	complete.release()
	assert.NilError(t, next.resize(uncountedBytes+1000))
}

// Guards against memory that is taken before the evicted request has released it.
func TestRequestWaitsForTheMemoryOfAnEvictedOne(t *testing.T) {
	m := NewMemory(1000)
	stalled := holding(t, m, 1000, time.Minute)
	interrupted := make(chan struct{})
	stalled.interrupt = func() { close(interrupted) }
	taken := make(chan error, 1)
	next := &reservation{memory: m, interrupt: func() {}}
	go func() { taken <- next.resize(uncountedBytes + 600) }()
	<-interrupted
	select {
	case <-taken:
		t.Fatal("taken before it was released")
	case <-time.After(20 * time.Millisecond):
	}
	assert.ErrorIs(t, stalled.resize(uncountedBytes+1001), ErrNoMemory)
	stalled.release()
	assert.NilError(t, <-taken)
	assert.Equal(t, m.Stats(), MemoryStats{Used: 600, Peak: 1000, Max: 1000, Evicted: 1})
}

// Guards against requests that wait for each other's memory without end.
func TestRequestsThatWaitAreEvictedToo(t *testing.T) {
	m := NewMemory(1000)
	results := make(chan error, 2)
	for _, r := range []*reservation{holding(t, m, 500, time.Minute), holding(t, m, 500, time.Minute)} {
		go func() {
			err := r.resize(uncountedBytes + 900)
			if err != nil {
				r.release()
			}
			results <- err
		}()
	}
	first, second := <-results, <-results
	assert.Assert(t, (first == nil) != (second == nil), "%v, %v", first, second)
}
