package check

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/load/control"
	"github.com/vanillagate/vanillagate/internal/problem"
)

func TestComputeTotals(t *testing.T) {
	executions := []control.Execution{
		{IdempotencyKey: "twice", RequestID: "r1/service/1"},
		{IdempotencyKey: "twice", RequestID: "r2/service/1"},
		{IdempotencyKey: "once", RequestID: "r3/service/1"},
		{RequestID: "r4/encode/1"},
	}
	ended := []CompletedRequest{
		{IdempotencyKey: "twice", NonIdempotent: true, Answered: true, InTime: true, Finding: Complete},
		{IdempotencyKey: "once", NonIdempotent: true, Answered: true, InTime: true, Finding: Complete},
		{IdempotencyKey: "late", Answered: true, Finding: Complete},
		{IdempotencyKey: "none"},
		{IdempotencyKey: "other", Finding: ForeignContent},
		{IdempotencyKey: "true", Refused: true, Execution: problem.NotRun, RefusedRequestID: "r9"},
		{IdempotencyKey: "false", Refused: true, Execution: problem.NotRun, RefusedRequestID: "r4"},
		{IdempotencyKey: "unsure", Refused: true, Execution: problem.Unknown, RefusedRequestID: "r4"},
	}
	got := ComputeTotals(ended, executions)
	assert.Equal(t, got, Totals{
		Requests: 8, Answered: 3, InTime: 1, Refused: 3, Lost: 2, RanTwice: 1, WrongAnswers: 1, FalseNotRun: 1, Executions: 4,
	})
	assert.Equal(t, got.Attainment(), 0.125)
	assert.Equal(t, Totals{}.Attainment(), 0.0)
}

// The first entry VM ran the request and died; the second refuses the same
// request as "not run". For a non-idempotent request that is false: the client
// would submit it again and it would run twice. For an idempotent one it only has
// to be true of the second try.
func TestNotRunAfterAnEarlierTry(t *testing.T) {
	executions := []control.Execution{{IdempotencyKey: "k", RequestID: "r1/s/1"}, {RequestID: "r2/s/1"}}
	refused := CompletedRequest{IdempotencyKey: "k", RefusedRequestID: "r3", Refused: true, Execution: problem.NotRun}
	assert.Equal(t, ComputeTotals([]CompletedRequest{refused}, executions).FalseNotRun, 0)
	refused.NonIdempotent = true
	assert.Equal(t, ComputeTotals([]CompletedRequest{refused}, executions).FalseNotRun, 1)
}

func TestIdempotentKeyMayRunTwice(t *testing.T) {
	executions := []control.Execution{{IdempotencyKey: "k", RequestID: "a/s/1"}, {IdempotencyKey: "k", RequestID: "a/s/2"}}
	got := ComputeTotals([]CompletedRequest{{IdempotencyKey: "k", Answered: true, InTime: true, Finding: Complete}}, executions)
	assert.Equal(t, got.RanTwice, 0)
	assert.Equal(t, got.InTime, 1)
}
