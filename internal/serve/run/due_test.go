package run

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillagate/vanillagate/internal/serve/plan"
)

// A caller that was refused retries with less time left than its route's objective. If its
// stages were due by the objective, capacity would be reserved for them, they would be
// finished after the caller has given up, and the caller would get no answer until then.
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
		first := j.firstEventModel.expect(j.service, j.req.Prompt)
		assert.Equal(t, newStageGraph(j).due(0), now.Add(c.due-first), "%+v", c)
	}
}

// Guards against reservations without the team, which would all count as one team's.
func TestReservationsCarryTeamAndPieceKey(t *testing.T) {
	for _, team := range []*plan.Team{nil, {Name: "a"}} {
		j := &job{
			Executor: &Executor{Plans: &plan.Holder{}}, req: &Request{PieceKey: "piece", Pieces: []int{1}}, team: team,
			route: &plan.Route{Stages: []plan.Stage{{Service: "s"}}},
		}
		want := newStageGraph(j).wants()[0]
		assert.Equal(t, want.PieceKey, "piece")
		assert.Equal(t, want.Team != "", team != nil)
	}
}

// Guards against places for a request that may have run: its refusal has no Retry-After, and its
// caller doesn't come back for them.
func TestRequestThatMayHaveRunAsksForNoPlace(t *testing.T) {
	for runs, identified := range map[int]bool{0: true, 1: false} {
		j := &job{
			Executor: &Executor{Plans: &plan.Holder{}}, req: &Request{PieceKey: "piece", Pieces: []int{1}}, runs: runs,
			route: &plan.Route{Stages: []plan.Stage{{Service: "s"}}},
		}
		assert.Equal(t, newStageGraph(j).wants()[0].Caller != "", identified, "%d runs", runs)
	}
}
