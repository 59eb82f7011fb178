package run

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// reserveTarget claims the target before the stages run, if all targets of the service have stated a
// request rate, or engines reject most requests: results of stages would be wasted on a request that no
// target takes. It returns the refusal if none takes the request now, else nil.
func (j *job) reserveTarget() *Reply {
	rateLimited := j.RateLimiter != nil && j.Table.AllRateLimited(j.service, time.Now())
	rejecting, refusal := j.admitDespiteRejections()
	if refusal != nil || !rateLimited && !rejecting {
		return refusal
	}
	j.reserved = j.choose()
	switch {
	case j.reserved != nil:
		return nil
	case rateLimited:
		return j.refuseForRate()
	default:
		return j.refuseWithoutTarget()
	}
}

// takeReserved returns the target that was claimed before the stages, if it still accepts requests.
func (j *job) takeReserved() *pool.Target {
	target := j.reserved
	j.reserved = nil
	if target == nil || target.Declines(time.Now()) {
		return nil
	}
	return target
}

// refuseWithoutTarget refuses the request because no target takes it.
func (j *job) refuseWithoutTarget() *Reply {
	if j.RateLimiter != nil && j.Table.AllRateLimited(j.service, time.Now()) {
		return j.refuseForRate()
	}
	if j.origin != nil {
		return j.refuseVersionGone()
	}
	return j.giveUp(NoTarget, fasthttp.StatusBadGateway)
}

// refuseForRate refuses the request because no target takes more requests for now.
func (j *job) refuseForRate() *Reply {
	return j.errorReply(fasthttp.StatusBadGateway, RateLimited, retryAfter(j.rateWait()))
}

// rateWait returns the time until one of the targets with a stated rate may take a request.
func (j *job) rateWait() time.Duration {
	now := time.Now()
	soonest := maxRetryAfter
	for _, v := range j.Table.Views(j.service, now) {
		if v.RateLimit <= 0 {
			continue
		}
		wait := j.RateLimiter.DeferredFor(v.ID, now)
		if wait == 0 {
			wait = time.Duration(float64(time.Second) / v.RateLimit)
		}
		soonest = min(soonest, wait)
	}
	return soonest
}
