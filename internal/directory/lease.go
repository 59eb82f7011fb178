package directory

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/routing"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

// AcquireRequest holds the requirements of a call for the choice of its target.
type AcquireRequest struct {
	// Exclude lists the addresses at which this request has already failed.
	Exclude []string
	// Units is the size of the call: the number of tokens of a generation, 1 for
	// other calls. Zero counts as 1.
	Units int
	// PrefillSaved returns the prefill time that a target's prefix cache would save;
	// nil if the call has no prefix.
	PrefillSaved func(address string) time.Duration
	// PackingDegree is how strongly calls are concentrated on few targets: 0 spreads
	// them, 1 fills one target after the other, as long as the expected time of the
	// call stays within MaxCallTime.
	PackingDegree float64
	MaxCallTime   time.Duration
	// QuarantineFilter, if not nil, marks the request as suspected of crashing targets,
	// and reports at which targets it may run. No other suspected request of this
	// process runs at the chosen target meanwhile.
	QuarantineFilter func(address string) bool
}

// Lease is a target chosen for one call, which counts as in flight until Done.
type Lease struct {
	Address     string
	pool        *Pool
	target      *targetState
	units       int
	quarantined bool
	acquiredAt  time.Time
}

// Result is how a call at a target ended.
type Result int

// The results.
const (
	// Succeeded means that the target answered.
	Succeeded Result = iota
	// Failed is a failure that counts against the target's health.
	Failed
	// Refused means that the target refused the connection: it is down.
	Refused
	// Neutral says nothing about the target's health: the call was cancelled, or the
	// caller was at fault.
	Neutral
)

// Acquire chooses a target and counts the call as in flight there. It returns nil
// if no target can take the call now.
func (p *Pool) Acquire(req AcquireRequest, now time.Time) *Lease {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := p.eligible(req, now)
	if len(targets) == 0 {
		return nil
	}
	candidates := make([]routing.Candidate, len(targets))
	for i, e := range targets {
		candidates[i] = p.candidate(e, req, now)
	}
	chosen := targets[p.pick(candidates, req)]
	chosen.inFlight++
	l := &Lease{Address: chosen.vm.Address, pool: p, target: chosen, units: max(req.Units, 1), acquiredAt: now}
	if req.QuarantineFilter != nil {
		l.quarantined = true
		chosen.quarantined++
	}
	return l
}

func (p *Pool) pick(candidates []routing.Candidate, req AcquireRequest) int {
	if req.PackingDegree > 0 {
		packing := routing.Packing{Degree: req.PackingDegree, Concurrency: max(p.maxRunning, minConcurrency), MaxCallTime: req.MaxCallTime}
		if chosen := packing.Pick(candidates); chosen >= 0 {
			return chosen
		}
	}
	return p.opts.Policy.Pick(candidates, p.random)
}

// minConcurrency is the number of concurrent calls that every target is assumed to
// handle until a target reports more.
const minConcurrency = 4

// eligible lists the targets that may take a call. Ejected targets are used only if
// no other is left; targets known to be down never are.
func (p *Pool) eligible(req AcquireRequest, now time.Time) []*targetState {
	var targets, ejected []*targetState
	for _, e := range p.subset {
		if e.down || contains(req.Exclude, e.vm.Address) {
			continue
		}
		if req.QuarantineFilter != nil && (e.quarantined > 0 || !req.QuarantineFilter(e.vm.Address)) {
			continue
		}
		if p.weight(e, now) > 0 {
			targets = append(targets, e)
			continue
		}
		ejected = append(ejected, e)
	}
	if len(targets) == 0 {
		return ejected
	}
	return targets
}

func (p *Pool) weight(e *targetState, now time.Time) float64 {
	if p.opts.NoEjection {
		return 1
	}
	return p.opts.Ejection.Weight(e.health, now)
}

func (p *Pool) candidate(e *targetState, req AcquireRequest, now time.Time) routing.Candidate {
	c := routing.Candidate{
		InFlight: e.inFlight,
		CallTime: e.health.CallTime * time.Duration(max(req.Units, 1)),
		SameZone: e.vm.Zone == p.opts.Zone,
		Weight:   max(p.weight(e, now), 0.01),
	}
	if e.report != nil {
		c.ReportedLoad = e.report.Named.Running + e.report.Named.Waiting - float64(e.inFlightAtReport)
		c.ReportAge = now.Sub(e.reportAt)
	}
	if req.PrefillSaved != nil {
		c.PrefillSaved = req.PrefillSaved(e.vm.Address)
		c.Concurrency = max(p.maxRunning, minConcurrency)
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

// Done ends the call and updates the target's health. took is the total duration
// of the call; it is used only if the call Succeeded.
func (l *Lease) Done(result Result, took time.Duration, now time.Time) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	e := l.target
	e.inFlight--
	if l.quarantined {
		e.quarantined--
	}
	switch result {
	case Succeeded:
		e.health.FailuresInRow = 0
		e.down = false
		p.recordCallTime(e, took/time.Duration(l.units))
	case Failed:
		e.health.FailuresInRow++
	case Refused:
		e.down = true
	case Neutral:
		return
	}
	p.ejectIfUnhealthy(e, now)
}

// callTimeWeight is the weight of the newest call in the moving average.
const callTimeWeight = 0.2

func (p *Pool) recordCallTime(e *targetState, took time.Duration) {
	h := &e.health
	h.Calls++
	if h.CallTime == 0 {
		h.CallTime = took
		return
	}
	h.CallTime += time.Duration(callTimeWeight * float64(took-h.CallTime))
}

func (p *Pool) ejectIfUnhealthy(e *targetState, now time.Time) {
	if p.opts.NoEjection || now.Before(e.health.EjectedUntil) {
		return
	}
	median, ejected := p.callTimeStats(now)
	reason := p.opts.Ejection.EjectReason(e.health, median, ejected, len(p.subset))
	if reason == routing.ReasonNone {
		return
	}
	e.ejectReason = reason
	e.health = p.opts.Ejection.Eject(e.health, now)
}

// callTimeStats returns the median call time of the pool and the number of ejected
// targets.
func (p *Pool) callTimeStats(now time.Time) (median time.Duration, ejected int) {
	times := make([]time.Duration, 0, len(p.subset))
	for _, e := range p.subset {
		if now.Before(e.health.EjectedUntil) {
			ejected++
		}
		if e.health.CallTime > 0 {
			times = append(times, e.health.CallTime)
		}
	}
	return routing.Median(times), ejected
}

// RecordLoadReport stores the load report that the target sent.
func (l *Lease) RecordLoadReport(report *targetapi.LoadReport, now time.Time) {
	if report == nil {
		return
	}
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.target.setReport(report, now)
	l.pool.maxRunning = max(l.pool.maxRunning, report.Named.Running)
}

func (e *targetState) setReport(report *targetapi.LoadReport, now time.Time) {
	e.report = report
	e.reportAt = now
	e.inFlightAtReport = e.inFlight
}
