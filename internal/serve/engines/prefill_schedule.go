package engines

import "time"

// prefillSchedule holds, for each engine, until when it reads the prompts that were sent to it. An
// engine reads one prompt after the other. The schedule reads no clock and isn't safe for
// concurrent use.
type prefillSchedule struct {
	busyUntil map[string]time.Time
	// buckets holds the engines that got requests while their rate was limited.
	buckets map[string]*tokenBucket
}

func newPrefillSchedule() *prefillSchedule {
	return &prefillSchedule{busyUntil: map[string]time.Time{}, buckets: map[string]*tokenBucket{}}
}

const (
	// rateBurst is how many requests an engine with a limited rate may get at once after a pause.
	rateBurst = 2
	// rankReserve is the part of a token that a request leaves in the bucket for each rank before its
	// own, up to lastRank.
	rankReserve = 0.2
	lastRank    = 4
)

// tokenBucket is a token bucket; a token stands for a request.
type tokenBucket struct {
	tokens    float64
	perSecond float64
	at        time.Time
}

// hasToken refills the bucket of an engine that takes perSecond requests a second, 0 for no limit, and
// reports whether it may get a request of a rank now. If not, wait is the time until it may get one of the
// first rank.
func (s *prefillSchedule) hasToken(engine string, perSecond float64, rank int, now time.Time) (has bool, wait time.Duration) {
	if perSecond <= 0 {
		return true, 0
	}
	b := s.buckets[engine]
	if b == nil {
		b = &tokenBucket{tokens: rateBurst, at: now}
		s.buckets[engine] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), rateBurst)
	b.at, b.perSecond = now, perSecond
	if reserve := rankReserve * float64(min(max(rank, 0), lastRank)); b.tokens >= 1+reserve {
		return true, 0
	}
	return false, max(time.Duration((1-b.tokens)/perSecond*float64(time.Second)), 0)
}

// takeToken takes a token from an engine's bucket.
func (s *prefillSchedule) takeToken(engine string) {
	if b := s.buckets[engine]; b != nil {
		b.tokens--
	}
}

// wait returns how long a new prompt would wait at an engine.
func (s *prefillSchedule) wait(engine string, now time.Time) time.Duration {
	return max(s.busyUntil[engine].Sub(now), 0)
}

// reserve adds a prompt to an engine's schedule and returns its wait. If the wait would exceed
// limit, the prompt is not added and taken is false.
func (s *prefillSchedule) reserve(engine string, prefill, limit time.Duration, now time.Time) (wait time.Duration, taken bool) {
	wait = s.wait(engine, now)
	if wait > limit {
		return wait, false
	}
	s.busyUntil[engine] = now.Add(wait + prefill)
	return wait, true
}

// sweep removes idle engines, and buckets that would be full again.
func (s *prefillSchedule) sweep(now time.Time) {
	for engine, until := range s.busyUntil {
		if !until.After(now) {
			delete(s.busyUntil, engine)
		}
	}
	for engine, b := range s.buckets {
		if b.perSecond*now.Sub(b.at).Seconds() > rateBurst {
			delete(s.buckets, engine)
		}
	}
}
