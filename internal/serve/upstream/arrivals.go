package upstream

import "time"

const (
	// RestartTime is less than a target needs to start again at its address after its process has ended.
	RestartTime = 250 * time.Millisecond
	// steadyTime is how long data has to arrive without a pause until a pause before that no longer counts. What a process
	// sent before its end arrives at once when the path to it is whole again.
	steadyTime = time.Second
	// pauseFactor is how much longer than the time between the two arrivals before it a pause is. longestInterval limits
	// that time, beyond which each one is a pause.
	pauseFactor     = 1.5
	longestInterval = 2 * RestartTime
)

// arrivals tells from the times at which an answer's data arrive until when its sender is known to have run. After a
// pause the data may be what a process sent before its end, delayed on a path that was interrupted. A pause is at least
// RestartTime, and longer than usual for a sender that is slow all the time.
type arrivals struct {
	last       time.Time
	interval   time.Duration // between the last two arrivals
	knownUntil time.Time
	// steadySince is when data arrived after a pause that still counts; zero if there is none.
	steadySince time.Time
}

func newArrivals(sentAt time.Time) arrivals { return arrivals{last: sentAt, knownUntil: sentAt} }

// add records that data have arrived.
func (a *arrivals) add(now time.Time) {
	interval := now.Sub(a.last)
	if interval >= a.pause() {
		a.steadySince = now
	}
	a.last, a.interval = now, interval
	if a.steadySince.IsZero() || now.Sub(a.steadySince) >= steadyTime {
		a.knownUntil, a.steadySince = now, time.Time{}
	}
}

// pause returns from what time on nothing arrives in a pause.
func (a *arrivals) pause() time.Duration {
	usual := time.Duration(pauseFactor * float64(a.interval))
	return min(max(usual, RestartTime), longestInterval)
}

// Read reads from the body and records when data arrive.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if n > 0 {
		a.arrivals.add(time.Now())
	}
	return n, err
}

// KnownUntil returns until when the process that sends the answer is known to have run.
func (a *Answer) KnownUntil() time.Time { return a.arrivals.knownUntil }

// LastArrival returns when data last arrived; before the first, when the request began to be written.
func (a *Answer) LastArrival() time.Time { return a.arrivals.last }

// ConnOpened returns when the answer's connection was opened.
func (a *Answer) ConnOpened() time.Time { return a.conn.Opened }
