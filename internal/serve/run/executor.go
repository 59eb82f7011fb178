package run

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/crashes"
	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/liveness"
	"github.com/vanillagate/vanillagate/internal/serve/origins"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/prefixes"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/ratelimit"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Causes for which the context of a request is cancelled: ErrTimeout when its timeout has
// passed, ErrCallerLeft when the caller has closed the connection, ErrShutdown when the
// grace period of this process has ended before the request was finished.
var (
	ErrTimeout    = errors.New("request timed out")
	ErrCallerLeft = errors.New("the caller left")
	ErrShutdown   = errors.New("process is shutting down")
)

// defaultTimeout applies to requests if neither the route nor the caller sets a timeout.
const defaultTimeout = 30 * time.Second

// minStartingRetry is the shortest delay after which callers are told to retry if this
// process doesn't know the configuration or the targets yet.
const minStartingRetry = 300 * time.Millisecond

// Executor runs requests. All exported fields are set before the first call of Run.
type Executor struct {
	Log     *zap.Logger
	Plans   *plan.Holder
	Table   *pool.Table
	Client  *upstream.Client
	Codec   Codec
	Stages  *gather.Requester
	Budget  *quota.Budget
	Zone    string
	Metrics *Metrics
	// Engines tracks the load of model engines, and the requests to targets with a limited rate, across
	// all processes; nil for none.
	Engines *engines.Tracker
	// RateLimiter decides when this process may send requests to targets with a limited rate, cold or in
	// need; nil sets no limit.
	RateLimiter *ratelimit.Limiter
	// Origins tells at which version a stream that a caller takes up began; nil if only this process
	// serves callers.
	Origins *origins.Registry
	// Prefixes knows which engines have read the shared parts of prompts; nil if these aren't copied.
	Prefixes *prefixes.Directory
	// LeaveOut disables individual mechanisms, for measurements.
	LeaveOut leaveout.Set
	// Suspicion finds the requests that crash their targets; nil for none.
	Suspicion Suspicion
	// Reach tells which services this process and its peers reach; nil if it reaches all.
	Reach Reach
	// TimeToReady estimates how long a process that has just started takes to learn the
	// configuration and the targets; if nil, minStartingRetry is used.
	TimeToReady func(now time.Time) time.Duration
	// ContactAge returns the time since the store of the configuration last answered this
	// process or one that it relies on; nil if unknown.
	ContactAge func(now time.Time) time.Duration
	// CatchUp brings the configuration and the targets up to what the store had at some moment after the call, and reports
	// whether it could; nil if there is no store to ask.
	CatchUp func(ctx context.Context) bool
	// AwaitCurrent waits for a short time until both are current if this process has just stood still; nil for none.
	AwaitCurrent func(ctx context.Context)

	firstEventModel firstEventModel
	answerStats     answerStats
	// liveness checks the targets whose answers end with their connections.
	liveness liveness.Checker
	// shutdown is nil until this process shuts down.
	shutdown atomic.Pointer[ShutdownSchedule]

	// bufferMemory is that of the answers that are buffered, streamMemory that of what streams hold back.
	bufferMemory bufferMemory
	streamMemory bufferMemory
}

// Suspicion finds the requests that crash their targets, whichever process they are sent
// to.
type Suspicion interface {
	// Convicted returns the conviction because of which a request is sent to no target, if there is one.
	Convicted(crashes.Traits) (crashes.Conviction, bool)
	// Broke records that a call's connection to its target broke. Whether the target crashed is checked in
	// the background.
	Broke(crashes.Call)
	// Unanswered records that a call was given up while its target was silent.
	Unanswered(crashes.Call)
	// Answered records a call's complete answer. unframed means that it ended with its connection.
	Answered(call crashes.Call, unframed bool)
}

// job is the state of one request being processed.
type job struct {
	*Executor
	ctx      context.Context
	cancel   context.CancelFunc
	req      *Request
	route    *plan.Route
	team     *plan.Team
	service  string
	deadline time.Time
	inputs   *inputs
	// tried has the targets that were tried. runs counts the attempts that may have run the
	// request, sends those in which the request was sent.
	tried map[string]bool
	runs  int
	sends int
	// rejected counts the sends that engines rejected without running the request.
	rejected int
	// zone is the zone in which the stages run whose services are divided by zone.
	zone string
	// placeShards are the shards at which the stages run if places were claimed there.
	placeShards map[int]gather.Shard
	claimState  claimState
	// copies is the state of copying the shared parts of the prompt; nil if they aren't copied.
	copies *promptCopy
	// engineAnswer is what the latest answer tells of its engine, stagePace the pace by which stages are
	// due, 0 until it is determined.
	engineAnswer engineAnswer
	stagePace    float64
	// reserved is the target that was claimed before the stages run; nil if none was.
	reserved *pool.Target
	// retry is the last retry taken from the budget; nil if there was none.
	retry *quota.Retry
	// stageErr is why the stages couldn't be run, restartErr why they were run again.
	stageErr   error
	restartErr error
	// slowestStage is the stage that took the longest.
	slowestStage stageTime
	// origin is the service and version that the caller's events are from; nil as long as it has none.
	// originBy tells by what it is known if the caller takes the stream up. recording is how other processes know it,
	// recordedAt when that was last checked, recordedAs the generation of the targets by then.
	origin     *origins.Origin
	originBy   string
	recording  *origins.Recording
	recordedAt time.Time
	recordedAs uint64
	// preparingAt is when the stages were last begun, preparedAt when they were finished, sentAt when the request was last sent to
	// a target; zero before.
	preparingAt time.Time
	preparedAt  time.Time
	sentAt      time.Time
	// traits are what the request has in common with others that crash targets.
	traits crashes.Traits
}

// Run processes a request and returns the answer. The caller of Run cancels ctx with
// ErrCallerLeft when the caller of the request disconnects. The body of the reply, if any,
// must be read to its end or closed.
func (e *Executor) Run(ctx context.Context, r *Request) *Reply {
	j := &job{Executor: e, req: r, tried: map[string]bool{}}
	reply := j.admit(ctx)
	if reply == nil {
		reply = j.run()
	}
	if reply.Answer == nil {
		j.cleanUp()
	}
	e.record(j, reply)
	return reply
}

// admit determines the route, team and service of the request and checks whether it may be
// processed; nil means that it may.
func (j *job) admit(ctx context.Context) *Reply {
	if j.AwaitCurrent != nil {
		j.AwaitCurrent(ctx)
	}
	p := j.Plans.Current()
	if p == nil {
		return refuse(fasthttp.StatusServiceUnavailable, NoConfiguration, j.startingRetryAfter())
	}
	j.route = p.Route(j.req.Host, j.req.Path)
	if j.route == nil {
		return refuse(fasthttp.StatusNotFound, NoRoute, 0)
	}
	if j.route.Unusable {
		return refuse(fasthttp.StatusServiceUnavailable, RouteUnusable, retryAfter(maxRetryAfter))
	}
	if !j.route.Public && len(p.Teams) > 0 {
		j.team = p.TeamByKey(j.req.Key)
		if j.team == nil {
			return refuse(fasthttp.StatusUnauthorized, NoKey, 0)
		}
	}
	if tooManyPieces(j.req.Pieces) {
		return refuse(fasthttp.StatusBadRequest, TooManyPieces, 0)
	}
	j.traits = j.traitsOfRequest()
	if reply := j.refuseIfConvicted(); reply != nil {
		return reply
	}
	if !j.Table.Loaded() {
		return refuse(fasthttp.StatusServiceUnavailable, NoTargetsYet, j.startingRetryAfter())
	}
	j.service = j.route.Pick(rand.Float64())
	if reply := j.refuseAfterClose(); reply != nil {
		return reply
	}
	j.deadline = j.req.Arrived.Add(j.timeout())
	j.ctx, j.cancel = context.WithDeadlineCause(ctx, j.deadline, ErrTimeout)
	refused := j.findOrigin()
	if !j.req.Forwarded { // the process that got it from its caller has counted it
		j.Budget.AddRequest(j.service, j.req.Arrived)
	}
	return refused
}

// maxPieces is the maximum total number of pieces in the stages of one request. The largest
// real requests have about thirty. A request with a mistyped, far larger number could use
// up the memory of this process and fail the requests of others.
const maxPieces = 4096

func tooManyPieces(pieces []int) bool {
	total := 0
	for _, n := range pieces {
		if n > maxPieces {
			return true
		}
		total += n
	}
	return total > maxPieces
}

// timeout returns the shorter of the caller's and the route's timeout.
func (j *job) timeout() time.Duration {
	limit := defaultTimeout
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if j.req.Timeout > 0 {
		limit = min(limit, j.req.Timeout)
	}
	return limit
}

// cleanUp releases the resources of the request.
func (j *job) cleanUp() {
	j.retry.Cancel()
	if j.inputs != nil {
		j.inputs.release()
	}
	if j.cancel != nil {
		j.cancel()
	}
}

func (j *job) run() *Reply {
	if reply := j.forward(); reply != nil {
		return reply
	}
	if reply := j.refuseIfUnreachable(); reply != nil {
		return reply
	}
	if j.versionGone() {
		return j.refuseVersionGone()
	}
	if reply := j.prepare(); reply != nil {
		return reply
	}
	for {
		if reply := j.refuseIfCutByShutdown(); reply != nil {
			return reply
		}
		result := j.attempt()
		if result.reply != nil {
			return result.reply
		}
		if reply := j.forward(); reply != nil {
			return reply
		}
		if reply := j.afterFailure(result); reply != nil {
			return reply
		}
	}
}

// prepare runs the stages; nil means that they have finished successfully.
func (j *job) prepare() *Reply {
	if len(j.route.Stages) == 0 {
		return nil
	}
	if reply := j.refuseIfClosed(); reply != nil {
		return reply
	}
	j.preparingAt = time.Now()
	if reply := j.reserveTarget(); reply != nil {
		return reply
	}
	results, err := j.runStages()
	if err == nil {
		j.inputs = results
		j.preparedAt = time.Now()
		return nil
	}
	j.stageErr = err
	return j.refuseForStages(err)
}

const (
	// minRetryAfter and maxRetryAfter limit the delay after which a refused caller is told
	// to retry. Callers accept a delay of up to a third of their remaining time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// retryAfter returns when a caller should retry if the queue takes the given time. It adds
// up to a third at random, so that callers that were refused together don't retry together.
func retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Float64()*float64(wait)/3)
}

// retryAfterRefusal returns when a caller should retry whose stages can't be finished in time: when
// its places are, which spread callers by themselves; 0 if a retry can't succeed either.
func retryAfterRefusal(refused *gather.RefusedError) time.Duration {
	switch {
	case refused.Place > 0:
		return refused.Place
	case refused.Hopeless:
		return 0
	case refused.Closed > 0:
		return spreadReturn(pool.Opening{Wait: refused.Closed, Length: refused.Closed}, rand.Float64())
	default:
		return retryAfter(refused.Wait)
	}
}

// startingRetryAfter returns when a caller should retry at a process that has just started.
func (j *job) startingRetryAfter() time.Duration {
	if j.TimeToReady == nil {
		return retryAfter(minStartingRetry)
	}
	return retryAfter(max(j.TimeToReady(time.Now()), minStartingRetry))
}

func (j *job) refuseForStages(err error) *Reply {
	if cause := context.Cause(j.ctx); cause != nil {
		return j.errorReply(fasthttp.StatusGatewayTimeout, endReason(cause), 0)
	}
	var refused *gather.RefusedError
	if !errors.As(err, &refused) {
		return j.errorReply(fasthttp.StatusBadGateway, StagesFailed, minRetryAfter)
	}
	switch refused.Reason {
	case gather.Late:
		return j.errorReply(fasthttp.StatusBadGateway, StagesLate, retryAfterRefusal(refused))
	case gather.NoTarget:
		return j.errorReply(fasthttp.StatusBadGateway, NoTarget, j.retryAfterOpening(refused.Service))
	default:
		return j.errorReply(fasthttp.StatusBadGateway, StagesFailed, retryAfter(0))
	}
}

func endReason(cause error) Reason {
	switch {
	case errors.Is(cause, ErrCallerLeft):
		return CallerLeft
	case errors.Is(cause, ErrShutdown):
		return ShuttingDown
	default:
		return TimedOut
	}
}

// afterFailure decides what follows an attempt without an answer; nil means that another
// attempt is made.
func (j *job) afterFailure(failed attempt) *Reply {
	if cause := context.Cause(j.ctx); cause != nil {
		return j.giveUp(endReason(cause), fasthttp.StatusGatewayTimeout)
	}
	if failed.target == nil {
		return j.refuseWithoutTarget()
	}
	j.tried[failed.target.ID] = true
	if failed.mayHaveRun && (!j.route.Repeatable() || j.runs >= j.route.Attempts) {
		return j.giveUp(LostAnswer, fasthttp.StatusBadGateway)
	}
	if j.sends >= j.maxSends() {
		return j.giveUp(TargetsFull, fasthttp.StatusBadGateway)
	}
	if failed.mayHaveArrived && (j.leavesRetry() || !j.takeRetry()) {
		return j.giveUp(OverBudget, fasthttp.StatusBadGateway)
	}
	if failed.inputsLost {
		j.inputs.release()
		return j.prepare()
	}
	return nil
}

// takeRetry takes a retry from the budget, unless one was taken that hasn't been sent. It reports whether
// there was one.
func (j *job) takeRetry() bool {
	if j.retry.Unsent() {
		return true
	}
	j.retry = j.Budget.TakeRetry(j.service, time.Now())
	if j.retry == nil {
		return false
	}
	j.Metrics.count(series("vanillagate_retries_taken", "service", j.service))
	return true
}

// maxSends is the maximum number of targets to which a request is sent if each of them
// refuses it.
const maxSends = 4

// giveUp returns the final answer after failed attempts.
func (j *job) giveUp(reason Reason, status int) *Reply {
	return j.errorReply(status, reason, j.retryAfterOpening(j.service))
}

// errorReply makes the final answer. It is 503 with a retry delay if the request certainly
// didn't run and won't, and the given status if it may have run: the caller must not be
// told that it didn't.
func (j *job) errorReply(status int, reason Reason, after time.Duration) *Reply {
	if j.runs == 0 {
		return refuse(fasthttp.StatusServiceUnavailable, reason, after)
	}
	return refuse(status, reason, 0)
}
