package caller

import (
	"cmp"
	"context"
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/check"
)

// defaultGrace is how long a caller still listens after its deadline, so that a
// late answer can be told from a lost one.
const defaultGrace = time.Second

// Caller sends requests to the system. It is safe for concurrent use.
type Caller struct {
	conns *connections
	// hasty serves first tries, where the caller has a limit for them.
	hasty *connections
	dir   *directory
	grace time.Duration
}

// Option changes a Caller.
type Option func(*Caller)

// WithFirstTryShare has the caller go to another address when the first one has
// sent nothing for this share of the time it had. Later tries wait to the end:
// a caller that gave up on each of several slow VMs would get no answer at all.
// Zero means that the first one waits to the end too.
func WithFirstTryShare(share float64) Option {
	return func(c *Caller) { c.hasty = newConnections(share) }
}

// New is a caller that knows some first addresses, tried in this order.
func New(firstEntries []string, options ...Option) *Caller {
	conns := newConnections(0)
	c := &Caller{conns: conns, hasty: conns, dir: newDirectory(firstEntries, conns), grace: defaultGrace}
	for _, option := range options {
		option(c)
	}
	return c
}

// NewPinned is a caller that uses one address only and asks nobody.
func NewPinned(address string) *Caller {
	c := New(nil)
	c.dir.keep(EntriesAnswer{Entries: []Entry{{Address: address}}, TTLMS: math.MaxInt32}, time.Now())
	return c
}

// Close lets go of idle connections.
func (c *Caller) Close() {
	c.conns.close()
	c.hasty.close()
}

// Do sends a request until it has a final answer or its time is over.
func (c *Caller) Do(ctx context.Context, call Call) Result {
	result := Result{Call: call, Outcome: Lost, SendDelay: time.Since(call.Scheduled)}
	tried := map[string]int{}
	for ctx.Err() == nil && time.Now().Before(call.Deadline()) {
		address, err := c.dir.choose(tried, time.Now())
		if err != nil {
			result.Detail = err.Error()
			pause(ctx, backoff(len(tried)+1, randomJitter()))
			continue
		}
		tried[address]++
		result.Tries++
		got := c.send(c.connsFor(result.Tries), address, call, result.Tries)
		result.take(address, got)
		step := next(got, result.Tries, time.Until(call.Deadline()), randomJitter())
		if step.failed {
			c.dir.fail(address, time.Now())
		} else {
			c.dir.answered(address)
		}
		if !step.again {
			break
		}
		pause(ctx, step.wait)
	}
	if result.Latency == 0 {
		result.Latency = time.Since(call.Scheduled)
	}
	return result
}

func (c *Caller) connsFor(try int) *connections {
	if try == 1 {
		return c.hasty
	}
	return c.conns
}

// take replaces what an earlier try said: the last word counts.
func (r *Result) take(address string, got answer) {
	now := time.Now()
	r.Latency = now.Sub(r.Call.Scheduled)
	r.Status = got.status
	r.Outcome, r.Finding, r.Execution, r.Detail, r.RefusedRequestID = Lost, "", "", "", ""
	if got.requestID != "" {
		r.RequestIDs = append(r.RequestIDs, got.requestID)
	}
	if !got.firstToken.IsZero() {
		r.FirstToken = got.firstToken.Sub(r.Call.Scheduled)
	}
	switch {
	case got.problem != nil:
		r.Outcome, r.Execution = Refused, got.problem.Execution
		r.RefusedRequestID = cmp.Or(got.problem.RequestID, got.requestID)
		r.Detail = address + ": " + got.problem.Error()
	case got.err != nil:
		r.Detail = address + ": " + got.err.Error()
	default:
		r.judge(got)
	}
}

func (r *Result) judge(got answer) {
	r.Finding = findingOf(r.Call, got)
	if r.Finding == check.Complete {
		r.Outcome = Answered
		return
	}
	r.Detail = "answer is " + string(r.Finding)
}

func findingOf(call Call, got answer) check.Finding {
	if call.Kind == KindService {
		return check.ServiceAnswer(call.Ref, got.output)
	}
	finding := check.PipelineOutput(call.Ref, call.MaxTokens, got.output)
	if finding == check.Complete && !got.ended {
		return check.Partial
	}
	return finding
}

func pipelineInput(call Call) string { return call.Input + " " + check.RefMarker(call.Ref) }

func serviceBody(call Call) string {
	return string(mustJSON(serviceRequest{Note: pipelineInput(call)}))
}

// serviceRequest is the body of a call of a plain service.
type serviceRequest struct {
	Note string `json:"note"`
}

func pause(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
