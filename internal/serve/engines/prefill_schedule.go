package engines

import "time"

// prefillSchedule holds, for each engine, until when it reads the prompts that were sent to it. An
// engine reads one prompt after the other. The schedule reads no clock and isn't safe for
// concurrent use.
type prefillSchedule struct {
	busyUntil map[string]time.Time
	// coldBuckets holds the engines that got requests while they were cold.
	coldBuckets map[string]*tokenBucket
}

func newPrefillSchedule() *prefillSchedule {
	return &prefillSchedule{busyUntil: map[string]time.Time{}, coldBuckets: map[string]*tokenBucket{}}
}

// coldBurst is how many requests a cold engine may get at once after a pause.
const coldBurst = 2

// tokenBucket is a token bucket; a token stands for a request.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

// hasColdToken refills the bucket of a cold engine, which can handle perSecond requests a second,
// and reports whether the engine may get another one now.
func (s *prefillSchedule) hasColdToken(engine string, perSecond float64, now time.Time) bool {
	b := s.coldBuckets[engine]
	if b == nil {
		b = &tokenBucket{tokens: coldBurst, at: now}
		s.coldBuckets[engine] = b
	}
	b.tokens = min(b.tokens+perSecond*now.Sub(b.at).Seconds(), coldBurst)
	b.at = now
	return b.tokens >= 1
}

// takeColdToken takes a token from a cold engine's bucket.
func (s *prefillSchedule) takeColdToken(engine string) {
	if b := s.coldBuckets[engine]; b != nil {
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

// coldBucketTTL is how long an unused bucket is kept. After that time it would be full again.
const coldBucketTTL = 10 * time.Second

// sweep removes idle engines.
func (s *prefillSchedule) sweep(now time.Time) {
	for engine, until := range s.busyUntil {
		if !until.After(now) {
			delete(s.busyUntil, engine)
		}
	}
	for engine, b := range s.coldBuckets {
		if now.Sub(b.at) > coldBucketTTL {
			delete(s.coldBuckets, engine)
		}
	}
}
