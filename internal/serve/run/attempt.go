package run

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/leaveout"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// attempt is what became of one try at one target.
type attempt struct {
	target *pool.Target // nil where there was none to try
	reply  *Reply       // set where the caller can be answered
	// arrived means that the target may have seen the request, mayHaveRun that
	// it may have begun to run it, inputsGone that the results of the stages no
	// longer exist.
	arrived    bool
	mayHaveRun bool
	inputsGone bool
	err        error
}

const (
	// freshWithin is how recently a kept connection must have been used for a
	// request that must not run twice: the target may be closing an older one
	// just now, and then nobody could say whether it ran.
	freshWithin = 500 * time.Millisecond
	// maxWhole is the largest answer that is held until it is whole, so that
	// another target can be asked when it breaks; larger ones are passed on as
	// they come.
	maxWhole = 256 << 10
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
	said := j.Codec.ReadAnswer(&answer.Header)
	if answer.Status >= fasthttp.StatusInternalServerError && j.worthAnother(target) {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return attempt{target: target, arrived: true, mayHaveRun: true}
	}
	if isSuccess(answer.Status) && !said.Signed {
		answer.Close()
		call.End(pool.Failed, time.Now())
		return attempt{target: target, arrived: true, mayHaveRun: true, err: errUnsigned}
	}
	if j.route.Kind == plan.Stream && isSuccess(answer.Status) {
		return attempt{target: target, arrived: true, reply: j.stream(target, answer, call)}
	}
	return j.whole(target, answer, call)
}

var errUnsigned = errors.New("answer without a signature")

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// worthAnother tells whether a request that failed at a target may be tried at
// another one.
func (j *job) worthAnother(target *pool.Target) bool {
	if !j.route.Repeatable() || j.ran >= j.route.Attempts {
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

// send makes one try and reads the answer's header. An answer that says that
// nothing ran counts as failed.
func (j *job) send(ctx context.Context, target *pool.Target, lastEvent string) (*upstream.Answer, *pool.Call, *attempt) {
	now := time.Now()
	j.askedAt = now
	call := j.Table.Begin(target, j.req.Prompt.Input, now)
	answer, err := j.Client.Send(ctx, j.request(target, lastEvent, now))
	if err != nil {
		return nil, nil, j.unanswered(ctx, target, call, err)
	}
	j.arrivals++
	said := j.Codec.ReadAnswer(&answer.Header)
	if said.Report != nil {
		target.SetReport(*said.Report)
	}
	if said.NotRun {
		return nil, nil, j.refusedBy(target, call, answer)
	}
	j.ran++
	return answer, call, nil
}

func (j *job) request(target *pool.Target, lastEvent string, now time.Time) *upstream.Request {
	send := AttemptInfo{Target: target.ID, Remaining: j.deadline.Sub(now), LastEventID: lastEvent}
	if j.team != nil {
		send.Team = j.team.Name
	}
	send.Rank = plan.Rank(j.route, j.team)
	if j.inputs != nil {
		send.Inputs = j.inputs.handles
	}
	r := &upstream.Request{
		Address: target.Address, Method: j.req.Method, URI: j.req.URI, Host: j.req.Host,
		Header: j.Codec.RequestHeader(j.req, send), Body: j.req.Body,
		IsOurs: func(h *fasthttp.ResponseHeader) bool {
			id := j.Codec.ReadAnswer(h).ID
			return id == "" || id == j.req.ID
		},
	}
	if !j.route.Repeatable() {
		r.MaxAge = freshWithin
	}
	j.keep(r)
	return r
}

// keep says how many unused connections to a target of the service this process
// keeps: its part of half of those that a target accepts from all processes
// together. Were more kept by the many that have nothing to send, the target
// would reset the new connection of one that has, and nobody could say whether
// its request ran. The other half is for connections in use, and for those of
// processes that lost their power, which a target holds for some seconds.
func (j *job) keep(r *upstream.Request) {
	service := j.Plans.Service(j.service)
	if service == nil || service.MaxConnections <= 0 || j.LeaveOut.Has(leaveout.FewKept) {
		return
	}
	r.MaxKept = service.MaxConnections / 2 / j.Budget.MemberCount()
	r.KeepNone = r.MaxKept == 0
}

// unanswered notes a try that got no answer.
func (j *job) unanswered(ctx context.Context, target *pool.Target, call *pool.Call, err error) *attempt {
	sent := !upstream.NotSent(err)
	outcome := pool.Failed
	switch {
	case ctx.Err() != nil:
		outcome = pool.Abandoned
	case !sent:
		outcome = pool.Unreachable
	}
	call.End(outcome, time.Now())
	if sent {
		j.arrivals++
		j.ran++
		j.broke(target.Address)
	}
	j.Log.Info("Attempt got no answer.", requestID(j.req.ID), zap.String("target", target.ID),
		zap.Bool("sent", sent), zap.Error(err))
	return &attempt{target: target, arrived: sent, mayHaveRun: sent, err: err}
}

// refusedBy notes a try that the target says it didn't run.
func (j *job) refusedBy(target *pool.Target, call *pool.Call, answer *upstream.Answer) *attempt {
	status := answer.Status
	drain(answer)
	answer.Close()
	call.End(pool.Full, time.Now())
	if status == fasthttp.StatusMisdirectedRequest {
		j.Client.Drop(target.Address)
	}
	j.Log.Info("Target refused.", requestID(j.req.ID), zap.String("target", target.ID), zap.Int("status", status))
	return &attempt{target: target, arrived: true, inputsGone: status == fasthttp.StatusConflict && j.inputs != nil}
}

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	// A cut answer shows in Close, which then drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxWhole))
}

// whole reads an answer to its end before the caller gets any of it, so that
// one that breaks can be had from another target.
func (j *job) whole(target *pool.Target, answer *upstream.Answer, call *pool.Call) attempt {
	head := &strings.Builder{}
	_, err := io.Copy(head, io.LimitReader(answer, maxWhole))
	if err == nil && head.Len() == maxWhole {
		return attempt{target: target, arrived: true, reply: j.passOn(answer, call, head.String())}
	}
	answer.Close()
	if err != nil {
		outcome := pool.Failed
		if j.ctx.Err() != nil {
			outcome = pool.Abandoned
		}
		call.End(outcome, time.Now())
		j.broke(target.Address)
		j.Log.Info("Answer was cut.", requestID(j.req.ID), zap.String("target", target.ID), zap.Error(err))
		return attempt{target: target, arrived: true, mayHaveRun: true, err: err}
	}
	outcome := pool.Answered
	if answer.Status >= fasthttp.StatusInternalServerError {
		outcome = pool.Failed
	}
	call.End(outcome, time.Now())
	if isSuccess(answer.Status) {
		j.noteWhole()
	}
	j.end()
	return attempt{target: target, arrived: true, reply: &Reply{
		Status: answer.Status,
		Answer: &Answer{
			Header: endToEnd(&answer.Header), Length: head.Len(),
			Body: io.NopCloser(strings.NewReader(head.String())),
		},
	}}
}

// passOn hands on an answer that is too large to be held.
func (j *job) passOn(answer *upstream.Answer, call *pool.Call, head string) *Reply {
	body := &relayed{Reader: io.MultiReader(strings.NewReader(head), answer), close: func() {
		answer.Close()
		call.End(pool.Answered, time.Now())
		j.end()
	}}
	return &Reply{Status: answer.Status, Answer: &Answer{Header: endToEnd(&answer.Header), Body: body, Length: answer.Length}}
}

// relayed is a body that gives back what it holds when it is closed.
type relayed struct {
	io.Reader
	close func()
}

// Close ends the relay.
func (r *relayed) Close() error {
	r.close()
	return nil
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"te": true, "trailer": true, "upgrade": true, "content-length": true, "proxy-authenticate": true,
	"proxy-authorization": true,
}

// HopByHop tells whether a header concerns one connection only. connection is
// the value of the Connection header, which may name more of them.
func HopByHop(name, connection string) bool {
	name = strings.ToLower(name)
	if hopByHop[name] {
		return true
	}
	for _, listed := range strings.Split(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(listed), name) {
			return true
		}
	}
	return false
}

// endToEnd lists the header lines of an answer to pass on.
func endToEnd(h *fasthttp.ResponseHeader) []upstream.Header {
	connection := string(h.Peek(fasthttp.HeaderConnection))
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
