// Package quota bounds the retries that all processes together send to a service, without a
// coordinator: each process may send a share of its own requests again, plus its part of a common
// reserve.
package quota

import (
	"sync"
	"time"
)

// Rule is the bound for all processes together: in any Window, at most Ratio times the number of
// requests plus Reserve retries.
type Rule struct {
	Ratio   float64
	Reserve float64
	Window  time.Duration
}

// boundShare is the part of the bound that is used. The rest covers calls in transit at a window's
// edge and counts that differ by a request or two.
const boundShare = 0.85

// windowSlices is the number of slices that a window is divided into for counting.
const windowSlices = 10

// Budget counts one process's requests and retries by service.
type Budget struct {
	mu        sync.Mutex // guards the fields below; no other lock is taken while it is held
	rule      Rule
	byService map[string]*window
	processes processCount
	// noReserveUntil is until when retries may use only the share of the process's own requests,
	// noRetriesUntil until when there are none at all.
	noReserveUntil time.Time
	noRetriesUntil time.Time
	// countsFrom is when the counts begin: at the start of a process that replaces another, else with
	// the first request. Zero before that.
	countsFrom time.Time
}

// defaultWindow is used if a rule has no window or one with less than a nanosecond per slice. A
// zero slice length would cause a division by zero at every request.
const defaultWindow = 10 * time.Second

func (r Rule) withValidWindow() Rule {
	if r.Window < windowSlices {
		r.Window = defaultWindow
	}
	return r
}

// New returns a budget for a process of a system that starts for the first time.
func New(rule Rule, now time.Time) *Budget {
	b := &Budget{rule: rule.withValidWindow(), byService: map[string]*window{}}
	b.processes.see(1, now)
	return b
}

// NewAfterRestart returns a budget for a process that replaces another. It allows nothing for a whole
// window, since its predecessor may just have spent its part. Otherwise the bound could be
// spent twice within one window, for example if all processes were killed during an outage of
// targets. It also awaits its peers, see AwaitPeers.
func NewAfterRestart(rule Rule, now time.Time) *Budget {
	b := New(rule, now)
	b.noRetriesUntil = now.Add(b.rule.Window)
	b.countsFrom = now
	b.AwaitPeers()
	return b
}

// AwaitPeers makes the number of processes unknown until another process is seen. A process that starts
// while it is cut off sees only itself, and must not take the whole reserve.
func (b *Budget) AwaitPeers() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = processCount{awaitsPeers: true}
}

// SetOnlyProcess ends AwaitPeers: there are no other processes.
func (b *Budget) SetOnlyProcess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.processes.awaitsPeers {
		b.processes.awaitsPeers = false
		b.processes.see(1, now)
	}
}

// SetRule replaces the rule. Counts are kept unless the length of the window changes; then counting
// starts anew with the reserve held back as after a restart.
func (b *Budget) SetRule(rule Rule, now time.Time) {
	rule = rule.withValidWindow()
	b.mu.Lock()
	defer b.mu.Unlock()
	if rule.Window != b.rule.Window {
		b.byService = map[string]*window{}
		b.noReserveUntil = now.Add(max(rule.Window, b.rule.Window))
		b.countsFrom = now
	}
	b.rule = rule
}

// SetMemberCount sets the number of processes that this one sees, including itself. The highest number
// holds for processCountHold after it was last seen.
func (b *Budget) SetMemberCount(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes.see(n, now)
}

// LearnProcessCount records how many processes another one has counted, and how long ago it last saw them
// all. A process that has restarted learns in this way of those that are out of sight.
func (b *Budget) LearnProcessCount(n int, age time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if age <= processCountHold {
		b.processes.learn(n, now.Add(-age), now)
	}
}

// ProcessCount returns the number of processes that share common bounds, also if some of them are out of
// sight, and how long ago they were last all seen. It is 0 while the number is unknown.
func (b *Budget) ProcessCount(now time.Time) (n int, age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.processes.highest, now.Sub(b.processes.seenAt)
}

// AddRequest counts the first arrival of a request at a service.
func (b *Budget) AddRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.countsFrom.IsZero() {
		b.countsFrom = now
	}
	b.windowFor(service, now).requests[0]++
}

// reserveShare returns this process's part of the reserve. The caller holds mu.
func (b *Budget) reserveShare(now time.Time) float64 {
	if now.Before(b.noReserveUntil) || !b.processes.settled(now) {
		return 0
	}
	return b.rule.Reserve / float64(b.processes.highest)
}

// RetriesSpent returns the number of retries that count against a service's budget.
func (b *Budget) RetriesSpent(service string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.windowFor(service, now).spent()
}

// RetriesLeft returns the number of retries left in a service's budget.
func (b *Budget) RetriesLeft(service string, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retriesLeft(b.windowFor(service, now), now)
}

// retriesLeft returns the number of retries left in a window. The caller holds mu.
func (b *Budget) retriesLeft(w *window, now time.Time) float64 {
	if now.Before(b.noRetriesUntil) {
		return 0
	}
	allowed := b.rule.Ratio*b.countedRequests(w, now) + b.reserveShare(now)
	return boundShare*allowed - float64(w.spent())
}

// maxGrowth is the factor by which the rate of the requests that allow retries may exceed the earlier rate.
const maxGrowth = 1.25

// countedRequests returns the number of requests that allow retries. Requests that this process has
// taken over from others don't, for the length of a window: those may just have spent the
// retries for the same traffic. The caller holds mu.
func (b *Budget) countedRequests(w *window, now time.Time) float64 {
	latest := float64(sum(w.requests[:windowSlices]))
	slices := min(int(now.Sub(b.countsFrom)/b.slice())+1, len(w.requests))
	older := slices / 2
	if older == 0 {
		return latest
	}
	perSlice := float64(sum(w.requests[slices-older:slices])) / float64(older)
	return min(latest, maxGrowth*perSlice*float64(min(slices, windowSlices)))
}

func (b *Budget) slice() time.Duration { return b.rule.Window / windowSlices }

// windowFor returns a service's window, advanced to now. The caller holds mu.
func (b *Budget) windowFor(service string, now time.Time) *window {
	w := b.byService[service]
	if w == nil {
		w = &window{sliceStart: now}
		b.byService[service] = w
	}
	w.advance(now, b.slice())
	return w
}

// window holds counts per slice, the newest first. Requests have the slices of two windows. Retries have
// one slice more than the window, so that any window of that length is covered.
type window struct {
	sliceStart time.Time // of the newest slice
	requests   [2 * windowSlices]int
	retries    [windowSlices + 1]int
	// unsent is the number of retries that were taken and neither sent nor cancelled.
	unsent int
}

// spent returns the number of retries that count against the budget.
func (w *window) spent() int { return sum(w.retries[:]) + w.unsent }

func (w *window) advance(now time.Time, slice time.Duration) {
	steps := int(now.Sub(w.sliceStart) / slice)
	if steps <= 0 {
		return
	}
	w.sliceStart = w.sliceStart.Add(time.Duration(steps) * slice)
	shift(w.requests[:], steps)
	shift(w.retries[:], steps)
}

func shift(counts []int, steps int) {
	steps = min(steps, len(counts))
	copy(counts[steps:], counts[:len(counts)-steps])
	clear(counts[:steps])
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
