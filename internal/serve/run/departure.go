package run

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// mostCut is the share of a route's requests that may fail to finish before this process
	// ends for one more to be started. One that is refused begins anew elsewhere.
	mostCut = 0.25
	// tailFactor is how many times as long as the median of its route an answer may take.
	tailFactor = 3
	// leavingRetry is when a caller that is refused because this process ends comes back:
	// at once, since others serve it.
	leavingRetry = 10 * time.Millisecond
)

// ShutdownSchedule is the planned end of this process.
type ShutdownSchedule struct {
	// AcceptUntil is when it stops accepting requests, End when it ends.
	AcceptUntil, End time.Time
}

// Leave bounds the work on requests by the end of this process.
func (e *Executor) Leave(d ShutdownSchedule) { e.departure.Store(&d) }

// AcceptFor is how long this process may go on accepting requests if it ends after a time, so
// that it finishes all of them. It is all of that time while no answers are known.
func (e *Executor) AcceptFor(left time.Duration) time.Duration {
	var slowest time.Duration
	if p := e.Plans.Current(); p != nil {
		slowest = e.answers.slowestMedian(p.Routes)
	}
	return max(left-tailFactor*slowest, 0)
}

// refuseLate refuses a request that comes after this process has stopped accepting; nil where
// it hasn't. Its port is closed by then, but connections are open.
func (j *job) refuseLate() *Reply {
	d := j.departure.Load()
	if d == nil || time.Now().Before(d.AcceptUntil) {
		return nil
	}
	return refuse(fasthttp.StatusServiceUnavailable, ShuttingDown, leavingRetry)
}

// refuseCut refuses a request that is about to be sent to a target, but would probably be cut
// when this process ends; nil where there is time for it.
func (j *job) refuseCut() *Reply {
	d := j.departure.Load()
	if d == nil || j.answers.longer(j.route.Name, time.Until(d.End)) <= mostCut {
		return nil
	}
	return j.finish(fasthttp.StatusGatewayTimeout, ShuttingDown, leavingRetry)
}
