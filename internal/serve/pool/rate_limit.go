package pool

import (
	"time"

	"go.uber.org/zap"
)

// RateLimit is the request rate that a target in need takes from all processes together, as it stated last.
// The zero value is that of a target that has stated nothing.
type RateLimit struct {
	// PerSecond is 0 if the target has stated that there is no limit.
	PerSecond float64
	// StatedAt is when the target stated it.
	StatedAt time.Time
}

// SetRateLimit stores what an answer of the target states: a rate, 0 for no limit, or nil for nothing. The
// answer is to a request that was sent at sentAt. One that was sent before the limit was stated doesn't end
// the limit: answers may overtake each other.
func (t *Target) SetRateLimit(perSecond *float64, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if perSecond == nil || *perSecond == 0 && sentAt.Before(t.rateLimit.StatedAt) {
		return
	}
	t.learnRateLimit(RateLimit{PerSecond: *perSecond, StatedAt: now})
}

// LearnRateLimit stores what the target has stated to another process, if that is newer.
func (t *Target) LearnRateLimit(stated RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stated.StatedAt.After(t.rateLimit.StatedAt) {
		t.learnRateLimit(stated)
	}
}

// RateLimit returns what the target has stated last.
func (t *Target) RateLimit() RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateLimit
}

// learnRateLimit replaces the limit and logs a change. The caller holds mu.
func (t *Target) learnRateLimit(stated RateLimit) {
	if t.log != nil && stated.PerSecond != t.rateLimit.PerSecond {
		t.log.Info("Target states another request rate.", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Float64("before", t.rateLimit.PerSecond), zap.Float64("per_second", stated.PerSecond))
	}
	t.rateLimit = stated
}
