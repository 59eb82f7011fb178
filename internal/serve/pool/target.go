package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/serve/revision"
)

// Target is one run of a target. Its Entry may change, its identity doesn't.
type Target struct {
	ID      string
	Born    int64
	Service string
	Address string
	Zone    string
	Version string // of its software
	hash    uint64 // of ID
	log     *zap.Logger
	// members is the Table's number of processes, onRateChange the function set by OnRateChange.
	members      *atomic.Int64
	onRateChange func(*Target)

	// mu guards the fields below. It is taken after Table.mu; no other lock is taken while it is
	// held.
	mu    sync.Mutex
	entry Entry
	gone  bool
	// evacuated is set while the target's zone is evacuated.
	evacuated bool
	// coldUntil is when the target stops being cold according to its entry. unobservedUntil is the
	// end of the latest period in which this process sent it no requests because of an evacuation
	// or a connect backoff; the target may have restarted or become cold unnoticed until then.
	coldUntil       time.Time
	unobservedUntil time.Time
	lapsesAt        time.Time // zero unless the entry has lapsed and may reappear
	// restored is the pause of a target that was gone before its entry came back with a copy of the store.
	restored pause
	// displaced is what is known of other targets at the address.
	displaced displacement
	// earlier is a row of an earlier start. It is also written under Table.mu.
	earlier  earlierStart
	inFlight int
	tokens   int // prompt tokens of requests whose response hasn't started
	report   Report
	health   routing.Health
	// connectRetryAt is when a target that refused a connection is tried again, connectBackoff the
	// length of the last backoff.
	connectRetryAt time.Time
	connectBackoff time.Duration
	failureRate    float64 // moving average of failed calls
	// statements is the record of the target's run, not guarded by mu.
	statements *statements
}

// Report is the load that a target reported with its latest response.
type Report struct {
	Running int
	Waiting int
	Slots   int
	// Percent is how long work takes on the target's machine, in percent of the nominal time; 0 if it
	// is unknown.
	Percent int
	At      time.Time
}

// View is a snapshot of a target for routing decisions.
type View struct {
	*Target
	Slots int
	// InFlight is the number of this process's calls in flight, Tokens the number of prompt tokens
	// of those whose response hasn't started.
	InFlight int
	Tokens   int
	Report   Report
	// Weight is 0 for an ejected target and 1 for a healthy one.
	Weight float64
	// ColdUntil is when the target stops being cold according to its entry. UnobservedUntil is the end of the
	// latest period in which this process sent it no requests, so that it may have restarted or
	// become cold unnoticed.
	ColdUntil, UnobservedUntil time.Time
	// Rejected is the number of this process's latest requests that the target has rejected, without an answer in
	// between.
	Rejected int
	// ShareInUse means that the target limits its rejections and that this process has its share of
	// the target's slots in flight.
	ShareInUse bool
	// RateLimit is the request rate that the target has stated, in requests per second; 0 for no limit.
	RateLimit float64
	// Cold is set by the caller that decides whether the target counts as cold.
	Cold bool
	// Pace is the time that an engine's work takes relative to a nominal engine; 0 if it is unknown.
	// It is set by the caller.
	Pace float64
	// Rejecting is the share of requests that an engine rejects; 0 if it is low or unknown. It is set by
	// the caller.
	Rejecting float64
}

// Call is a call in progress. The caller must call End; further calls of End are ignored.
type Call struct {
	target  *Target
	table   *Table
	tokens  int
	started time.Time
	ended   bool
}

// Outcome is how a call ended, as it affects the target's health.
type Outcome string

const (
	// Answered: the target responded, with any status.
	Answered Outcome = "answered"
	// Failed: no response, a truncated one, or a server error.
	Failed Outcome = "failed"
	// Unreachable: no connection could be established.
	Unreachable Outcome = "unreachable"
	// Full: the target refused the call for lack of capacity, which says nothing about its health.
	Full Outcome = "full"
	// Refused: like Full, but the target may have room for other calls, or that it rejects is tracked for all
	// processes together.
	Refused Outcome = "refused"
	// Misdirected: another target is at the address and refused the call. This one isn't there, and nothing is known of
	// its health.
	Misdirected Outcome = "misdirected"
	// Abandoned: this side canceled the call.
	Abandoned Outcome = "abandoned"
)

// ResponseStarted records that the response has started, which means that the prompt has been read.
func (c *Call) ResponseStarted() {
	t := c.target
	t.mu.Lock()
	t.tokens -= c.tokens
	c.tokens = 0
	t.mu.Unlock()
	c.table.answeredAtAddress(t, c.started, time.Now())
}

// End records how the call ended.
func (c *Call) End(outcome Outcome, now time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	c.table.ended(c, outcome, now)
}

// SetReport stores the load that the target reported.
func (t *Target) SetReport(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = r
}

// GoneOrDraining reports whether the target was removed from the list, is draining, or has said that it leaves.
func (t *Target) GoneOrDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gone || t.entry.State != Ready || t.earlier.leaving || t.statements.isLeaving()
}

// maxReportAge is how long a load report is used: about as long as a short generation runs.
const maxReportAge = time.Second

func (t *Target) view(now time.Time, e routing.Ejection) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := t.report
	if now.Sub(report.At) > maxReportAge {
		report = Report{}
	}
	stated := t.statements
	stated.mu.Lock()
	defer stated.mu.Unlock()
	return View{
		Target: t, Slots: t.entry.Slots, InFlight: t.inFlight, Tokens: t.tokens,
		Report: report, Weight: e.Weight(t.health, now), ColdUntil: t.coldUntil, UnobservedUntil: t.unobservedUntil,
		Rejected:   stated.streak.recent(now),
		RateLimit:  stated.rateLimit.perSecond,
		ShareInUse: stated.rejections.shareInUse(t.memberCount(), t.entry.Slots, t.inFlight, now),
	}
}

const (
	// minConnectBackoff and maxConnectBackoff bound the backoff for a target that refuses
	// connections; it doubles each time. The target has crashed or the network path is cut. It is
	// usually back after some seconds, and a connection attempt is cheap.
	minConnectBackoff = 200 * time.Millisecond
	maxConnectBackoff = 1600 * time.Millisecond
)

// backOff starts the backoff after a failed connection. The caller holds mu.
func (t *Target) backOff(now time.Time) {
	if now.Before(t.connectRetryAt) {
		return
	}
	t.connectBackoff = min(max(2*t.connectBackoff, minConnectBackoff), maxConnectBackoff)
	t.connectRetryAt = now.Add(t.connectBackoff)
	t.unobservedUntil = t.connectRetryAt
}

// memberCount returns the number of processes that send requests to the target.
func (t *Target) memberCount() int {
	if t.members == nil {
		return 1
	}
	return int(max(t.members.Load(), 1))
}

// mayReturn reports whether the entry of a lapsed target may still reappear.
func (t *Target) mayReturn(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.gone && now.Before(t.lapsesAt)
}

// lastRow returns the revision of the target's latest entry.
func (t *Target) lastRow() revision.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry.Revision
}
