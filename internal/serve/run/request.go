// Package run processes one request: it runs the stages, sends the request to a target and
// returns the answer. It decides what may be retried, when to give up, and what the caller
// is told then. It doesn't know the wire formats of callers and targets; see Codec.
package run

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Request is a caller's request as parsed by the front end.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	// URI is the path with the query, Path the path alone, both as sent by the caller.
	URI  string
	Path string
	Host string
	// Header has the header lines to forward.
	Header []upstream.Header
	Body   []byte
	// Key is the caller's API key; empty if none.
	Key     string
	Arrived time.Time
	// Timeout is how long the caller waits after Arrived; 0 if it didn't say.
	Timeout time.Duration
	// Pieces is the number of pieces of each stage, 0 for a skipped stage. PieceKey
	// identifies the data from which they are made.
	Pieces   []int
	PieceKey string
	Prompt   place.Prompt
	// SharedParts are the IDs of the parts of the prompt, also of those that can't be read otherwise, but
	// for the last one, which is the request's own.
	SharedParts []string
	// LastEventID is the id of the last event of this stream that the caller has received.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of this stream; empty if the caller
	// doesn't take a stream up.
	Resumes string
	// Forwarded is set if another process passed the request on.
	Forwarded bool
}

// AttemptInfo is what a target is told with an attempt in addition to the request itself.
type AttemptInfo struct {
	// Target is the ID of the target that the attempt is meant for.
	Target string
	// Team is the customer's name; empty on public routes.
	Team string
	// Remaining is how long the answer is awaited.
	Remaining time.Duration
	// Inputs are the handles of the stages' results.
	Inputs []string
	// LastEventID is the id of the last event received, if the attempt resumes a stream.
	LastEventID string
	// Rank is the request's priority.
	Rank int
	// CopySource is the address of the engine from which the target copies the shared parts of the
	// prompt; empty if it copies none.
	CopySource string
}

// AnswerInfo is what a target reports about itself and the request in the header of an
// answer.
type AnswerInfo struct {
	// ID is the ID of the request that the answer belongs to; empty if it isn't given.
	ID string
	// Target is the ID of the target that has answered; empty if it isn't given.
	Target string
	// NotRun means that the target certainly didn't run the request.
	NotRun bool
	// Signed means that the answer has the target's signature.
	Signed bool
	// Statement is what the target says of itself; nil if another target has answered.
	*pool.Statement
}

// Codec translates between this package and the wire format of the targets.
type Codec interface {
	// RequestHeader returns the header lines of an attempt.
	RequestHeader(r *Request, info AttemptInfo) []upstream.Header
	// ForwardHeader returns the header lines with which a request is passed on to a peer.
	// remaining is how long the answer is awaited.
	ForwardHeader(r *Request, remaining time.Duration) []upstream.Header
	// ReadAnswer parses the header of an answer.
	ReadAnswer(h *fasthttp.ResponseHeader) AnswerInfo
	// LivenessRequest returns the URI and the header lines of a GET request that a target of a service
	// answers without running anything; none if uri is empty. service is nil if it isn't in the configuration.
	LivenessRequest(target string, service *plan.Service) (uri string, header []upstream.Header)
	// ReadBorn parses the body of an answer to that request and returns when the target started, in Unix milliseconds; 0
	// if it doesn't say.
	ReadBorn(body io.Reader) int64
}

// Reason says why this process answered a request itself.
type Reason string

// Reasons for answers made by this process.
const (
	NoConfiguration Reason = "no configuration yet"
	NoTargetsYet    Reason = "targets aren't known yet"
	NoRoute         Reason = "no route"
	RouteUnusable   Reason = "route is not configured correctly"
	NoKey           Reason = "unknown key"
	NoTarget        Reason = "no target takes work"
	StagesLate      Reason = "stages can't be done in time"
	StagesFailed    Reason = "stages failed"
	TargetsFull     Reason = "targets refused"
	EnginesReject   Reason = "engines reject requests"
	UnknownVersion  Reason = "version that began the stream isn't known"
	VersionGone     Reason = "no target of the version that began the stream"
	RateLimited     Reason = "targets take no more requests for now"
	OverBudget      Reason = "no repeat left in the budget"
	LostAnswer      Reason = "target gave no answer"
	UnclearRefusal  Reason = "target refused without saying that the request hasn't run"
	TimedOut        Reason = "time is up"
	CallerLeft      Reason = "caller left"
	TooManyPieces   Reason = "too many pieces"
	CrashesTargets  Reason = "it crashes its targets"
	ShuttingDown    Reason = "this VM is leaving"
	NoMemory        Reason = "no memory for the request"
)

// Reply is the answer to a caller.
type Reply struct {
	Status int
	// Answer is the target's answer, to be forwarded unchanged; nil if this process made
	// the answer.
	Answer *Answer
	// Reason says why this process made the answer.
	Reason Reason
	// RetryAfter is when the caller should retry; 0 if unspecified.
	RetryAfter time.Duration
}

// Answer is a target's answer.
type Answer struct {
	Header []upstream.Header
	// Body returns io.EOF only if the answer is complete. It must always be closed.
	Body io.ReadCloser
	// Length is the length in bytes; -1 if unknown.
	Length int
}

func refuse(status int, reason Reason, retryAfter time.Duration) *Reply {
	return &Reply{Status: status, Reason: reason, RetryAfter: retryAfter}
}
