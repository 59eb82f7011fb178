package run

import (
	"math/rand/v2"
	"time"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
)

// The decisions of this file address services all of whose targets leave, have asked for rest, or are paused
// otherwise, for some time. Requests that wait for such a target would only be late, and callers that are told to
// retry earlier would be refused again.

// returnShare is the part of a pause over which callers that were refused during the pause return after it.
const returnShare = 0.5

// newTargetWait is after how long callers retry if a service has no target left that would take requests again. When
// another one starts isn't known.
const newTargetWait = time.Second

// retryAfterOpening returns when a caller should retry a request that no target of a service has taken.
func (j *job) retryAfterOpening(service string) time.Duration {
	opening, known := j.Table.NextOpening(service, time.Now(), pool.AnyTarget)
	switch {
	case !known:
		return retryAfter(newTargetWait)
	case opening.Wait == 0:
		return retryAfter(0)
	default:
		return spreadReturn(opening, rand.Float64())
	}
}

// spreadReturn returns when a caller should retry that was refused during a pause. All callers refused in the pause
// return evenly over the same time after it, whenever they were refused. random is in [0, 1).
func spreadReturn(o pool.Opening, random float64) time.Duration {
	return o.Wait + time.Duration(random*max(returnShare*float64(o.Length), float64(minRetryAfter)))
}

// refuseIfClosed refuses a request before its stages run if no target will take it when they are finished: their
// results would be wasted. nil means that one may.
func (j *job) refuseIfClosed() *Reply {
	now := time.Now()
	opening, known := j.Table.NextOpening(j.service, now, pool.AnyTarget)
	switch {
	case known && opening.Wait <= newStageGraph(j).shortestTime():
		return nil
	case !known && j.Table.Count(j.service, now).Leaving == 0:
		return nil // the list may have some by then
	default:
		return j.refuseWithoutTarget()
	}
}
