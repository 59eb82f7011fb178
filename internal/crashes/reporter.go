package crashes

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/peer"
)

const (
	// reportInterval is the minimum time between two reports; crashes seen in between are sent together.
	reportInterval = 500 * time.Millisecond
	// reportJitter is the maximum random delay before a crash is reported, and jitterPerMember what each
	// member adds: the reports of a large system would arrive at the collectors all at once.
	reportJitter    = 100 * time.Millisecond
	jitterPerMember = time.Millisecond
	// reportTimeout limits the call that sends one report.
	reportTimeout = time.Second
	// maxReported and maxTraitsReported limit one report, and what is kept for new collectors. The rest is
	// left out.
	maxReported       = 64
	maxTraitsReported = 4096
	// keptReports is how long crashes are reported to new collectors.
	keptReports = evidenceTTL
)

const methodReport = "crashes.report"

// report is the crash of one target while it ran a request, as sent to collectors.
type report struct {
	Target string `json:"t"`
	// Born is when the target started, in Unix milliseconds; 0 if that isn't known.
	Born int64 `json:"b,omitempty"`
	// AgeMS is how long ago the target was last known to run, SilentMS how much later at most it crashed.
	AgeMS    int64   `json:"age_ms"`
	SilentMS int64   `json:"silent_ms,omitempty"`
	Content  Trait   `json:"c"`
	Parts    []Trait `json:"p,omitempty"`
}

// crash returns the crash that is reported, without its runs.
func (r report) crash(now time.Time) crash {
	at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	silent := time.Duration(min(max(r.SilentMS, 0), evidenceTTL.Milliseconds())) * time.Millisecond
	return crash{target: r.Target, born: r.Born, at: at, until: at.Add(silent)}
}

// seenCrash is a crash that this process has seen, without its runs, and the traits of the request.
type seenCrash struct {
	crash
	traits Traits
}

// reporter sends the crashes that a process sees to the collectors.
type reporter struct {
	log     *zap.Logger
	network peer.Network
	baseCtx context.Context
	// receive gets the reports if this process is a collector.
	receive func([]report)
	choice  *collectorChoice

	mu         sync.Mutex // guards the fields below; no other lock is taken while it is held
	pending    []seenCrash
	kept       []seenCrash
	dropped    int // crashes left out of the next report
	reportedAt time.Time
	// collectors are those that know the kept crashes.
	collectors []peer.Incarnation
}

// add has a crash reported that happened between two times.
func (r *reporter) add(c Call, from, until, now time.Time) {
	jitter := reportJitter + time.Duration(len(r.network.View().Members))*jitterPerMember
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == maxReported || traitsOf(r.pending)+len(c.Traits.Parts) > maxTraitsReported && len(r.pending) > 0 {
		r.dropped++
		return
	}
	seen := seenCrash{crash: crash{target: c.Target, born: c.Born, at: from, until: until}, traits: c.Traits}
	view := r.network.View()
	if slices.Contains(r.choice.of(view), view.Self.Incarnation) {
		go r.receive(reportsOf([]seenCrash{seen}, now))
	}
	r.pending = append(r.pending, seen)
	r.kept = append(r.kept, seen)
	for len(r.kept) > maxReported || traitsOf(r.kept) > maxTraitsReported && len(r.kept) > 1 {
		r.kept = r.kept[1:]
	}
	if len(r.pending) == 1 {
		delay := max(reportInterval-now.Sub(r.reportedAt), time.Duration(rand.Float64()*float64(jitter)))
		time.AfterFunc(delay, r.sendPending)
	}
}

func traitsOf(list []seenCrash) int {
	n := 0
	for _, c := range list {
		n += len(c.traits.Parts)
	}
	return n
}

func (r *reporter) sendPending() {
	now := time.Now()
	r.mu.Lock()
	list, dropped := r.pending, r.dropped
	r.pending, r.dropped = nil, 0
	r.reportedAt = now
	r.mu.Unlock()
	if dropped > 0 {
		r.log.Warn("Too many crashes for one report; some are left out.", zap.Int("left_out", dropped))
	}
	for _, id := range r.choice.of(r.network.View()) {
		if id != r.network.Self().Incarnation {
			go r.send(id, list, now)
		}
	}
}

// followCollectors tells collectors that are new of the crashes that their predecessors know.
func (r *reporter) followCollectors(now time.Time) {
	current := r.choice.of(r.network.View())
	r.mu.Lock()
	known := r.collectors
	r.collectors = current
	r.kept = slices.DeleteFunc(r.kept, func(c seenCrash) bool { return now.Sub(c.at) > keptReports })
	list := slices.Clone(r.kept)
	r.mu.Unlock()
	if len(list) == 0 {
		return
	}
	for _, id := range current {
		if !slices.Contains(known, id) {
			go r.send(id, list, now)
		}
	}
}

func reportsOf(list []seenCrash, now time.Time) []report {
	reports := make([]report, 0, len(list))
	for _, c := range list {
		reports = append(reports, report{
			Target: c.target, Born: c.born, AgeMS: now.Sub(c.at).Milliseconds(), SilentMS: c.until.Sub(c.at).Milliseconds(),
			Content: c.traits.Content, Parts: slices.Clone(c.traits.Parts),
		})
	}
	return reports
}

func (r *reporter) send(id peer.Incarnation, list []seenCrash, now time.Time) {
	reports := reportsOf(list, now)
	if id == r.network.Self().Incarnation {
		r.receive(reports)
		return
	}
	ctx, cancel := context.WithTimeout(r.baseCtx, reportTimeout)
	defer cancel()
	if err := r.network.Call(ctx, id, methodReport, reports, nil); err != nil {
		r.log.Warn("Crashes not reported to a collector.", zap.String("member", string(id)), zap.Int("crashes", len(reports)), zap.Error(err))
	}
}
