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
}

// SetRateLimit stores what an answer of the target states: requests per second, 0 for no limit, or nil for
// nothing. The answer is to a request that was sent at sentAt. One that was sent before the limit was
// stated doesn't end the limit: answers may overtake each other.
func (t *Target) SetRateLimit(perSecond *float64, sentAt, now time.Time) {
	if perSecond != nil && t.stateRate(*perSecond, sentAt, now) && t.onRateChange != nil {
		t.onRateChange(t)
	}
}

// stateRate reports whether the rate is another one than before.
func (t *Target) stateRate(perSecond float64, sentAt, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if perSecond == 0 && sentAt.Before(t.rateLimit.statedAt) {
		return false
	}
	return t.updateRate(perSecond, now)
}

// LearnRateLimit stores the rate that the target has stated to another process; 0 for no limit.
func (t *Target) LearnRateLimit(perSecond float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateRate(perSecond, now)
}

// RateLimit returns the rate that the target has stated, in requests per second; 0 for no limit.
func (t *Target) RateLimit() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateLimit.perSecond
}

// updateRate replaces the rate, logs a change and reports whether there was one. The caller holds mu.
func (t *Target) updateRate(perSecond float64, now time.Time) (changed bool) {
	before := t.rateLimit.perSecond
	t.rateLimit = rateLimit{perSecond: perSecond, statedAt: now}
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
// process than before. Call it before the first Apply.
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
