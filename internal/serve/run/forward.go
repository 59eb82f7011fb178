package run

import (
	"context"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Reach tells from which services this process is cut off, and which peers aren't.
type Reach interface {
	// CutOff reports whether this process can't connect to the targets of a service.
	CutOff(service string) bool
	// Connected reports whether this process could connect to a target of a service from which it
	// is cut off.
	Connected(target *pool.Target) bool
	// PeerAddresses lists the callers' addresses of peers that may process requests for a service, in
	// order of preference.
	PeerAddresses(service string) []string
}

// maxForwards is how many peers are tried if no connection to them can be established.
const maxForwards = 2

// cutOff reports whether this process is cut off from the request's service.
func (j *job) cutOff() bool { return j.Reach != nil && j.Reach.CutOff(j.service) }

// cutOffRetry is the least delay after which callers are told to retry at a process that is cut off:
// about the time until it checks the targets again.
const cutOffRetry = 500 * time.Millisecond

// refuseIfUnreachable refuses the request if this process is cut off from all targets of its service;
// nil otherwise.
func (j *job) refuseIfUnreachable() *Reply {
	if !j.cutOff() || len(j.reachable(j.Table.Views(j.service, time.Now()))) > 0 {
		return nil
	}
	return j.errorReply(fasthttp.StatusServiceUnavailable, NoTarget, retryAfter(cutOffRetry))
}

// reachable removes the targets that this process can't reach. To those that it reaches although it is
// cut off it has connected lately, or a connection is kept.
func (j *job) reachable(views []pool.View) []pool.View {
	if !j.cutOff() {
		return views
	}
	return slices.DeleteFunc(views, func(v pool.View) bool {
		return !j.Reach.Connected(v.Target) && !j.Client.HasIdle(v.Address, j.maxIdleTime())
	})
}

// maxIdleTime limits how long a connection that the request uses may have been idle; 0 means no limit.
func (j *job) maxIdleTime() time.Duration {
	if j.route.Repeatable() {
		return 0
	}
	return maxConnIdleTime
}

// forward passes the request on to a peer if this process is cut off from the request's service. nil
// means that it is processed here. A request is passed on once at most, and only if it was sent to
// no target.
func (j *job) forward() *Reply {
	if j.req.Forwarded || j.sends > 0 || !j.cutOff() {
		return nil
	}
	addresses := j.Reach.PeerAddresses(j.service)
	for _, address := range addresses[:min(len(addresses), maxForwards)] {
		if reply := j.forwardTo(address); reply != nil {
			return reply
		}
	}
	return nil
}

// forwardTo passes the request on to one peer; nil means that it wasn't sent.
func (j *job) forwardTo(address string) *Reply {
	j.sentAt = time.Now()
	answer, err := j.Client.Send(j.ctx, j.forwardRequest(j.req, address))
	if err == nil {
		j.Log.Info("Request passed on to another VM.", requestID(j.req.ID), zap.String("peer", address), zap.String("service", j.service))
		j.Metrics.count("vanillagate_forwarded_requests")
		if j.inputs != nil {
			j.inputs.release() // the peer has run the stages again
		}
		return j.forwardedReply(address, answer)
	}
	sent := !upstream.NotSent(err)
	j.Log.Warn("VM to which a request was passed on didn't answer.", requestID(j.req.ID), zap.String("peer", address),
		zap.Bool("sent", sent), zap.Error(err))
	if sent {
		j.runs++ // the peer may have sent it to a target
	}
	if cause := context.Cause(j.ctx); cause != nil {
		return j.giveUp(endReason(cause), fasthttp.StatusGatewayTimeout)
	}
	if sent {
		return j.giveUp(LostAnswer, fasthttp.StatusBadGateway)
	}
	return nil
}

func (j *job) forwardRequest(r *Request, address string) *upstream.Request {
	return &upstream.Request{
		Address: address, Method: r.Method, URI: r.URI, Host: r.Host, Body: r.Body,
		Header:         j.Codec.ForwardHeader(r, time.Until(j.deadline)),
		MaxIdleTime:    j.maxIdleTime(),
		MatchesRequest: j.matchesRequest,
	}
}

// forwardedReply returns the peer's answer, which is passed on as it comes.
func (j *job) forwardedReply(address string, answer *upstream.Answer) *Reply {
	if j.canGoOn(answer) {
		return passOn(answer, newForwardedStream(j, address, answer), -1) // the rest may come from another peer
	}
	body := &relayedBody{Reader: peerBody{answer}, close: func() {
		answer.Close()
		j.cleanUp()
	}}
	return passOn(answer, body, answer.Length)
}
