package run

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
	"github.com/vanillagate/vanillagate/internal/serve/plan"
	"github.com/vanillagate/vanillagate/internal/serve/pool"
	"github.com/vanillagate/vanillagate/internal/serve/quota"
)

// A target took a request and its answer was lost, the next one found that the
// inputs are gone, and the stages can't be done again in time. A caller that is told
// that nothing ran may book elsewhere, although the first target has worked for it.
func TestARefusalOfStagesIsTrueAfterAnAttempt(t *testing.T) {
	for _, reason := range []gather.Reason{gather.Late, gather.NoTarget, gather.TargetFailed} {
		for ran, status := range map[int]int{0: fasthttp.StatusServiceUnavailable, 1: fasthttp.StatusBadGateway} {
			j := &job{ctx: context.Background(), ran: ran}
			reply := j.stageRefusal(&gather.RefusedError{Reason: reason})
			assert.Equal(t, reply.Status, status, "%s after %d that may have run", reason, ran)
		}
	}
	ended, cancel := context.WithCancelCause(context.Background())
	cancel(ErrTimeout)
	j := &job{ctx: ended, ran: 1}
	assert.Equal(t, j.stageRefusal(context.Canceled).Status, fasthttp.StatusGatewayTimeout)
}

// A process that has just started has the configuration and no targets yet. It can't serve,
// and must say when it probably can: callers come back once.
func TestAProcessWithoutTargetsSaysWhenItWillHaveThem(t *testing.T) {
	const soon = 1700 * time.Millisecond
	plans := &plan.Holder{}
	plans.Apply(&plan.Plan{Version: 1, Routes: []plan.Route{{
		Name: "r", Host: "h", Prefix: "/", Kind: plan.Idempotent, Public: true, Split: []plan.Share{{Service: "s", Weight: 1}},
	}}})
	e := &Executor{
		Log: zap.NewNop(), Plans: plans, Table: pool.New(zap.NewNop()), Budget: quota.New(quota.Rule{}, time.Now()),
		Starting: func(time.Time) time.Duration { return soon },
	}
	reply := e.Run(t.Context(), &Request{ID: "x", Host: "h", Path: "/a/", Arrived: time.Now()})
	assert.Equal(t, reply.Status, 503)
	assert.Equal(t, reply.Reason, NoTargetsYet)
	assert.Assert(t, reply.RetryAfter >= soon && reply.RetryAfter <= soon+soon/3, "%v", reply.RetryAfter)
}
