package directory

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// AcquireRequest says what a call needs of a target.
type AcquireRequest struct {
	// Exclude lists addresses that already failed the request.
	Exclude []string
	// Units is the size of the call in the pool's own measure (tokens for a
	// generation, 1 for others); zero counts as 1.
	Units int
	// PrefillSaved gives the prefill time that a target's cache would save; nil
	// where the call has no prefix.
	PrefillSaved func(address string) time.Duration
	// PackingDegree is how far calls are put together on few targets: 0 spreads them, 1
	// fills one target after the other, as long as the call is expected to take
	// no longer than Within.
	PackingDegree float64
	MaxCallTime   time.Duration
	// QuarantineFilter, where not nil, says on which targets a suspect may run; it
	// runs there without any other suspect of this process.
	QuarantineFilter func(address string) bool
}

// Lease is a target that was picked for one call, counted in flight until Done.
type Lease struct {
	Address    string
	pool       *Pool
	entry      *entry
	units      int
	quarantine bool
	since      time.Time
}

// Result says how a call at a target ended.
type Result int

// The results.
const (
	// Succeeded with an answer.
	Succeeded Result = iota
	// Failed in a way that speaks against the target.
	Failed
	// Refused the connection: certainly down.
	Refused
	// Neutral says nothing of the target: cancelled, or the caller's fault.
	Neutral
)

// Acquire picks a target and counts the call in flight there; nil if none can
// take it now.
func (p *Pool) Acquire(want AcquireRequest, now time.Time) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	able := p.able(want, now)
	if len(able) == 0 {
		return nil
	}
	candidates := make([]routing.Candidate, len(able))
	for i, e := range able {
		candidates[i] = p.candidate(e, want, now)
	}
	chosen := able[p.pick(candidates, want)]
	chosen.inFlight++
	l := &Lease{Address: chosen.vm.Address, pool: p, entry: chosen, units: max(want.Units, 1), since: now}
	if want.QuarantineFilter != nil {
		l.quarantine = true
		chosen.quarantine++
	}
	return l
}

func (p *Pool) pick(candidates []routing.Candidate, want AcquireRequest) int {
	if want.PackingDegree > 0 {
		packing := routing.Packing{Degree: want.PackingDegree, Concurrency: max(p.full, leastFull), MaxCallTime: want.MaxCallTime}
		if chosen := packing.Pick(candidates); chosen >= 0 {
			return chosen
		}
	}
	return p.opts.Policy.Pick(candidates, p.random)
}

// leastFull is how many calls a target is taken to hold while none has been
// seen with more.
const leastFull = 4

// able lists the targets that may take a call. Targets that are ejected are
// used only if nothing else is left; those known to be down never are.
func (p *Pool) able(want AcquireRequest, now time.Time) []*entry {
	var able, ejected []*entry
	for _, e := range p.usable {
		if e.down || contains(want.Exclude, e.vm.Address) {
			continue
		}
		if want.QuarantineFilter != nil && (e.quarantine > 0 || !want.QuarantineFilter(e.vm.Address)) {
			continue
		}
		if p.weight(e, now) > 0 {
			able = append(able, e)
			continue
		}
		ejected = append(ejected, e)
	}
	if len(able) == 0 {
		return ejected
	}
	return able
}

func (p *Pool) weight(e *entry, now time.Time) float64 {
	if p.opts.NoEjection {
		return 1
	}
	return p.opts.Ejection.Weight(e.health, now)
}

func (p *Pool) candidate(e *entry, want AcquireRequest, now time.Time) routing.Candidate {
	c := routing.Candidate{
		InFlight: e.inFlight,
		CallTime: e.health.CallTime * time.Duration(max(want.Units, 1)),
		SameZone: e.vm.Zone == p.opts.Zone,
		Weight:   max(p.weight(e, now), 0.01),
	}
	if e.report != nil {
		c.ReportedLoad = e.report.Named.Running + e.report.Named.Waiting - float64(e.ownAtRep)
		c.ReportAge = now.Sub(e.reportAt)
	}
	if want.PrefillSaved != nil {
		c.PrefillSaved = want.PrefillSaved(e.vm.Address)
		c.Concurrency = max(p.full, leastFull)
	}
	return c
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Done ends the call. took is the call's whole time; it counts for Succeeded
// calls only.
func (l *Lease) Done(result Result, took time.Duration, now time.Time) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.entry
	e.inFlight--
	if l.quarantine {
		e.quarantine--
	}
	switch result {
	case Succeeded:
		e.health.FailuresInRow = 0
		e.down = false
		p.observe(e, took/time.Duration(l.units))
	case Failed:
		e.health.FailuresInRow++
	case Refused:
		e.down = true
	case Neutral:
		return
	}
	p.judge(e, now)
}

// callTimeWeight is the weight of the newest call in the moving average.
const callTimeWeight = 0.2

func (p *Pool) observe(e *entry, took time.Duration) {
	h := &e.health
	h.Calls++
	if h.CallTime == 0 {
		h.CallTime = took
		return
	}
	h.CallTime += time.Duration(callTimeWeight * float64(took-h.CallTime))
}

func (p *Pool) judge(e *entry, now time.Time) {
	if p.opts.NoEjection || now.Before(e.health.EjectedUntil) {
		return
	}
	median, out := p.survey(now)
	reason := p.opts.Ejection.EjectReason(e.health, median, out, len(p.usable))
	if reason == routing.ReasonNone {
		return
	}
	e.reason = reason
	e.health = p.opts.Ejection.Eject(e.health, now)
}

// survey gives the median call time of the pool and how many targets are
// ejected.
func (p *Pool) survey(now time.Time) (median time.Duration, out int) {
	times := make([]time.Duration, 0, len(p.usable))
	for _, e := range p.usable {
		if now.Before(e.health.EjectedUntil) {
			out++
		}
		if e.health.CallTime > 0 {
			times = append(times, e.health.CallTime)
		}
	}
	return routing.Median(times), out
}

// RecordLoadReport takes in a target's own load report.
func (l *Lease) RecordLoadReport(report *targetapi.LoadReport, now time.Time) {
	if report == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.entry.setReport(report, now)
	l.pool.full = max(l.pool.full, report.Named.Running)
}

func (e *entry) setReport(report *targetapi.LoadReport, now time.Time) {
	e.report = report
	e.reportAt = now
	e.ownAtRep = e.inFlight
}
