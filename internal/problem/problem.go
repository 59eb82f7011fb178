// Package problem defines the error responses to callers and operators: problem
// details by RFC 9457 (application/problem+json).
package problem

import (
	"fmt"
	"time"
)

// ContentType is the media type of an encoded Problem.
const ContentType = "application/problem+json"

// Execution says whether the request ran at a target.
type Execution string

// The values of Execution. NotRun is used only if it is certain.
const (
	NotRun  Execution = "not_run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Problem is the response to a request that failed.
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Execution Execution `json:"execution"`
	// RetryAfterMS is the time in milliseconds after which the request may be sent
	// again; zero means that a retry is pointless. It is also sent as the Retry-After
	// header, in seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%d %s: %s (%s)", p.Status, p.Title, p.Detail, p.Execution)
}

// New returns a problem of the type "about:blank#" followed by the slug.
func New(status int, slug, title, detail string, execution Execution) *Problem {
	return &Problem{Type: "about:blank#" + slug, Title: title, Status: status, Detail: detail, Execution: execution}
}

// WithRetryAfter sets RetryAfterMS, to at least 1, and returns the problem.
func (p *Problem) WithRetryAfter(after time.Duration) *Problem {
	p.RetryAfterMS = max(after.Milliseconds(), 1)
	return p
}
