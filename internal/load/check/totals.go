package check

import (
	"strings"

	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/problem"
)

// CompletedRequest holds the facts about a completed request that ComputeTotals needs.
type CompletedRequest struct {
	IdempotencyKey string
	NonIdempotent  bool
	// RefusedRequestID is the request ID of the try that was refused last.
	RefusedRequestID string
	// Answered is true if the caller got a complete answer that belongs to the
	// request.
	Answered bool
	// Refused is true if the caller got an explicit error.
	Refused bool
	// InTime is true if the answer arrived by the caller's deadline.
	InTime bool
	// Poison is true if the request crashes every target that runs it. It is
	// checked for double execution, wrong answers and false "not run" errors, but
	// doesn't count for the attainment.
	Poison    bool
	Finding   Finding
	Execution problem.Execution
}

// Totals counts the requests of a run by their results.
type Totals struct {
	Requests int `json:"requests"`
	// Answered counts requests with a complete answer, including late ones.
	Answered int `json:"answered"`
	// InTime counts requests with a complete answer by their deadline, except those
	// in RanTwice.
	InTime int `json:"in_time"`
	// Refused counts requests that got an explicit error.
	Refused int `json:"refused"`
	// Lost counts requests that got neither a complete answer nor an explicit error.
	Lost int `json:"lost"`
	// RanTwice counts non-idempotent requests that targets ran more than once.
	RanTwice int `json:"doubled"`
	// WrongAnswers counts answers that contain output of another request.
	WrongAnswers int `json:"crossed"`
	// FalseNotRun counts requests whose error said "not run" although they ran.
	// Non-idempotent requests are matched by idempotency key, others by the
	// request ID of the refused try.
	FalseNotRun int `json:"false_not_run"`
	// Poison counts requests that crash every target. Of the counts above, they
	// are only in RanTwice, WrongAnswers and FalseNotRun.
	Poison int `json:"poison,omitempty"`
	// Executions counts the calls that targets ran.
	Executions int `json:"executions"`
}

// Attainment is InTime as a share of Requests, and 0 for a run without requests.
func (t Totals) Attainment() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Requests)
}

// ComputeTotals compares the responses to callers with the executions that targets
// recorded.
func ComputeTotals(requests []CompletedRequest, executions []control.Execution) Totals {
	counts := countExecutions(executions)
	totals := Totals{Executions: len(executions)}
	for _, e := range requests {
		totals.add(e, counts)
	}
	return totals
}

func (t *Totals) add(e CompletedRequest, counts executionCounts) {
	ranTwice := e.NonIdempotent && counts.byKey[e.IdempotencyKey] > 1
	if ranTwice {
		t.RanTwice++
	}
	if e.Finding == ForeignContent {
		t.WrongAnswers++
	}
	if e.Refused && e.Execution == problem.NotRun && counts.hasRun(e) {
		t.FalseNotRun++
	}
	if e.Poison {
		t.Poison++
		return
	}
	t.Requests++
	switch {
	case e.Answered:
		t.Answered++
	case e.Refused:
		t.Refused++
	default:
		t.Lost++
	}
	if e.Answered && e.InTime && !ranTwice {
		t.InTime++
	}
}

// executionCounts counts executions by idempotency key and by request ID.
type executionCounts struct {
	byKey     map[string]int
	byRequest map[string]int
}

func countExecutions(executions []control.Execution) executionCounts {
	counts := executionCounts{byKey: map[string]int{}, byRequest: map[string]int{}}
	for _, x := range executions {
		if x.IdempotencyKey != "" {
			counts.byKey[x.IdempotencyKey]++
		}
		request, _, _ := strings.Cut(x.RequestID, "/")
		counts.byRequest[request]++
	}
	return counts
}

// hasRun reports whether a request that was refused as "not run" ran. For a
// non-idempotent request, no try with its key may have run: its caller relies on
// "not run" to submit it again. For an idempotent one only the refused try
// counts, since an earlier try may have run at a VM that died.
func (c executionCounts) hasRun(e CompletedRequest) bool {
	if e.NonIdempotent && c.byKey[e.IdempotencyKey] > 0 {
		return true
	}
	return e.RefusedRequestID != "" && c.byRequest[e.RefusedRequestID] > 0
}
