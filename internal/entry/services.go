package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/command/claim"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/submissions"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const maxKeyBytes = 200

// serviceCall is one call of a plain service.
type serviceCall struct {
	call
	service config.Service
	pool    config.Pool
	route   config.Route
	method  string
	path    string // escaped, with query, below the service's name
	key     string
	body    []byte
	header  string // the body's content type

	attempts int
	failed   []string
	sent     bool
}

func (s *Server) serveService(ctx *fasthttp.RequestCtx, rest string) {
	r, prob := receive(ctx, defaultTimeout)
	refusal := refused{
		requestID: r.id, key: string(ctx.Request.Header.Peek(targetapi.HeaderIdempotencyKey)),
		first: string(ctx.Request.Header.Peek(headerRetryAttempt)) == firstAttempt,
	}
	if prob != nil {
		s.refuseService(ctx, r, refusal, prob)
		return
	}
	contract, prob := s.contractOf(ctx)
	if prob != nil {
		s.refuseService(ctx, r, refusal, prob)
		return
	}
	refusal.customer = contract.Customer
	sc, prob := s.readServiceCall(ctx, rest)
	if prob != nil {
		s.refuseService(ctx, r, refusal, prob)
		return
	}
	sc.received = r
	sc.contract = contract
	ctx.Response.Header.Set(targetapi.HeaderRequestID, r.id)
	if sc.route.NonIdempotent {
		s.serveOnce(ctx, sc, refusal)
		return
	}
	answer, prob := s.runService(ctx, sc)
	if prob != nil {
		s.refuse(ctx, r, contract.Customer, prob)
		return
	}
	s.answerService(ctx, sc, answer)
}

// serveOnce notes the submission before anything can come of it, so that peers
// that are asked about its key learn that it is under way.
func (s *Server) serveOnce(ctx *fasthttp.RequestCtx, sc *serviceCall, refusal refused) {
	refusal.submission = s.certain.memory.Begin(submissions.KeyOf(refusal.customer, refusal.key))
	var answer *target.Answer
	prob := s.mayBegin(ctx, sc)
	if prob == nil {
		answer, prob = s.runService(ctx, sc)
	}
	defer refusal.submission.End(sc.sent, time.Now())
	if prob != nil {
		s.refuseService(ctx, sc.received, refusal, prob)
		return
	}
	s.answerService(ctx, sc, answer)
}

// mayBegin refuses a submission that nobody stands behind any more. A process
// that was frozen reads what came meanwhile; the caller may have given up and
// have been told elsewhere, by VMs that could not ask this one or asked it just
// before it read, that the key has not run.
func (s *Server) mayBegin(ctx *fasthttp.RequestCtx, sc *serviceCall) *problem.Problem {
	if !s.certain.waitSettled(sc.deadline) {
		return problem.New(503, "starting", "Starting", "This VM is not known to the others yet.", problem.NotRun).
			WithRetryAfter(startingRetry)
	}
	if socket.Peek(ctx.Conn()) == socket.Closed {
		return problem.New(499, "caller-left", "The caller left", "The connection was closed.", problem.NotRun)
	}
	return nil
}

func (s *Server) answerService(ctx *fasthttp.RequestCtx, sc *serviceCall, answer *target.Answer) {
	s.served(&sc.call)
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.SetBody(answer.Body)
}

// headerRetryAttempt counts a caller's submissions under one key. A caller that
// sends firstAttempt says that there was none before, so that a refusal is told
// as "not run" without a look around.
const (
	headerRetryAttempt = "Retry-Attempt"
	firstAttempt       = "0"
)

const earlierMayHaveRun = " An earlier submission under this Idempotency-Key may have run."

// refuseService refuses a call, and says "not run" only where that is certain
// of its Idempotency-Key and not of this submission alone.
func (s *Server) refuseService(ctx *fasthttp.RequestCtx, r received, refusal refused, prob *problem.Problem) {
	if prob.Execution == problem.NotRun {
		prob.Execution = s.certain.execution(refusal)
		if prob.Execution != problem.NotRun {
			prob.Detail += earlierMayHaveRun
		}
	}
	s.refuse(ctx, r, refusal.customer, prob)
}

func (s *Server) readServiceCall(ctx *fasthttp.RequestCtx, rest string) (*serviceCall, *problem.Problem) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	state := s.keeper.State()
	service, ok := state.Services[name]
	if !ok {
		return nil, problem.New(404, "no-service", "No such service", "No service named "+name+" is in force.", problem.NotRun)
	}
	route, ok := matchRoute(service, string(ctx.Method()), path)
	if !ok {
		return nil, problem.New(404, "no-route", "No such route",
			"Service "+name+" has no route for "+string(ctx.Method())+" "+path+".", problem.NotRun)
	}
	key := string(ctx.Request.Header.Peek(targetapi.HeaderIdempotencyKey))
	if route.NonIdempotent && key == "" {
		return nil, problem.New(400, "no-key", "Idempotency-Key is missing",
			"This route runs at most once and needs an Idempotency-Key.", problem.NotRun)
	}
	if len(key) > maxKeyBytes {
		return nil, problem.New(400, "long-key", "Idempotency-Key is too long", "At most 200 bytes are taken.", problem.NotRun)
	}
	path = escapePath(path)
	if query := ctx.QueryArgs().String(); query != "" {
		path += "?" + query
	}
	return &serviceCall{
		call: call{name: name}, service: service, pool: state.Pools[service.Pool], route: route,
		method: string(ctx.Method()), path: path, key: key,
		body: append([]byte(nil), ctx.PostBody()...), header: string(ctx.Request.Header.ContentType()),
	}, nil
}

func (s *Server) runService(ctx *fasthttp.RequestCtx, sc *serviceCall) (*target.Answer, *problem.Problem) {
	runCtx, cancel := context.WithDeadline(context.Background(), sc.deadline)
	defer cancel()
	if !sc.route.NonIdempotent {
		// Only what may run again is cancelled when its caller hangs up: a
		// booking that was sent is brought to its end and recorded.
		watchCtx, watched := s.hangups.Watch(runCtx, ctx.Conn())
		defer watched()
		runCtx = watchCtx
	}
	a, prob := s.admit(runCtx, &sc.call)
	if prob != nil {
		return nil, prob
	}
	if a == nil {
		return nil, leftProblem(runCtx, problem.NotRun)
	}
	var answer *target.Answer
	if sc.route.NonIdempotent {
		answer, prob = s.runOnce(runCtx, sc)
	} else {
		answer, prob = s.dispatch(runCtx, sc, sending{})
	}
	a.end(0, prob == nil)
	return answer, prob
}

// claimTerm is the longest time between the moment when peers could last see a
// submission under way and its sending. It is shorter than they take to hold a
// silent process for dead: what such a process had under way is then over,
// whether it died, was frozen, or lost sight of its peers alone.
const claimTerm = 3 * time.Second

// seenAt is when peers could last see the submission under way: when it came, or
// now, where it has waited for its turn and they all answer.
func (s *Server) seenAt(sc *serviceCall) (time.Time, bool) {
	now := time.Now()
	if now.Sub(sc.since) < claimTerm/2 {
		return sc.since, true
	}
	return now, s.certain.knownToAll()
}

// runOnce has a non-idempotent call claimed, sent, and its outcome recorded.
func (s *Server) runOnce(ctx context.Context, sc *serviceCall) (*target.Answer, *problem.Problem) {
	began, seen := s.seenAt(sc)
	if !seen {
		return nil, lateClaim()
	}
	out := s.claims.ClaimOrWait(ctx, claim.Request{
		Identity:  claim.Identity{Customer: sc.contract.Customer, IdempotencyKey: sc.key},
		RequestID: sc.id, Incarnation: s.opts.Network.Self().Incarnation,
		Fingerprint: claim.FingerprintOf(sc.method, sc.name+sc.path, sc.body),
	}, s.lives)
	if out.Result != claim.Claimed {
		return replay(out)
	}
	limit := began.Add(claimTerm)
	if time.Now().After(limit) {
		s.claims.ReleaseAsync(out.Grant)
		return nil, lateClaim()
	}
	// The client looks at the limit again right before it sends: the process
	// may be frozen in between.
	answer, prob := s.dispatch(ctx, sc, sending{token: uint64(out.Grant.Token), before: limit})
	switch {
	case prob == nil:
		s.claims.FinishAsync(out.Grant, claim.Answer{
			Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body,
		})
	case prob.Execution == problem.NotRun:
		s.claims.ReleaseAsync(out.Grant)
	}
	return answer, prob
}

// lives says that a process is not known to be dead.
func (s *Server) lives(process peer.Incarnation) bool {
	if process == s.opts.Network.Self().Incarnation {
		return true
	}
	return slices.ContainsFunc(s.opts.Network.Members(), func(m peer.Member) bool { return m.Incarnation == process })
}

// lateClaim refuses a submission that got its claim after its term.
func lateClaim() *problem.Problem {
	return problem.New(503, "late-claim", "Claimed too late",
		"The claim came too late to send the request under it.", problem.NotRun).WithRetryAfter(claimRetry)
}

// sending is what a non-idempotent call is sent under; zero for others.
type sending struct {
	token  uint64    // fencing token
	before time.Time // not to be sent later
}

// claimRetry is when to come back after the store gave no answer or another
// try under the same key is under way.
const claimRetry = time.Second

// replay answers a request that may not be sent.
func replay(out claim.Outcome) (*target.Answer, *problem.Problem) {
	switch {
	case out.Result == claim.Taken && out.Answer != nil:
		return &target.Answer{Status: out.Answer.Status, ContentType: out.Answer.ContentType, Body: out.Answer.Body}, nil
	case out.Result == claim.Taken && out.Finished:
		return nil, problem.New(503, "outcome-unread", "The outcome can't be read",
			"The request ran; its recorded answer can't be read now.", problem.Ran).WithRetryAfter(claimRetry)
	case out.Result == claim.Taken:
		return nil, problem.New(409, "under-way", "Already under way",
			"A request with this Idempotency-Key was sent before and has no recorded outcome.", problem.Unknown).
			WithRetryAfter(claimRetry)
	case out.Result == claim.Mismatch:
		return nil, problem.New(422, "key-reused", "Idempotency-Key belongs to another request",
			"Another request came under this key; this one was not sent.", problem.NotRun)
	default:
		return nil, storeProblem(out)
	}
}

// storeProblem: this request was not sent. Whether an earlier one under the key
// ran is looked into before the caller is told.
func storeProblem(out claim.Outcome) *problem.Problem {
	detail := "The table service can't be asked whether the request ran before; it was not sent now."
	if out.Result == claim.Unknown {
		detail = "The table service gave no answer to the claim; the request was not sent."
	}
	return problem.New(503, "no-claim", "Can't be claimed", detail, problem.NotRun).WithRetryAfter(claimRetry)
}

// dispatch sends the call: again elsewhere only where the route allows it or
// the try certainly did not run.
func (s *Server) dispatch(ctx context.Context, sc *serviceCall, under sending) (*target.Answer, *problem.Problem) {
	budget := retry.BudgetKey{Customer: sc.contract.Customer, Pool: sc.service.Pool}
	s.executor.Budgets.For(budget).RecordFirstTry()
	for {
		answer, failure := s.try(ctx, sc, under)
		if failure == nil {
			s.executor.Budgets.For(budget).RecordSuccess()
			return answer, nil
		}
		verdict := retry.Decide(retry.FailedCall{
			Tries: sc.attempts, Idempotent: !sc.route.NonIdempotent,
			NotRun: failure.Execution == problem.NotRun, Remaining: time.Until(sc.deadline),
		})
		if verdict != retry.Retry || ctx.Err() != nil || failure.Kind == target.FailedTimeout {
			return nil, sc.giveUp(ctx, string(verdict), failure)
		}
		if failure.Kind != target.FailedConnect && !s.executor.Budgets.Allow(budget, time.Now()) {
			return nil, sc.giveUp(ctx, "retry budget is used up", failure)
		}
	}
}

var errNoTarget = errors.New("entry: no target in use")

// try makes one attempt at one target.
func (s *Server) try(ctx context.Context, sc *serviceCall, under sending) (*target.Answer, *target.Failure) {
	lease := s.acquire(sc)
	if lease == nil {
		sc.attempts = retry.MaxTries
		return nil, &target.Failure{Kind: target.FailedConnect, Execution: sc.execution(), Err: errNoTarget}
	}
	sc.attempts++
	since := time.Now()
	answer, err := s.client.Do(ctx, target.Call{
		Address: lease.Address, Method: sc.method, Path: "/" + sc.name + sc.path,
		Identity: target.Identity{Request: sc.id, Stage: sc.name, Attempt: sc.attempts},
		Customer: sc.contract.Customer, IdempotencyKey: sc.key, FencingToken: under.token,
		ContentType: sc.header, Body: sc.body, NewConnection: sc.route.NonIdempotent, SendBefore: under.before,
	})
	return s.settle(ctx, sc, lease, since, answer, err)
}

func (s *Server) acquire(sc *serviceCall) *directory.Lease {
	pool := s.targets.Pool(sc.service.Pool)
	if pool == nil {
		return nil
	}
	if lease := pool.Acquire(directory.AcquireRequest{Exclude: sc.failed}, time.Now()); lease != nil {
		return lease
	}
	return pool.Acquire(directory.AcquireRequest{}, time.Now())
}

func (s *Server) settle(ctx context.Context, sc *serviceCall, lease *directory.Lease, since time.Time, answer *target.Answer, err error) (*target.Answer, *target.Failure) {
	now := time.Now()
	if err == nil {
		err = sc.refusedBy(answer)
	}
	charge := pipeline.Charge{
		Customer: sc.contract.Customer, Pipeline: sc.name, Stage: sc.name, Pool: sc.service.Pool, Target: lease.Address,
		Took: now.Sub(since),
	}
	if err == nil {
		sc.sent = true
		lease.RecordLoadReport(answer.Load, now)
		lease.Done(directory.Succeeded, now.Sub(since), now)
		charge.EngineTime = answer.EngineTime
		s.observer.Charged(charge)
		s.observer.StageDone(sc.contract.Customer, sc.name, sc.name, now.Sub(since))
		return answer, nil
	}
	var f *target.Failure
	if !errors.As(err, &f) {
		panic("entry: target client gave an error that is no Failure")
	}
	lease.Done(resultOf(ctx, f), now.Sub(since), now)
	sc.failed = append(sc.failed, lease.Address)
	s.observer.CallFailed(sc.id, sc.name, lease.Address, f)
	if f.Execution != problem.NotRun {
		sc.sent = true
		charge.Waste = pipeline.WasteFailed
		s.observer.Charged(charge)
	}
	return nil, f
}

var errRefused = errors.New("entry: the target refused the call")

// refusedBy tells answers that are not the service's own: refusals before
// anything ran, which may be tried elsewhere, and errors of somebody between,
// after which nobody knows. The service's own answers are the caller's.
func (sc *serviceCall) refusedBy(answer *target.Answer) error {
	execution := problem.Unknown
	if answer.ConfirmsNotRun() {
		execution = problem.NotRun
	} else if answer.HasIdentity {
		return nil
	}
	return &target.Failure{Kind: target.FailedStatus, Execution: execution, Status: answer.Status, Err: errRefused}
}

func resultOf(ctx context.Context, f *target.Failure) directory.Result {
	switch {
	case f.Kind == target.FailedConnect:
		return directory.Refused
	case ctx.Err() != nil || f.Kind == target.FailedTimeout && f.Execution == problem.NotRun:
		return directory.Neutral
	default:
		return directory.Failed
	}
}

func (sc *serviceCall) execution() problem.Execution {
	if sc.sent {
		return problem.Unknown
	}
	return problem.NotRun
}

// serviceRetry is when to come back after a service failed.
const serviceRetry = time.Second

func (sc *serviceCall) giveUp(ctx context.Context, why string, f *target.Failure) *problem.Problem {
	detail := "Service " + sc.name + ": " + why + "; last failure: " + string(f.Kind) + "."
	execution := f.Execution
	if sc.sent {
		execution = problem.Unknown
	}
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), errCallerLeft):
		return leftProblem(ctx, execution)
	case ctx.Err() != nil || f.Kind == target.FailedTimeout:
		return problem.New(504, "late", "Not done by its deadline", detail, execution)
	case execution == problem.NotRun:
		return problem.New(503, "no-target", "No target in use", detail, execution).WithRetryAfter(serviceRetry)
	default:
		return problem.New(502, "service-failed", "The service failed", detail, execution)
	}
}
