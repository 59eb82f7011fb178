package run

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/gather"
)

// A target took a request and its answer was lost, the next one found that the
// inputs are gone, and the stages can't be done again in time. A caller that is told
// that nothing ran may book elsewhere, although the first target has worked for it.
func TestARefusalOfStagesIsTrueAfterAnAttempt(t *testing.T) {
	for _, reason := range []gather.Reason{gather.Late, gather.Idle, gather.Broken} {
		for ran, status := range map[int]int{0: fasthttp.StatusServiceUnavailable, 1: fasthttp.StatusBadGateway} {
			j := &job{ctx: context.Background(), ran: ran}
			reply := j.stageRefusal(&gather.Refused{Reason: reason})
			assert.Equal(t, reply.Status, status, "%s after %d that may have run", reason, ran)
		}
	}
	ended, cancel := context.WithCancelCause(context.Background())
	cancel(ErrTimeout)
	j := &job{ctx: ended, ran: 1}
	assert.Equal(t, j.stageRefusal(context.Canceled).Status, fasthttp.StatusGatewayTimeout)
}
