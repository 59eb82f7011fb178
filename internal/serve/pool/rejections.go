package pool

import "time"

const (
	// rejectionLimitTTL is how long a target's limit holds after the target last stated it; it
	// states it in all its answers. It is longer than the longest pause, during which there are none.
	rejectionLimitTTL = 10 * time.Second
	// rejectionShare is the share of a target's limit that the processes use. The rest is for
	// requests that they send at the same moment.
	rejectionShare = 0.5
	// minRejectionPause and maxRejectionPause limit how long a process sends a target nothing after
	// a rejection.
	minRejectionPause = 100 * time.Millisecond
	maxRejectionPause = 5 * time.Second
)

// rejections limits how often a target has to reject requests for want of room. Some targets fall over
// if they reject more than a number of requests in a second, from all processes together, and say so.
// The zero value is that of a target without a limit.
type rejections struct {
	perSecond   int
	statedUntil time.Time
	pause       pause
}

// SetRejectionLimit stores how many rejections a second the target can take; nil means that it states
// no limit.
func (t *Target) SetRejectionLimit(perSecond *int, now time.Time) {
	s := t.statements
	s.mu.Lock()
	defer s.mu.Unlock()
	if perSecond == nil {
		s.rejections = rejections{}
		return
	}
	s.rejections.perSecond = *perSecond
	s.rejections.statedUntil = now.Add(rejectionLimitTTL)
}

func (r *rejections) limited(now time.Time) bool { return now.Before(r.statedUntil) }

// rejected records that the target has rejected a request of one of several processes. The pause is
// so long that their rejections together stay below the limit.
func (r *rejections) rejected(members int, now time.Time) {
	if !r.limited(now) {
		return
	}
	length := maxRejectionPause
	if r.perSecond > 0 {
		length = time.Duration(float64(members) / (rejectionShare * float64(r.perSecond)) * float64(time.Second))
	}
	length = min(max(length, minRejectionPause), maxRejectionPause)
	r.pause = pause{until: now.Add(length), length: length}
}

// pauseAt returns the pause after the latest rejection. It holds only while the target states its limit.
func (r *rejections) pauseAt(now time.Time) pause {
	if !r.limited(now) {
		return pause{}
	}
	return r.pause
}

// shareInUse reports whether one of several processes has its share of the target's slots in flight.
// With even shares there is nothing to reject, even if the target queues nothing.
func (r *rejections) shareInUse(members, slots, inFlight int, now time.Time) bool {
	return r.limited(now) && inFlight >= max(1, slots/members)
}

const (
	// rejectionStreak is the number of rejections from which on a target counts as one that only rejects.
	rejectionStreak = 5
	// minStreakPause and maxStreakPause limit how long a process sends nothing to a target that only rejects.
	// The pause doubles as long as the request after it is rejected, too.
	minStreakPause = 100 * time.Millisecond
	maxStreakPause = time.Second
	// streakMemory is how long after a rejection the target counts as busier than it looks.
	streakMemory = 2 * time.Second
)

// streak counts a target's latest rejections without an answer in between. A target that only rejects has nothing in
// flight: the choice by load would prefer it to those that serve, and each request would cost a retry. The zero
// value has none.
type streak struct {
	count  int
	lastAt time.Time
	pause  pause
}

// recent returns the number of rejections that count as load.
func (s *streak) recent(now time.Time) int {
	if now.Sub(s.lastAt) > streakMemory {
		return 0
	}
	return s.count
}

// rejected records a rejection, and reports whether the target only rejects from now on. Requests that were sent before
// the pause don't lengthen it.
func (s *streak) rejected(now time.Time) (began bool) {
	s.count++
	s.lastAt = now
	if s.count < rejectionStreak || now.Before(s.pause.until) {
		return false
	}
	began = s.pause.length == 0
	length := min(max(2*s.pause.length, minStreakPause), maxStreakPause)
	s.pause = pause{until: now.Add(length), length: length}
	return began
}
