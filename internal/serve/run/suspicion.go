package run

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

const (
	// writingTime is how long a target writes an answer until the request no longer counts as the cause of its
	// crash, and the target has proved to survive it: a request that crashes targets does so as they begin to
	// answer it.
	writingTime = 2 * time.Second
	// maxCountedPause is how much a pause between two reads adds to that. In a longer one this process may have
	// been suspended, and the target may have died meanwhile.
	maxCountedPause = 250 * time.Millisecond
)

// traitsOfRequest returns the same traits however often, and through whichever process, a caller sends
// the same request.
func (j *job) traitsOfRequest() crashes.Traits {
	team := ""
	if j.team != nil {
		team = j.team.Name
	}
	content := crashes.ContentTrait(team, j.req.Method, j.req.Host, j.req.URI, string(j.req.Body))
	return crashes.NewTraits(content, j.req.SharedParts)
}

// refuseIfConvicted refuses the request if it is known to crash its targets; nil otherwise.
func (j *job) refuseIfConvicted() *Reply {
	if j.Suspicion == nil {
		return nil
	}
	conviction, found := j.Suspicion.Convicted(j.traits)
	if !found {
		return nil
	}
	j.Log.Info("Request would crash its target.", requestID(j.req.ID), zap.String("conviction", conviction.Key()), zap.Int("arrivals", j.sends))
	return j.errorReply(fasthttp.StatusBadGateway, CrashesTargets, 0)
}

// call describes the request's call to a target.
func (j *job) call(target *pool.Target) crashes.Call {
	return crashes.Call{RequestID: j.req.ID, Traits: j.traits, Parts: j.req.SharedParts, Target: target.ID, Address: target.Address}
}

// reportBroken reports to Suspicion that the connection to a target broke while it had the request.
// written is how long the target had been writing the answer. To a process that is cut off, all targets
// look as if they had crashed. A connection that was closed because of a bound says nothing about a crash.
func (j *job) reportBroken(target *pool.Target, written time.Duration, err error) {
	if j.Suspicion == nil || j.cutOff() || j.exceedsBound(err) {
		return
	}
	if j.ctx.Err() != nil && !brokenByTarget(err) {
		return
	}
	if written < writingTime {
		j.Suspicion.Broke(j.call(target))
	}
}

// brokenByTarget reports whether the other side ended a connection. This process ends those of callers
// that have left by a deadline in the past.
func brokenByTarget(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// reportAnswered reports that a target has survived the request. unframed means that its answer ended with the
// connection.
func (j *job) reportAnswered(target *pool.Target, unframed bool) {
	if j.Suspicion != nil {
		j.Suspicion.Answered(j.call(target), unframed)
	}
}
