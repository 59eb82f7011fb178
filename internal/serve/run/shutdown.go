package run

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxCutShare is the maximum share of a route's requests that may be cut off by the end
	// of this process for another one to be started. A refused request is sent again to
	// another process.
	maxCutShare = 0.25
	// tailFactor is how many times the median of its route an answer is allowed to take.
	tailFactor = 3
	// shutdownRetryAfter is when a caller that is refused because of the shutdown should
	// retry: at once, since other processes serve it.
	shutdownRetryAfter = 10 * time.Millisecond
)

// ShutdownSchedule is the schedule of this process's planned shutdown.
type ShutdownSchedule struct {
	// AcceptUntil is when the process stops accepting requests, End when it exits.
	AcceptUntil, End time.Time
}

// StartShutdown limits the processing of requests according to the schedule of the shutdown.
func (e *Executor) StartShutdown(d ShutdownSchedule) { e.shutdown.Store(&d) }

// AcceptFor returns how long this process may go on accepting requests and still finish all
// of them if it exits after the given time. It returns the whole time if no answers have
// been recorded.
func (e *Executor) AcceptFor(left time.Duration) time.Duration {
	var slowest time.Duration
	if p := e.Plans.Current(); p != nil {
		slowest = e.answerStats.slowestMedian(p.Routes)
	}
	return max(left-tailFactor*slowest, 0)
}

// Accepting reports whether this process accepts requests: it isn't shutting down, or its
// schedule still allows it.
func (e *Executor) Accepting() bool {
	d := e.shutdown.Load()
	return d == nil || time.Now().Before(d.AcceptUntil)
}

// refuseAfterClose refuses a request that comes after this process has stopped accepting
// requests; nil if it still accepts. Its port is closed by then, but connections may still
// be open.
func (j *job) refuseAfterClose() *Reply {
	if j.Accepting() {
		return nil
	}
	return RefuseForShutdown()
}

// RefuseForShutdown returns the answer to a request that hasn't run and won't, because this
// process is shutting down.
func RefuseForShutdown() *Reply {
	return refuse(fasthttp.StatusServiceUnavailable, ShuttingDown, shutdownRetryAfter)
}

// refuseIfCutByShutdown refuses a request that is about to be sent to a target, but would probably
// be cut off by the end of this process; nil if there is enough time.
func (j *job) refuseIfCutByShutdown() *Reply {
	d := j.shutdown.Load()
	if d == nil || j.answerStats.shareLonger(j.route.Name, time.Until(d.End)) <= maxCutShare {
		return nil
	}
	return j.errorReply(fasthttp.StatusGatewayTimeout, ShuttingDown, shutdownRetryAfter)
}
