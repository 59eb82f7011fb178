package run

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/serve/liveness"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

const (
	// writingTime is how long a target writes an answer until the request no longer counts as the cause of its
	// crash, and the target has proved to survive it: a request that crashes targets does so as they begin to
	// answer it.
	writingTime = 2 * time.Second
	// maxCountedPause is how much a pause between two reads adds to that. In a longer one this process may have
	// been suspended, and the target may have died meanwhile.
	maxCountedPause = 250 * time.Millisecond
	// silentTime is how long nothing has come from a target if it counts as silent at the end of a request.
	silentTime = 500 * time.Millisecond
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
	return crashes.Call{
		RequestID: j.req.ID, Traits: j.traits, Parts: j.req.SharedParts, Target: target.ID, Address: target.Address, Born: target.Born,
	}
}

// contact is when a target was in touch with this process during a call.
type contact struct {
	// sentAt is when the request began to be written, knownUntil until when the process that got it is known to have run,
	// heardAt when data last came from it, or sentAt.
	sentAt, knownUntil, heardAt time.Time
	// written is how long the target had been writing the answer.
	written time.Duration
}

// contactOf returns when the sender of an answer was in touch.
func contactOf(answer *upstream.Answer, written time.Duration) contact {
	return contact{sentAt: answer.SentAt, knownUntil: answer.KnownUntil(), heardAt: answer.LastArrival(), written: written}
}

// reportBroken reports to Suspicion that the connection to a target broke while it had the request, or that the request
// ended while the target was silent. A connection that was closed because of a bound says nothing about a crash.
func (j *job) reportBroken(target *pool.Target, was contact, err error) {
	if j.Suspicion == nil || j.exceedsBound(err) || was.written >= writingTime {
		return
	}
	if j.ctx.Err() != nil && !brokenByTarget(err) {
		j.reportUnanswered(target, was)
		return
	}
	j.Suspicion.Broke(j.brokenCall(target, was, err))
}

// reportUnanswered reports to Suspicion that the request ended while its target was silent, unless another request shows
// that the target isn't.
func (j *job) reportUnanswered(target *pool.Target, was contact) {
	now := time.Now()
	if j.Suspicion == nil || was.written >= writingTime || now.Sub(was.heardAt) < silentTime {
		return
	}
	if j.Client.HasOpenFrom(target.Address, now, now.Add(-silentTime)) {
		return
	}
	j.Suspicion.Unanswered(j.brokenCall(target, was, nil))
}

// brokenCall describes a call that ended without its answer. err is that of its connection; nil if this process ended it.
// To a process that is cut off, all targets look as if they had crashed.
func (j *job) brokenCall(target *pool.Target, was contact, err error) crashes.Call {
	c := j.call(target)
	c.HeardAt, c.Silent = was.heardAt, time.Since(was.heardAt) >= upstream.RestartTime
	c.EndedByTarget, c.CutOff = err != nil && brokenByTarget(err), j.cutOff()
	c.Ask = j.askFate(target, was)
	table := j.Table
	c.Superseded = func() bool { return table.IsSuperseded(target) }
	return c
}

// askFate returns a function that asks whether the process at the address of a target is the one that had a call. It
// doesn't keep the request in memory.
func (j *job) askFate(target *pool.Target, was contact) func(context.Context, bool) crashes.Fate {
	question := j.livenessQuestion(target, was.sentAt, was.knownUntil)
	executor, isEngine := j.Executor, j.isEngineService()
	unidentified := false
	return func(ctx context.Context, silent bool) crashes.Fate {
		if !silent && !isEngine {
			return crashes.Runs // not worth a slot
		}
		if unidentified {
			return crashes.Unknown
		}
		verdict := executor.liveness.Check(ctx, executor.Client, question)
		unidentified = verdict == liveness.Unidentified // it won't say more
		return fateBy(verdict)
	}
}

// fateBy returns what a liveness check tells of a process.
func fateBy(verdict liveness.Verdict) crashes.Fate {
	switch {
	case verdict.Runs():
		return crashes.Runs
	case verdict == liveness.Replaced:
		return crashes.Ended
	default:
		return crashes.Unknown
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
