package caller

import (
	"cmp"
	"context"
	"math"
	"time"

	"github.com/vanillagate/vanillagate/internal/load/check"
)

// defaultGrace is how long a caller still waits after its deadline, to
// distinguish late answers from lost ones.
const defaultGrace = time.Second

// Caller sends requests to the system. It is safe for concurrent use.
type Caller struct {
	conns *connections
	// firstTryConns is used for the first try of each request. It differs from
	// conns if WithFirstTryShare is set.
	firstTryConns *connections
	dir           *directory
	gracePeriod   time.Duration
}

// Option changes a Caller.
type Option func(*Caller)

// WithFirstTryShare makes the first try fail, so that another address is tried,
// once the connection has received nothing for this share of the time left.
// Later tries wait until the deadline: a caller that gave up on each of several
// slow VMs would get no answer at all. Zero disables the limit.
func WithFirstTryShare(share float64) Option {
	return func(c *Caller) { c.firstTryConns = newConnections(share) }
}

// New returns a caller that fetches the list of entry VMs from the initial
// addresses, which it tries in this order.
func New(initialAddresses []string, options ...Option) *Caller {
	conns := newConnections(0)
	c := &Caller{conns: conns, firstTryConns: conns, dir: newDirectory(initialAddresses, conns), gracePeriod: defaultGrace}
	for _, option := range options {
		option(c)
	}
	return c
}

// NewPinned returns a caller that uses a single address and never fetches the
// list of entry VMs.
func NewPinned(address string) *Caller {
	c := New(nil)
	c.dir.cache(EntriesAnswer{Entries: []Entry{{Address: address}}, TTLMS: math.MaxInt32}, time.Now())
	return c
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.conns.close()
	c.firstTryConns.close()
}

// Do sends a request and retries it until it has a final answer or its deadline
// passes.
func (c *Caller) Do(ctx context.Context, call Call) Result {
	result := Result{Call: call, Outcome: Lost, SendDelay: time.Since(call.Scheduled)}
	tried := map[string]int{}
	for ctx.Err() == nil && time.Now().Before(call.Deadline()) {
		address, err := c.dir.chooseAddress(tried, time.Now())
		if err != nil {
			result.Detail = err.Error()
			sleep(ctx, backoff(len(tried)+1, randomJitter()))
			continue
		}
		tried[address]++
		result.Tries++
		got := c.send(c.connsFor(result.Tries), address, call, result.Tries)
		result.record(address, got)
		decision := decideRetry(got, result.Tries, time.Until(call.Deadline()), randomJitter())
		if decision.avoidAddress {
			c.dir.recordFailure(address, time.Now())
		} else {
			c.dir.recordSuccess(address)
		}
		if !decision.retry {
			break
		}
		sleep(ctx, decision.wait)
	}
	if result.Latency == 0 {
		result.Latency = time.Since(call.Scheduled)
	}
	return result
}

func (c *Caller) connsFor(try int) *connections {
	if try == 1 {
		return c.firstTryConns
	}
	return c.conns
}

// record overwrites the result of earlier tries with that of the last one.
// Request IDs accumulate, and the time of a first token stays until a later try
// has one.
func (r *Result) record(address string, got answer) {
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
		r.checkAnswer(got)
	}
}

func (r *Result) checkAnswer(got answer) {
	r.Finding = checkOutput(r.Call, got)
	if r.Finding == check.Complete {
		r.Outcome = Answered
		return
	}
	r.Detail = "answer is " + string(r.Finding)
}

func checkOutput(call Call, got answer) check.Finding {
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

func sleep(ctx context.Context, wait time.Duration) {
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
