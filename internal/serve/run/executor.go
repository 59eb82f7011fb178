package run

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/engines"
	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
	"github.com/vanillagate/vanillagate/internal/serve/warmup"
	"github.com/vanillagate/vanillagate/internal/suspect"
)

// ErrTimeout ends the work on a request whose time is up, ErrCallerLeft that of
// one whose caller is gone, ErrShutdown that of those still on their way when this
// process's grace period is over.
var (
	ErrTimeout    = errors.New("the request's time is up")
	ErrCallerLeft = errors.New("the caller left")
	ErrShutdown   = errors.New("this process ends")
)

// defaultPatience bounds requests whose route and caller set no time.
const defaultPatience = 30 * time.Second

// leastStarting is the least time after which to come back to a process that doesn't know
// the configuration or the targets yet.
const leastStarting = 300 * time.Millisecond

// Executor runs requests. All fields are set before the first Run.
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
	// Engines keeps account of what engines read over all processes; nil for none.
	Engines *engines.Tracker
	// Warmup gives this process's turns at cold targets; nil bounds nothing.
	Warmup *warmup.Limiter
	// LeaveOut switches mechanisms off, for measurements.
	LeaveOut leaveout.Set
	// Suspicion knows the requests that crash their targets; nil for none.
	Suspicion Suspicion
	// TimeToReady tells in about what time a process that has just started knows the
	// configuration and the targets; nil is leastStarting.
	TimeToReady func(now time.Time) time.Duration

	firstEvents firstEvents
	answers     answers
	// departure is nil while this process isn't shutting down.
	departure atomic.Pointer[Shutdown]
}

// Suspicion knows the requests that crash their targets, whichever process they
// come to.
type Suspicion interface {
	// Convicted tells that a request has crashed so many targets that it gets
	// no more.
	Convicted(suspect.Fingerprint) bool
	// ConnectionBroke notes that a request's connection to a target broke. Whether the
	// target died is found out meanwhile.
	ConnectionBroke(f suspect.Fingerprint, address string)
}

// job is one request on its way.
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
	// tried are the targets that were tried, ran how many of them may have run
	// the request, arrivals how many it was sent to.
	tried    map[string]bool
	ran      int
	arrivals int
	// zone is where the stages are made that are divided by zone.
	zone   string
	claims claims
	// held is what kept the stages from being done, restarted why they were started over.
	held      error
	restarted error
	// slowest is the stage that took longest.
	slowest stageTime
	// preparedAt is when the stages were done, askedAt when the last target was
	// asked; zero before.
	preparedAt time.Time
	askedAt    time.Time
	// content identifies the request by what its target gets to see.
	content suspect.Fingerprint
}

// Run answers a request. The context ends with ErrCallerLeft when the caller
// goes. The reply's body, if any, is to be read to its end or closed.
func (e *Executor) Run(ctx context.Context, r *Request) *Reply {
	j := &job{Executor: e, req: r, tried: map[string]bool{}}
	reply := j.admit(ctx)
	if reply == nil {
		reply = j.run()
	}
	if reply.Answer == nil {
		j.end()
	}
	e.note(j, reply)
	return reply
}

// admit finds out where the request goes and whether it may; nil means that it
// may.
func (j *job) admit(ctx context.Context) *Reply {
	p := j.Plans.Current()
	if p == nil {
		return refuse(fasthttp.StatusServiceUnavailable, NoConfiguration, j.startingRetry())
	}
	j.route = p.Route(j.req.Host, j.req.Path)
	if j.route == nil {
		return refuse(fasthttp.StatusNotFound, NoRoute, 0)
	}
	if !j.route.Public && len(p.Teams) > 0 {
		j.team = p.TeamByKey(j.req.Key)
		if j.team == nil {
			return refuse(fasthttp.StatusUnauthorized, NoKey, 0)
		}
	}
	if tooMany(j.req.Pieces) {
		return refuse(fasthttp.StatusBadRequest, TooManyPieces, 0)
	}
	j.content = j.fingerprint()
	if j.Suspicion != nil && j.Suspicion.Convicted(j.content) {
		return refuse(fasthttp.StatusServiceUnavailable, CrashesTargets, 0)
	}
	if !j.Table.Loaded() {
		return refuse(fasthttp.StatusServiceUnavailable, NoTargetsYet, j.startingRetry())
	}
	j.service = j.route.Pick(rand.Float64())
	if reply := j.refuseLate(); reply != nil {
		return reply
	}
	j.deadline = j.req.Arrived.Add(j.patience())
	j.ctx, j.cancel = context.WithDeadlineCause(ctx, j.deadline, ErrTimeout)
	j.Budget.AddRequest(j.service, j.req.Arrived)
	return nil
}

// maxPieces is the most pieces that one request's stages may have together. The
// largest requests have some thirty; a caller's slip of a few zeros would take
// this process's memory, and others' requests with it.
const maxPieces = 4096

func tooMany(pieces []int) bool {
	total := 0
	for _, n := range pieces {
		if n > maxPieces {
			return true
		}
		total += n
	}
	return total > maxPieces
}

// fingerprint is the same however often, and through whichever process, a
// caller sends the same request.
func (j *job) fingerprint() suspect.Fingerprint {
	team := ""
	if j.team != nil {
		team = j.team.Name
	}
	return suspect.FingerprintOf(team, j.req.Method, j.req.Host, j.req.URI, string(j.req.Body))
}

// broke notes that a connection to a target broke under the request.
func (j *job) broke(address string) {
	if j.Suspicion != nil && j.ctx.Err() == nil {
		j.Suspicion.ConnectionBroke(j.content, address)
	}
}

// patience is the shorter of the caller's and the route's time.
func (j *job) patience() time.Duration {
	limit := defaultPatience
	if j.route.Timeout > 0 {
		limit = j.route.Timeout
	}
	if j.req.Timeout > 0 {
		limit = min(limit, j.req.Timeout)
	}
	return limit
}

// end gives back what the request holds.
func (j *job) end() {
	if j.inputs != nil {
		j.inputs.release()
	}
	if j.cancel != nil {
		j.cancel()
	}
}

func (j *job) run() *Reply {
	if reply := j.prepare(); reply != nil {
		return reply
	}
	for {
		if reply := j.refuseCut(); reply != nil {
			return reply
		}
		result := j.attempt()
		if result.reply != nil {
			return result.reply
		}
		if reply := j.next(result); reply != nil {
			return reply
		}
	}
}

// prepare has the stages done; nil means that they are.
func (j *job) prepare() *Reply {
	if len(j.route.Stages) == 0 {
		return nil
	}
	made, err := j.makeInputs()
	if err == nil {
		j.inputs = made
		j.preparedAt = time.Now()
		return nil
	}
	j.held = err
	return j.stageRefusal(err)
}

const (
	// leastRetry and mostRetry bound when a refused caller is told to come back.
	// Callers take a wait of up to a third of their remaining time.
	leastRetry = 100 * time.Millisecond
	mostRetry  = 2 * time.Second
)

// retryAfter is when a caller should come back to a queue of the given length,
// spread by a third so that those who were refused together don't return
// together.
func retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, leastRetry), mostRetry)
	return wait + time.Duration(rand.Float64()*float64(wait)/3)
}

// startingRetry is when a caller should come back to a process that has just started.
func (j *job) startingRetry() time.Duration {
	if j.TimeToReady == nil {
		return retryAfter(leastStarting)
	}
	return retryAfter(max(j.TimeToReady(time.Now()), leastStarting))
}

func (j *job) stageRefusal(err error) *Reply {
	if cause := context.Cause(j.ctx); cause != nil {
		return j.finish(fasthttp.StatusGatewayTimeout, ended(cause), 0)
	}
	var refused *gather.RefusedError
	if !errors.As(err, &refused) {
		return j.finish(fasthttp.StatusBadGateway, StagesFailed, leastRetry)
	}
	switch refused.Reason {
	case gather.Late:
		return j.finish(fasthttp.StatusBadGateway, StagesLate, retryAfter(refused.Wait))
	case gather.NoTarget:
		return j.finish(fasthttp.StatusBadGateway, NoTarget, retryAfter(0))
	default:
		return j.finish(fasthttp.StatusBadGateway, StagesFailed, retryAfter(0))
	}
}

func ended(cause error) Reason {
	switch {
	case errors.Is(cause, ErrCallerLeft):
		return CallerLeft
	case errors.Is(cause, ErrShutdown):
		return ShuttingDown
	default:
		return TimedOut
	}
}

// next decides what follows an attempt without an answer; nil means another.
func (j *job) next(failed attempt) *Reply {
	if cause := context.Cause(j.ctx); cause != nil {
		return j.giveUp(ended(cause), fasthttp.StatusGatewayTimeout)
	}
	if failed.target == nil {
		return j.giveUp(NoTarget, fasthttp.StatusBadGateway)
	}
	j.tried[failed.target.ID] = true
	if failed.mayHaveRun && (!j.route.Repeatable() || j.ran >= j.route.Attempts) {
		return j.giveUp(LostAnswer, fasthttp.StatusBadGateway)
	}
	if j.arrivals >= maxArrivals {
		return j.giveUp(TargetsFull, fasthttp.StatusBadGateway)
	}
	if failed.arrived && !j.Budget.TakeRetry(j.service, time.Now()) {
		return j.giveUp(OverBudget, fasthttp.StatusBadGateway)
	}
	if failed.inputsGone {
		j.inputs.release()
		return j.prepare()
	}
	return nil
}

// maxArrivals bounds the targets that are asked in turn when each refuses.
const maxArrivals = 4

// giveUp is the final answer after attempts.
func (j *job) giveUp(reason Reason, status int) *Reply {
	return j.finish(status, reason, retryAfter(0))
}

// finish makes a final answer: 503 and when to come back for a request that
// certainly didn't run and won't, the status for one that may have run. Its caller
// must not be told that it hasn't.
func (j *job) finish(status int, reason Reason, after time.Duration) *Reply {
	if j.ran == 0 {
		return refuse(fasthttp.StatusServiceUnavailable, reason, after)
	}
	return refuse(status, reason, 0)
}
