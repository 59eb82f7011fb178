package run

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/framing"
	"github.com/vanillagate/vanillagate/internal/headers"
	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// attempt is the result of sending the request to one target.
type attempt struct {
	target *pool.Target // nil if no target was available
	reply  *Reply       // set if the caller can be answered
	// mayHaveArrived means that the target may have received the request, mayHaveRun that
	// it may have started to run it, inputsLost that the results of the stages no longer
	// exist.
	mayHaveArrived bool
	mayHaveRun     bool
	inputsLost     bool
	err            error
}

const (
	// maxConnIdleTime is how long a kept connection may have been idle to be used for a request
	// that must not run twice. The target may be closing a connection that has been idle
	// for longer, and it would then be unknown whether the request ran.
	maxConnIdleTime = 500 * time.Millisecond
	// maxBuffered is the size up to which an answer is buffered completely, so that another
	// target can be asked if it breaks off. Larger answers are streamed to the caller.
	maxBuffered = 256 << 10
)

func (j *job) attempt() attempt {
	target := j.choose()
	if target == nil {
		return attempt{}
	}
	answer, call, failed := j.send(j.ctx, target, j.req.LastEventID)
	if failed != nil {
		return *failed
	}
	info := j.Codec.ReadAnswer(&answer.Header)
	if answer.Status >= fasthttp.StatusInternalServerError && j.canRetryElsewhere(target) {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return attempt{target: target, mayHaveArrived: true, mayHaveRun: true}
	}
	if isPromise(answer.Status) && !j.route.Repeatable() {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return attempt{target: target, mayHaveArrived: true, mayHaveRun: true, reply: j.giveUp(UnclearRefusal, fasthttp.StatusBadGateway)}
	}
	if isSuccess(answer.Status) && !info.Signed {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return attempt{target: target, mayHaveArrived: true, mayHaveRun: true, err: errUnsigned}
	}
	if j.route.Kind == plan.Stream && isSuccess(answer.Status) {
		return attempt{target: target, mayHaveArrived: true, reply: j.stream(target, answer, call)}
	}
	return j.readWhole(target, answer, call)
}

var errUnsigned = errors.New("answer without a signature")

// isPromise reports whether a status tells callers that their request hasn't run and won't.
func isPromise(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// canRetryElsewhere reports whether a request that failed at a target may be retried at
// another one.
func (j *job) canRetryElsewhere(target *pool.Target) bool {
	if !j.route.Repeatable() || j.runs >= j.route.Attempts {
		return false
	}
	views, _ := j.candidates(time.Now())
	for _, v := range views {
		if v.ID != target.ID && !j.tried[v.ID] && v.Weight > 0 {
			return j.Budget.RetriesLeft(j.service, time.Now()) >= 1
		}
	}
	return false
}

// send sends the request to a target and reads the header of the answer. An answer that
// says that the request didn't run counts as a failed attempt. A request that has been
// convicted meanwhile isn't sent.
func (j *job) send(ctx context.Context, target *pool.Target, lastEvent string) (*upstream.Answer, *pool.Call, *attempt) {
	if reply := j.refuseIfConvicted(); reply != nil {
		return nil, nil, &attempt{target: target, reply: reply}
	}
	now := time.Now()
	j.sentAt = now
	call := j.Table.Begin(target, j.req.Prompt.Input, now)
	if j.sends > 0 {
		j.Metrics.count(series("vanillagate_retries_sent", "service", j.service))
	}
	answered := j.keepSpareConnIfSlow(target)
	answer, err := j.Client.Send(ctx, j.buildRequest(target, lastEvent, now))
	answered()
	if err != nil {
		return nil, nil, j.recordNoAnswer(ctx, target, call, err)
	}
	j.sends++
	j.retry.Sent(time.Now()) // a target may answer before the body is written
	info := j.Codec.ReadAnswer(&answer.Header)
	j.engineAnswer = engineAnswer{target: target}
	j.Table.RecordStatement(target, info.Statement, now, time.Now())
	if info.Statement != nil && info.Report != nil {
		j.engineAnswer.percent = info.Report.Percent
	}
	if info.NotRun {
		return nil, nil, j.recordRefusal(target, call, answer)
	}
	j.runs++
	j.countCopy(target)
	j.Metrics.count(series("vanillagate_target_answers", "framing", string(answer.Kind)))
	return answer, call, nil
}

func (j *job) buildRequest(target *pool.Target, lastEvent string, now time.Time) *upstream.Request {
	info := AttemptInfo{Target: target.ID, Remaining: j.deadline.Sub(now), LastEventID: lastEvent}
	if j.team != nil {
		info.Team = j.team.Name
	}
	info.Rank = plan.EffectivePriority(j.route, j.team)
	if j.inputs != nil {
		info.Inputs = j.inputs.handles
	}
	info.CopySource = j.orderCopy(target, now)
	r := &upstream.Request{
		Address: target.Address, Target: target.ID, Method: j.req.Method, URI: j.req.URI, Host: j.req.Host,
		Header: j.Codec.RequestHeader(j.req, info), Body: j.req.Body,
		MaxIdleTime:    j.maxIdleTime(),
		MatchesRequest: j.matchesRequest,
		NamesRequest:   func(h *fasthttp.ResponseHeader) bool { return j.Codec.ReadAnswer(h).ID != "" },
		NewConnection:  j.req.ID == "",
		Allowed:        func() bool { return !target.Declines(time.Now()) },
	}
	if taken := j.retry; taken != nil {
		r.OnSent = func() { taken.Sent(time.Now()) }
	}
	j.limitIdleConns(r)
	return r
}

// matchesRequest reports whether an answer may belong to this request. One without an ID may, too.
func (j *job) matchesRequest(h *fasthttp.ResponseHeader) bool {
	id := j.Codec.ReadAnswer(h).ID
	return id == "" || id == j.req.ID
}

// limitIdleConns sets how many idle connections this process keeps to a target of the
// service. Half of the connections that a target accepts are divided among all processes.
// If idle processes kept more, the target would reset new connections of others, and it
// would be unknown whether their requests ran. The other half is for connections in use,
// and for those of processes that lost power, which a target holds open for some seconds.
func (j *job) limitIdleConns(r *upstream.Request) {
	service := j.Plans.Service(j.service)
	if service == nil || service.MaxConnections <= 0 || j.LeaveOut.Has(leaveout.FewKept) {
		return
	}
	processes, _ := j.Budget.ProcessCount(time.Now())
	r.MaxIdleConns = service.MaxConnections / 2 / max(processes, 1)
	r.CloseAfterAnswer = r.MaxIdleConns == 0
}

// recordNoAnswer records an attempt that got no answer.
func (j *job) recordNoAnswer(ctx context.Context, target *pool.Target, call *pool.Call, err error) *attempt {
	sent := !upstream.NotSent(err)
	outcome := pool.Failed
	switch {
	case ctx.Err() != nil, errors.Is(err, upstream.ErrNotAllowed):
		outcome = pool.Abandoned
	case !sent:
		outcome = pool.Unreachable
	}
	call.End(outcome, time.Now())
	if sent {
		j.retry.Sent(time.Now()) // a part of the request may have arrived
		j.sends++
		j.runs++
		j.reportBroken(target, contact{sentAt: j.sentAt, knownUntil: j.sentAt, heardAt: j.sentAt}, err)
	}
	j.Log.Info("Attempt got no answer.", requestID(j.req.ID), zap.String("target", target.ID),
		zap.Bool("sent", sent), zap.Error(err))
	return &attempt{target: target, mayHaveArrived: sent, mayHaveRun: sent, err: err}
}

// recordRefusal records an attempt that the target refused without running the request.
func (j *job) recordRefusal(target *pool.Target, call *pool.Call, answer *upstream.Answer) *attempt {
	status := answer.Status
	outcome := j.refusalOutcome(status)
	if j.exceedsBound(drain(answer)) {
		outcome = pool.Failed
	}
	answer.Close()
	call.End(outcome, time.Now())
	if status == fasthttp.StatusMisdirectedRequest {
		j.Client.CloseIdle(target.Address)
	}
	j.recordRejection(target, status)
	j.Log.Info("Target refused.", requestID(j.req.ID), zap.String("target", target.ID), zap.Int("status", status))
	return &attempt{target: target, mayHaveArrived: true, inputsLost: status == fasthttp.StatusConflict && j.inputs != nil}
}

// drain reads the rest of a short answer so that its connection can be reused. If it fails, Close drops
// the connection.
func drain(answer *upstream.Answer) error {
	return answer.ReadBounded(io.Discard, upstream.RefusalBodyBound)
}

// bounded reports whether the bounds on answers are enabled.
func (j *job) bounded() bool { return !j.LeaveOut.Has(leaveout.ResponseBounds) }

// exceedsBound reports whether an error means that an answer exceeded a bound.
func (j *job) exceedsBound(err error) bool {
	var exceeded *upstream.BoundError
	return j.bounded() && errors.As(err, &exceeded)
}

// readWhole reads the whole answer before the caller gets any of it, so that another target
// can be asked if it breaks off. Only successes may be too large for that.
func (j *job) readWhole(target *pool.Target, answer *upstream.Answer, call *pool.Call) attempt {
	buffered := &buffer{memory: &j.bufferMemory}
	var err error
	unlimited := isSuccess(answer.Status) || !j.bounded()
	if unlimited {
		_, err = io.Copy(buffered, io.LimitReader(answer, maxBuffered))
	} else {
		err = answer.ReadBounded(buffered, upstream.ErrorBodyBound)
	}
	if unlimited && (err == nil && buffered.content.Len() == maxBuffered || errors.Is(err, upstream.ErrNoMemory)) {
		return attempt{target: target, mayHaveArrived: true, reply: j.relay(target, answer, call, buffered)}
	}
	if err == nil {
		err = j.verifyEnd(target, answer)
	}
	answer.Close()
	if err != nil {
		buffered.release()
		outcome := pool.Failed
		if j.ctx.Err() != nil {
			outcome = pool.Abandoned
		}
		call.End(outcome, time.Now())
		j.reportBroken(target, contactOf(answer, 0), err)
		j.Log.Info("Answer ended early.", requestID(j.req.ID), zap.String("target", target.ID),
			zap.String("framing", string(answer.Kind)), zap.Error(err))
		return attempt{target: target, mayHaveArrived: true, mayHaveRun: true, err: err}
	}
	outcome := pool.Answered
	if answer.Status >= fasthttp.StatusInternalServerError {
		outcome = pool.Failed
	}
	call.End(outcome, time.Now())
	if isSuccess(answer.Status) {
		j.recordCompleteAnswer()
		j.reportPromptRead(target)
		j.reportAnswered(target, answer.Kind == framing.Connection)
	}
	j.cleanUp()
	body := &relayedBody{Reader: strings.NewReader(buffered.content.String()), close: buffered.release}
	return attempt{target: target, mayHaveArrived: true, reply: passOn(answer, body, buffered.content.Len())}
}

// passOn returns the reply that passes an answer on with the given body.
func passOn(answer *upstream.Answer, body io.ReadCloser, length int) *Reply {
	return &Reply{Status: answer.Status, Answer: &Answer{Header: endToEndHeaders(&answer.Header), Body: body, Length: length}}
}

// relay streams an answer that is too large to be buffered.
func (j *job) relay(target *pool.Target, answer *upstream.Answer, call *pool.Call, buffered *buffer) *Reply {
	rest := &verifiedBody{job: j, target: target, answer: answer}
	body := &relayedBody{Reader: io.MultiReader(strings.NewReader(buffered.content.String()), rest), close: func() {
		buffered.release()
		answer.Close()
		outcome := pool.Answered
		if answer.HasExceeded() || rest.broken() {
			outcome = pool.Failed
		}
		call.End(outcome, time.Now())
		j.cleanUp()
	}}
	return passOn(answer, body, answer.Length)
}

// relayedBody is an answer body that releases its resources when it is closed.
type relayedBody struct {
	io.Reader
	close func()
}

// Close releases the resources behind the body.
func (r *relayedBody) Close() error {
	r.close()
	return nil
}

// hopByHopHeaders are the headers that apply to a single connection and aren't forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"te": true, "trailer": true, "upgrade": true, "content-length": true, "proxy-authenticate": true,
	"proxy-authorization": true,
}

// HopByHop reports whether a header applies to a single connection and must not be
// forwarded. connection is the value of all Connection headers, which may name further ones.
func HopByHop(name, connection string) bool {
	name = strings.ToLower(name)
	if hopByHopHeaders[name] {
		return true
	}
	for _, listed := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(listed), name) {
			return true
		}
	}
	return false
}

// endToEndHeaders returns the header lines of an answer that are forwarded to the caller.
func endToEndHeaders(h *fasthttp.ResponseHeader) []upstream.Header {
	connection := headers.Join(headers.AppendAll(nil, h.All(), fasthttp.HeaderConnection))
	var list []upstream.Header
	for name, value := range h.All() {
		if HopByHop(string(name), connection) {
			continue
		}
		list = append(list, upstream.Header{Name: string(name), Value: string(value)})
	}
	return list
}

func requestID(id string) zap.Field { return zap.String("request", id) }
