package pool

import (
	"time"

	"go.uber.org/zap"
)

// rateLimit is the request rate that a target in need takes from all processes together, as it stated last.
// The zero value is that of a target that has stated none.
type rateLimit struct {
	perSecond float64 // 0 after the need has ended
	statedAt  time.Time
	// reportedAt is when OnRateChange's function was last called with the target.
	reportedAt time.Time
}

// StatedRateShare is the share of a stated rate that is used by the process that decides on the target's
// requests: its tracker, or the gatherer of a stage target. The rest is for processes that it doesn't answer.
const StatedRateShare = 0.8

// rateReportPause is the least time between two reports of a target's changes: one that states another rate
// in each answer must not fill the links between processes. What isn't reported, others learn from
// its answers.
const rateReportPause = time.Second

// SetRateLimit stores what an answer of the target states: requests per second, 0 for no limit, or nil for
// nothing. The answer is to a request that was sent at sentAt. One that was sent before the limit was
// stated doesn't end the limit: answers may overtake each other.
func (t *Target) SetRateLimit(perSecond *float64, sentAt, now time.Time) {
	if perSecond != nil && t.stateRate(*perSecond, sentAt, now) && t.onRateChange != nil {
		t.onRateChange(t)
	}
}

// stateRate reports whether a change of the rate is to be reported.
func (t *Target) stateRate(perSecond float64, sentAt, now time.Time) (report bool) {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond == 0 && sentAt.Before(s.rateLimit.statedAt) {
		return false
	}
	if !t.updateRate(perSecond, now) || now.Sub(s.rateLimit.reportedAt) < rateReportPause {
		return false
	}
	s.rateLimit.reportedAt = now
	return true
}

// LearnRateLimit stores the rate that the target has stated to another process; 0 for no limit.
func (t *Target) LearnRateLimit(perSecond float64, now time.Time) {
	t.statements.mu.Lock()
	defer t.statements.mu.Unlock()
	t.updateRate(perSecond, now)
}

// RateLimit returns the rate that the target has stated, in requests per second; 0 for no limit.
func (t *Target) RateLimit() float64 {
	t.statements.mu.Lock()
	defer t.statements.mu.Unlock()
	return t.statements.rateLimit.perSecond
}

// updateRate replaces the rate, logs a change and reports whether there was one. The caller holds statements.mu.
func (t *Target) updateRate(perSecond float64, now time.Time) (changed bool) {
	rate := &t.statements.rateLimit
	before := rate.perSecond
	rate.perSecond, rate.statedAt = perSecond, now
	if perSecond == before {
		return false
	}
	if t.log != nil {
		t.log.Info("Target states another request rate.", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Float64("before", before), zap.Float64("per_second", perSecond))
	}
	return true
}

// OnRateChange sets the function that is called with each target that states another request rate to this
// process than before, at most once in rateReportPause. Call it before the first Apply.
func (t *Table) OnRateChange(fn func(*Target)) { t.onRateChange = fn }

// LearnRateLimit stores the rate that a target has stated to another process; see Target.LearnRateLimit.
func (t *Table) LearnRateLimit(id string, perSecond float64, now time.Time) {
	t.mu.RLock()
	target := t.byID[id]
	t.mu.RUnlock()
	if target != nil {
		target.LearnRateLimit(perSecond, now)
	}
}

// AllRateLimited reports whether a service has targets that may get requests now, and all of them have stated
// a request rate.
func (t *Table) AllRateLimited(service string, now time.Time) bool {
	found := false
	for _, target := range t.targetsOf(service) {
		if !target.usable(now) {
			continue
		}
		if target.RateLimit() <= 0 {
			return false
		}
		found = true
	}
	return found
}
