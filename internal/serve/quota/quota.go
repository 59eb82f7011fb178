// Package quota bounds the repeats that all processes together send to a
// service, without a coordinator: each process may send a share of its own
// requests and its part of a common reserve.
package quota

import (
	"sync"
	"time"
)

// Rule is the bound on all processes together: in any Window, no more repeats
// than Ratio times the requests plus Reserve.
type Rule struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// margin is the part of the bound that is used. The rest covers calls that are
// on their way at a window's edge and counts that differ by a request or two.
const margin = 0.85

// settle is how long a process that has just learned of another number of
// members sends no repeats out of the reserve: before that it may know of too few
// and take too large a part.
const settle = 2 * time.Second

// slices is into how many parts a window is divided for counting.
const slices = 10

// Budget counts one process's requests and repeats by service.
type Budget struct {
	mu        sync.Mutex // guards what follows; a leaf
	rule      Rule
	byService map[string]*window
	members   int
	since     time.Time // when the number of members was learned
	// alone is until when only the share of own requests may be repeated.
	alone time.Time
}

// defaultWindow is used where a rule has no window, or one too short to be divided
// into slices: a slice of no length would be divided by, at every request.
const defaultWindow = 10 * time.Second

func (r Rule) countable() Rule {
	if r.Window < slices {
		r.Window = defaultWindow
	}
	return r
}

// New makes a budget for a process of a system that starts for the first time.
func New(rule Rule, now time.Time) *Budget {
	return &Budget{rule: rule.countable(), byService: map[string]*window{}, members: 1, since: now}
}

// Again makes a budget for a process that takes the place of another. For a whole
// window it gets nothing of the reserve: the one before it may just have spent its
// part. Were all killed in the middle of an outage of targets, the reserve would
// be spent twice within one window otherwise.
func Again(rule Rule, now time.Time) *Budget {
	b := New(rule, now)
	b.alone = now.Add(b.rule.Window)
	return b
}

// SetRule puts another rule in force. What was counted stays, unless the window
// has another length; then nothing is known of it, and counting starts anew
// with the reserve held back as at a start.
func (b *Budget) SetRule(rule Rule, now time.Time) {
	rule = rule.countable()
	b.mu.Lock()
	defer b.mu.Unlock()
	if rule.Window != b.rule.Window {
		b.byService = map[string]*window{}
		b.alone = now.Add(max(rule.Window, b.rule.Window))
	}
	b.rule = rule
}

// Members notes how many processes share the reserve. The number goes down
// only by a fifth each time: a process that is cut off from its peers must not
// take the whole reserve, since they go on spending theirs.
func (b *Budget) Members(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.members {
		b.members = n
		b.since = now
		return
	}
	if n < b.members && now.Sub(b.since) > memberMemory {
		b.members = max(n, b.members*4/5)
		b.since = now.Add(-settle)
	}
}

// MemberCount is how many processes share what they have in common. It goes down
// slowly, as Members says.
func (b *Budget) MemberCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.members
}

// memberMemory is how long a higher number of members counts. It covers a
// partition of an ordinary length, several seconds, many times over.
const memberMemory = 30 * time.Second

// AddRequest notes a first arrival at a service.
func (b *Budget) AddRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).requests[0]++
}

// TakeRetry takes one repeat out of the budget, if there is one.
func (b *Budget) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.of(service, now)
	if b.left(w, now) < 1 {
		return false
	}
	w.repeats[0]++
	return true
}

// part is this process's part of the reserve. The caller holds mu.
func (b *Budget) part(now time.Time) float64 {
	if now.Before(b.alone) || now.Sub(b.since) < settle {
		return 0
	}
	return b.rule.Reserve / float64(b.members)
}

// RetriesLeft is how many repeats a service's budget still has.
func (b *Budget) RetriesLeft(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.of(service, now), now)
}

// left is how many repeats a window still has. The caller holds mu.
func (b *Budget) left(w *window, now time.Time) float64 {
	allowed := b.rule.Ratio*float64(sum(w.requests)) + b.part(now)
	return margin*allowed - float64(sum(w.repeats))
}

// of gives a service's window, moved on to now. The caller holds mu.
func (b *Budget) of(service string, now time.Time) *window {
	w := b.byService[service]
	if w == nil {
		w = &window{begun: now}
		b.byService[service] = w
	}
	w.advance(now, b.rule.Window/slices)
	return w
}

// window counts in slices, the newest first. One slice more than the window
// has is kept for repeats, so that any window of that length is covered.
type window struct {
	begun    time.Time // of the newest slice
	requests [slices]int
	repeats  [slices + 1]int
}

func (w *window) advance(now time.Time, slice time.Duration) {
	steps := int(now.Sub(w.begun) / slice)
	if steps <= 0 {
		return
	}
	w.begun = w.begun.Add(time.Duration(steps) * slice)
	shift(w.requests[:], steps)
	shift(w.repeats[:], steps)
}

func shift(counts []int, steps int) {
	steps = min(steps, len(counts))
	copy(counts[steps:], counts[:len(counts)-steps])
	clear(counts[:steps])
}

func sum[T [slices]int | [slices + 1]int](counts T) int {
	total := 0
	for i := range len(counts) {
		total += counts[i]
	}
	return total
}
