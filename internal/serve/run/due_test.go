package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// A caller that was refused comes back with less time left than its route's
// objective. Were its stages due by the objective, they would be reserved, done
// after the caller has given up, and the caller told nothing until then.
func TestStagesAreDueBeforeTheirCallerGivesUp(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ objective, left, due time.Duration }{
		{3 * time.Second, 6 * time.Second, 3 * time.Second},
		{3 * time.Second, 1600 * time.Millisecond, 1600 * time.Millisecond},
	} {
		j := &job{
			Executor: &Executor{}, req: &Request{Arrived: now, Pieces: []int{1}}, deadline: now.Add(c.left),
			route: &plan.Route{Objective: c.objective, Stages: []plan.Stage{{Service: "s"}}},
		}
		first := j.firstEvents.expect(j.service, j.req.Prompt)
		assert.Equal(t, newGraph(j).due(0), now.Add(c.due-first), "%+v", c)
	}
}
