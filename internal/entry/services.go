package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/command/claim"
	"github.com/vanillagate/vanillagate/internal/config"
	"github.com/vanillagate/vanillagate/internal/directory"
	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/peer"
	"github.com/vanillagate/vanillagate/internal/pipeline"
	"github.com/vanillagate/vanillagate/internal/problem"
	"github.com/vanillagate/vanillagate/internal/retry"
	"github.com/vanillagate/vanillagate/internal/socket"
	"github.com/vanillagate/vanillagate/internal/submissions"
	"github.com/vanillagate/vanillagate/internal/target"
	"github.com/vanillagate/vanillagate/internal/targetapi"
)

const maxIdempotencyKeyBytes = 200

// serviceCall is a call of a plain service.
type serviceCall struct {
	call
	service     config.Service
	pool        config.Pool
	route       config.Route
	method      string
	path        string // escaped, with query, relative to the service
	key         string
	body        []byte
	contentType string // content type of the body

	attempts      int
	failedTargets []string
	mayHaveRun    bool
}

func (s *Server) serveService(ctx *fasthttp.RequestCtx, rest string) {
	r, prob := readRequestInfo(ctx, defaultTimeout)
	refusal := refusedSubmission{
		requestID: r.id, key: string(ctx.Request.Header.Peek(targetapi.HeaderIdempotencyKey)),
		firstSubmission: string(ctx.Request.Header.Peek(headerRetryAttempt)) == firstAttempt,
	}
	if prob != nil {
		s.refuseService(ctx, r, refusal, prob)
		return
	}
	contract, prob := s.authenticateCaller(ctx)
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
	sc.requestInfo = r
	sc.contract = contract
	ctx.Response.Header.Set(targetapi.HeaderRequestID, r.id)
	if sc.route.NonIdempotent {
		s.serveNonIdempotent(ctx, sc, refusal)
		return
	}
	answer, prob := s.runService(ctx, sc)
	if prob != nil {
		s.refuse(ctx, r, contract.Customer, prob)
		return
	}
	s.answerService(ctx, sc, answer)
}

// serveNonIdempotent records the submission before anything else, so that peers
// asking about its key learn that it is in progress.
func (s *Server) serveNonIdempotent(ctx *fasthttp.RequestCtx, sc *serviceCall, refusal refusedSubmission) {
	refusal.submission = s.executions.history.Begin(submissions.KeyOf(refusal.customer, refusal.key))
	var answer *target.Answer
	prob := s.checkStillWanted(ctx, sc)
	if prob == nil {
		answer, prob = s.runService(ctx, sc)
	}
	defer refusal.submission.End(sc.mayHaveRun, time.Now())
	if prob != nil {
		s.refuseService(ctx, sc.requestInfo, refusal, prob)
		return
	}
	s.answerService(ctx, sc, answer)
}

// checkStillWanted waits until the peers know this process, then refuses a
// submission whose caller has disconnected. A process that was frozen reads
// requests that arrived meanwhile. Their callers may have been told by another
// VM that the key has not run: that VM could not ask this process, or asked it
// just before it read the request.
func (s *Server) checkStillWanted(ctx *fasthttp.RequestCtx, sc *serviceCall) *problem.Problem {
	if !s.executions.waitJoined(sc.deadline) {
		return problem.New(503, "starting", "Starting", "This VM is not known to the others yet.", problem.NotRun).
			WithRetryAfter(startingRetryAfter)
	}
	return checkCallerPresent(ctx)
}

func checkCallerPresent(ctx *fasthttp.RequestCtx) *problem.Problem {
	if socket.Peek(ctx.Conn()) == socket.Closed {
		return problem.New(499, "caller-left", "The caller left", "The connection was closed.", problem.NotRun)
	}
	return nil
}

func (s *Server) answerService(ctx *fasthttp.RequestCtx, sc *serviceCall, answer *target.Answer) {
	s.served(&sc.call)
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	if answer.Unframed { // recorded by a release that didn't verify its end
		framing.AnswerUnframed(ctx, io.NopCloser(bytes.NewReader(answer.Body)))
		return
	}
	ctx.SetBody(answer.Body)
}

// headerRetryAttempt counts a caller's submissions under one key. A caller that
// sends firstAttempt states that there was no earlier one, so a refusal can be
// reported as "not run" without checking.
const (
	headerRetryAttempt = "Retry-Attempt"
	firstAttempt       = "0"
)

const earlierMayHaveRun = " An earlier submission under this Idempotency-Key may have run."

// refuseService refuses a call. It reports "not run" only if that is certain
// for all submissions of its Idempotency-Key, not just for this one.
func (s *Server) refuseService(ctx *fasthttp.RequestCtx, r requestInfo, refusal refusedSubmission, prob *problem.Problem) {
	if prob.Execution == problem.NotRun {
		prob.Execution = s.executions.executionOf(refusal)
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
	if len(key) > maxIdempotencyKeyBytes {
		return nil, problem.New(400, "long-key", "Idempotency-Key is too long", "At most 200 bytes are taken.", problem.NotRun)
	}
	path = escapePath(path)
	if query := ctx.QueryArgs().String(); query != "" {
		path += "?" + query
	}
	return &serviceCall{
		call: call{name: name}, service: service, pool: state.Pools[service.Pool], route: route,
		method: string(ctx.Method()), path: path, key: key,
		body: ctx.PostBody(), contentType: string(ctx.Request.Header.ContentType()),
	}, nil
}

func (s *Server) runService(ctx *fasthttp.RequestCtx, sc *serviceCall) (*target.Answer, *problem.Problem) {
	runCtx, cancel := context.WithDeadline(context.Background(), sc.deadline)
	defer cancel()
	if !sc.route.NonIdempotent {
		// Only idempotent calls are cancelled when the caller disconnects. A
		// non-idempotent call that was sent runs to its end, and its outcome is
		// recorded.
		watchCtx, stopWatching := s.hangups.Watch(runCtx, ctx.Conn())
		defer stopWatching()
		runCtx = watchCtx
	}
	a, prob := s.admit(runCtx, &sc.call)
	if prob != nil {
		return nil, prob
	}
	if a == nil {
		return nil, interruptedProblem(runCtx, problem.NotRun)
	}
	var answer *target.Answer
	if sc.route.NonIdempotent {
		answer, prob = s.runNonIdempotent(runCtx, ctx, sc)
	} else {
		answer, prob = s.dispatch(runCtx, sc, sendConditions{})
	}
	a.end(0, prob == nil)
	return answer, prob
}

// sendWindow is the longest time from when peers could last see a submission in
// progress until it is sent. It is shorter than the time after which peers
// consider a silent process dead. Once they do, none of that process's
// submissions can still be sent, whether it died, was frozen or was
// partitioned.
const sendWindow = 3 * time.Second

// lastVisibleToPeers returns when peers could last see that the submission is
// in progress: its arrival, or the current time if it was queued for long. In
// the latter case the result is false unless all peers answer.
func (s *Server) lastVisibleToPeers(sc *serviceCall) (time.Time, bool) {
	now := time.Now()
	if now.Sub(sc.receivedAt) < sendWindow/2 {
		return sc.receivedAt, true
	}
	return now, s.executions.knownToAllPeers()
}

// runNonIdempotent claims a non-idempotent call, sends it and records its
// outcome. It isn't sent if its caller has left by the time it is claimed: the
// claim may take long, and the caller may have been told by another VM in the
// meantime that nothing ran.
func (s *Server) runNonIdempotent(runCtx context.Context, ctx *fasthttp.RequestCtx, sc *serviceCall) (*target.Answer, *problem.Problem) {
	visibleAt, visible := s.lastVisibleToPeers(sc)
	if !visible {
		return nil, lateClaimProblem()
	}
	out := s.claims.ClaimOrWait(runCtx, claim.Request{
		Identity:  claim.Identity{Customer: sc.contract.Customer, IdempotencyKey: sc.key},
		RequestID: sc.id, Incarnation: s.opts.Network.Self().Incarnation,
		Fingerprint: claim.FingerprintOf(sc.method, sc.name+sc.path, sc.body),
	}, s.processAlive)
	if out.Result != claim.Claimed {
		return claimResponse(out)
	}
	sendBefore := visibleAt.Add(sendWindow)
	if time.Now().After(sendBefore) {
		s.claims.ReleaseAsync(out.Grant)
		return nil, lateClaimProblem()
	}
	if prob := checkCallerPresent(ctx); prob != nil {
		s.claims.ReleaseAsync(out.Grant)
		return nil, prob
	}
	// The client checks the time limit again right before it sends, because the
	// process may be frozen in between.
	answer, prob := s.dispatch(runCtx, sc, sendConditions{token: uint64(out.Grant.Token), notAfter: sendBefore})
	switch {
	case prob == nil:
		s.claims.FinishAsync(out.Grant, claim.Answer{
			Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body, Unframed: answer.Unframed,
		})
	case prob.Execution == problem.NotRun:
		s.claims.ReleaseAsync(out.Grant)
	}
	return answer, prob
}

// processAlive reports whether a process is not known to be dead.
func (s *Server) processAlive(process peer.Incarnation) bool {
	if process == s.opts.Network.Self().Incarnation {
		return true
	}
	return slices.ContainsFunc(s.opts.Network.Members(), func(m peer.Member) bool { return m.Incarnation == process })
}

// lateClaimProblem is for a submission whose claim came after the send window.
func lateClaimProblem() *problem.Problem {
	return problem.New(503, "late-claim", "Claimed too late",
		"The claim came too late to send the request under it.", problem.NotRun).WithRetryAfter(claimRetryAfter)
}

// sendConditions are the conditions for sending a non-idempotent call; the zero
// value is for other calls.
type sendConditions struct {
	token    uint64    // fencing token
	notAfter time.Time // latest time to send
}

// claimRetryAfter is the Retry-After if the store did not answer or another
// submission of the same key is in progress.
const claimRetryAfter = time.Second

// claimResponse returns the response to a request that got no claim and must
// not be sent: the recorded answer of an earlier submission, or a problem.
func claimResponse(out claim.Outcome) (*target.Answer, *problem.Problem) {
	switch {
	case out.Result == claim.Taken && out.Answer != nil:
		return &target.Answer{
			Status: out.Answer.Status, ContentType: out.Answer.ContentType, Body: out.Answer.Body, Unframed: out.Answer.Unframed,
		}, nil
	case out.Result == claim.Taken && out.Finished:
		return nil, problem.New(503, "outcome-unread", "The outcome can't be read",
			"The request ran; its recorded answer can't be read now.", problem.Ran).WithRetryAfter(claimRetryAfter)
	case out.Result == claim.Taken:
		return nil, problem.New(409, "under-way", "Already under way",
			"A request with this Idempotency-Key was sent before and has no recorded outcome.", problem.Unknown).
			WithRetryAfter(claimRetryAfter)
	case out.Result == claim.Mismatch:
		return nil, problem.New(422, "key-reused", "Idempotency-Key belongs to another request",
			"Another request came under this key; this one was not sent.", problem.NotRun)
	default:
		return nil, claimStoreProblem(out)
	}
}

// claimStoreProblem is for a request that was not sent because the store could
// not be asked. Before the caller is told so, refuseService checks whether an
// earlier submission of the key ran.
func claimStoreProblem(out claim.Outcome) *problem.Problem {
	detail := "The table service can't be asked whether the request ran before; it was not sent now."
	if out.Result == claim.Unknown {
		detail = "The table service gave no answer to the claim; the request was not sent."
	}
	return problem.New(503, "no-claim", "Can't be claimed", detail, problem.NotRun).WithRetryAfter(claimRetryAfter)
}

// dispatch sends the call. It retries at another target only if the route is
// idempotent or the attempt certainly did not run.
func (s *Server) dispatch(ctx context.Context, sc *serviceCall, conditions sendConditions) (*target.Answer, *problem.Problem) {
	budget := retry.BudgetKey{Customer: sc.contract.Customer, Pool: sc.service.Pool}
	s.executor.Budgets.For(budget).RecordFirstTry()
	for {
		answer, failure := s.attempt(ctx, sc, conditions)
		if failure == nil {
			s.executor.Budgets.For(budget).RecordSuccess()
			return answer, nil
		}
		verdict := retry.Decide(retry.FailedCall{
			Tries: sc.attempts, Idempotent: !sc.route.NonIdempotent,
			NotRun: failure.Execution == problem.NotRun, Remaining: time.Until(sc.deadline),
		})
		if verdict != retry.Retry || ctx.Err() != nil || failure.Kind == target.FailedTimeout {
			return nil, sc.finalProblem(ctx, string(verdict), failure)
		}
		if failure.Kind != target.FailedConnect && !s.executor.Budgets.Allow(budget, time.Now()) {
			return nil, sc.finalProblem(ctx, "retry budget is used up", failure)
		}
	}
}

var errNoTarget = errors.New("entry: no target in use")

// attempt makes one attempt at one target.
func (s *Server) attempt(ctx context.Context, sc *serviceCall, conditions sendConditions) (*target.Answer, *target.Failure) {
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
		Customer: sc.contract.Customer, IdempotencyKey: sc.key, FencingToken: conditions.token,
		ContentType: sc.contentType, Body: sc.body, NewConnection: sc.route.NonIdempotent, SendBefore: conditions.notAfter,
		VerifyEnd: true,
	})
	return s.finishAttempt(ctx, sc, lease, since, answer, err)
}

func (s *Server) acquire(sc *serviceCall) *directory.Lease {
	pool := s.targets.Pool(sc.service.Pool)
	if pool == nil {
		return nil
	}
	if lease := pool.Acquire(directory.AcquireRequest{Exclude: sc.failedTargets}, time.Now()); lease != nil {
		return lease
	}
	return pool.Acquire(directory.AcquireRequest{}, time.Now())
}

func (s *Server) finishAttempt(ctx context.Context, sc *serviceCall, lease *directory.Lease, since time.Time, answer *target.Answer, err error) (*target.Answer, *target.Failure) {
	now := time.Now()
	if err == nil {
		err = sc.checkAnswer(answer)
	}
	charge := pipeline.Charge{
		Customer: sc.contract.Customer, Pipeline: sc.name, Stage: sc.name, Pool: sc.service.Pool, Target: lease.Address,
		Took: now.Sub(since),
	}
	if err == nil {
		sc.mayHaveRun = true
		lease.RecordLoadReport(answer.Load, now)
		lease.Done(directory.Succeeded, now.Sub(since), now)
		charge.EngineTime = answer.EngineTime
		s.observer.Charged(charge)
		s.observer.StageDone(sc.contract.Customer, sc.name, sc.name, now.Sub(since))
		return answer, nil
	}
	var f *target.Failure
	if !errors.As(err, &f) {
		panic("entry: target client returned an error that is not a *target.Failure")
	}
	lease.Done(leaseResult(ctx, f), now.Sub(since), now)
	sc.failedTargets = append(sc.failedTargets, lease.Address)
	s.observer.CallFailed(sc.id, sc.name, lease.Address, f)
	if f.Execution != problem.NotRun {
		sc.mayHaveRun = true
		charge.Waste = pipeline.WasteFailed
		s.observer.Charged(charge)
	}
	return nil, f
}

var errRefused = errors.New("entry: the target refused the call")

// checkAnswer returns a failure for answers that are not the service's own:
// refusals before execution, which may be retried elsewhere, and errors of an
// intermediary, after which it is unknown whether the call ran. The service's
// own answers, including errors, go to the caller.
func (sc *serviceCall) checkAnswer(answer *target.Answer) error {
	execution := problem.Unknown
	if answer.ConfirmsNotRun() {
		execution = problem.NotRun
	} else if answer.HasIdentity {
		return nil
	}
	return &target.Failure{Kind: target.FailedStatus, Execution: execution, Status: answer.Status, Err: errRefused}
}

func leaseResult(ctx context.Context, f *target.Failure) directory.Result {
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
	if sc.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

// serviceRetryAfter is the Retry-After when a service has no usable target.
const serviceRetryAfter = time.Second

func (sc *serviceCall) finalProblem(ctx context.Context, why string, f *target.Failure) *problem.Problem {
	detail := "Service " + sc.name + ": " + why + "; last failure: " + string(f.Kind) + "."
	execution := f.Execution
	if sc.mayHaveRun {
		execution = problem.Unknown
	}
	switch {
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), errCallerLeft):
		return interruptedProblem(ctx, execution)
	case ctx.Err() != nil || f.Kind == target.FailedTimeout:
		return problem.New(504, "late", "Not done by its deadline", detail, execution)
	case execution == problem.NotRun:
		return problem.New(503, "no-target", "No target in use", detail, execution).WithRetryAfter(serviceRetryAfter)
	default:
		return problem.New(502, "service-failed", "The service failed", detail, execution)
	}
}
