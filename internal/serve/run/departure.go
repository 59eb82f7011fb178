package run

import (
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// mostCut is the share of requests that may fail to finish before this process ends for
	// one like them to be served. It isn't small: a caller that is refused begins anew
	// elsewhere, and may be late or refused there.
	mostCut = 0.25
	// tailFactor is how many times as long as the median of its route an answer may take:
	// lengths differ, and under load answers become slower while a shutdown goes on.
	tailFactor = 3
	// leavingRetry is when a caller that is refused because this process ends comes back:
	// at once, since others serve it.
	leavingRetry = 10 * time.Millisecond
)

// Leave bounds the work on all requests by the end of this process: those that probably
// can't be finished by then are refused as long as they haven't run.
func (e *Executor) Leave(end time.Time) { e.endsAt.Store(&end) }

// AcceptFor is how long this process may go on accepting requests if it ends after a time, so
// that it finishes all of them. It is all of that time while no answers are known.
func (e *Executor) AcceptFor(left time.Duration) time.Duration {
	return max(left-tailFactor*e.answers.slowestMedian(), 0)
}

// refuseCut refuses a request that would probably be cut when this process ends; nil where
// there is time for it. took gives how long requests of its route took from this point on.
func (j *job) refuseCut(took func(*answerTimes) *recentTimes) *Reply {
	end := j.endsAt.Load()
	if end == nil || j.answers.longer(j.route.Name, took, time.Until(*end)) <= mostCut {
		return nil
	}
	return j.finish(fasthttp.StatusGatewayTimeout, Leaving, leavingRetry)
}
