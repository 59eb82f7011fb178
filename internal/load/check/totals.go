package check

import (
	"strings"

	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/problem"
)

// CompletedRequest is what the checks need of a request that has ended.
type CompletedRequest struct {
	IdempotencyKey string
	NonIdempotent  bool
	// RefusedRequestID is the identity that the system gave to the try that it refused
	// last.
	RefusedRequestID string
	// Answered says that the caller got a whole answer to its own request.
	Answered bool
	// Refused says that it got a clear error.
	Refused bool
	// InTime says that the answer came before the caller's deadline.
	InTime bool
	// Poison says that nobody can answer the request. It counts for the
	// promises, not for the attainment.
	Poison    bool
	Finding   Finding
	Execution problem.Execution
}

// Totals is the verdict on a run.
type Totals struct {
	Requests int `json:"requests"`
	// Answered counts requests with a whole answer, late ones included.
	Answered int `json:"answered"`
	// InTime counts requests answered once, whole and in time.
	InTime int `json:"in_time"`
	// Refused counts requests that got a clear error.
	Refused int `json:"refused"`
	// Lost counts requests that got neither a whole answer nor a clear error.
	Lost int `json:"lost"`
	// RanTwice counts non-idempotent requests that targets ran more than once.
	RanTwice int `json:"doubled"`
	// WrongAnswers counts answers that hold something of another request.
	WrongAnswers int `json:"crossed"`
	// FalseNotRun counts requests that were told "not run" and ran: by the key
	// of non-idempotent ones, by the refused try of others.
	FalseNotRun int `json:"false_not_run"`
	// Poison counts requests that nobody could answer; they are in none of the
	// counts above but RanTwice, WrongAnswers and FalseNotRun.
	Poison int `json:"poison,omitempty"`
	// Executions counts what the targets ran.
	Executions int `json:"executions"`
}

// Attainment is the share of requests answered once, whole and in time. A run
// without requests has attained nothing.
func (t Totals) Attainment() float64 {
	if t.Requests == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Requests)
}

// ComputeTotals compares what the callers were told with what the targets ran.
func ComputeTotals(ended []CompletedRequest, executions []control.Execution) Totals {
	ran := newWitness(executions)
	totals := Totals{Executions: len(executions)}
	for _, e := range ended {
		totals.add(e, ran)
	}
	return totals
}

func (t *Totals) add(e CompletedRequest, ran witness) {
	doubled := e.NonIdempotent && ran.byKey[e.IdempotencyKey] > 1
	if doubled {
		t.RanTwice++
	}
	if e.Finding == ForeignContent {
		t.WrongAnswers++
	}
	if e.Refused && e.Execution == problem.NotRun && ran.ran(e) {
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
	if e.Answered && e.InTime && !doubled {
		t.InTime++
	}
}

// witness knows what the targets ran.
type witness struct {
	byKey     map[string]int
	byRequest map[string]int
}

func newWitness(executions []control.Execution) witness {
	w := witness{byKey: map[string]int{}, byRequest: map[string]int{}}
	for _, x := range executions {
		if x.IdempotencyKey != "" {
			w.byKey[x.IdempotencyKey]++
		}
		request, _, _ := strings.Cut(x.RequestID, "/")
		w.byRequest[request]++
	}
	return w
}

// ran says whether what was refused as "not run" ran. The refusal of a
// non-idempotent request speaks of its key: its caller must be able to take
// "not run" for the whole truth. The refusal of an idempotent one speaks of the
// try, since its caller may have tried it at a VM that died.
func (w witness) ran(e CompletedRequest) bool {
	if e.NonIdempotent && w.byKey[e.IdempotencyKey] > 0 {
		return true
	}
	return e.RefusedRequestID != "" && w.byRequest[e.RefusedRequestID] > 0
}
