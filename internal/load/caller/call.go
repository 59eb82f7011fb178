// Package caller behaves like a program of the users: it asks the system which
// addresses to use, keeps the answer for as long as it was told, connects
// there itself, and goes on to another address where one fails, always under
// the same idempotency key and within its own deadline.
package caller

import (
	"time"

	"github.com/vanillagate/vanillagate/internal/load/check"
	"github.com/vanillagate/vanillagate/internal/problem"
)

// Kind is the shape of a call.
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
	// Customer is only carried into the Result.
	Customer string
	// BearerKey proves which customer calls.
	BearerKey string
	// IdempotencyKey is the same on every try.
	IdempotencyKey string
	// Ref names the request within its input, so that an answer can be told
	// from another request's.
	Ref string
	// Pipeline is the pipeline's name; unused by services.
	Pipeline string
	// Input is the text in front of the mark of Ref.
	Input string
	// MaxTokens is how many words the answer must have.
	MaxTokens int
	// Service, Method and Path name the call of a plain service.
	Service, Method, Path string
	// NonIdempotent calls must run at most once.
	NonIdempotent bool
	// Poison says that the request crashes the targets that run it, so that
	// nobody can answer it.
	Poison bool
	// Scheduled is when the request should have been sent. Its latency and
	// deadline count from here, also when the load tool itself is late.
	Scheduled time.Time
	// Timeout is how long the caller has, from Scheduled.
	Timeout time.Duration
}

// Deadline is when the answer stops being of use.
func (c Call) Deadline() time.Time { return c.Scheduled.Add(c.Timeout) }

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	// Answered is a whole answer to the caller's own request.
	Answered Outcome = "answered"
	// Refused is a clear error from the system.
	Refused Outcome = "refused"
	// Lost is neither a whole answer nor a clear error.
	Lost Outcome = "lost"
)

// Result is what a caller knows when its request has ended.
type Result struct {
	Call Call
	// ScheduledOffset is Call.Scheduled since the start of the run.
	ScheduledOffset time.Duration
	Outcome         Outcome
	// Finding tells what was wrong with an answer that is not whole. It is
	// empty when there was no answer.
	Finding check.Finding
	// Execution is the error's word on whether the request ran.
	Execution problem.Execution
	// RequestIDs are the identities that the system gave to the tries.
	RequestIDs []string
	// RefusedRequestID is the identity of the try that the error speaks of.
	RefusedRequestID string
	Status           int
	Tries            int
	// Latency counts from Call.Scheduled.
	Latency time.Duration
	// FirstToken counts from Call.Scheduled; zero without a stream.
	FirstToken time.Duration
	// SendDelay is how long after Call.Scheduled the first try was sent.
	SendDelay time.Duration
	// Detail tells what went wrong, in words.
	Detail string
}

// InTime says whether the answer was whole and came before the deadline.
func (r Result) InTime() bool {
	return r.Outcome == Answered && r.Latency <= r.Call.Timeout
}
