package run

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// maxRejectedSends is the maximum number of engines to which a request is sent if all of them rejected it:
// where a third of the engines reject two thirds of their requests, nearly all requests find one.
const maxRejectedSends = 8

// tracksRejections reports whether the request is for engines whose rejections are tracked.
func (j *job) tracksRejections() bool {
	if j.Engines == nil || j.LeaveOut.Has(leaveout.EngineRejections) {
		return false
	}
	service := j.Plans.Service(j.service)
	return service != nil && service.Engine != nil
}

// maxSends returns the maximum number of targets to which the request is sent if each of them refuses it.
func (j *job) maxSends() int {
	if j.sends > 0 && j.rejected == j.sends && j.tracksRejections() {
		return maxRejectedSends
	}
	return maxSends
}

// recordRejection records that a target didn't run the request. An engine that was sent to by mistake, or
// whose inputs are gone, has not rejected it.
func (j *job) recordRejection(target *pool.Target, status int) {
	if status == fasthttp.StatusMisdirectedRequest || status == fasthttp.StatusConflict || !j.tracksRejections() {
		return
	}
	j.rejected++
	j.Metrics.count(series("vanillagate_engine_rejections", "service", j.service))
	j.Engines.ObserveRejection(j.service, target)
}

// refusalOutcome returns the outcome of a call that the target didn't run.
func (j *job) refusalOutcome(status int) pool.Outcome {
	switch status {
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		if j.tracksRejections() {
			return pool.Refused
		}
		return pool.Full
	case fasthttp.StatusMisdirectedRequest:
		return pool.Misdirected
	default: // the request is at fault
		return pool.Refused
	}
}

// setRejections sets which engines reject requests.
func (c *choice) setRejections(views []pool.View) {
	if c.isEngine && c.job.tracksRejections() {
		c.job.Engines.SetRejections(views, c.now)
	}
}

// markRejecting sets the share of requests that an engine rejects.
func markRejecting(views []pool.View, target *pool.Target, share float64) {
	if v := viewOf(views, target); v != nil {
		v.Rejecting = share
	}
}

// mostlyRejects reports whether an engine rejects most requests, so that it is chosen only if no other is left.
func mostlyRejects(views []pool.View, target *pool.Target) bool {
	v := viewOf(views, target)
	return v != nil && v.Rejecting >= engines.MostlyRejecting
}

// onlyRejecting reports whether all of the given engines reject most requests, so that others have to be
// considered, too.
func (c *choice) onlyRejecting(views []pool.View) bool {
	return c.isEngine && c.job.tracksRejections() && c.job.Engines.SetRejections(views, c.now).Least >= engines.MostlyRejecting
}

// leavesRetry reports whether a request that engines have rejected leaves what is left of the retry budget to
// more urgent ones.
func (j *job) leavesRetry() bool {
	if j.rejected == 0 || !j.tracksRejections() || j.retry.Unsent() {
		return false
	}
	now := time.Now()
	return j.serviceRejections(now).LeavesRetry(plan.EffectivePriority(j.route, j.team), j.budgetLeft(now))
}

// admitDespiteRejections decides before the stages whether a request is admitted that its engines would
// probably reject. rejecting means that they reject most requests.
func (j *job) admitDespiteRejections() (rejecting bool, refusal *Reply) {
	if !j.tracksRejections() {
		return false, nil
	}
	now := time.Now()
	s := j.serviceRejections(now)
	if s.Admits(plan.EffectivePriority(j.route, j.team), j.budgetLeft(now), rand.Float64()) {
		return s.Mostly(), nil
	}
	return true, j.errorReply(fasthttp.StatusServiceUnavailable, EnginesReject, s.DecayTime())
}

// serviceRejections returns what this process knows of the rejections of the request's engines. It looks at
// all engines of the service only while some are known to reject requests.
func (j *job) serviceRejections(now time.Time) engines.ServiceRejections {
	if !j.Engines.AnyRejecting() {
		return engines.ServiceRejections{}
	}
	return j.Engines.SetRejections(j.eligible(j.Table.Views(j.service, now)), now)
}

// budgetLeft returns the part of the service's retry budget that is left.
func (j *job) budgetLeft(now time.Time) float64 {
	left, spent := j.Budget.RetriesLeft(j.service, now), float64(j.Budget.RetriesSpent(j.service, now))
	if left <= 0 {
		return 0
	}
	return left / (left + spent)
}
