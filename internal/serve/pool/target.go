package pool

import (
	"sync"
	"time"

	"github.com/vanillagate/vanillagate/internal/routing"
)

// Target is one run of one target. Its Entry may change, its identity doesn't.
type Target struct {
	ID      string
	Born    int64
	Service string
	Address string
	Zone    string
	hash    uint64 // of ID

	// mu guards what follows; a leaf, taken after Table.mu.
	mu    sync.Mutex
	entry Entry
	gone  bool
	// evacuated tells that the target's zone is.
	evacuated bool
	// coldUntil is until when the target is cold by its own word, away until when it
	// got nothing from here, so that it may have started again or become cold unseen.
	coldUntil time.Time
	away      time.Time
	lapsesAt  time.Time // zero unless the entry is gone and may come back
	inFlight  int
	tokens    int // prompt tokens of the requests that haven't started
	report    Report
	health    routing.Health
	// downUntil is when a target that took no connection is tried again, downFor
	// how long it was left alone last.
	downUntil time.Time
	downFor   time.Duration
	failing   float64 // moving share of calls that failed
}

// Report is what a target said of its load with its last answer.
type Report struct {
	Running int
	Waiting int
	Slots   int
	At      time.Time
}

// View is a target at one moment, for decisions.
type View struct {
	*Target
	Slots int
	// InFlight counts this process's calls, Tokens the prompt tokens of those
	// that the target hasn't begun to answer.
	InFlight int
	Tokens   int
	Report   Report
	// Weight is 0 for a target out of use, 1 for a sound one.
	Weight float64
	// ColdUntil is until when the target is cold by its own word. Away is until when
	// it was last out of sight: what it has become meanwhile isn't known.
	ColdUntil, Away time.Time
	// Cold is set by who decides on it.
	Cold bool
}

// Call is one call in progress at a target. End it once.
type Call struct {
	target  *Target
	table   *Table
	tokens  int
	started time.Time
	ended   bool
}

// Outcome is how a call ended, for the target's health.
type Outcome string

// The outcomes.
const (
	// Answered: the target did its part, whatever the status.
	Answered Outcome = "answered"
	// Failed: no answer, a cut one, or an error of its own.
	Failed Outcome = "failed"
	// Unreachable: it took no connection.
	Unreachable Outcome = "unreachable"
	// Full: it refused, which says nothing of its health.
	Full Outcome = "full"
	// Abandoned: this side ended the call.
	Abandoned Outcome = "abandoned"
)

// ResponseStarted notes that the target has begun to answer: the prompt is read.
func (c *Call) ResponseStarted() {
	t := c.target
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens -= c.tokens
	c.tokens = 0
}

// End notes how the call ended.
func (c *Call) End(outcome Outcome, now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	c.table.ended(c, outcome, now)
}

// SetReport takes in what a target says of its load.
func (t *Target) SetReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = r
}

// GoneOrDraining tells whether the target has left the list or is leaving.
func (t *Target) GoneOrDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone || t.entry.State != Ready
}

// reportAge is how long a target's report says something of its load: about as
// long as a short generation runs.
const reportAge = time.Second

func (t *Target) view(now time.Time, e routing.Ejection) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	if now.Sub(report.At) > reportAge {
		report = Report{}
	}
	return View{
		Target: t, Slots: t.entry.Slots, InFlight: t.inFlight, Tokens: t.tokens,
		Report: report, Weight: e.Weight(t.health, now), ColdUntil: t.coldUntil, Away: t.away,
	}
}

const (
	// firstDown and lastDown are how long a target that took no connection is
	// left alone, twice as long each time. Nothing listens there: it crashed, or
	// the path is cut. It is back after some seconds, and a try costs little.
	firstDown = 200 * time.Millisecond
	lastDown  = 1600 * time.Millisecond
)

// unreachable leaves a target alone for a while. The caller holds mu.
func (t *Target) unreachable(now time.Time) {
	if now.Before(t.downUntil) {
		return
	}
	t.downFor = min(max(2*t.downFor, firstDown), lastDown)
	t.downUntil = now.Add(t.downFor)
	t.away = t.downUntil
}

func (t *Target) usable(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone || t.evacuated || t.entry.State != Ready || now.Before(t.downUntil) {
		return false
	}
	return t.lapsesAt.IsZero() || now.Before(t.lapsesAt)
}

// mayReturn tells whether the entry of a lapsed target may still come back.
func (t *Target) mayReturn(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.gone && now.Before(t.lapsesAt)
}
