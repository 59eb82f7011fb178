// Package caller implements a client that behaves like a customer's program. It
// fetches the list of entry VM addresses, caches it for the TTL in the response,
// connects to these addresses directly, and retries at another address after a
// failure. All tries of a request carry the same idempotency key and end at the
// request's deadline.
package caller

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/load/check"
	"github.com/vanillagate/vanillagate/internal/problem"
)

// Kind is the type of a call.
type Kind string

// The kinds of calls.
const (
	KindPipeline Kind = "pipeline" // answered as JSON
	KindStream   Kind = "stream"   // answered as server-sent events
	KindService  Kind = "service"  // a call of a plain service
)

// Call is one request of a customer.
type Call struct {
	Kind Kind
	// Customer is not sent; it is copied into the Result.
	Customer string
	// BearerKey authenticates the customer.
	BearerKey string
	// IdempotencyKey is the same on every try.
	IdempotencyKey string
	// Ref is a marker in the input that the answer repeats, so that answers to
	// other requests are detected.
	Ref string
	// Pipeline is the pipeline's name; unused by services.
	Pipeline string
	// Input is the text before the Ref marker.
	Input string
	// MaxTokens is the number of words that the answer must have.
	MaxTokens int
	// Service, Method and Path are set for calls of a plain service only.
	Service, Method, Path string
	// NonIdempotent calls must run at most once.
	NonIdempotent bool
	// Poison is true if the request crashes every target that runs it, so that
	// it can't be answered.
	Poison bool
	// Scheduled is when the request is due to be sent. Latency and deadline are
	// measured from here, even if the load tool sends it late.
	Scheduled time.Time
	// Timeout is the time limit of the whole request, from Scheduled.
	Timeout time.Duration
}

// Deadline is Scheduled plus Timeout.
func (c Call) Deadline() time.Time { return c.Scheduled.Add(c.Timeout) }

// Outcome is the final result of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Answered means a complete answer that belongs to the request.
	Answered Outcome = "answered"
	// Refused means an explicit error response from the system.
	Refused Outcome = "refused"
	// Lost means neither a complete answer nor an explicit error.
	Lost Outcome = "lost"
)

// Result describes a completed request as its caller saw it.
type Result struct {
	Call Call
	// ScheduledOffset is the time from the start of the run to Call.Scheduled.
	ScheduledOffset time.Duration
	Outcome         Outcome
	// Finding is the result of checking the answer. It is empty if there was no
	// answer.
	Finding check.Finding
	// Execution is the error's statement on whether the request ran.
	Execution problem.Execution
	// RequestIDs are the request IDs that the system assigned to the tries.
	RequestIDs []string
	// RefusedRequestID is the request ID of the try that the error refers to.
	RefusedRequestID string
	Status           int
	Tries            int
	// Latency is measured from Call.Scheduled.
	Latency time.Duration
	// FirstToken is the time to the first token, from Call.Scheduled; zero for
	// calls that aren't streamed.
	FirstToken time.Duration
	// SendDelay is the time from Call.Scheduled to the sending of the first try.
	SendDelay time.Duration
	// Detail is a description of the failure.
	Detail string
}

// InTime reports whether the answer was complete and arrived by the deadline.
func (r Result) InTime() bool {
	return r.Outcome == Answered && r.Latency <= r.Call.Timeout
}
