package upstream

import (
	"fmt"
	"time"
)

// Part names a part of an answer whose size or time is bounded.
type Part string

// The bounded parts of answers.
const (
	// Head is the status line and the header lines of one answer.
	Head Part = "head"
	// Interim are the 1xx answers before the answer to the request.
	Interim Part = "interim"
	// EarlierAnswer is an answer to an earlier request on the connection.
	EarlierAnswer Part = "earlier answer"
	// ErrorBody is the body of an answer that isn't a success.
	ErrorBody Part = "error body"
	// RefusalBody is the body of an answer that says that the request didn't run.
	RefusalBody Part = "refusal body"
	// Trailer are the lines after a chunked body.
	Trailer Part = "trailer"
	// Surplus are bytes that follow a complete answer.
	Surplus Part = "surplus"
	// NoEvent are bytes of an event stream that are no event.
	NoEvent Part = "no event"
	// StageAnswer is the body of an answer to a stage call or to a call that frees results.
	StageAnswer Part = "stage answer"
)

const (
	// PartTime is how long a head, a trailer or a short body may take from its first byte on. They arrive
	// in a few packets, and callers wait at least as long for the next event of a stream.
	PartTime = 2 * time.Second
	// ShortBodyBytes is the maximum size of a body that carries no result.
	ShortBodyBytes = 256 << 10

	// maxInterimAnswers and maxInterimTime bound the 1xx answers to one request. A single one may be
	// followed by any wait, since a target may announce at once that it has begun to work.
	maxInterimAnswers = 16
	maxInterimTime    = 10 * time.Second
	// refusalTime bounds the body of a refusal, which is read only to keep its connection while the
	// request waits for another target.
	refusalTime = 500 * time.Millisecond
)

// Bound limits the bytes of a body and the time from its first byte to its end, or from its head to its end
// with FromHead.
type Bound struct {
	Part     Part
	Bytes    int
	Time     time.Duration
	FromHead bool
}

// Bounds of bodies that carry no result.
var (
	ErrorBodyBound   = Bound{Part: ErrorBody, Bytes: ShortBodyBytes, Time: PartTime}
	RefusalBodyBound = Bound{Part: RefusalBody, Bytes: ShortBodyBytes, Time: refusalTime, FromHead: true}
	earlierBound     = Bound{Part: EarlierAnswer, Bytes: ShortBodyBytes, Time: PartTime}
)

// exceededBy reports whether a body of a size exceeds the bound. announced is the length that its header
// states; -1 if none.
func (b Bound) exceededBy(read, announced int) bool { return read > b.Bytes || announced > b.Bytes }

// interimAnswers decides when a target has sent too many 1xx answers to one request. The zero value has
// seen none.
type interimAnswers struct {
	count int
	first time.Time
}

// add records one that was received now and reports whether the bounds are exceeded.
func (i *interimAnswers) add(now time.Time) bool {
	if i.count == 0 {
		i.first = now
	}
	i.count++
	return i.count > maxInterimAnswers || now.Sub(i.first) > maxInterimTime
}

// BoundError means that a part of an answer exceeded its bound.
type BoundError struct {
	Part Part
	// Bytes is how much of the part was read.
	Bytes int
	// TimedOut means that the time was exceeded, not the size.
	TimedOut bool
}

// Error describes the bound.
func (e *BoundError) Error() string {
	limit := "size"
	if e.TimedOut {
		limit = "time"
	}
	return fmt.Sprintf("answer exceeded the bound on the %s of its part %q after %d bytes", limit, e.Part, e.Bytes)
}
