// Package run takes one request through its stages to a target and back. It
// knows what may be repeated, when to give up, and what to tell the caller
// then; what the wire looks like on either side it doesn't know.
package run

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillagate/vanillagate/internal/serve/place"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/upstream"
)

// Request is a caller's request as a front has read it.
type Request struct {
	// ID names this attempt of the caller's.
	ID     string
	Method string
	// URI is path and query, Path the path alone, both as the caller sent them.
	URI  string
	Path string
	Host string
	// Header has the lines to pass on.
	Header []upstream.Header
	Body   []byte
	// Key is the caller's key; empty for none.
	Key     string
	Arrived time.Time
	// Patience is how long the caller waits from Arrived on; 0 where it didn't
	// say.
	Patience time.Duration
	// Pieces is how many pieces each stage has, 0 for a stage left out, and
	// PieceKey names what they are made from.
	Pieces   []int
	PieceKey string
	Prompt   place.Prompt
	// LastEvent is the id of the last event that the caller has of this stream.
	LastEvent string
}

// AttemptInfo is what an attempt at a target tells it besides the request itself.
type AttemptInfo struct {
	// Target is the ID of the one that is meant.
	Target string
	// Team is the customer's name; empty on public routes.
	Team string
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	// Inputs are the results of the stages.
	Inputs []string
	// LastEvent is the id of the last event that arrived, if this goes on with
	// a stream.
	LastEvent string
	// Rank is the request's priority.
	Rank int
}

// AnswerInfo is what a target says of itself with an answer.
type AnswerInfo struct {
	// ID of the request that the answer belongs to; empty where it isn't said.
	ID string
	// NotRun means that the target certainly didn't run the request.
	NotRun bool
	// Signed means that the answer bears the target's signature.
	Signed bool
	// Report is the target's load; nil without one.
	Report *pool.Report
}

// Codec translates between this package and the wire of the targets.
type Codec interface {
	// RequestHeader gives the header lines of an attempt.
	RequestHeader(r *Request, s AttemptInfo) []upstream.Header
	// ReadAnswer tells what an answer's header says.
	ReadAnswer(h *fasthttp.ResponseHeader) AnswerInfo
}

// Reason says why a request got an answer of our own.
type Reason string

// The reasons.
const (
	NoConfiguration Reason = "no configuration yet"
	NoTargetsYet    Reason = "targets aren't known yet"
	NoRoute         Reason = "no route"
	NoKey           Reason = "unknown key"
	NoTarget        Reason = "no target takes work"
	StagesLate      Reason = "stages can't be done in time"
	StagesFailed    Reason = "stages failed"
	TargetsFull     Reason = "targets refused"
	OverBudget      Reason = "no repeat left in the budget"
	LostAnswer      Reason = "target gave no answer"
	TimedOut        Reason = "time is up"
	CallerLeft      Reason = "caller left"
	TooManyPieces   Reason = "too many pieces"
	CrashesTargets  Reason = "it crashes its targets"
	ShuttingDown    Reason = "this VM is leaving"
)

// Reply is the answer to a caller.
type Reply struct {
	Status int
	// Target's answer, to be passed on as it is; nil for one of our own.
	Answer *Answer
	// Reason of an answer of our own.
	Reason Reason
	// RetryAfter is when to come back; 0 says nothing.
	RetryAfter time.Duration
}

// Answer is a target's answer.
type Answer struct {
	Header []upstream.Header
	// Body ends with io.EOF only if it is whole. Close it always.
	Body io.ReadCloser
	// Length in bytes; -1 where it isn't known.
	Length int
}

func refuse(status int, reason Reason, retryAfter time.Duration) *Reply {
	return &Reply{Status: status, Reason: reason, RetryAfter: retryAfter}
}
